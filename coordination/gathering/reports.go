package gathering

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/allocation"
	"github.com/zinniaroute/zinniaroute/state/capacity"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// reportTimeout is the age at which a VM's last report expires. VMs report several times a second, so it spans several
// reports.
const reportTimeout = 2 * time.Second

// maxAdvanceAge is the age of a VM's last report up to which a later revision in the next one shows that the store has just
// served the VM.
const maxAdvanceAge = 1500 * time.Millisecond

// maxChanges bounds the states of runners that a VM is sent at once. When the VM that merges the reports changes, all others
// need all states from it.
const maxChanges = 48

// Report is one VM's report, with times in the clock of the aggregator.
type Report struct {
	// EndpointLoads holds the load that the VM's requests cause on each endpoint, by runner.
	EndpointLoads map[string]dispatch.EndpointLoad
	// Capacities holds what the VM measured of the runners' speeds, by runner.
	Capacities map[string]capacity.Evidence
	// Demand is the VM's demand for models, by service.
	Demand map[string]allocation.Demand
	// AdapterUsedAt is when the VM last used each unit with an adapter on a runner.
	AdapterUsedAt map[RunnerUnit]time.Time
	// Owned are the runners that the VM owns.
	Owned map[string]OwnedRunner
	// Failures are the endpoints at which connections of the VM have failed.
	Failures []dispatch.Failure
	// PathLost reports that the VM has lost its path to the runners.
	PathLost bool
	// SyncedRevision is the store's revision up to which the VM knows the content.
	SyncedRevision fleet.Revision
}

// RunnerUnit is a unit on a runner.
type RunnerUnit struct {
	Runner string
	Unit   fleet.Unit
}

// OwnedRunner is the state of a runner as its owner reports it.
type OwnedRunner struct {
	Incarnation int64
	Holdings    fleet.Holdings
	AsOf        time.Time
	Moving      bool
	// Target is the model that the runner is about to load.
	Target string
}

type received struct {
	report     Report
	receivedAt time.Time
}

// ownedState is the latest state of a runner that a VM has reported.
type ownedState struct {
	state OwnedRunner
	// vm has reported the state, and receivedAt is when its latest report arrived.
	vm         string
	receivedAt time.Time
	// change is the number of the last change of the state.
	change uint64
}

// merged is what all VMs' reports add up to.
type merged struct {
	loads      map[string]dispatch.EndpointLoad
	capacities map[string]capacity.Evidence
	lostPaths  []string
	// uses holds the latest use of each unit with an adapter, by runner.
	uses map[string]map[fleet.Unit]time.Time
}

// runnerStart is a runner in one incarnation.
type runnerStart struct {
	runner      string
	incarnation int64
}

// Reports holds the latest report of each VM.
type Reports struct {
	latest map[string]received
	// changes counts the changes of owned runners.
	changes uint64
	owned   map[string]ownedState
	// merged is computed from all reports at mergedAt.
	merged   *merged
	mergedAt time.Time
	// failures holds the failed connections of all VMs, as of failuresAt. failuresChanged means that reports have added some since.
	failures        map[runnerStart]dispatch.Failure
	failuresAt      time.Time
	failuresChanged bool
}

// NewReports returns an empty set of reports.
func NewReports() *Reports {
	return &Reports{latest: make(map[string]received), owned: make(map[string]ownedState)}
}

// Put replaces a VM's report. For a runner that several VMs report, it keeps the state with the latest AsOf.
func (r *Reports) Put(now time.Time, vm string, report Report) {
	for runner := range r.latest[vm].report.Owned {
		if _, reported := report.Owned[runner]; !reported && r.owned[runner].vm == vm {
			delete(r.owned, runner)
		}
	}
	// Other VMs avoid a runner that has crashed only when they know, so that new failures are merged at once.
	r.failuresChanged = r.failuresChanged || len(report.Failures) > len(r.latest[vm].report.Failures)
	r.latest[vm] = received{report: report, receivedAt: now}
	for runner, owned := range report.Owned {
		before, known := r.owned[runner]
		if known && before.state.AsOf.After(owned.AsOf) {
			continue
		}
		change := before.change
		if !known || !before.state.sameState(owned) {
			r.changes++
			change = r.changes
		}
		r.owned[runner] = ownedState{state: owned, vm: vm, receivedAt: now, change: change}
	}
}

// ServedByStore reports whether a report that arrives now shows that the store has served its VM since the last one.
func (r *Reports) ServedByStore(now time.Time, vm string, report Report) bool {
	last, ok := r.latest[vm]
	return ok && now.Sub(last.receivedAt) <= maxAdvanceAge && last.report.SyncedRevision < report.SyncedRevision &&
		last.report.SyncedRevision.Era() == report.SyncedRevision.Era()
}

// ReceivedAt returns when the latest report of a VM arrived, or zero if none has arrived of late.
func (r *Reports) ReceivedAt(vm string) time.Time { return r.latest[vm].receivedAt }

func (o OwnedRunner) sameState(other OwnedRunner) bool {
	return o.Incarnation == other.Incarnation && o.Moving == other.Moving && reflect.DeepEqual(o.Holdings, other.Holdings)
}

// OwnedChangedSince returns the runners that changed first after the change number since, maxChanges at the most, and the
// number up to which these are all.
func (r *Reports) OwnedChangedSince(now time.Time, since uint64) (map[string]OwnedRunner, uint64) {
	r.forgetOwned(now)
	var runners []string
	for runner, owned := range r.owned {
		if owned.change > since {
			runners = append(runners, runner)
		}
	}
	upTo := r.changes
	if len(runners) > maxChanges {
		slices.SortFunc(runners, func(a, b string) int { return cmp.Compare(r.owned[a].change, r.owned[b].change) })
		runners = runners[:maxChanges]
		upTo = r.owned[runners[maxChanges-1]].change
	}
	changed := make(map[string]OwnedRunner, len(runners))
	for _, runner := range runners {
		changed[runner] = r.owned[runner].state
	}
	return changed, upTo
}

// forgetOwned removes the runners that no VM reports any more.
func (r *Reports) forgetOwned(now time.Time) {
	for runner, owned := range r.owned {
		if now.Sub(owned.receivedAt) > reportTimeout {
			delete(r.owned, runner)
		}
	}
}

func (r *Reports) eachLive(now time.Time, use func(vm string, report *Report)) {
	for vm, e := range r.latest {
		if now.Sub(e.receivedAt) > reportTimeout {
			delete(r.latest, vm)
			continue
		}
		use(vm, &e.report)
	}
}

// mergeInterval is how long what the reports add up to is reused. Hundreds of VMs ask within it.
const mergeInterval = 100 * time.Millisecond

// merge returns what all reports add up to.
func (r *Reports) merge(now time.Time) *merged {
	if r.merged != nil && now.Sub(r.mergedAt) < mergeInterval {
		return r.merged
	}
	m := &merged{
		loads: make(map[string]dispatch.EndpointLoad), capacities: make(map[string]capacity.Evidence),
		uses: make(map[string]map[fleet.Unit]time.Time),
	}
	r.eachLive(now, func(vm string, report *Report) {
		for runner, load := range report.EndpointLoads {
			sum := m.loads[runner]
			sum.Add(load)
			m.loads[runner] = sum
		}
		for runner, evidence := range report.Capacities {
			sum := m.capacities[runner]
			sum.Add(evidence)
			m.capacities[runner] = sum
		}
		if report.PathLost {
			m.lostPaths = append(m.lostPaths, vm)
		}
		for used, usedAt := range report.AdapterUsedAt {
			units := m.uses[used.Runner]
			if units == nil {
				units = make(map[fleet.Unit]time.Time)
				m.uses[used.Runner] = units
			}
			if usedAt.After(units[used.Unit]) {
				units[used.Unit] = usedAt
			}
		}
	})
	slices.Sort(m.lostPaths)
	r.merged, r.mergedAt = m, now
	return m
}

// EndpointLoads returns, by runner, the sums of the endpoint loads of all VMs but one.
func (r *Reports) EndpointLoads(now time.Time, except string) map[string]dispatch.EndpointLoad {
	sums := r.merge(now).loads
	others := make(map[string]dispatch.EndpointLoad, len(sums))
	own := r.latest[except].report.EndpointLoads
	for runner, sum := range sums {
		sum.Subtract(own[runner])
		if sum != (dispatch.EndpointLoad{}) {
			others[runner] = sum
		}
	}
	return others
}

// Capacities returns, by runner, what all VMs but one measured of the runners' speeds.
func (r *Reports) Capacities(now time.Time, except string) map[string]capacity.Evidence {
	sums := r.merge(now).capacities
	others := make(map[string]capacity.Evidence, len(sums))
	own := r.latest[except].report.Capacities
	for runner, sum := range sums {
		sum.Subtract(own[runner])
		if !sum.Negligible() {
			others[runner] = sum
		}
	}
	return others
}

// mergeFailures returns the failed connections of all VMs. Few reports have any, so that this takes a small part of a merge.
func (r *Reports) mergeFailures(now time.Time) map[runnerStart]dispatch.Failure {
	if !r.failuresChanged && now.Sub(r.failuresAt) < mergeInterval {
		return r.failures
	}
	failures := make(map[runnerStart]dispatch.Failure)
	r.eachLive(now, func(_ string, report *Report) {
		for _, f := range report.Failures {
			key := runnerStart{f.Runner, f.Incarnation}
			sum := failures[key]
			if f.At.After(sum.At) {
				sum.At = f.At
			}
			failures[key] = dispatch.Failure{Runner: f.Runner, Incarnation: f.Incarnation, At: sum.At, VMs: sum.VMs + 1}
		}
	})
	r.failures, r.failuresAt, r.failuresChanged = failures, now, false
	return failures
}

// Failures returns the failed connections of all VMs but one, by runner and incarnation, the latest first.
func (r *Reports) Failures(now time.Time, except string) []dispatch.Failure {
	sums := r.mergeFailures(now)
	own := make(map[runnerStart]bool)
	for _, f := range r.latest[except].report.Failures {
		own[runnerStart{f.Runner, f.Incarnation}] = true
	}
	others := make([]dispatch.Failure, 0, len(sums))
	for key, f := range sums {
		if own[key] {
			f.VMs--
		}
		if f.VMs > 0 {
			others = append(others, f)
		}
	}
	return dispatch.Latest(others)
}

// Demand returns the sum of all VMs' demand for each model of a service.
func (r *Reports) Demand(now time.Time, service string) allocation.Demand {
	sum := make(allocation.Demand)
	r.eachLive(now, func(_ string, report *Report) {
		for model, rate := range report.Demand[service] {
			sum[model] += rate
		}
	})
	return sum
}

// Owned returns the reported state of each runner. Where VMs report the same runner, the latest AsOf wins.
func (r *Reports) Owned(now time.Time) map[string]OwnedRunner {
	r.forgetOwned(now)
	all := make(map[string]OwnedRunner, len(r.owned))
	for runner, owned := range r.owned {
		all[runner] = owned.state
	}
	return all
}

// LostPaths returns the VMs that have lost their path to the runners, in order. The caller must not change the result.
func (r *Reports) LostPaths(now time.Time) []string { return r.merge(now).lostPaths }

// AdapterUses returns when any VM last used each unit with an adapter on a runner. The caller must not change the result.
func (r *Reports) AdapterUses(now time.Time, runner string) map[fleet.Unit]time.Time {
	return r.merge(now).uses[runner]
}
