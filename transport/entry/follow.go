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
	followRetryInterval = 250 * time.Millisecond
	reportInterval      = time.Second
	reportTimeout       = time.Second
)

// follow receives updates of the table from one control. It tries the next one when the stream ends.
func (e *Entry) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, address := range e.settings.Controls {
			err := e.followControl(ctx, address)
			if ctx.Err() != nil {
				return nil
			}
			e.recordControlLost(err)
		}
		group.Sleep(ctx, followRetryInterval)
	}
	return nil
}

func (e *Entry) followControl(ctx context.Context, address netip.AddrPort) error {
	client := rpc.NewClient(address, nil)
	defer client.Close()
	_, revision := e.table.catalog()
	request := &peer.FollowRequest{Entry: e.settings.Process.Name, Revision: revision}
	return rpc.Stream(ctx, client, peer.CallFollow, request, func(update *peer.FollowUpdate) {
		e.controlAddress.Store(&address)
		e.controlLost.Store(false)
		e.applyUpdate(update)
	})
}

func (e *Entry) recordControlLost(err error) {
	if !e.controlLost.Swap(true) {
		e.log.Emit(eventlog.ControlUnreachable, err)
	}
}

func (e *Entry) applyUpdate(update *peer.FollowUpdate) {
	if update.Catalog != nil {
		if err := e.installCatalog(update.Catalog); err != nil {
			_, revision := e.table.catalog()
			e.log.Emit(eventlog.CatalogUnreadable, revision, err)
		}
	}
	if update.Entries > 0 {
		e.callerKeys.setEntries(update.Entries)
	}
	e.table.applyRunnerStates(update.Runners)
	e.table.mergeCrashes(time.Now(), update.Crashes)
}

func (e *Entry) installCatalog(stored *peer.CatalogResponse) error {
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
	if _, revision := e.table.catalog(); head.Revision > revision {
		// The keys come first, so that no request of an unknown caller finds a name of the new catalog.
		e.callerKeys.install(time.Now(), set.Workspaces)
	}
	if e.table.install(catalog.NewIndex(set), head.Revision) {
		e.log.Emit(eventlog.CatalogApplied, head.Revision, "control")
	}
	return nil
}

// report sends the measured demand and the active catalog revision to the followed control at each reportInterval.
func (e *Entry) report(ctx context.Context) error {
	var client *rpc.Client
	return group.Every(ctx, reportInterval, func(now time.Time) {
		units := e.demand.collect(now)
		address := e.controlAddress.Load()
		if address == nil {
			return
		}
		if client == nil || client.Address() != *address {
			client = rpc.NewClient(*address, nil)
		}
		_, revision := e.table.catalog()
		request := &peer.ReportRequest{Entry: e.settings.Process.Name, Revision: revision, Units: units}
		_, _ = rpc.Call[peer.ReportRequest, peer.ReportResponse](ctx, client, peer.CallReport, request, reportTimeout)
	})
}

// spreadCrashes sends new crash records to the followed control immediately, and again until one has received them.
func (e *Entry) spreadCrashes(ctx context.Context) error {
	for {
		select {
		case <-e.crashesChanged.Items():
		case <-time.After(reportInterval):
		case <-ctx.Done():
			return nil
		}
		request := &peer.SuspectRequest{Crashes: e.table.unreportedCrashes(time.Now()), ForwardToPeers: true}
		if len(request.Crashes) == 0 {
			continue
		}
		_, err := callControl[peer.SuspectRequest, peer.SuspectResponse](ctx, e, peer.CallSuspect, request, reportTimeout)
		if err == nil {
			e.table.recordCrashesReported(request.Crashes)
		}
	}
}
