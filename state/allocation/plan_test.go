package allocation

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/state/routes"
)

var start = time.Unix(1_000_000, 0)

// engineOf returns an engine whose runners have room for two of its models.
func engineOf(models ...string) *routes.Engine {
	e := &routes.Engine{MemoryMB: 200_000, LoadsPerSecond: 2}
	for _, name := range models {
		e.Models = append(e.Models, routes.Model{
			Name: name, MemoryMB: 80_000,
			LoadTime: 2 * time.Second, HostLoadTime: time.Second / 2, DiskLoadTime: time.Second,
		})
	}
	return e
}

func TestPlanMovesOtherRunnersWhenSomeAreFixed(t *testing.T) {
	engine := engineOf("a", "b")
	var runners []*Runner
	for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"} {
		runners = append(runners, &Runner{ID: id, Models: []string{"a"}, Fixed: true})
	}
	runners = append(runners, &Runner{ID: "r9", Models: []string{"a"}})
	moves := Plan(start, engine, runners, Demand{"a": 1}, nil)
	assert.Equal(t, len(moves), 1)
	assert.Equal(t, moves[0].Runner, "r9")
	assert.Equal(t, moves[0].Move.Load, "b")
}

func TestModelUnloadedForLongIsLoadedDespiteLowDemand(t *testing.T) {
	engine := engineOf("a", "b", "c")
	runners := []*Runner{{ID: "r1", Models: []string{"a", "b"}}, {ID: "r2", Models: []string{"a", "b"}}}
	moves := Plan(start, engine, runners, Demand{"a": 5, "b": 0.1}, map[string]time.Time{"c": start.Add(-time.Minute)})
	assert.Assert(t, len(moves) > 0)
	assert.Equal(t, moves[0].Move.Load, "c")
	assert.DeepEqual(t, moves[0].Move.Unload, []string{"b"})
}

func TestLastReplicaIsNeverUnloaded(t *testing.T) {
	engine := engineOf("a", "b")
	runners := []*Runner{{ID: "r1", Models: []string{"a", "b"}}, {ID: "r2", Models: []string{"a"}}}
	for _, demand := range []Demand{{"a": 100}, {"b": 100}, {"a": 3, "b": 0.01}} {
		for _, a := range Plan(start, engine, runners, demand, nil) {
			for _, victim := range a.Move.Unload {
				assert.Assert(t, victim != "b" || a.Runner != "r1", "demand %v: %v", demand, a)
			}
		}
	}
}

func TestWeightStoreRateLimitsConcurrentMoves(t *testing.T) {
	engine := engineOf("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
	var runners []*Runner
	for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9", "r10", "r11", "r12"} {
		runners = append(runners, &Runner{ID: id})
	}
	// The weight store allows two loads a second, and each takes two seconds; two warm moves come on top.
	assert.Equal(t, len(Plan(start, engine, runners, nil, nil)), 6)
}

// Guards against idle models that take every load from the weight store while a busy model lacks replicas. After five
// of eighteen runners crashed, this lasted seven seconds, and the busiest model had one replica all that time.
func TestBusyModelPrecedesUnloadedModelsWithoutDemand(t *testing.T) {
	engine := engineOf("busy", "idle1", "idle2", "idle3")
	runners := []*Runner{{ID: "r1", Models: []string{"busy"}}, {ID: "r2"}}
	unloadedSince := map[string]time.Time{"idle1": start, "idle2": start, "idle3": start}
	moves := Plan(start, engine, runners, Demand{"busy": 4.8}, unloadedSince)
	assert.Assert(t, len(moves) > 1)
	assert.Equal(t, moves[0].Move.Load, "busy")
	for _, a := range moves[1:] {
		assert.Assert(t, a.Move.Load != "busy")
	}
}

// Guards against redundant loads: a model that was loading for four seconds counted as not loaded, and the plan loaded
// it on four more runners.
func TestLoadingModelCountsAsReplica(t *testing.T) {
	engine := engineOf("a", "b")
	runners := []*Runner{
		{ID: "r1", Models: []string{"a"}, Moving: true, Target: "b"},
		{ID: "r2", Models: []string{"a"}},
		{ID: "r3", Models: []string{"a"}},
	}
	assert.Equal(t, len(Plan(start, engine, runners, Demand{"b": 0.2}, nil)), 0)
}

func TestLimitReduction(t *testing.T) {
	tests := []struct{ perSecond, want float64 }{{0, 1}, {1, 0.9}, {5, 0.5}, {10, 0}, {1e9, 0}, {math.Inf(1), 0}}
	for _, test := range tests {
		assert.Equal(t, LimitReduction(test.perSecond), test.want, test.perSecond)
	}
}

func TestPlanCountsARunnerWithALimitAsAWholeReplica(t *testing.T) {
	engine := engineOf("a", "b")
	runners := func(reduction float64) []*Runner {
		return []*Runner{
			{ID: "r1", Models: []string{"a"}, Reduction: reduction},
			{ID: "r2", Models: []string{"b"}, Reduction: reduction},
			{ID: "r3", Models: []string{"b"}},
		}
	}
	demand := Demand{"a": 0.2, "b": 0.2}
	assert.Equal(t, len(Plan(start, engine, runners(0), demand, nil)), 0)
	moves := Plan(start, engine, runners(0.9), demand, nil)
	assert.Equal(t, len(moves), 1)
	assert.Equal(t, moves[0].Move.Load, "a")
	assert.Equal(t, moves[0].Runner, "r3", "the runner without a limit")
}
