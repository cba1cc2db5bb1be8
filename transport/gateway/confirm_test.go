package gateway

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/standin/metadata"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

// A VM asks the store for a runner of an old list, and serves by the list while the store does not answer.
func TestOldListIsUsedThoughTheStoreKnowsBetter(t *testing.T) {
	httpserve.DisableLibraryLog()
	const ready, draining = "ready", "draining"
	entry := func(state string) []byte {
		return []byte(`{"service": "plain", "address": "10.0.0.9:8000", "zone": "a", "version": 1, "slots": 6, "state": "` + state + `", "sequence": 0}`)
	}
	tests := []struct {
		name           string
		listAge        time.Duration
		stored         string
		silent, failed bool
		listed, drains bool
		asked          bool
		startedAgain   bool
	}{
		{name: "recent list", listAge: time.Second, stored: draining, listed: true},
		{name: "it drains", listAge: 2 * time.Second, stored: draining, listed: true, drains: true, asked: true},
		{name: "it is gone", listAge: 2 * time.Second, asked: true},
		{name: "it may be back after an outage", listAge: 3 * time.Second, failed: true, listed: true, asked: true},
		{name: "it has started again", listAge: 2 * time.Second, stored: draining, startedAgain: true, listed: true, asked: true},
		{name: "it serves", listAge: 2 * time.Second, stored: ready, listed: true, asked: true},
		{name: "the store is silent", listAge: 2 * time.Second, stored: draining, silent: true, listed: true, asked: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tasks, err := group.New(context.Background())
			assert.NilError(t, err)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			store := metadata.NewServer()
			switch {
			case test.startedAgain:
				store.Put(platform.RunnersPrefix+"r1", bytes.Replace(entry(test.stored), []byte("{"), []byte(`{"born": 7, `), 1))
			case test.stored != "":
				store.Put(platform.RunnersPrefix+"r1", entry(test.stored))
			}
			if !test.silent {
				store.Start(tasks, listener)
			}
			now := clock.Now()
			v := &simulatedVM{name: "vm-1"}
			s := settings.Gateway{Store: netip.MustParseAddrPort(listener.Addr().String())}
			s.Bounds.RunnerDrain = document.NewDuration(2 * time.Second)
			v.startWith(now.Add(-time.Hour), s)
			g := v.gateway
			g.tasks = tasks
			listedAt := now.Add(-test.listAge)
			listed := []platform.Item{{Key: platform.RunnersPrefix + "r1", Value: entry(ready), Revision: 1}}
			assert.NilError(t, g.applyStoreListing(listedAt, listedAt, listed, fleet.Revision(1)))
			if test.failed {
				g.recordStoreFailure(listedAt.Add(time.Second/2), errStoreAway, 1)
			}
			g.confirmRunner(t.Context(), "r1")
			took := clock.Now().Sub(now)
			runner := g.directory.Get("r1")
			assert.Assert(t, (runner != nil) == test.listed)
			assert.Check(t, runner == nil || runner.Draining == test.drains)
			assert.Check(t, runner == nil || !g.confirmations.Due(clock.Now(), g.syncedAt, "r1", g.maxListAge()), "it is asked for again")
			assert.Check(t, took < time.Second, "a request waits for %v", took)
			if !test.asked {
				assert.Equal(t, len(store.Received.Lines()), 0)
			}
			assert.Check(t, listener.Close() == nil || !test.silent)
			assert.NilError(t, tasks.Stop())
		})
	}
}
