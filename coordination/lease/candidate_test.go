package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/coordination/keyvalue"
)

// newHolder returns a candidate that acquired the lease with a write sent at a time and confirmed after a delay.
func newHolder(t *testing.T, sent time.Time, delay time.Duration) *Candidate {
	t.Helper()
	c := NewCandidate(DefaultConfig("vm-1", "first"))
	c.Step(sent, Tick{})
	actions := c.Step(sent, Observed{RequestedAt: sent})
	assert.Equal(t, len(actions), 1)
	_, swap := actions[0].(Swap)
	assert.Assert(t, swap, "%v", actions)
	c.Step(sent.Add(delay), Swapped{Outcome: keyvalue.Applied})
	return c
}

// The property test can't detect that the holder's margin is missing: its clocks drift by at most 2%, which the margin
// of the other candidates alone covers. Both margins together cover twice as much.
func TestFullPowerEndsDriftMarginBeforeTTL(t *testing.T) {
	sent := time.Unix(1_000_000, 0)
	config := DefaultConfig("vm-1", "first")
	tests := []struct {
		name  string
		delay time.Duration
		at    time.Duration
		full  bool
	}{
		{"at once", 0, time.Millisecond, true},
		{"just before the margin", 0, config.TTL - config.DriftMargin - time.Millisecond, true},
		{"within the margin", 0, config.TTL - config.DriftMargin, false},
		{"after the end", 0, config.TTL + config.DriftMargin/2, false},
		{"counted from the sending, not the answer", time.Second, config.TTL - config.DriftMargin, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newHolder(t, sent, test.delay)
			power, _ := c.Power(sent.Add(test.at))
			assert.Equal(t, power == PowerFull, test.full, string(power))
		})
	}
}
