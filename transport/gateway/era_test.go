package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/coordination/relay"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// A process starts while the store returns from an older copy, and asks for the content, or for a view of it, before the return.
func TestWaitForTheOwnersOfAnEarlierEraBeginsBeforeTheReturn(t *testing.T) {
	content := []platform.Item{{Key: settledEraKey, Value: []byte("1"), Revision: fleet.NewRevision(2, 7)}}
	tests := []struct {
		name  string
		apply func(g *Gateway, asOf, now time.Time)
	}{
		{"listing", func(g *Gateway, asOf, now time.Time) {
			assert.NilError(t, g.applyStoreListing(asOf, now, content, fleet.NewRevision(2, 9)))
		}},
		{"view", func(g *Gateway, asOf, now time.Time) {
			g.applyView(asOf.Add(time.Second), now, &relay.View{
				Revision: fleet.NewRevision(2, 9), Full: true, Age: time.Second,
				Items: []relay.Item{{Key: settledEraKey, Value: []byte("1"), Revision: fleet.NewRevision(2, 7)}},
			}, 0)
		}},
	}
	for _, test := range tests {
		now := time.Unix(1_000_000, 0)
		g := startVM(now, "vm-1")
		test.apply(g, now.Add(-4*time.Second), now)
		wait := orderValidity + g.bounds().OwnerChangePause.Duration
		assert.Check(t, !g.owners.EraSettled(now.Add(wait-time.Millisecond)), test.name)
		assert.Check(t, g.owners.EraSettled(now.Add(wait)), test.name)
	}
}
