package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.Fix()

var start = time.Unix(1_000_000, 0)

func TestBreaker(t *testing.T) {
	b := &Breaker{}
	for range openAfter - 1 {
		b.Failed(start)
	}
	assert.Assert(t, b.Allows(start))
	b.Failed(start)
	assert.Assert(t, !b.Allows(start))
	probe := start.Add(minOpenTime)
	assert.Equal(t, b.State(probe), BreakerHalfOpen)
	assert.Assert(t, b.Allows(probe))
	b.Sent(probe)
	assert.Assert(t, !b.Allows(probe), "a second probe must wait")
	b.Failed(probe)
	assert.Assert(t, !b.Allows(probe.Add(minOpenTime)), "the breaker must stay open longer the second time")
	b.Succeeded()
	assert.Equal(t, b.State(probe), BreakerClosed)
}

func TestAProbeWithoutAnAnswerIsReplaced(t *testing.T) {
	b := &Breaker{}
	for range openAfter {
		b.Failed(start)
	}
	probe := start.Add(minOpenTime)
	b.Sent(probe)
	assert.Assert(t, !b.Allows(probe.Add(time.Second)))
	assert.Assert(t, b.Allows(probe.Add(probeTimeout)))
}

// Retries never exceed the burst, a share of the first attempts and a small rate, in any order of events.
func TestRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		b := NewRetryBudget(now)
		first, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			case 1:
				b.Earn(now)
				first++
			default:
				if b.Spend(now) {
					retries++
				}
			}
		}
		bound := retryBurst + retryShare*float64(first) + retryFloor*now.Sub(start).Seconds()
		if float64(retries) > bound {
			t.Fatalf("%d retries of %d requests, bound %.1f", retries, first, bound)
		}
	})
}

func TestChoose(t *testing.T) {
	open := &Breaker{}
	for range openAfter {
		open.Failed(start)
	}
	fast := Endpoint{Name: "fast", Local: true, FirstToken: 10 * time.Millisecond}
	slow := Endpoint{Name: "slow", Local: true, FirstToken: 90 * time.Millisecond}
	far := Endpoint{Name: "far", FirstToken: 10 * time.Millisecond}
	busy := Endpoint{Name: "busy", Local: true, FirstToken: 10 * time.Millisecond, Reported: 40}
	lagging := Endpoint{Name: "lagging", Local: true, FirstToken: 10 * time.Millisecond, Reported: 1, Own: 40, OwnAtReport: 1}
	broken := Endpoint{Name: "broken", Local: true, Breaker: open}
	cases := []struct {
		name string
		from []Endpoint
		want string
	}{
		{name: "faster", from: []Endpoint{slow, fast}, want: "fast"},
		{name: "near", from: []Endpoint{far, fast}, want: "fast"},
		{name: "less busy", from: []Endpoint{busy, fast}, want: "fast"},
		{name: "own requests since the report", from: []Endpoint{lagging, fast}, want: "fast"},
		{name: "breaker", from: []Endpoint{broken, slow}, want: "slow"},
		{name: "far, when the near one is busy", from: []Endpoint{far, busy}, want: "far"},
		{name: "none", from: []Endpoint{broken}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(20) {
				choice, ok := Choose(start, newRandom(seed), tc.from)
				assert.Equal(t, ok, tc.want != "")
				assert.Equal(t, choice.Endpoint.Name, tc.want)
			}
		})
	}
}
