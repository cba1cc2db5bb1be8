package residency

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRunnerStateDiffersFromPrevious(t *testing.T) {
	base := RunnerState{Reachable: true, Running: 20, Items: []HeldItem{{Name: "crest", Ready: true}}}
	cases := []struct {
		name    string
		change  func(s *RunnerState)
		differs bool
	}{
		{name: "nothing", change: func(*RunnerState) {}},
		{name: "a little load", change: func(s *RunnerState) { s.Waiting = 2 }},
		{name: "much load", change: func(s *RunnerState) { s.Waiting = 6 }, differs: true},
		{name: "contents", change: func(s *RunnerState) { s.Items = []HeldItem{{Name: "crest"}} }, differs: true},
		{name: "reach", change: func(s *RunnerState) { s.Reachable = false }, differs: true},
		{name: "draining", change: func(s *RunnerState) { s.Draining = true }, differs: true},
		{name: "restart", change: func(s *RunnerState) { s.Incarnation = "2" }, differs: true},
		{name: "another observer", change: func(s *RunnerState) { s.Observer, s.Sequence = "vm-2", 9 }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			after := base
			tc.change(&after)
			assert.Equal(t, after.DiffersFrom(base), tc.differs)
		})
	}
}
