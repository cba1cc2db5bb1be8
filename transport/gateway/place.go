package gateway

import (
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

const (
	// absentRetry is when a caller of a model that no runner holds may come back: about the time of a load.
	absentRetry = time.Second
	// emptyRetry is when a caller of a service without endpoints may come back.
	emptyRetry = 500 * time.Millisecond
)

// place chooses an endpoint for a request, or says why none takes it.
func (g *Gateway) place(_ context.Context, x *exchange) (dispatch.Choice, *lifecycle.NoneFree) {
	now := clock.Now()
	g.mu.Lock()
	runners := g.directory.OfService(x.service)
	choice, ok := g.desk.Choose(now, &x.request, runners, x.machine.Excluded())
	heard := now.Sub(g.heard)
	g.mu.Unlock()
	if ok {
		return choice, nil
	}
	refusal := lifecycle.NoneFree{Reason: "no endpoint holds " + x.request.Unit.String(), RetryAfter: absentRetry}
	if len(runners) == 0 {
		refusal = lifecycle.NoneFree{Reason: "service " + x.service + " has no endpoint", RetryAfter: emptyRetry}
	}
	g.log.Emit(eventlog.NoEndpoint, x.request.ID, refusal.Reason, len(runners), heard.Milliseconds())
	return choice, &refusal
}
