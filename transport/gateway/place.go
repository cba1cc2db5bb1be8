package gateway

import (
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/gathering"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/admission"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

const (
	// absentRetry is the time after which a caller may retry a request for a model that no runner holds. It is about the
	// time of a load.
	absentRetry = time.Second
	// emptyRetry is the time after which a caller may retry a request to a service without endpoints.
	emptyRetry = 500 * time.Millisecond
	// absentWait is the longest wait of a request for a model that no runner holds. It covers the time of a plan and of a
	// load.
	absentWait = 2 * time.Second
	// maxNeedTries is the largest number of adapter loads that a request asks for before it waits.
	maxNeedTries = 3
	// needTimeout is the time limit for the call to the owner of a runner, which waits for at most needWait itself.
	needTimeout = needWait + 100*time.Millisecond
)

// place chooses an endpoint for a request, or returns the reason why none takes it. It waits while admission control
// defers the request, while the adapter is loaded, and for a limited time while no runner holds the model.
func (g *Gateway) place(ctx context.Context, x *exchange) (dispatch.Choice, *lifecycle.NoEndpoint) {
	if refusal := g.quarantined(x); refusal != nil {
		return dispatch.Choice{}, refusal
	}
	excluded := x.machine.Excluded()
	waitUntil := x.request.ArrivedAt.Add(min(absentWait, x.request.Deadline.Sub(x.request.ArrivedAt)/2))
	tries := 0
	for {
		now := clock.Now()
		g.mu.Lock()
		runners := g.directory.OfService(x.service)
		choice, ok := g.desk.Choose(now, &x.request, runners, excluded)
		heard := now.Sub(g.heard)
		changed := g.changed
		g.mu.Unlock()
		verdict := admission.Decision{Admitted: true}
		if ok && !x.machine.MayHaveRun() {
			verdict = admission.Decide(now, &x.request, choice.Prediction())
		}
		switch {
		case verdict.Deferred:
			if !pause(ctx, nil, holdTime) {
				return choice, g.noneFree(x, len(runners), heard)
			}
			continue
		case !verdict.Admitted:
			return choice, g.turnAway(x, choice, verdict)
		case ok && !choice.AdapterNotLoaded:
			g.touch(now, choice.Runner.ID, x.request.Unit)
			return choice, nil
		case ok && tries < maxNeedTries:
			tries++
			if g.bring(ctx, x, choice.Runner.ID) {
				return choice, nil
			}
			continue
		case x.request.Unit.Model == "" || len(runners) == 0 || !now.Before(waitUntil):
			return choice, g.noneFree(x, len(runners), heard)
		}
		tries = 0
		if !pause(ctx, changed, min(waitUntil.Sub(now), placeRetry)) {
			return choice, g.noneFree(x, len(runners), heard)
		}
	}
}

// pause waits for a time or until a channel is closed. It reports false if the context has ended.
func pause(ctx context.Context, until <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-until:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// quarantined returns the refusal of a request that is quarantined because it crashed several endpoints, or nil.
func (g *Gateway) quarantined(x *exchange) *lifecycle.NoEndpoint {
	g.mu.Lock()
	wait := g.suspects.RetryAfter(clock.Now(), quarantine.Fingerprint(x.request.Fingerprint))
	g.mu.Unlock()
	if wait <= 0 {
		return nil
	}
	g.log.Emit(eventlog.Quarantined, x.request.ID, x.request.Fingerprint, wait.Milliseconds())
	return &lifecycle.NoEndpoint{Reason: "the request has crashed several endpoints", RetryAfter: wait}
}

// turnAway logs and returns the rejection of a request that the best endpoint would serve too late.
func (g *Gateway) turnAway(x *exchange, choice dispatch.Choice, verdict admission.Decision) *lifecycle.NoEndpoint {
	g.log.Emit(
		eventlog.TurnedAway, x.request.ID, verdict.Reason, choice.Runner.ID, choice.Wait.Milliseconds(),
		choice.PrefillUtilization, verdict.RetryAfter.Milliseconds(),
	)
	return &lifecycle.NoEndpoint{Reason: verdict.Reason, RetryAfter: verdict.RetryAfter}
}

// holdTime is the time until admission control decides again on a deferred request. It is less than a runner takes for
// one chunk of prefill.
const holdTime = 20 * time.Millisecond

// placeRetry is the longest time until a request that waits for a runner tries again, also without a change of the
// directory.
const placeRetry = 100 * time.Millisecond

func (g *Gateway) noneFree(x *exchange, runners int, heard time.Duration) *lifecycle.NoEndpoint {
	refusal := &lifecycle.NoEndpoint{Reason: "no endpoint holds " + x.request.Unit.String(), RetryAfter: absentRetry}
	if runners == 0 {
		refusal = &lifecycle.NoEndpoint{Reason: "service " + x.service + " has no endpoint", RetryAfter: emptyRetry}
	}
	g.log.Emit(eventlog.NoEndpoint, x.request.ID, refusal.Reason, runners, heard.Milliseconds())
	return refusal
}

// touch records the use of an adapter on a runner, which delays its eviction.
func (g *Gateway) touch(now time.Time, runner string, unit fleet.Unit) {
	if unit.Adapter == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.uses[gathering.RunnerUnit{Runner: runner, Unit: unit}] = now
	if o := g.ordered[runner]; o != nil {
		o.ledger.RecordUse(now, unit)
	}
}

// bring asks the owner of a runner to load an adapter there, and reports whether the runner holds it.
func (g *Gateway) bring(ctx context.Context, x *exchange, runner string) bool {
	g.mu.Lock()
	owner := g.owners.Owner(runner)
	g.mu.Unlock()
	var word vm.Owned
	var held bool
	var reason string
	asked := clock.Now()
	switch owner {
	case "":
		reason = "the runner has no owner"
	case g.settings.Name:
		word, held, reason = g.need(ctx, runner, x.request.Unit)
	default:
		q := &vm.NeedRequest{VM: g.settings.Name, Runner: runner, Unit: x.request.Unit}
		answer, err := callNeed[vm.NeedRequest, vm.NeedAnswer](ctx, g.peers, owner, vm.CallNeed, q, needTimeout)
		if err != nil {
			reason = err.Error()
		} else {
			word, held, reason = answer.Owned, answer.Held, answer.Reason
		}
	}
	now := clock.Now()
	g.log.Emit(
		eventlog.AdapterAsked, x.request.ID, runner, x.request.Unit.String(), owner, held, reason,
		now.Sub(asked).Milliseconds(),
	)
	if !held && ctx.Err() == nil {
		g.mu.Lock()
		g.desk.RecordAdapterLoadFailure(now, runner)
		g.mu.Unlock()
	}
	if held {
		g.mu.Lock()
		g.directory.MergeHoldings(runner, word.Incarnation, word.Holdings, now)
		g.mu.Unlock()
		g.touch(now, runner, x.request.Unit)
	}
	return held
}

// disown removes a unit from a runner's holdings after the runner declined a request because it lacks the unit.
func (g *Gateway) disown(runner *fleet.Runner, unit fleet.Unit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directory.RemoveUnit(clock.Now(), runner.ID, unit)
	if o := g.ordered[runner.ID]; o != nil {
		o.ledger.Invalidate()
		o.wake()
	}
}
