package orders

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

var _ = seeded.Fix()

var engine = &routes.Engine{
	MemoryMB: 200, AdapterSlots: 3,
	Models: []routes.Model{
		{Name: "small", MemoryMB: 60, AdapterMB: 2, Adapters: 5},
		{Name: "middle", MemoryMB: 90, AdapterMB: 2, Adapters: 5},
		{Name: "large", MemoryMB: 120, AdapterMB: 2},
	},
}

// runner simulates a model runner that executes orders, some of them late. It fails the test when orders exceed its
// memory or its adapter slots.
type runner struct {
	t           *rapid.T
	incarnation int64
	sequence    uint64
	models      map[string]map[string]bool
	busyLoad    string
	busyUnload  string
	late        []fleet.Order
	// past holds earlier reports, which a test may deliver late.
	past []fleet.Report
}

func newRunner(t *rapid.T) *runner {
	return &runner{t: t, incarnation: 1, models: map[string]map[string]bool{"small": {}}}
}

func (r *runner) memory() float64 {
	used := 0.0
	for name, adapters := range r.models {
		model := engine.Model(name)
		used += model.MemoryMB + float64(len(adapters))*model.AdapterMB
	}
	if r.busyLoad != "" {
		used += engine.Model(r.busyLoad).MemoryMB
	}
	return used
}

func (r *runner) adapters() int {
	count := 0
	for _, adapters := range r.models {
		count += len(adapters)
	}
	return count
}

func (r *runner) check() {
	if r.memory() > engine.MemoryMB || r.adapters() > engine.AdapterSlots {
		r.t.Fatalf("orders exceeded the runner's limits: %.0f MB, %d adapters", r.memory(), r.adapters())
	}
}

func (r *runner) receive(order fleet.Order) fleet.OrderResult {
	if r.busyLoad != "" || r.busyUnload != "" || order.Expected != r.sequence {
		return fleet.OrderBusy
	}
	model, adapter := order.Unit.Model, order.Unit.Adapter
	loaded, held := r.models[model], r.models[model] != nil
	switch {
	case adapter == "" && order.Verb == fleet.Load && held, adapter != "" && order.Verb == fleet.Load && loaded[adapter]:
		return fleet.OrderHeld
	case adapter == "" && order.Verb == fleet.Load:
		r.busyLoad = model
	case adapter == "" && held:
		r.busyUnload = model
	case adapter == "":
		return fleet.OrderHeld
	case !held:
		return fleet.OrderRefused
	case order.Verb == fleet.Load:
		loaded[adapter] = true
	default:
		delete(loaded, adapter)
		r.sequence++
		return fleet.OrderHeld
	}
	r.sequence++
	r.check()
	return fleet.OrderAccepted
}

func (r *runner) finish() {
	if r.busyLoad != "" {
		r.models[r.busyLoad] = map[string]bool{}
	}
	delete(r.models, r.busyUnload)
	r.busyLoad, r.busyUnload = "", ""
}

func (r *runner) restart() {
	r.incarnation++
	r.sequence, r.busyLoad, r.busyUnload = 0, "", ""
	r.models = make(map[string]map[string]bool)
	r.past = nil
}

func (r *runner) report() fleet.Report {
	report := fleet.Report{
		Incarnation: r.incarnation, Sequence: r.sequence,
		Holdings: fleet.Holdings{Busy: r.busyLoad != "" || r.busyUnload != ""},
	}
	for name, adapters := range r.models {
		held := fleet.Held{Model: name}
		for adapter := range adapters {
			held.Adapters = append(held.Adapters, adapter)
		}
		report.Holdings.Models = append(report.Holdings.Models, held)
	}
	return report
}

// TestARunnerIsNeverOrderedBeyondItsMemory drives a ledger against a runner without fencing. Order results get lost,
// orders take effect late, reports arrive out of date, and the runner restarts.
func TestARunnerIsNeverOrderedBeyondItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		r := newRunner(t)
		l := New("r", engine)
		names := []string{"small", "middle", "large"}
		steps := rapid.IntRange(20, 120).Draw(t, "steps")
		for i := range steps {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, fmt.Sprint("wait", i))) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, fmt.Sprint("event", i)) {
			case 0:
				r.past = append(r.past, r.report())
			case 1, 2:
				reports := append(r.past, r.report())
				l.Reported(reports[rapid.IntRange(0, len(reports)-1).Draw(t, "report")])
			case 3:
				load := rapid.SampledFrom(names).Draw(t, "load")
				unload := rapid.SampledFrom(names).Draw(t, "unload")
				l.SetMove(Move{Load: load, Unload: []string{unload}})
			case 4:
				adapter := fmt.Sprint("a", rapid.IntRange(1, 5).Draw(t, "adapter"))
				l.Need(now, fleet.Unit{Model: rapid.SampledFrom(names[:2]).Draw(t, "model"), Adapter: adapter})
			case 5:
				r.finish()
			case 6:
				if len(r.late) > 0 {
					r.receive(r.late[0])
					r.late = r.late[1:]
				}
			case 7:
				if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
					r.restart()
				}
			default:
				order, ok := l.Next(now, "vm", 1)
				if !ok {
					l.GrantCold(now.Add(time.Minute))
					continue
				}
				send(t, r, l, now, order)
			}
		}
	})
}

func send(t *rapid.T, r *runner, l *Ledger, now time.Time, order fleet.Order) {
	switch rapid.IntRange(0, 5).Draw(t, "fate") {
	case 0:
		r.late = append(r.late, order)
		l.Answered(now, fleet.OrderUnknown)
	case 1:
		r.receive(order)
		l.Answered(now, fleet.OrderUnknown)
	case 2:
		l.Answered(now, fleet.OrderNotSent)
	default:
		l.Answered(now, r.receive(order))
	}
}

// TestAdaptersAreBroughtAndEvicted checks that a ledger with a known state loads every requested adapter, although the
// runner has fewer adapter slots than adapters.
func TestAdaptersAreBroughtAndEvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		r := newRunner(t)
		l := New("r", engine)
		l.Reported(r.report())
		for i := range 10 {
			unit := fleet.Unit{Model: "small", Adapter: fmt.Sprint("a", rapid.IntRange(1, 5).Draw(t, fmt.Sprint("adapter", i)))}
			now = now.Add(time.Second)
			held := l.Need(now, unit)
			for range 4 {
				if held {
					break
				}
				if order, ok := l.Next(now, "vm", 1); ok {
					l.Answered(now, r.receive(order))
				}
				now = now.Add(20 * time.Millisecond)
				held = l.Need(now, unit)
			}
			if !held {
				t.Fatalf("adapter %s was not loaded", unit)
			}
		}
	})
}

func TestAnOrderInDoubtAndItsSuccessorShareTheirNumber(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := newRunner(nil)
	l := New("r", engine)
	l.Reported(r.report())
	l.SetMove(Move{Load: "middle"})
	l.GrantCold(now.Add(time.Minute))
	first, ok := l.Next(now, "vm", 1)
	assert.Assert(t, ok)
	l.Answered(now, fleet.OrderUnknown)
	_, ok = l.Next(now, "vm", 1)
	assert.Assert(t, !ok, "no order may follow before a new report")
	l.Reported(r.report())
	second, ok := l.Next(now, "vm", 1)
	assert.Assert(t, ok)
	assert.Equal(t, first.Expected, second.Expected)
}

func TestALoadFromTheWeightStoreNeedsItsPlace(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	place := now.Add(1500 * time.Millisecond)
	cases := []struct {
		name  string
		at    time.Time
		doubt bool
		begun int64
		want  bool
	}{
		{"permit is valid", now.Add(time.Second), false, 0, true},
		{"permit has expired", place, false, 0, false},
		{"order in doubt was not executed", now.Add(time.Second), true, 0, true},
		{"runner restarted after an order in doubt", now.Add(time.Second), true, 1, false},
	}
	for _, c := range cases {
		r := newRunner(nil)
		l := New("r", engine)
		l.Reported(r.report())
		l.SetMove(Move{Load: "middle"})
		assert.Equal(t, l.ColdLoad(now), "middle", c.name)
		l.GrantCold(place)
		if c.doubt {
			_, ok := l.Next(now, "vm", 1)
			assert.Assert(t, ok, c.name)
			l.Answered(now, fleet.OrderUnknown)
			report := r.report()
			report.Incarnation += c.begun
			l.Reported(report)
		}
		_, ok := l.Next(c.at, "vm", 1)
		assert.Equal(t, ok, c.want, c.name)
	}
}

func TestHoldingsThatWereHandedOutDoNotChange(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := New("r", engine)
	l.Reported(fleet.Report{Incarnation: 1, Sequence: 1, Holdings: fleet.Holdings{
		Models: []fleet.Held{{Model: "small", Adapters: []string{"a1", "a2"}}},
	}})
	before := l.Holdings()
	l.removeAdapter(fleet.Unit{Model: "small", Adapter: "a1"})
	l.coming[fleet.Unit{Model: "small", Adapter: "a3"}] = now
	assert.Assert(t, l.Arrive(now))
	assert.DeepEqual(t, before.Models[0].Adapters, []string{"a1", "a2"})
	assert.DeepEqual(t, l.Holdings().Models[0].Adapters, []string{"a2", "a3"})
}
