package gateway

import (
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

const (
	contentAgeCheckInterval = 250 * time.Millisecond
	// oldContentAge is the age of the known content of the store above which a VM logs what it waits for. Without a failure the
	// content is at most watchTimeout + watchInterval old at the aggregator, and by one interval of the reports older elsewhere.
	oldContentAge = 2 * time.Second
)

// contentWait is the period for which the known content of the store is old. The zero value means that it is recent.
type contentWait struct{ oldest time.Duration }

// watchContentAge logs when the known content of the store becomes old, and when it is recent again.
func (g *Gateway) watchContentAge(ctx context.Context) error {
	var w contentWait
	return group.Every(ctx, contentAgeCheckInterval, func(time.Time) { g.checkContentAge(clock.Now(), &w) })
}

func (g *Gateway) checkContentAge(now time.Time, w *contentWait) {
	aggregator := g.aggregator(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.knownRevision == 0 {
		return
	}
	age := now.Sub(g.syncedAt)
	switch {
	case age >= oldContentAge:
		if w.oldest == 0 {
			g.log.Emit(
				eventlog.ContentOld, age.Milliseconds(), aggregator, since(now, g.lastViewAt).Milliseconds(),
				since(now, g.storeCalledAt).Milliseconds(), since(now, g.lastReportAt).Milliseconds(),
			)
		}
		w.oldest = max(w.oldest, age)
	case w.oldest > 0:
		g.log.Emit(eventlog.ContentRecent, w.oldest.Milliseconds(), age.Milliseconds())
		w.oldest = 0
	}
}

// since returns the time since an event, or -1 ms if there was none.
func since(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(at)
}
