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

var _ = seeded.SetFlags()

var engine = &routes.Engine{
	MemoryMB: 200, AdapterSlots: 3,
	Models: []routes.Model{
		{Name: "small", MemoryMB: 60, AdapterMB: 2, AdapterCount: 5},
		{Name: "middle", MemoryMB: 90, AdapterMB: 2, AdapterCount: 5},
		{Name: "large", MemoryMB: 120, AdapterMB: 2},
	},
}

// runner simulates a model runner that executes orders, some of them late. It fails the test when orders exceed its
// memory or its adapter slots.
type runner struct {
	t              *rapid.T
	incarnation    int64
	sequence       uint64
	models         map[string]map[string]bool
	loadingModel   string
	unloadingModel string
	delayed        []fleet.Order
	// pastReports holds earlier reports, which a test may deliver late.
	pastReports []fleet.Report
}

func newRunner(t *rapid.T) *runner {
	return &runner{t: t, incarnation: 1, models: map[string]map[string]bool{"small": {}}}
}

func (r *runner) memoryUsed() float64 {
	used := 0.0
	for name, adapters := range r.models {
		model := engine.Model(name)
		used += model.MemoryMB + float64(len(adapters))*model.AdapterMB
	}
	if r.loadingModel != "" {
		used += engine.Model(r.loadingModel).MemoryMB
	}
	return used
}

func (r *runner) adapterCount() int {
	count := 0
	for _, adapters := range r.models {
		count += len(adapters)
	}
	return count
}

func (r *runner) checkLimits() {
	if r.memoryUsed() > engine.MemoryMB || r.adapterCount() > engine.AdapterSlots {
		r.t.Fatalf("orders exceeded the runner's limits: %.0f MB, %d adapters", r.memoryUsed(), r.adapterCount())
	}
}

func (r *runner) execute(order fleet.Order) fleet.OrderResult {
	if r.loadingModel != "" || r.unloadingModel != "" || order.ExpectedSequence != r.sequence {
		return fleet.OrderBusy
	}
	model, adapter := order.Unit.Model, order.Unit.Adapter
	loaded, held := r.models[model], r.models[model] != nil
	switch {
	case adapter == "" && order.Verb == fleet.Load && held, adapter != "" && order.Verb == fleet.Load && loaded[adapter]:
		return fleet.OrderCompleted
	case adapter == "" && order.Verb == fleet.Load:
		r.loadingModel = model
	case adapter == "" && held:
		r.unloadingModel = model
	case adapter == "":
		return fleet.OrderCompleted
	case !held:
		return fleet.OrderRefused
	case order.Verb == fleet.Load:
		loaded[adapter] = true
	default:
		delete(loaded, adapter)
		r.sequence++
		return fleet.OrderCompleted
	}
	r.sequence++
	r.checkLimits()
	return fleet.OrderAccepted
}

func (r *runner) finishModelOrder() {
	if r.loadingModel != "" {
		r.models[r.loadingModel] = map[string]bool{}
	}
	delete(r.models, r.unloadingModel)
	r.loadingModel, r.unloadingModel = "", ""
}

func (r *runner) restart() {
	r.incarnation++
	r.sequence, r.loadingModel, r.unloadingModel = 0, "", ""
	r.models = make(map[string]map[string]bool)
	r.pastReports = nil
}

func (r *runner) report() fleet.Report {
	report := fleet.Report{
		Incarnation: r.incarnation, Sequence: r.sequence,
		Holdings: fleet.Holdings{Busy: r.loadingModel != "" || r.unloadingModel != ""},
	}
	for name, adapters := range r.models {
		held := fleet.LoadedModel{Model: name}
		for adapter := range adapters {
			held.Adapters = append(held.Adapters, adapter)
		}
		report.Holdings.Models = append(report.Holdings.Models, held)
	}
	return report
}

// TestOrdersNeverExceedRunnerLimits drives a ledger against a runner without fencing. Order results get lost,
// orders take effect late, reports arrive out of date, and the runner restarts.
func TestOrdersNeverExceedRunnerLimits(t *testing.T) {
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
				r.pastReports = append(r.pastReports, r.report())
			case 1, 2:
				reports := append(r.pastReports, r.report())
				l.ApplyReport(reports[rapid.IntRange(0, len(reports)-1).Draw(t, "report")])
			case 3:
				load := rapid.SampledFrom(names).Draw(t, "load")
				unload := rapid.SampledFrom(names).Draw(t, "unload")
				l.SetMove(Move{Load: load, Unload: []string{unload}})
			case 4:
				adapter := fmt.Sprint("a", rapid.IntRange(1, 5).Draw(t, "adapter"))
				l.RequestAdapter(now, fleet.Unit{Model: rapid.SampledFrom(names[:2]).Draw(t, "model"), Adapter: adapter})
			case 5:
				r.finishModelOrder()
			case 6:
				if len(r.delayed) > 0 {
					r.execute(r.delayed[0])
					r.delayed = r.delayed[1:]
				}
			case 7:
				if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
					r.restart()
				}
			default:
				order, ok := l.Next(now, "vm", 1)
				if !ok {
					l.GrantLoadPermit(now.Add(time.Minute))
					continue
				}
				deliver(t, r, l, now, order)
			}
		}
	})
}

func deliver(t *rapid.T, r *runner, l *Ledger, now time.Time, order fleet.Order) {
	switch rapid.IntRange(0, 5).Draw(t, "fate") {
	case 0:
		r.delayed = append(r.delayed, order)
		l.RecordResult(now, fleet.OrderUnknown)
	case 1:
		r.execute(order)
		l.RecordResult(now, fleet.OrderUnknown)
	case 2:
		l.RecordResult(now, fleet.OrderNotSent)
	default:
		l.RecordResult(now, r.execute(order))
	}
}

// TestRequestedAdaptersAreLoadedByEviction checks that a ledger with a known state loads every requested adapter,
// although the runner has fewer adapter slots than adapters.
func TestRequestedAdaptersAreLoadedByEviction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		r := newRunner(t)
		l := New("r", engine)
		l.ApplyReport(r.report())
		for i := range 10 {
			unit := fleet.Unit{Model: "small", Adapter: fmt.Sprint("a", rapid.IntRange(1, 5).Draw(t, fmt.Sprint("adapter", i)))}
			now = now.Add(time.Second)
			held := l.RequestAdapter(now, unit)
			for range 4 {
				if held {
					break
				}
				if order, ok := l.Next(now, "vm", 1); ok {
					l.RecordResult(now, r.execute(order))
				}
				now = now.Add(20 * time.Millisecond)
				held = l.RequestAdapter(now, unit)
			}
			if !held {
				t.Fatalf("adapter %s was not loaded", unit)
			}
		}
	})
}

func TestOrderAfterOrderInDoubtRepeatsExpectedSequence(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := newRunner(nil)
	l := New("r", engine)
	l.ApplyReport(r.report())
	l.SetMove(Move{Load: "middle"})
	l.GrantLoadPermit(now.Add(time.Minute))
	first, ok := l.Next(now, "vm", 1)
	assert.Assert(t, ok)
	l.RecordResult(now, fleet.OrderUnknown)
	_, ok = l.Next(now, "vm", 1)
	assert.Assert(t, !ok, "no order may follow before a new report")
	l.ApplyReport(r.report())
	second, ok := l.Next(now, "vm", 1)
	assert.Assert(t, ok)
	assert.Equal(t, first.ExpectedSequence, second.ExpectedSequence)
}

func TestLoadFromWeightStoreNeedsValidPermit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	permitUntil := now.Add(1500 * time.Millisecond)
	cases := []struct {
		name     string
		at       time.Time
		inDoubt  bool
		restarts int64
		want     bool
	}{
		{"permit is valid", now.Add(time.Second), false, 0, true},
		{"permit has expired", permitUntil, false, 0, false},
		{"order in doubt was not executed", now.Add(time.Second), true, 0, true},
		{"runner restarted after an order in doubt", now.Add(time.Second), true, 1, false},
	}
	for _, c := range cases {
		r := newRunner(nil)
		l := New("r", engine)
		l.ApplyReport(r.report())
		l.SetMove(Move{Load: "middle"})
		assert.Equal(t, l.ColdLoad(now), "middle", c.name)
		l.GrantLoadPermit(permitUntil)
		if c.inDoubt {
			_, ok := l.Next(now, "vm", 1)
			assert.Assert(t, ok, c.name)
			l.RecordResult(now, fleet.OrderUnknown)
			report := r.report()
			report.Incarnation += c.restarts
			l.ApplyReport(report)
		}
		_, ok := l.Next(c.at, "vm", 1)
		assert.Equal(t, ok, c.want, c.name)
	}
}

func TestReturnedHoldingsDoNotChange(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := New("r", engine)
	l.ApplyReport(fleet.Report{Incarnation: 1, Sequence: 1, Holdings: fleet.Holdings{
		Models: []fleet.LoadedModel{{Model: "small", Adapters: []string{"a1", "a2"}}},
	}})
	before := l.Holdings()
	l.removeAdapter(fleet.Unit{Model: "small", Adapter: "a1"})
	l.loadingAdapters[fleet.Unit{Model: "small", Adapter: "a3"}] = now
	assert.Assert(t, l.CompleteAdapterLoads(now))
	assert.DeepEqual(t, before.Models[0].Adapters, []string{"a1", "a2"})
	assert.DeepEqual(t, l.Holdings().Models[0].Adapters, []string{"a2", "a3"})
}
