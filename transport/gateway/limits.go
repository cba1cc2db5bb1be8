package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/admission"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/limits"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

const (
	// maxPermitRequests is the number of permits that a request asks for before it is rejected.
	maxPermitRequests = 4
	// permitCallTimeout is the time limit for the call to the aggregator, which answers at once.
	permitCallTimeout = 150 * time.Millisecond
	// permitRetryInterval is the time until the next call after one that the aggregator did not answer.
	permitRetryInterval = 100 * time.Millisecond
	// limitProbeInterval is the time after the latest answer of a runner that has named a limit until a request is sent there
	// to find out whether the limit is over.
	limitProbeInterval = 4 * time.Second
)

var errNoAggregator = errors.New("no VM is known that grants permits")

// recordLimit records the limit that the head of an answer shows.
func (x *exchange) recordLimit(head platform.ResponseHead) {
	if !head.LimitKnown {
		return
	}
	now, g, runner := clock.Now(), x.gateway, x.choice.Runner.ID
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.limits.PerSecond(runner)
	if before != limits.Unlimited {
		limitRecords.Add("sent", 1)
	}
	if g.limits.Record(now, runner, head.Limit, x.sentAt) {
		g.recordLimitChange(now, x.request.ID, runner, before, now)
	}
}

// recordLimitChange applies a change of the known limit of a runner to the choice of endpoints. The caller must hold the
// lock.
func (g *Gateway) recordLimitChange(now time.Time, request, runner string, before float64, permitAt time.Time) {
	perSecond := g.limits.PerSecond(runner)
	g.setLimited(runner, permitAt)
	limitRecords.Add("changed", 1)
	g.log.Emit(eventlog.LimitChanged, request, runner, limits.Text(perSecond), limits.Text(before))
}

// setLimited tells the scheduler whether requests to a runner need permits, and when the next one is expected. The caller
// must hold the lock.
func (g *Gateway) setLimited(runner string, permitAt time.Time) {
	if g.directory.Get(runner) != nil {
		known := g.limits.Named(runner)
		g.scheduler.SetLimit(runner, dispatch.Limit{
			Limited: known.PerSecond != limits.Unlimited, PermitAt: permitAt, ProbeAt: known.At.Add(limitProbeInterval),
		})
	}
}

// knownLimits returns the limits that other VMs need to be told. The caller must hold the lock.
func (g *Gateway) knownLimits(now time.Time) []vm.Limit {
	var known []vm.Limit
	for _, named := range g.limits.Current(now) {
		known = append(known, vm.Limit{Runner: named.Runner, PerSecond: named.PerSecond, Age: now.Sub(named.At)})
	}
	return known
}

// exchangeLimits merges the limits of a report, and adds all that are known to its summary. The caller must hold the lock.
func (g *Gateway) exchangeLimits(now time.Time, received *vm.Report, s *vm.Summary) {
	g.mergeLimits(now, received.Limits)
	s.Limits = g.knownLimits(now)
	for i, l := range s.Limits {
		s.Limits[i].Next = g.permits.Next(now, l.Runner, l.PerSecond, g.sharesPermits(now))
	}
}

// mergeLimits merges the limits that another VM reports. The caller must hold the lock.
func (g *Gateway) mergeLimits(now time.Time, reported []vm.Limit) {
	for _, l := range reported {
		before := g.limits.PerSecond(l.Runner)
		if g.limits.Merge(limits.Named{Runner: l.Runner, PerSecond: l.PerSecond, At: now.Add(-l.Age)}) {
			g.recordLimitChange(now, "", l.Runner, before, now.Add(l.Next))
		}
	}
}

// applyLimits applies the limits of a summary, with the times of the next permits. The caller must hold the lock.
func (g *Gateway) applyLimits(now time.Time, reported []vm.Limit) {
	g.mergeLimits(now, reported)
	for _, l := range reported {
		g.setLimited(l.Runner, now.Add(l.Next))
	}
	g.limits.Forget(now, func(runner string) bool { return g.directory.Get(runner) != nil })
}

// recordAggregator records which VM this one takes for the aggregator. The caller must hold the lock.
func (g *Gateway) recordAggregator(now time.Time, aggregator string) {
	switch {
	case aggregator != g.settings.Name:
		g.aggregatorSince = time.Time{}
	case g.aggregatorSince.IsZero():
		g.aggregatorSince = now
	}
}

// sharesPermits reports whether another VM may grant permits beside this one, or permits that another one granted may still
// be used. The caller must hold the lock.
func (g *Gateway) sharesPermits(now time.Time) bool {
	candidates := g.candidates()
	isFirst := len(candidates) > 0 && candidates[0] == g.settings.Name
	return !isFirst || g.aggregatorSince.IsZero() || now.Sub(g.aggregatorSince) < limits.Window
}

// awaitPermit takes a permit for a request to the chosen endpoint, which has named a limit, and waits until it may be used.
// It reports false if there is none in time.
func (g *Gateway) awaitPermit(ctx context.Context, x *exchange, choice dispatch.Choice) bool {
	now, runner := clock.Now(), choice.Runner.ID
	g.mu.Lock()
	perSecond := g.limits.PerSecond(runner)
	g.mu.Unlock()
	if perSecond == limits.Unlimited {
		return true
	}
	grant, err := g.requestPermit(ctx, vm.PermitRequest{
		Runner: runner, PerSecond: perSecond, Within: permitTimeout(now, x),
	})
	if err != nil {
		limitRecords.Add("unanswered", 1)
		g.log.Emit(eventlog.PermitNotAnswered, x.request.ID, runner, err)
		g.setPermitAt(runner, clock.Now().Add(permitRetryInterval))
		pause(ctx, nil, permitRetryInterval)
		return false
	}
	g.setPermitAt(runner, clock.Now().Add(grant.Next))
	if !grant.Granted {
		limitRecords.Add("refused", 1)
		return false
	}
	limitRecords.Add("granted", 1)
	return pause(ctx, nil, grant.Wait)
}

// permitTimeout returns how long a request may wait for a permit. One that has run before waits as long as a permit is
// granted ahead.
func permitTimeout(now time.Time, x *exchange) time.Duration {
	timeout := min(limits.MaxWait, x.request.Deadline.Sub(now))
	if x.machine.MayHaveRun() {
		return timeout
	}
	return min(timeout, admission.PermitTimeout(now, &x.request))
}

func (g *Gateway) setPermitAt(runner string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setLimited(runner, at)
}

// servePermit answers another VM's request for a permit. If this VM takes a third one for the aggregator, the call is
// forwarded, so that VMs that differ on the aggregator still share one rate.
func (g *Gateway) servePermit(ctx context.Context, q vm.PermitRequest) *vm.PermitResponse {
	now := clock.Now()
	if !q.Forwarded && g.aggregator(now) != g.settings.Name {
		q.Forwarded = true
		if response, err := g.requestPermit(ctx, q); err == nil {
			return response
		}
		now = clock.Now()
	}
	return g.grantPermit(now, q)
}

// requestPermit takes a permit, as the aggregator or from it.
func (g *Gateway) requestPermit(ctx context.Context, q vm.PermitRequest) (*vm.PermitResponse, error) {
	now := clock.Now()
	aggregator := g.aggregator(now)
	switch aggregator {
	case g.settings.Name:
		return g.grantPermit(now, q), nil
	case "":
		return nil, errNoAggregator
	}
	return callPooled[vm.PermitRequest, vm.PermitResponse](
		ctx, g.peers, aggregator, vm.CallTakePermit, &q, permitCallTimeout,
	)
}

// grantPermit grants a permit, or says when the next one comes up. It counts the lowest limit that it or the VM that asks
// knows.
func (g *Gateway) grantPermit(now time.Time, q vm.PermitRequest) *vm.PermitResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	perSecond := min(q.PerSecond, g.limits.PerSecond(q.Runner))
	grant := g.permits.Take(now, q.Runner, perSecond, g.sharesPermits(now), q.Within)
	return &vm.PermitResponse{Granted: grant.Granted, Wait: grant.Wait, Next: grant.Next}
}
