package gateway

import (
	"cmp"
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/gathering"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/admission"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

const (
	// busyModelRetryAfter is the time after which a caller may retry a request for a model whose runners cannot take it.
	busyModelRetryAfter = time.Second
	// noEndpointRetryAfter is the time after which a caller may retry a request to a service without endpoints.
	noEndpointRetryAfter = 500 * time.Millisecond
	// busyModelTimeout is the longest wait of a request for a model whose runners cannot take it.
	busyModelTimeout = 2 * time.Second
	// maxAdapterRequests is the largest number of adapter loads that a request asks for before it waits.
	maxAdapterRequests = 3
	// adapterCallTimeout is the time limit for the call to the owner of a runner, which waits for at most
	// adapterLoadTimeout itself.
	adapterCallTimeout = adapterLoadTimeout + 100*time.Millisecond
)

// chooseEndpoint chooses an endpoint for a request, or returns the reason why none takes it. The request waits in the queue
// while admission control defers it, while others come before it, and for a limited time while no runner holds the model.
func (g *Gateway) chooseEndpoint(ctx context.Context, x *exchange) (dispatch.Choice, *lifecycle.NoEndpoint) {
	w := g.newWait(ctx, x)
	for {
		w.ask(ctx)
		s := w.decide(clock.Now())
		if s.prepare {
			x.releaseExcept(clock.Now(), s.choice.Runner.ID)
			s = w.prepare(ctx, s.choice)
		}
		if s.wait > 0 {
			// A prompt that waits must not keep those of other VMs from a runner.
			x.releasePrompt()
		}
		if s.wait > 0 && !w.wait(ctx, s.wait) || s.again && ctx.Err() != nil {
			s = step{refusal: g.refuse(clock.Now(), x, w.options, refuseWithoutEndpoint(x, w.options))}
		}
		if s.wait == 0 && !s.again {
			w.leave(s.refusal == nil)
			if s.refusal == nil {
				x.keepReservation(s.choice)
			} else {
				x.releasePrompt()
			}
			return s.choice, s.refusal
		}
	}
}

// step is what to do with a request: send it to the choice, refuse it, prepare the choice, decide again at once, or wait for a
// change, but not for longer than a time.
type step struct {
	choice  dispatch.Choice
	refusal *lifecycle.NoEndpoint
	prepare bool
	again   bool
	wait    time.Duration
}

func (w *wait) decide(now time.Time) step {
	g, x := w.gateway, w.exchange
	// The request may have waited, and other attempts of it may have crashed endpoints meanwhile.
	if refusal := g.quarantineRefusal(now, x); refusal != nil {
		return step{refusal: refusal}
	}
	w.options = g.options(now, x, w.software, w.excluded)
	o := w.options
	if w.entry.Evicted() {
		return step{choice: o.choice, refusal: g.refuseQueueFull(now, x)}
	}
	if refusal := w.refuseEarly(now); refusal != nil {
		return step{choice: o.choice, refusal: refusal}
	}
	v := w.judge(now, o)
	switch {
	case v.refused:
		return step{choice: o.choice, refusal: g.refuse(now, x, o, v)}
	case v.wait > 0:
		if v.awaitsRunner {
			w.tried.adapters = 0
		}
		return step{wait: v.wait}
	case w.mustWait(now):
		return step{wait: deferInterval}
	case v.prepare:
		return step{choice: o.choice, prepare: true}
	}
	g.recordAdapterUse(now, o.choice.Runner.ID, x.request.Unit)
	return step{choice: o.choice}
}

// verdict is what the VM decides on a request, before it does anything about it. The zero value means that the request is sent.
type verdict struct {
	// refused means that the request is refused for a reason, and that a place for it is expected after retryAfter.
	refused    bool
	reason     string
	retryAfter time.Duration
	// rejected means that admission control does not let the request go to the choice, and stopping that the process stops, so that
	// the caller may go to another VM at once.
	rejected, stopping bool
	// wait is the longest time until the next decision on a request that waits, or zero, and awaitsRunner means that it waits for a
	// runner that can take it.
	wait         time.Duration
	awaitsRunner bool
	// prepare means that the choice has to be prepared for the request.
	prepare bool
}

// judge decides on a request that is not quarantined. It changes nothing.
func (w *wait) judge(now time.Time, o options) verdict {
	g, x := w.gateway, w.exchange
	switch {
	case g.refusing.Load() && !x.machine.MayHaveRun():
		// It may run longer than this process, and another VM can take it.
		return refuseStopping(x)
	case o.ok:
		return w.judgeChoice(now, o)
	case o.full && admission.PermitTimeout(now, &x.request) <= 0:
		return refuseFull(now, x, o)
	case o.full:
		return verdict{wait: deferInterval, reason: "the endpoints are brittle and have no place"}
	case o.runners > 0 && o.unavailable:
		return refuseUnavailable(now, x, o)
	default:
		return w.awaitRunner(now, o)
	}
}

// judgeChoice decides on a request for which there is an endpoint.
func (w *wait) judgeChoice(now time.Time, o options) verdict {
	x, choice := w.exchange, o.choice
	decision := admission.Decision{Admitted: true}
	if !x.machine.MayHaveRun() {
		decision = admission.Decide(now, &x.request, choice.Prediction())
	}
	switch {
	case decision.Deferred:
		return verdict{wait: min(deferInterval, cmp.Or(decision.RoomWait, deferInterval)), reason: decision.Reason}
	case !decision.Admitted:
		return reject(decision)
	case choice.Limited && (w.tried.permits >= maxPermitRequests || choice.PermitWait > permitTimeout(now, x)):
		return reject(limitReached(choice))
	case choice.AdapterNotLoaded && !choice.Limited && w.tried.adapters >= maxAdapterRequests:
		return w.awaitRunner(now, o)
	}
	return verdict{prepare: choice.AdapterNotLoaded || choice.Limited}
}

// awaitRunner lets a request wait for a runner that can take it, if one is expected in time.
func (w *wait) awaitRunner(now time.Time, o options) verdict {
	x := w.exchange
	reason := "no runner can take it yet"
	if x.binding == nil && o.isUnloaded {
		d := admission.DecideUnloaded(now, &x.request, o.unloaded)
		if !d.Deferred {
			return verdict{refused: true, reason: d.Reason, retryAfter: d.RetryAfter}
		}
		reason = d.Reason
	} else if x.request.Unit.Model == "" || o.runners == 0 || !now.Before(w.until) {
		return refuseWithoutEndpoint(x, o)
	}
	if w.gateway.stopping.Load() {
		// The wait may exceed the time that is left to this process, and another VM can go on with it.
		return refuseStopping(x)
	}
	return verdict{wait: choiceRetryInterval, awaitsRunner: true, reason: reason}
}

// options is what is known of the endpoints for a request at a time.
type options struct {
	choice dispatch.Choice
	// ok reports that there is a choice, and runners is the number of endpoints of which it is one.
	ok      bool
	runners int
	// obstacle is the one that ends first if there is no choice.
	obstacle dispatch.Obstacle
	// unavailable reports that all of them drain or rest, and restUntil is when the first rest ends, or zero.
	unavailable bool
	restUntil   time.Time
	// full reports that there is no choice because brittle endpoints have no place for the request.
	full bool
	// isUnloaded reports that none of them holds the model, which unloaded describes.
	isUnloaded bool
	unloaded   admission.Unloaded
	// syncAge is the age of the list of endpoints.
	syncAge time.Duration
}

// options returns the options of a request. The software is the version that a stream must go on at.
func (g *Gateway) options(now time.Time, x *exchange, software string, excluded []string) options {
	g.mu.Lock()
	defer g.mu.Unlock()
	runners := x.endpoints(g.directory.OfService(x.service), software)
	o := optionsAmong(now, x, g.scheduler, runners, excluded, g.random.Float64())
	o.syncAge = now.Sub(g.syncedAt)
	o.unloaded, o.isUnloaded = g.unloadedModel(now, x, runners)
	return o
}

// optionsAmong returns what a scheduler says of the endpoints for a request. The draw is that of the choice.
func optionsAmong(
	now time.Time, x *exchange, scheduler *dispatch.Scheduler, runners []*fleet.Runner, excluded []string, draw float64,
) options {
	o := options{runners: len(runners)}
	o.choice, o.ok = scheduler.ChooseAnswered(now, &x.request, runners, excluded, x.reserved.answered, draw)
	o.restUntil, o.unavailable = scheduler.Unavailable(now, runners)
	if !o.ok {
		o.obstacle = scheduler.NextChange(now, &x.request, runners, excluded)
	}
	o.full = !o.ok && scheduler.Full(now, &x.request, runners, excluded)
	return o
}

// endpointTries counts what a request has asked for before it found an endpoint.
type endpointTries struct{ adapters, permits int }

// prepare gets the adapter and the permit that a request needs on the chosen endpoint. Others need not wait for that.
func (w *wait) prepare(ctx context.Context, choice dispatch.Choice) step {
	g, x := w.gateway, w.exchange
	w.leave(true)
	x.passTurn()
	if choice.AdapterNotLoaded {
		w.tried.adapters++
		if !g.requestAdapter(ctx, x, choice.Runner.ID) {
			return step{again: true}
		}
	}
	if choice.Limited {
		w.tried.permits++
		if !g.awaitPermit(ctx, x, choice) {
			return step{again: true}
		}
	}
	if !g.stillEligible(x, choice, w.excluded) {
		return step{again: true}
	}
	g.recordAdapterUse(clock.Now(), choice.Runner.ID, x.request.Unit)
	return step{choice: choice, refusal: g.quarantineRefusal(clock.Now(), x)}
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

// limitReached returns the rejection of a request whose best endpoint has named a limit.
func limitReached(choice dispatch.Choice) admission.Decision {
	return admission.Decision{Reason: admission.LimitReached, RetryAfter: max(choice.PermitWait, permitRetryInterval)}
}

// reject returns the rejection of a request that the best endpoint would serve too late.
func reject(decision admission.Decision) verdict {
	return verdict{refused: true, rejected: true, reason: decision.Reason, retryAfter: decision.RetryAfter}
}

// deferInterval is the longest time until admission control decides again on a deferred request, also without a change: the
// prefill utilization decays. It is less than a runner takes for one chunk of prefill.
const deferInterval = 20 * time.Millisecond

// choiceRetryInterval is the longest time until a request that waits for a runner tries again, also without a change of
// the directory.
const choiceRetryInterval = 100 * time.Millisecond

// refuse logs and returns the refusal of a request, whose caller is told when to come back.
func (g *Gateway) refuse(now time.Time, x *exchange, o options, v verdict) *lifecycle.NoEndpoint {
	refusal := &lifecycle.NoEndpoint{Reason: v.reason, RetryAfter: v.retryAfter}
	if !v.stopping {
		refusal = g.scheduleReturn(now, x, v.reason, v.retryAfter)
	}
	if !v.rejected {
		g.log.Emit(eventlog.NoEndpoint, x.request.ID, refusal.Reason, o.runners, o.syncAge.Milliseconds())
		return refusal
	}
	g.log.Emit(
		eventlog.RequestRejected, x.request.ID, refusal.Reason, o.choice.Runner.ID, o.choice.Wait.Milliseconds(),
		o.choice.PrefillUtilization, refusal.RetryAfter.Milliseconds(),
	)
	return refusal
}

func refuseWithoutEndpoint(x *exchange, o options) verdict {
	switch {
	case o.runners == 0 && x.binding != nil:
		return verdict{refused: true, reason: "no endpoint has the software that began the stream", retryAfter: noEndpointRetryAfter}
	case o.runners == 0:
		return verdict{refused: true, reason: "service " + x.service + " has no endpoint", retryAfter: noEndpointRetryAfter}
	}
	return verdict{refused: true, reason: "no endpoint holds " + x.request.Unit.String(), retryAfter: busyModelRetryAfter}
}

// stillEligible reports whether the chosen endpoint can take the request, which has waited for an adapter or a permit.
func (g *Gateway) stillEligible(x *exchange, choice dispatch.Choice, excluded []string) bool {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Eligible(now, &x.request, g.directory.Get(choice.Runner.ID), excluded)
}

// refuseUnavailable refuses a request to a service whose endpoints all drain or rest. The caller may come back when the
// first rest ends.
func refuseUnavailable(now time.Time, x *exchange, o options) verdict {
	retryAfter := noEndpointRetryAfter
	if !o.restUntil.IsZero() {
		retryAfter = max(o.restUntil.Sub(now), time.Millisecond)
	}
	return verdict{refused: true, reason: "all endpoints of service " + x.service + " drain or rest", retryAfter: retryAfter}
}

// refuseFull refuses a request that found no place on brittle endpoints in time. The caller may come back when the first pause
// ends.
func refuseFull(now time.Time, x *exchange, o options) verdict {
	return verdict{
		refused: true, reason: "the endpoints of service " + x.service + " are brittle and have no place",
		retryAfter: max(noEndpointRetryAfter, o.obstacle.Until.Sub(now)),
	}
}

// refuseStopping refuses a request that waits while the process stops. The caller may go to another VM at once.
func refuseStopping(x *exchange) verdict {
	return verdict{
		refused: true, stopping: true, reason: "the process stops, and no endpoint takes " + x.request.Unit.String(),
		retryAfter: time.Millisecond,
	}
}

// recordAdapterUse records the use of an adapter on a runner, which delays its eviction.
func (g *Gateway) recordAdapterUse(now time.Time, runner string, unit fleet.Unit) {
	if unit.Adapter == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adapterUsedAt[gathering.RunnerUnit{Runner: runner, Unit: unit}] = now
	if o := g.ownedRunners[runner]; o != nil {
		o.ledger.RecordUse(now, unit)
	}
}

// requestAdapter asks the owner of a runner to load an adapter there, and reports whether the runner holds it.
func (g *Gateway) requestAdapter(ctx context.Context, x *exchange, runner string) bool {
	g.mu.Lock()
	owner := g.owners.Owner(runner)
	g.mu.Unlock()
	var owned vm.OwnedRunner
	var held bool
	var reason string
	requestedAt := clock.Now()
	switch owner {
	case "":
		reason = "the runner has no owner"
	case g.settings.Name:
		owned, held, reason = g.loadAdapter(ctx, runner, x.request.Unit)
	default:
		q := &vm.AdapterRequest{VM: g.settings.Name, Runner: runner, Unit: x.request.Unit}
		answer, err := callPooled[vm.AdapterRequest, vm.AdapterResponse](
			ctx, g.peers, owner, vm.CallRequestAdapter, q, adapterCallTimeout,
		)
		if err != nil {
			reason = err.Error()
		} else {
			owned, held, reason = answer.Runner, answer.Loaded, answer.Reason
		}
	}
	now := clock.Now()
	g.log.Emit(
		eventlog.AdapterRequested, x.request.ID, runner, x.request.Unit.String(), owner, held, reason,
		now.Sub(requestedAt).Milliseconds(),
	)
	if !held && ctx.Err() == nil {
		g.mu.Lock()
		g.scheduler.RecordAdapterLoadFailure(now, runner)
		g.mu.Unlock()
	}
	if held {
		g.mu.Lock()
		g.directory.MergeHoldings(runner, owned.Incarnation, owned.Holdings, now)
		g.mu.Unlock()
		g.recordAdapterUse(now, runner, x.request.Unit)
	}
	return held
}

// removeUnit removes a unit from a runner's holdings after the runner declined a request because it lacks the unit.
func (g *Gateway) removeUnit(runner *fleet.Runner, unit fleet.Unit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directory.RemoveUnit(clock.Now(), runner.ID, unit)
	if o := g.ownedRunners[runner.ID]; o != nil {
		o.ledger.Invalidate()
		o.wake()
	}
}
