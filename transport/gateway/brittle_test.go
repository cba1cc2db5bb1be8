package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/fleet"
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
		g.scheduler.Remove("r1")
		g.mu.Unlock()
		assert.Assert(t, full, "a runner that has turned a request away gets another at once")
	}
}
