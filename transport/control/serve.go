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

// updatePause is the time for which changes are collected into one update.
const updatePause = 50 * time.Millisecond

func (c *Control) mux() *rpc.Mux {
	mux := rpc.NewMux()
	rpc.Handle(mux, peer.CallExchange, c.answerExchange)
	rpc.Handle(mux, peer.CallCatalog, c.answerCatalog)
	rpc.Handle(mux, peer.CallReport, c.answerReport)
	rpc.Handle(mux, peer.CallClaim, c.answerClaim)
	rpc.Handle(mux, peer.CallSettle, c.answerSettle)
	rpc.Handle(mux, peer.CallSuspect, c.answerSuspect)
	rpc.HandleStream(mux, peer.CallFollow, c.answerFollow)
	return mux
}

// answerFollow sends an entry the catalog, the runners and the suspicions, and then each change. If nothing changes, it
// sends an empty update after each gossipInterval.
func (c *Control) answerFollow(
	ctx context.Context,
	request *peer.FollowRequest,
	send func(*peer.FollowUpdate) error,
) error {
	sent := request.Revision
	var change, suspicionChange uint64
	for {
		update := &peer.FollowUpdate{Revision: c.board.revision()}
		var wake chan struct{}
		c.board.with(func() {
			wake = c.board.changed
			update.Runners, change = c.board.runners.ChangedSince(change)
			update.Suspicions, suspicionChange = c.board.suspicions.ChangedSince(suspicionChange)
		})
		if update.Revision > sent {
			update.Catalog = c.board.catalogFor(nil)
			sent = update.Revision
		}
		if err := send(update); err != nil {
			return err
		}
		group.Sleep(ctx, updatePause)
		select {
		case <-wake:
		case <-time.After(gossipInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Control) answerReport(_ context.Context, request *peer.ReportRequest) (*peer.ReportResponse, error) {
	now := time.Now()
	c.entryRevision.Store(request.Revision)
	c.board.with(func() {
		c.board.demands.Put(now, residency.Demand{
			VM:       request.Entry,
			Domain:   c.settings.Process.Domain,
			Sequence: uint64(now.UnixMilli()),
			Units:    request.Units,
		})
	})
	return &peer.ReportResponse{}, nil
}

func (c *Control) answerSuspect(_ context.Context, request *peer.SuspectRequest) (*peer.SuspectResponse, error) {
	now := time.Now()
	if c.suspect(now, request.Suspicions) && request.Spread {
		c.spreadSuspicions(now, request.Suspicions)
	}
	return &peer.SuspectResponse{}, nil
}

// suspect merges suspicions and reports whether any of them is new.
func (c *Control) suspect(now time.Time, suspicions []quarantine.Suspicion) bool {
	news := false
	c.board.with(func() {
		for _, suspicion := range suspicions {
			news = c.board.suspicions.Put(now, suspicion) || news
		}
		if news {
			c.board.notify()
		}
	})
	return news
}

// spreadSuspicions sends suspicions to all live peers without waiting for gossip, because the caller may retry the
// request through another entry before gossip reaches it.
func (c *Control) spreadSuspicions(now time.Time, suspicions []quarantine.Suspicion) {
	request := &peer.SuspectRequest{Suspicions: suspicions}
	var live []membership.Member
	c.board.with(func() { live = c.board.view.Live(now, "") })
	for _, member := range live {
		if member.Name == c.settings.Process.Name {
			continue
		}
		c.group.Run("spread suspicions", func(ctx context.Context) {
			client := c.peerClient(member.Address)
			_, _ = rpc.Call[peer.SuspectRequest, peer.SuspectResponse](ctx, client, peer.CallSuspect, request, exchangeLimit)
		})
	}
}
