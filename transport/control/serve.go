package control

import (
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/membership"
	"github.com/zinniaroute/zinniaroute/protocol/peer"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/state/residency"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/rpc"
)

// updateDelay is the time for which changes are collected into one update.
const updateDelay = 50 * time.Millisecond

func (c *Control) mux() *rpc.Mux {
	mux := rpc.NewMux()
	rpc.Handle(mux, peer.CallExchange, c.handleExchange)
	rpc.Handle(mux, peer.CallCatalog, c.handleCatalog)
	rpc.Handle(mux, peer.CallReport, c.handleReport)
	rpc.Handle(mux, peer.CallClaim, c.handleClaim)
	rpc.Handle(mux, peer.CallSettle, c.handleSettle)
	rpc.Handle(mux, peer.CallSuspect, c.handleSuspect)
	rpc.HandleStream(mux, peer.CallFollow, c.handleFollow)
	return mux
}

// handleFollow sends an entry the catalog, the runners and the crash records, and then each change. If nothing changes, it
// sends an empty update after each gossipInterval.
func (c *Control) handleFollow(
	ctx context.Context,
	request *peer.FollowRequest,
	send func(*peer.FollowUpdate) error,
) error {
	sentRevision := request.Revision
	var change, crashChange uint64
	for {
		update := &peer.FollowUpdate{Revision: c.shared.revision()}
		var wake chan struct{}
		c.shared.withLock(func() {
			wake = c.shared.changed
			update.Runners, change = c.shared.runners.ChangedSince(change)
			update.Crashes, crashChange = c.shared.crashes.ChangedSince(crashChange)
			// Each entry VM has a control.
			update.Entries = len(c.shared.view.Live(time.Now(), ""))
		})
		if update.Revision > sentRevision {
			update.Catalog = c.shared.catalogFor(nil)
			sentRevision = update.Revision
		}
		if err := send(update); err != nil {
			return err
		}
		group.Sleep(ctx, updateDelay)
		select {
		case <-wake:
		case <-time.After(gossipInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Control) handleReport(_ context.Context, request *peer.ReportRequest) (*peer.ReportResponse, error) {
	now := time.Now()
	c.entryRevision.Store(request.Revision)
	c.shared.withLock(func() {
		c.shared.demands.Put(now, residency.Demand{
			VM:       request.Entry,
			Domain:   c.settings.Process.Domain,
			Sequence: uint64(now.UnixMilli()),
			Units:    request.Units,
		})
	})
	return &peer.ReportResponse{}, nil
}

func (c *Control) handleSuspect(_ context.Context, request *peer.SuspectRequest) (*peer.SuspectResponse, error) {
	now := time.Now()
	if c.mergeCrashes(now, request.Crashes) && request.ForwardToPeers {
		c.spreadCrashes(now, request.Crashes)
	}
	return &peer.SuspectResponse{}, nil
}

// mergeCrashes merges crash records and reports whether any of them is new.
func (c *Control) mergeCrashes(now time.Time, crashes []quarantine.Crash) bool {
	changed := false
	c.shared.withLock(func() {
		for _, crash := range crashes {
			changed = c.shared.crashes.Put(now, crash) || changed
		}
		if changed {
			c.shared.notify()
		}
	})
	return changed
}

// spreadCrashes sends crash records to all live peers without waiting for gossip, because the caller may retry the
// request through another entry before gossip reaches it.
func (c *Control) spreadCrashes(now time.Time, crashes []quarantine.Crash) {
	request := &peer.SuspectRequest{Crashes: crashes}
	var live []membership.Member
	c.shared.withLock(func() { live = c.shared.view.Live(now, "") })
	for _, member := range live {
		if member.Name == c.settings.Process.Name {
			continue
		}
		c.group.Run("spread crash records", func(ctx context.Context) {
			client := c.peerClient(member.Address)
			_, _ = rpc.Call[peer.SuspectRequest, peer.SuspectResponse](ctx, client, peer.CallSuspect, request, exchangeTimeout)
		})
	}
}
