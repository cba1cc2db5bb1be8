package gateway

import (
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

// recordStanding records what the runner says of itself in the head of an answer: that it leaves, or that it wants a rest.
func (x *exchange) recordStanding(head platform.ResponseHead) {
	if !head.Leaving && head.Rest <= 0 {
		return
	}
	now, g, runner := clock.Now(), x.gateway, x.choice.Runner
	g.mu.Lock()
	defer g.mu.Unlock()
	if head.Leaving && g.recordDeparture(now, x.request.ID, fleet.Departure{Runner: runner.ID, Incarnation: runner.Incarnation}) {
		g.tasks.Run("confirm departure", func(ctx context.Context) { g.confirmDeparture(ctx, runner) })
	}
	if head.Rest > 0 {
		runnerRests.Add(1)
		g.scheduler.RecordRest(now, runner.ID, head.Rest, g.random.Float64())
		g.log.Emit(eventlog.RunnerRests, x.request.ID, runner.ID, head.Rest.Milliseconds())
	}
}

// confirmDeparture reads the report of a runner that leaves, which tells its incarnation. The runner may have started again
// since its entry was read.
func (g *Gateway) confirmDeparture(ctx context.Context, runner *fleet.Runner) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	report, err := g.runnerClient.Report(ctx, runner.ID, runner.Address)
	if err != nil {
		g.log.Emit(eventlog.RunnerReportUnreadable, runner.ID, err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if report.Leaving {
		g.recordDeparture(clock.Now(), "", fleet.Departure{Runner: runner.ID, Incarnation: report.Incarnation})
	}
}

// recordDeparture applies the departure of a runner that it has told this VM, in the answer to a request, or another one. It
// reports whether the departure is new. The caller must hold the lock.
func (g *Gateway) recordDeparture(now time.Time, request string, left fleet.Departure) bool {
	if g.directory.RecordDeparture(now, left) == fleet.ChangeNone {
		return false
	}
	runnerDepartures.Add(1)
	g.log.Emit(eventlog.RunnerLeaves, request, left.Runner, left.Incarnation)
	g.notifyDirectoryChange()
	return true
}

// mergeDepartures merges the departures that another VM reports. The caller must hold the lock.
func (g *Gateway) mergeDepartures(now time.Time, reported []vm.Departure) {
	for _, d := range reported {
		g.recordDeparture(now, "", fleet.Departure{Runner: d.Runner, Incarnation: d.Incarnation})
	}
}

// knownDepartures returns the departures that other VMs need to be told. The caller must hold the lock.
func (g *Gateway) knownDepartures(now time.Time) []vm.Departure {
	var known []vm.Departure
	for _, d := range g.directory.Departures(now) {
		known = append(known, vm.Departure{Runner: d.Runner, Incarnation: d.Incarnation})
	}
	return known
}
