package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

const (
	// runnerConfirmationTimeout is the time for which a request waits for the entry of its runner. A healthy store answers in a few
	// milliseconds.
	runnerConfirmationTimeout = 150 * time.Millisecond
	// sendMargin is the time from the decision on a runner until the request reaches it, at most.
	sendMargin = 500 * time.Millisecond
)

// confirmRunner asks the store for the entry of a runner if this VM's list of runners is so old that the runner may have left and
// ended. A VM that gets no answer goes on with its list, as all of them do while the store is away.
func (g *Gateway) confirmRunner(ctx context.Context, id string) {
	now := clock.Now()
	g.mu.Lock()
	due := g.confirmations.Due(now, g.syncedAt, id, g.maxListAge())
	g.mu.Unlock()
	if !due {
		return
	}
	select {
	case <-g.confirming.DoChan(id, func() (any, error) {
		g.readRunnerEntry(id)
		return nil, nil
	}):
	case <-ctx.Done():
	}
}

// maxListAge returns the age of the list of runners from which runners are confirmed, or zero if no age is too old.
func (g *Gateway) maxListAge() time.Duration {
	drain := g.bounds().RunnerDrain.Duration
	if drain == 0 {
		return 0
	}
	return max(drain-sendMargin, sendMargin)
}

// readRunnerEntry reads the entry of a runner from the store and applies it. Requests that wait for it may end before.
func (g *Gateway) readRunnerEntry(id string) {
	ctx, cancel := context.WithTimeout(g.tasks.Context(), runnerConfirmationTimeout)
	defer cancel()
	sentAt := clock.Now()
	item, err := g.store.Get(ctx, platform.RunnersPrefix+id)
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case errors.Is(err, platform.ErrNoItem):
		g.entryGrace.RecordAnswer(sentAt)
		confirmations.Add("gone", 1)
		g.confirmations.RecordAnswer(sentAt, id)
		g.removeConfirmedGone(now, id)
	case err != nil:
		confirmations.Add("failed", 1)
		g.confirmations.RecordFailure(now)
	default:
		confirmations.Add("listed", 1)
		g.confirmations.RecordAnswer(sentAt, id)
		g.applyConfirmedEntry(now, id, item)
	}
}

// applyConfirmedEntry applies the entry of a runner to the list only. The watch or a view brings it once more, for the other VMs. The
// caller must hold the lock.
func (g *Gateway) applyConfirmedEntry(now time.Time, id string, item platform.Item) {
	runner, err := platform.DecodeRunner(item.Key, item.Value, item.Revision)
	if err != nil {
		g.log.Emit(eventlog.RunnerEntryUnreadable, id, item.Revision, err)
		return
	}
	if listed := g.directory.Get(id); listed == nil || listed.Incarnation != runner.Incarnation {
		// The watch or a view also shows which runs a new start has ended.
		return
	}
	if change := g.directory.Put(now, runner); change != fleet.ChangeNone {
		g.log.Emit(eventlog.RunnerEntryChanged, id, string(change), runner.Service, runner.Software, item.Revision)
		g.notifyDirectoryChange()
	}
}

// removeConfirmedGone removes a runner whose entry the store does not have, unless the entry may have expired while the store was
// away. The caller must hold the lock.
func (g *Gateway) removeConfirmedGone(now time.Time, id string) {
	if g.entryGrace.Remaining(now) > 0 {
		return
	}
	if change := g.directory.Remove(id); change != fleet.ChangeNone {
		g.scheduler.Remove(now, id)
		g.confirmations.Remove(id)
		g.log.Emit(eventlog.RunnerEntryChanged, id, string(change), "", "", 0)
		g.notifyDirectoryChange()
	}
}
