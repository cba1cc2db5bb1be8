package gathering

import (
	"reflect"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/allocation"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// reportTimeout is the age at which a VM's last report expires. VMs report several times a second, so it spans several
// reports.
const reportTimeout = 2 * time.Second

// maxAdvanceAge is the age of a VM's last report up to which a later revision in the next one shows that the store has just
// served the VM.
const maxAdvanceAge = time.Second

// Report is one VM's report, with times in the clock of the aggregator.
type Report struct {
	// EndpointLoads holds the load that the VM's requests cause on each endpoint, by runner.
	EndpointLoads map[string]dispatch.EndpointLoad
	// Demand is the VM's demand for models, by service.
	Demand map[string]allocation.Demand
	// AdapterUsedAt is when the VM last used each unit with an adapter on a runner.
	AdapterUsedAt map[RunnerUnit]time.Time
	// Owned are the runners that the VM owns.
	Owned map[string]OwnedRunner
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

// Reports holds the latest report of each VM.
type Reports struct {
	latest map[string]received
	// changes counts the changes of owned runners. changeNumbers holds its value at the last change of each runner.
	changes       uint64
	changeNumbers map[string]uint64
	owned         map[string]OwnedRunner
	// sums holds the sums of all VMs' endpoint loads, by runner, computed at summedAt.
	sums     map[string]dispatch.EndpointLoad
	summedAt time.Time
}

// NewReports returns an empty set of reports.
func NewReports() *Reports {
	return &Reports{
		latest: make(map[string]received), changeNumbers: make(map[string]uint64), owned: make(map[string]OwnedRunner),
	}
}

// Put replaces a VM's report. For a runner that several VMs report, it keeps the state with the latest AsOf.
func (r *Reports) Put(now time.Time, vm string, report Report) {
	r.latest[vm] = received{report: report, receivedAt: now}
	for runner, owned := range report.Owned {
		before, known := r.owned[runner]
		if known && before.AsOf.After(owned.AsOf) {
			continue
		}
		r.owned[runner] = owned
		if !known || !before.sameState(owned) {
			r.changes++
			r.changeNumbers[runner] = r.changes
		}
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

// OwnedChangedSince returns the runners that changed after the change number since, and the latest number. It also
// removes runners that no VM reports any more.
func (r *Reports) OwnedChangedSince(now time.Time, since uint64) (map[string]OwnedRunner, uint64) {
	changed := make(map[string]OwnedRunner)
	owned := r.Owned(now)
	for runner, change := range r.changeNumbers {
		state, ok := owned[runner]
		if !ok {
			delete(r.changeNumbers, runner)
			delete(r.owned, runner)
			continue
		}
		if change > since {
			changed[runner] = state
		}
	}
	return changed, r.changes
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

// loadSumInterval is how long the sums of endpoint loads are reused before they are computed again.
const loadSumInterval = 100 * time.Millisecond

// EndpointLoads returns, by runner, the sums of the endpoint loads of all VMs but one.
func (r *Reports) EndpointLoads(now time.Time, except string) map[string]dispatch.EndpointLoad {
	if r.sums == nil || now.Sub(r.summedAt) >= loadSumInterval {
		r.sums, r.summedAt = make(map[string]dispatch.EndpointLoad), now
		r.eachLive(now, func(_ string, report *Report) {
			for runner, load := range report.EndpointLoads {
				sum := r.sums[runner]
				sum.Add(load)
				r.sums[runner] = sum
			}
		})
	}
	others := make(map[string]dispatch.EndpointLoad, len(r.sums))
	own := r.latest[except].report.EndpointLoads
	for runner, sum := range r.sums {
		sum.Subtract(own[runner])
		if sum != (dispatch.EndpointLoad{}) {
			others[runner] = sum
		}
	}
	return others
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
	all := make(map[string]OwnedRunner)
	r.eachLive(now, func(_ string, report *Report) {
		for runner, owned := range report.Owned {
			if known, ok := all[runner]; !ok || owned.AsOf.After(known.AsOf) {
				all[runner] = owned
			}
		}
	})
	return all
}

// LostPaths returns the VMs that have lost their path to the runners, in order.
func (r *Reports) LostPaths(now time.Time) []string {
	var vms []string
	r.eachLive(now, func(vm string, report *Report) {
		if report.PathLost {
			vms = append(vms, vm)
		}
	})
	slices.Sort(vms)
	return vms
}

// AdapterUsedAt returns when any VM but one last used each unit with an adapter, on the runners that owned selects.
func (r *Reports) AdapterUsedAt(
	now time.Time, except string, owned func(runner string) bool,
) map[RunnerUnit]time.Time {
	latest := make(map[RunnerUnit]time.Time)
	r.eachLive(now, func(vm string, report *Report) {
		if vm == except {
			return
		}
		for unit, usedAt := range report.AdapterUsedAt {
			if owned(unit.Runner) && usedAt.After(latest[unit]) {
				latest[unit] = usedAt
			}
		}
	})
	return latest
}
