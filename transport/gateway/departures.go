package gateway

import (
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// recordStanding records what the runner says of itself in the head of an answer: that it leaves, or that it wants a rest.
func (x *exchange) recordStanding(head platform.ResponseHead) {
	if !head.Leaving && head.Rest <= 0 {
		return
	}
	now, g, runner := clock.Now(), x.gateway, x.choice.Runner
	g.mu.Lock()
	defer g.mu.Unlock()
	if head.Leaving {
		left := fleet.Departure{Runner: runner.ID, Incarnation: runner.Incarnation}
		change, doubtful := g.directory.RecordLeavingAnswer(now, left, x.sentAt)
		g.applyDeparture(change, x.request.ID, left)
		if doubtful {
			g.tasks.Run("settle departure", func(ctx context.Context) { g.settleDeparture(ctx, runner.ID) })
		}
	}
	if head.Rest > 0 {
		runnerRests.Add(1)
		g.scheduler.RecordRest(now, runner.ID, head.Rest, g.random.Float64())
		g.log.Emit(eventlog.RunnerRests, x.request.ID, runner.ID, head.Rest.Milliseconds())
	}
}

// settleInterval is the time between two reads of the report of a runner that leaves, until one succeeds.
const settleInterval = time.Second

// settleDeparture reads the report of a runner that told this VM that it leaves, which shows the incarnation that does.
func (g *Gateway) settleDeparture(ctx context.Context, id string) {
	for g.isDoubtful(id) {
		g.settleOnce(ctx, id)
		if !g.isDoubtful(id) || !group.Sleep(ctx, settleInterval) {
			return
		}
	}
}

func (g *Gateway) isDoubtful(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.Doubtful(id)
}

// settleOnce reads the report once, if the runner is listed.
func (g *Gateway) settleOnce(ctx context.Context, id string) {
	g.mu.Lock()
	runner := g.directory.Get(id)
	g.mu.Unlock()
	if runner == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sentAt := clock.Now()
	report, err := g.runnerClient.Report(ctx, id, runner.Address)
	if err != nil {
		return
	}
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directory.SettleDeparture(now, fleet.Departure{Runner: id, Incarnation: report.Incarnation}, report.Leaving, sentAt)
	g.notifyDirectoryChange()
}

// applyDeparture applies a change of the directory by the departure of a runner, which it has told this VM in the answer to a
// request, or another one. The caller must hold the lock.
func (g *Gateway) applyDeparture(change fleet.Change, request string, left fleet.Departure) {
	if change == fleet.ChangeNone {
		return
	}
	runnerDepartures.Add(1)
	g.log.Emit(eventlog.RunnerLeaves, request, left.Runner, left.Incarnation)
	g.notifyDirectoryChange()
}

// recordDeparture records a departure that a runner's report or another VM tells. The caller must hold the lock.
func (g *Gateway) recordDeparture(now time.Time, left fleet.Departure) {
	g.applyDeparture(g.directory.RecordDeparture(now, left), "", left)
}

// mergeDepartures merges the departures that another VM reports. The caller must hold the lock.
func (g *Gateway) mergeDepartures(now time.Time, reported []vm.Departure) {
	for _, d := range reported {
		g.recordDeparture(now, fleet.Departure{Runner: d.Runner, Incarnation: d.Incarnation})
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
