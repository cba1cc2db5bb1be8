package control

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/coordination/lease"
	"github.com/zinniaroute/zinniaroute/coordination/membership"
	"github.com/zinniaroute/zinniaroute/protocol/operator"
	"github.com/zinniaroute/zinniaroute/state/ledger"
	"github.com/zinniaroute/zinniaroute/state/placement"
	"github.com/zinniaroute/zinniaroute/state/residency"
)

// dump is the state of a control as its state route shows it.
type dump struct {
	VM             string                  `json:"vm"`
	Domain         string                  `json:"domain"`
	StartedAt      time.Time               `json:"started"`
	Revision       uint64                  `json:"revision"`
	EntryRevision  uint64                  `json:"entryRevision"`
	CatalogError   string                  `json:"catalogError,omitempty"`
	Lease          lease.Snapshot          `json:"lease"`
	Ledgers        []ledger.Snapshot       `json:"ledgers"`
	Plan           placement.Plan          `json:"plan"`
	Members        []membership.Member     `json:"members"`
	Runners        []residency.RunnerState `json:"runners"`
	Demands        []residency.Demand      `json:"demands"`
	EventQueues    []queueState            `json:"rings"`
	BytesSent      uint64                  `json:"bytesSent"`
	BytesReceived  uint64                  `json:"bytesReceived"`
	KeyValueCalls  uint64                  `json:"keyValueCalls"`
	KeyValueWrites uint64                  `json:"keyValueWrites"`
}

// queueState holds the number of events that wait in a queue, and the number of events that the queue has dropped.
type queueState struct {
	Name    string `json:"name"`
	Length  int    `json:"length"`
	Dropped uint64 `json:"dropped"`
}

func (c *Control) state(now time.Time) dump {
	sent, received := c.meter.Bytes()
	calls, writes := c.store.Calls()
	state := dump{
		VM:             c.settings.Process.Name,
		Domain:         c.settings.Process.Domain,
		StartedAt:      c.startedAt,
		Revision:       c.shared.revision(),
		EntryRevision:  c.entryRevision.Load(),
		CatalogError:   c.catalogFailure(),
		Ledgers:        c.ledgerSnapshots(),
		BytesSent:      sent,
		BytesReceived:  received,
		KeyValueCalls:  calls,
		KeyValueWrites: writes,
		EventQueues: []queueState{
			{"lease", c.leaseEvents.Length(), c.leaseEvents.Dropped()},
			{"runners", c.runnerEvents.Length(), c.runnerEvents.Dropped()},
		},
	}
	c.leaseMu.Lock()
	state.Lease = c.lease.Snapshot(now)
	c.leaseMu.Unlock()
	c.controllerMu.Lock()
	state.Plan = c.controller.plan
	c.controllerMu.Unlock()
	c.shared.withLock(func() {
		state.Members = c.shared.view.Members.Records()
		state.Runners = c.shared.runners.Records()
		state.Demands = c.shared.demands.Records()
	})
	return state
}

func (c *Control) catalogFailure() string {
	if text := c.catalogError.Load(); text != nil {
		return *text
	}
	return ""
}

func (c *Control) ledgerSnapshots() []ledger.Snapshot {
	c.controllerMu.Lock()
	defer c.controllerMu.Unlock()
	snapshots := make([]ledger.Snapshot, 0, len(c.controller.ledgers))
	for _, l := range c.controller.ledgers {
		snapshots = append(snapshots, l.Snapshot())
	}
	return snapshots
}

func (c *Control) status(now time.Time) operator.Status {
	status := operator.Status{
		VM:       c.settings.Process.Name,
		Domain:   c.settings.Process.Domain,
		Revision: c.shared.revision(),
		KeyValue: c.catalogFailure(),
		Runners:  c.runnerStatuses(now),
	}
	c.shared.withLock(func() {
		for _, member := range c.shared.view.Members.Records() {
			_, storedAt, _ := c.shared.view.Members.Get(member.Name)
			status.Members = append(status.Members, operator.MemberStatus{
				Name:             member.Name,
				Domain:           member.Domain,
				Address:          member.Address,
				State:            c.shared.view.State(now, member.Name),
				Revision:         member.Revision,
				EntryRevision:    member.EntryRevision,
				Term:             member.Term,
				SinceLastContact: now.Sub(storedAt),
			})
		}
	})
	status.Units = c.unitStatuses(status.Runners)
	return status
}

func (c *Control) runnerStatuses(now time.Time) []operator.RunnerStatus {
	index := c.shared.activeCatalog().index
	var statuses []operator.RunnerStatus
	c.shared.withLock(func() {
		for _, state := range c.shared.runners.Records() {
			runner := index.Runner(state.Runner)
			if runner == nil {
				continue
			}
			_, storedAt, _ := c.shared.runners.Get(state.Runner)
			statuses = append(statuses, operator.RunnerStatus{
				RunnerState: state,
				Domain:      runner.Domain,
				Age:         now.Sub(storedAt),
			})
		}
	})
	return statuses
}

func (c *Control) unitStatuses(runners []operator.RunnerStatus) []operator.UnitStatus {
	index := c.shared.activeCatalog().index
	c.controllerMu.Lock()
	reasons := make(map[string]string, len(c.controller.shortageReasons))
	for unit, reason := range c.controller.shortageReasons {
		reasons[unit] = reason
	}
	c.controllerMu.Unlock()
	var units []operator.UnitStatus
	add := func(name string) {
		unit := operator.UnitStatus{Name: name, Reason: reasons[name]}
		for _, runner := range runners {
			if runner.Reachable && runner.Holds(name) {
				unit.Runners = append(unit.Runners, runner.Runner)
			}
		}
		units = append(units, unit)
	}
	for _, unit := range index.Units() {
		add(unit.Name)
	}
	for i := range index.Set.Adapters {
		add(index.Set.Adapters[i].Name)
	}
	return units
}

func (c *Control) showExplanation(_ context.Context, rc *app.RequestContext) {
	rc.JSON(statusOK, c.explain(time.Now(), rc.Query(operator.ParamName)))
}

func (c *Control) explain(now time.Time, name string) operator.Explanation {
	active := c.shared.activeCatalog()
	target, known := active.index.Resolve(name, 0)
	e := operator.Explanation{
		Name:     name,
		Known:    known,
		Unit:     target.Unit.Name,
		Adapter:  target.Adapter,
		Service:  target.Service,
		MustHold: active.assignment.Domains(target.Unit.Name),
	}
	if !known || target.Service != "" {
		return e
	}
	for _, runner := range c.runnerStatuses(now) {
		if runner.Reachable && runner.Holds(target.EngineName()) {
			e.ReadyRunners = append(e.ReadyRunners, runner)
		}
	}
	c.shared.withLock(func() {
		for _, demand := range c.unitDemands() {
			if demand.Name == target.EngineName() {
				e.RequestsInFlight += demand.InFlight
			}
		}
	})
	c.explainPlan(&e)
	return e
}

func (c *Control) explainPlan(e *operator.Explanation) {
	c.controllerMu.Lock()
	defer c.controllerMu.Unlock()
	for _, move := range c.controller.plan.Moves {
		if move.Item == e.Unit {
			e.PlannedMoves = append(e.PlannedMoves, move)
		}
	}
	for _, move := range c.controller.plan.Deferred {
		if move.Item == e.Unit {
			e.DeferredMoves = append(e.DeferredMoves, move)
		}
	}
	for _, shortage := range c.controller.plan.Shortages {
		if shortage.Unit == e.Unit {
			e.Shortages = append(e.Shortages, shortage)
		}
	}
	for _, l := range c.controller.ledgers {
		if l.HoldsAny(e.Unit, e.Adapter) {
			e.Ledgers = append(e.Ledgers, l.Snapshot())
		}
	}
}
