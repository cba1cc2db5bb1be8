package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/publication"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/peer"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/rpc"
)

const (
	followRetry    = 250 * time.Millisecond
	reportInterval = time.Second
	reportLimit    = time.Second
)

// follow keeps the table up to date from the first control that answers.
func (e *Entry) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, address := range e.settings.Controls {
			err := e.followOne(ctx, address)
			if ctx.Err() != nil {
				return nil
			}
			e.noteControl(err)
		}
		group.Sleep(ctx, followRetry)
	}
	return nil
}

func (e *Entry) followOne(ctx context.Context, address netip.AddrPort) error {
	client := rpc.NewClient(address, nil)
	defer client.Close()
	_, revision := e.table.catalog()
	request := &peer.FollowRequest{Entry: e.settings.Process.Name, Revision: revision}
	return rpc.Stream(ctx, client, peer.CallFollow, request, func(update *peer.FollowUpdate) {
		e.control.Store(&address)
		e.controlSilent.Store(false)
		e.takeIn(update)
	})
}

func (e *Entry) noteControl(err error) {
	if !e.controlSilent.Swap(true) {
		e.log.Emit(eventlog.ControlLost, err)
	}
}

func (e *Entry) takeIn(update *peer.FollowUpdate) {
	if update.Catalog != nil {
		if err := e.install(update.Catalog); err != nil {
			_, revision := e.table.catalog()
			e.log.Emit(eventlog.CatalogUnreadable, revision, err)
		}
	}
	e.table.observe(update.Runners)
	e.table.learn(time.Now(), update.Suspicions)
}

func (e *Entry) install(stored *peer.CatalogResponse) error {
	head, err := publication.DecodeHead(stored.Head)
	if err != nil {
		return err
	}
	values := make(map[string][]byte, len(stored.Chunks))
	for _, chunk := range stored.Chunks {
		values[chunk.Digest] = chunk.Value
	}
	snapshot, err := publication.Assemble(head, func(ref publication.Chunk) ([]byte, error) {
		return values[ref.Digest], nil
	})
	if err != nil {
		return err
	}
	set, err := catalog.NewSet(snapshot.Objects)
	if err != nil {
		return err
	}
	if e.table.install(catalog.NewIndex(set), head.Revision) {
		e.log.Emit(eventlog.CatalogInForce, head.Revision, "control")
	}
	return nil
}

// report tells the followed control the demand and the revision in force.
func (e *Entry) report(ctx context.Context) error {
	var client *rpc.Client
	return group.Every(ctx, reportInterval, func(now time.Time) {
		units := e.demand.collect(now)
		address := e.control.Load()
		if address == nil {
			return
		}
		if client == nil || client.Address() != *address {
			client = rpc.NewClient(*address, nil)
		}
		_, revision := e.table.catalog()
		request := &peer.ReportRequest{Entry: e.settings.Process.Name, Revision: revision, Units: units}
		_, _ = rpc.Call[peer.ReportRequest, peer.ReportResponse](ctx, client, peer.CallReport, request, reportLimit)
	})
}

// spreadSuspicions tells the followed control at once of requests under which endpoints were lost.
func (e *Entry) spreadSuspicions(ctx context.Context) error {
	for {
		select {
		case <-e.suspected.Items():
		case <-ctx.Done():
			return nil
		}
		request := &peer.SuspectRequest{Suspicions: e.table.suspicionNews(), Spread: true}
		if len(request.Suspicions) > 0 {
			_, _ = callControl[peer.SuspectRequest, peer.SuspectResponse](ctx, e, peer.CallSuspect, request, reportLimit)
		}
	}
}
