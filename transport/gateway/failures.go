package gateway

import (
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// earlyReportInterval is the shortest time between two reports if a connection to a runner has failed since the first. The
// aggregator serves some hundred reports a second.
const earlyReportInterval = 50 * time.Millisecond

// recordConnectionFailure records that a runner refused or reset a connection, and reports it early: on a deployment of 59 VMs
// 216 requests failed when 15 runners crashed, since each VM found out by itself. The caller must hold the lock.
func (g *Gateway) recordConnectionFailure(now time.Time, runner *fleet.Runner) {
	if runner == nil {
		return
	}
	runnerFailures.Add("seen", 1)
	g.scheduler.RecordConnectionFailure(now, runner)
	g.failedAt = now
	select {
	case g.reportNow <- struct{}{}:
	default:
	}
}

// minReportInterval returns the shortest time between two reports. The caller must hold the lock.
func (g *Gateway) minReportInterval(now time.Time) time.Duration {
	if g.failedAt.After(g.lastReportAt) && now.Sub(g.failedAt) < aggregationInterval && g.reportDelay() == 0 {
		return earlyReportInterval
	}
	if g.allowances.uninformed {
		return g.uninformedReportInterval()
	}
	return g.reportDelay() + aggregationInterval/2
}

// knownFailures returns the failed connections that other VMs need to be told. Without a path to the runners, all fail. The
// caller must hold the lock.
func (g *Gateway) knownFailures(now time.Time) []vm.RunnerFailure {
	if g.path.Lost() {
		return nil
	}
	return writeFailures(now, g.scheduler.Failures(now))
}

// applyFailures applies the failed connections of other VMs to the choice of endpoints. The caller must hold the lock.
func (g *Gateway) applyFailures(now time.Time, reported []vm.RunnerFailure) {
	for _, f := range g.scheduler.SetOtherFailures(now, readFailures(now, reported)) {
		runnerFailures.Add("told", 1)
		g.log.Emit(eventlog.RunnerSeemsCrashed, f.Runner, f.Incarnation, f.VMs, now.Sub(f.At).Milliseconds())
	}
}

func writeFailures(now time.Time, failures []dispatch.Failure) []vm.RunnerFailure {
	var written []vm.RunnerFailure
	for _, f := range failures {
		written = append(written, vm.RunnerFailure{Runner: f.Runner, Incarnation: f.Incarnation, Age: now.Sub(f.At), VMs: f.VMs})
	}
	return written
}

// readFailures returns the failures of a message, at most dispatch.MaxFailures. An age that is negative counts as none.
func readFailures(now time.Time, received []vm.RunnerFailure) []dispatch.Failure {
	failures := make([]dispatch.Failure, 0, len(received))
	for _, f := range received {
		failures = append(failures, dispatch.Failure{
			Runner: f.Runner, Incarnation: f.Incarnation, At: now.Add(-max(0, f.Age)), VMs: f.VMs,
		})
	}
	return dispatch.Latest(failures)
}
