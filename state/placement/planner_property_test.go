package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/ledger"
)

var _ = seeded.SetFlags()

// drawInput generates a failure domain with random models, resident units and demand.
func drawInput(t *rapid.T) Input {
	set := &catalog.Set{Deployment: []catalog.Deployment{{Name: "d", Domains: []string{"a", "b"}, ConcurrentLoads: 2}}}
	set.Deployment[0].MovePrice = rapid.Float64Range(0, 1).Draw(t, "price")
	for i := range rapid.IntRange(1, 5).Draw(t, "runners") {
		set.Runners = append(set.Runners, catalog.Runner{
			Name: fmt.Sprintf("r%d", i), Domain: "a", MemoryMiB: 100,
			Accelerators: rapid.IntRange(1, 3).Draw(t, "accelerators"),
		})
	}
	for i := range rapid.IntRange(1, 8).Draw(t, "models") {
		set.Models = append(set.Models, catalog.Model{
			Name: fmt.Sprintf("m%d", i), MemoryMiB: rapid.IntRange(5, 60).Draw(t, "memory"),
			Accelerators: rapid.IntRange(1, 2).Draw(t, "span"),
		})
	}
	index := catalog.NewIndex(set)
	in := Input{
		Index: index, Assignment: Assign(index), Domain: "a",
		LoadBudget: rapid.IntRange(0, 3).Draw(t, "budget"), AdapterBudget: 4,
	}
	for i := range set.Runners {
		in.Runners = append(in.Runners, drawView(t, index, &set.Runners[i]))
	}
	for _, unit := range index.Units() {
		in.Demands = append(in.Demands, UnitDemand{Name: unit.Name, InFlight: rapid.Float64Range(0, 80).Draw(t, "busy")})
		in.RemoteReplicas = append(in.RemoteReplicas, ReplicaCount{Name: unit.Name, Count: rapid.IntRange(0, 1).Draw(t, "elsewhere")})
	}
	return in
}

func drawView(t *rapid.T, index *catalog.Index, runner *catalog.Runner) RunnerView {
	view := RunnerView{
		Name: runner.Name, Accelerators: runner.Accelerators, MemoryMiB: runner.MemoryMiB,
		Usable: rapid.IntRange(0, 4).Draw(t, "usable") > 0,
	}
	free := slices.Repeat([]int{runner.MemoryMiB}, runner.Accelerators)
	for _, unit := range index.Units() {
		if !rapid.Bool().Draw(t, "held") {
			continue
		}
		chosen := catalog.FitAccelerators(free, unit.Accelerators, unit.FootprintMiB())
		for _, accelerator := range chosen {
			free[accelerator] -= unit.FootprintMiB()
		}
		if chosen != nil {
			state := rapid.SampledFrom([]ledger.ItemState{ledger.Resident, ledger.Resident, ledger.Loading, ledger.InDoubt}).Draw(t, "state")
			view.Items = append(view.Items, ledger.Item{
				Name: unit.Name, Kind: ledger.ItemBase, MemoryMiB: unit.FootprintMiB(), Accelerators: chosen,
				State: state, Serving: state == ledger.Resident,
			})
		}
	}
	return view
}

// A plan evicts neither the last serving replica in all domains nor the last one in a domain that must hold the unit.
func TestPlanKeepsEveryModelReachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		plan := NewPlanner().Plan(time.Unix(1_000_000, 0), in)
		for i, remote := range in.RemoteReplicas {
			before, after := 0, 0
			for j, view := range in.Runners {
				held := slices.ContainsFunc(view.Items, func(item ledger.Item) bool { return item.Name == remote.Name && item.Serving })
				kept := slices.ContainsFunc(plan.Runners[j].DesiredItems, func(d ledger.DesiredItem) bool { return d.Name == remote.Name })
				if held {
					before++
				}
				if held && kept {
					after++
				}
			}
			mandatory := in.Assignment.Requires("a", remote.Name)
			if before > 0 && after == 0 && (mandatory || remote.Count == 0) {
				t.Fatalf("the plan evicts the last replica of %s: %+v", in.RemoteReplicas[i].Name, plan)
			}
		}
	})
}

// A plan overcommits the memory of no accelerator, uses only usable runners and stays within the load budget.
func TestPlanFitsAcceleratorMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		plan := NewPlanner().Plan(time.Unix(1_000_000, 0), in)
		moves := 0
		for i, view := range in.Runners {
			used := make([]int, view.Accelerators)
			for _, desired := range plan.Runners[i].DesiredItems {
				for _, accelerator := range desired.PreferredAccelerators {
					used[accelerator] += desired.MemoryMiB
				}
				held := slices.ContainsFunc(view.Items, func(item ledger.Item) bool { return item.Name == desired.Name })
				if !held {
					moves++
				}
				if !held && !view.Usable {
					t.Fatalf("the plan adds %s to runner %s, which is not usable", desired.Name, view.Name)
				}
			}
			if slices.Max(used) > view.MemoryMiB {
				t.Fatalf("the plan exceeds the memory of runner %s with %v MiB: %+v", view.Name, used, plan.Runners[i])
			}
		}
		if moves > in.LoadBudget {
			t.Fatalf("the plan starts %d loads with a budget of %d", moves, in.LoadBudget)
		}
	})
}
