package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/coordination/relay"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// largeConfiguration returns a configuration with routes whose names share little.
func largeConfiguration(t *testing.T, version, routes int) []byte {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 0))
	all := make([]caller.Route, 0, routes)
	for range routes {
		all = append(all, caller.Route{
			Name: fmt.Sprintf("r-%x", random.Uint64()), Host: fmt.Sprintf("%x.example", random.Uint32()),
			Prefix: fmt.Sprintf("/%x/%x/", random.Uint32(), random.Uint32()), Kind: "safe", TimeoutMS: 1500, TargetLatencyMS: 300,
			Priority: 2, Service: plainServiceName, MaxAttempts: 2,
		})
	}
	value, err := caller.Configuration(version, all, []caller.Service{{Name: plainServiceName, HealthPath: "/health", MaxConnections: 100}})
	assert.NilError(t, err)
	return value
}

const plainServiceName = "plain"

// The aggregator forwards a change of the configuration to each VM within one interval of their reports.
func TestViewOfLargeConfigurationExceedsTheLinkOfTheAggregator(t *testing.T) {
	const (
		linkBytesPerSecond = 200_000_000 / 8
		vms                = 68
		routes             = 1400
	)
	now := time.Unix(1_000_000, 0)
	aggregator, member := &simulatedVM{name: "vm-1"}, &simulatedVM{name: "vm-2"}
	for _, v := range []*simulatedVM{aggregator, member} {
		v.start(now)
	}
	g := aggregator.gateway
	listed := fleet.NewRevision(0, 10)
	g.applyItems(now, fromListing, []platform.Item{{Key: platform.ConfigurationKey, Value: largeConfiguration(t, 1, 1), Revision: listed}})
	g.storeLog.ApplyListing(map[string]bool{platform.ConfigurationKey: true}, listed)
	g.storeLog.RecordSync(now, listed)
	changed := fleet.NewRevision(0, 11)
	g.applyItems(now, fromListing, []platform.Item{{Key: platform.ConfigurationKey, Value: largeConfiguration(t, 2, routes), Revision: changed}})
	g.storeLog.RecordSync(now, changed)

	summary := g.mergeReport(now, &vm.Report{VM: "vm-2", SyncedRevision: listed, PackedViews: true})
	data, err := cbor.Marshal(summary)
	assert.NilError(t, err)
	sendTime := time.Duration(len(data)*vms) * time.Second / linkBytesPerSecond
	assert.Check(t, sendTime <= aggregationInterval, "%d bytes to each of %d VMs take %v", len(data), vms, sendTime)

	var received vm.Summary
	assert.NilError(t, cbor.Unmarshal(data, &received))
	member.gateway.applySummary(now, now, &received)
	assert.Equal(t, member.gateway.table.Load().Version, uint64(2))

	earlier := g.mergeReport(now, &vm.Report{VM: "vm-3", SyncedRevision: listed})
	assert.Assert(t, !earlier.View.Items[0].Packed, "a VM of an earlier version of the program reads no compressed value")
}

// A view without a large value brings all else, and the VM reads the store itself if the value does not come.
func TestVMWaitsTooLongForAHeldBackValue(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	v := &simulatedVM{name: "vm-2"}
	v.start(now)
	g := v.gateway
	entry := []byte(`{"service": "plain", "address": "10.0.0.9:8000", "zone": "a", "version": 1, "slots": 6, "state": "ready", "sequence": 0}`)
	assert.NilError(t, g.applyStoreListing(now, now, []platform.Item{
		{Key: platform.RunnersPrefix + "old", Value: entry, Revision: fleet.NewRevision(0, 4)},
	}, fleet.NewRevision(0, 10)))
	view := func(revision uint64, heldBack bool) *relay.View {
		return &relay.View{Revision: fleet.NewRevision(0, revision), HeldBack: heldBack, Items: []relay.Item{
			{Key: platform.RunnersPrefix + "old", Deleted: true, Revision: fleet.NewRevision(0, 12)},
			{Key: platform.RunnersPrefix + "new", Value: entry, Revision: fleet.NewRevision(0, 13)},
		}}
	}
	for since := time.Duration(0); since < 2*heldBackTimeout; since += aggregationInterval {
		g.applyView(now, now, view(10, true), 0)
		assert.Equal(t, g.knownRevision, fleet.NewRevision(0, 10))
		assert.Assert(t, g.directory.Get("old") == nil && g.directory.Get("new") != nil)
		assert.Equal(t, g.hasRecentView(now), since < heldBackTimeout, "after %v", since)
		now = now.Add(aggregationInterval)
	}
	g.applyView(now, now, view(13, false), 0)
	assert.Equal(t, g.knownRevision, fleet.NewRevision(0, 13))
	assert.Assert(t, g.hasRecentView(now))
}
