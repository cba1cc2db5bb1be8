package gateway

import (
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/limits"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

// recordBrittle records whether the head of an answer says that the runner is brittle, and whether it had no room for the
// request.
func (x *exchange) recordBrittle(head platform.ResponseHead) {
	now, g, runner := clock.Now(), x.gateway, x.choice.Runner.ID
	g.mu.Lock()
	defer g.mu.Unlock()
	if head.BrittleKnown && g.brittle.Record(now, runner, head.Brittle, x.sentAt) {
		g.applyBrittle(now, x.request.ID, runner)
	}
	if head.NotRun && !head.Misdirected && g.brittle.PerSecond(runner) != limits.Unlimited {
		runnersTurnedAway.Add(1)
		g.scheduler.RecordTurnedAway(now, runner, g.random.Float64())
	}
}

// applyBrittle applies a change of what is known of a runner to the choice of endpoints. The caller must hold the lock.
func (g *Gateway) applyBrittle(now time.Time, request, runner string) {
	perSecond := g.brittle.PerSecond(runner)
	if g.directory.Get(runner) != nil {
		g.scheduler.RecordBrittle(now, runner, perSecond, g.random.Float64())
	}
	g.log.Emit(eventlog.BrittleChanged, request, runner, limits.Text(perSecond))
}

// knownBrittle returns the brittle runners of which other VMs need to be told. The caller must hold the lock.
func (g *Gateway) knownBrittle(now time.Time) []vm.Brittle {
	var known []vm.Brittle
	for _, named := range g.brittle.Current(now) {
		b := vm.Brittle{Runner: named.Runner, PerSecond: named.PerSecond, Age: now.Sub(named.At)}
		if at := g.scheduler.TurnedAwayAt(now, named.Runner); !at.IsZero() {
			b.TurnedAway, b.TurnedAwayAge = true, now.Sub(at)
		}
		known = append(known, b)
	}
	return known
}

// mergeBrittle merges what another VM knows of brittle runners. The caller must hold the lock.
func (g *Gateway) mergeBrittle(now time.Time, reported []vm.Brittle) {
	for _, b := range reported {
		if g.brittle.Merge(limits.Named{Runner: b.Runner, PerSecond: b.PerSecond, At: now.Add(-b.Age)}) {
			g.applyBrittle(now, "", b.Runner)
		}
		if b.TurnedAway {
			g.scheduler.RecordTurnedAwayElsewhere(now, b.Runner, now.Add(-b.TurnedAwayAge), g.random.Float64())
		}
	}
	listed := func(runner string) bool { return g.directory.Get(runner) != nil }
	g.brittle.Forget(now, listed)
	// A runner may have been listed, or listed again, since it became brittle.
	for _, named := range g.brittle.Current(now) {
		if listed(named.Runner) {
			g.scheduler.RecordBrittle(now, named.Runner, named.PerSecond, g.random.Float64())
		}
	}
}
