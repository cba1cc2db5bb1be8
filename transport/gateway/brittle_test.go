package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

// A runner is listed, or listed again, after another VM has told that it is brittle.
func TestBrittleRunnerThatIsListedLaterIsTakenForASoundOne(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	v := &simulatedVM{name: "vm-0"}
	v.start(now)
	g := v.gateway
	g.applySummary(now, now, &vm.Summary{Brittle: []vm.Brittle{{Runner: "r1", PerSecond: 5}}})
	runner := fleet.Runner{ID: "r1", Address: netipAddress(1), Service: "plain", Slots: 1, Incarnation: 7}
	for range 2 {
		g.mu.Lock()
		g.directory.Put(now, runner)
		g.mu.Unlock()
		now = now.Add(aggregationInterval)
		g.applySummary(now, now, &vm.Summary{Brittle: []vm.Brittle{{Runner: "r1", PerSecond: 5, Age: aggregationInterval}}})
		g.mu.Lock()
		g.scheduler.RecordTurnedAway(now, "r1", 1)
		full := g.scheduler.Full(now, &fleet.Request{}, []*fleet.Runner{&runner}, nil)
		g.scheduler.Remove(now, "r1")
		g.mu.Unlock()
		assert.Assert(t, full, "a runner that has turned a request away gets another at once")
	}
}

// Checks of the path took the places of brittle runners while others could be asked, and went to brittle ones at any rate.
func TestPathIsCheckedAtBrittleRunners(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := startVM(now, "vm-0")
	g.table.Store(&routes.Table{Services: map[string]*routes.Service{"plain": {Name: "plain", HealthPath: "/health"}}})
	put := func(id string) {
		g.directory.Put(now, fleet.Runner{ID: id, Address: netipAddress(1), Service: "plain", Slots: 1, Incarnation: 7})
	}
	checked := func() (ids []string) {
		now = now.Add(time.Second)
		g.path.RecordFailure()
		targets, due := g.pathCheckDue(now)
		assert.Assert(t, due)
		for _, target := range targets {
			ids = append(ids, target.id)
		}
		g.path.EndCheck(len(targets), len(targets))
		return ids
	}
	put("r1")
	g.scheduler.RecordBrittle(now, "r1", 1, 0)
	assert.DeepEqual(t, checked(), []string{"r1"})
	assert.Equal(t, len(checked()), 0, "the next check is due after five seconds")
	put("r2")
	assert.DeepEqual(t, checked(), []string{"r2"})
	g.directory.Remove("r2")
	now = now.Add(5 * time.Second)
	assert.DeepEqual(t, checked(), []string{"r1"})
}
