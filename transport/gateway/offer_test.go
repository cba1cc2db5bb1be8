package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/coordination/relay"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

func TestVMTakesTheOfferedContentOnlyWithoutAConfiguration(t *testing.T) {
	const storeEra = 2
	now := time.Unix(1_000_000, 0)
	content := func(version int) *relay.View {
		return &relay.View{Revision: fleet.NewRevision(1, 9), Full: true, Age: 5 * time.Second, Items: []relay.Item{{
			Key: platform.ConfigurationKey, Value: largeConfiguration(t, version, 3), Revision: fleet.NewRevision(1, 4),
		}}}
	}
	v := &simulatedVM{name: "vm-1"}
	v.start(now)
	g := v.gateway
	// The store has returned from an older copy, which a refused call has told, and the content is of the era before.
	g.store.RecordEra(storeEra)
	assert.Assert(t, g.serveOffer(now, &vm.Offer{}).Needed)
	assert.Assert(t, !g.hasContent())
	g.serveOffer(now, &vm.Offer{View: content(3)})
	assert.Equal(t, g.table.Load().Version, uint64(3))
	assert.Assert(t, g.hasContent() && !g.hasRecentView(now), "it goes on trying to read the store")
	_, hasAuthority := g.authority(now, "r1")
	assert.Assert(t, !hasAuthority)
	assert.Assert(t, !g.serveOffer(now, &vm.Offer{}).Needed)
	g.serveOffer(now, &vm.Offer{View: content(4)})
	assert.Equal(t, g.table.Load().Version, uint64(3))
}
