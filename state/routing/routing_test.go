package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.SetFlags()

var start = time.Unix(1_000_000, 0)

func TestBreakerOpensAfterConsecutiveFailures(t *testing.T) {
	b := &Breaker{}
	for range failureThreshold - 1 {
		b.RecordFailure(start)
	}
	assert.Assert(t, b.Allows(start))
	b.RecordFailure(start)
	assert.Assert(t, !b.Allows(start))
	probeAt := start.Add(minOpenInterval)
	assert.Equal(t, b.State(probeAt), BreakerHalfOpen)
	assert.Assert(t, b.Allows(probeAt))
	b.RecordSent(probeAt)
	assert.Assert(t, !b.Allows(probeAt), "a second probe must wait")
	b.RecordFailure(probeAt)
	assert.Assert(t, !b.Allows(probeAt.Add(minOpenInterval)), "the breaker must stay open longer the second time")
	b.RecordSuccess()
	assert.Equal(t, b.State(probeAt), BreakerClosed)
}

func TestUnansweredProbeAllowsAnotherAfterItsTimeout(t *testing.T) {
	b := &Breaker{}
	for range failureThreshold {
		b.RecordFailure(start)
	}
	probeAt := start.Add(minOpenInterval)
	b.RecordSent(probeAt)
	assert.Assert(t, !b.Allows(probeAt.Add(time.Second)))
	assert.Assert(t, b.Allows(probeAt.Add(probeTimeout)))
}

// Retries never exceed the sum of the burst, a share of the first attempts and a small rate, in any order of events.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		b := NewRetryBudget(now)
		first, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			case 1:
				b.Deposit(now)
				first++
			default:
				if b.TryWithdraw(now) {
					retries++
				}
			}
		}
		bound := retryBurst + retriesPerAttempt*float64(first) + minRetriesPerSecond*now.Sub(start).Seconds()
		if float64(retries) > bound {
			t.Fatalf("%d retries of %d requests, bound %.1f", retries, first, bound)
		}
	})
}

func TestChoosePrefersTheFasterAllowedEndpoint(t *testing.T) {
	open := &Breaker{}
	for range failureThreshold {
		open.RecordFailure(start)
	}
	fast := Endpoint{Name: "fast", Local: true, TimeToFirstToken: 10 * time.Millisecond}
	slow := Endpoint{Name: "slow", Local: true, TimeToFirstToken: 90 * time.Millisecond}
	remote := Endpoint{Name: "remote", TimeToFirstToken: 10 * time.Millisecond}
	busy := Endpoint{Name: "busy", Local: true, TimeToFirstToken: 10 * time.Millisecond, ReportedRequests: 40}
	lagging := Endpoint{
		Name: "lagging", Local: true, TimeToFirstToken: 10 * time.Millisecond,
		ReportedRequests: 1, OwnInFlight: 40, OwnInFlightAtReport: 1,
	}
	broken := Endpoint{Name: "broken", Local: true, Breaker: open}
	cases := []struct {
		name string
		from []Endpoint
		want string
	}{
		{name: "faster", from: []Endpoint{slow, fast}, want: "fast"},
		{name: "local", from: []Endpoint{remote, fast}, want: "fast"},
		{name: "less busy", from: []Endpoint{busy, fast}, want: "fast"},
		{name: "own requests since the report", from: []Endpoint{lagging, fast}, want: "fast"},
		{name: "breaker", from: []Endpoint{broken, slow}, want: "slow"},
		{name: "remote, when the local one is busy", from: []Endpoint{remote, busy}, want: "remote"},
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
