package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.Fix()

// purse is a retry budget with a fixed number of retries.
type purse struct{ left int }

func (p *purse) Take(time.Time) bool {
	p.left--
	return p.left >= 0
}

// TestPromisesHoldUnderAnyOrderOfEvents checks the guarantees to callers under random events: limited runs, limited
// retries, and a final answer that does not claim that a request never ran when it may have.
func TestPromisesHoldUnderAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			MaxRuns:    rapid.IntRange(1, 3).Draw(t, "maxRuns"),
			LossesFree: rapid.Bool().Draw(t, "lossesFree"),
		}
		budget := &purse{left: rapid.IntRange(0, 4).Draw(t, "budget")}
		began := budget.left
		m := New(limits, budget)
		now := time.Unix(1_000_000, 0)
		sent, maybeRun, begun, repeats := 0, 0, false, 0
		action := m.Step(now, Started{})
		for i := range 40 {
			now = now.Add(10 * time.Millisecond)
			switch action {
			case Choose:
				action = m.Step(now, chooseEvent(t, i))
			case Send, Resume:
				if action == Resume && !begun || action == Send && begun {
					t.Fatalf("%s although begun is %v", action, begun)
				}
				if sent > 0 {
					repeats++
				}
				sent++
				event := sendEvent(t, i)
				switch event.(type) {
				case Lost, Answered:
					maybeRun++
				case Unreached:
					sent--
				}
				action = m.Step(now, event)
			case Relay:
				begun = true
				action = m.Step(now, relayEvent(t, i))
			case Refuse:
				assert.Equal(t, maybeRun, 0, "refused although it may have run")
				assert.Assert(t, !begun)
			case Fail:
				assert.Assert(t, maybeRun > 0 && !begun)
			case Cut:
				assert.Assert(t, begun)
			}
			switch action {
			case Refuse, Fail, Cut, End:
				checkEnd(t, limits, maybeRun, repeats, began)
				assert.Equal(t, m.Step(now, Chosen{Endpoint: "late"}), End)
				return
			case Choose, Send, Resume, Relay:
			}
		}
		t.Fatalf("no end")
	})
}

func checkEnd(t *rapid.T, limits Limits, maybeRun, repeats, budget int) {
	if !limits.Repeatable && maybeRun > 1 {
		t.Fatalf("ran %d times", maybeRun)
	}
	if maybeRun > max(limits.MaxRuns, 1) {
		t.Fatalf("ran %d times of %d", maybeRun, limits.MaxRuns)
	}
	if limits.LossesFree {
		budget += limits.MaxRuns
	}
	if repeats > budget+maxUnreached {
		t.Fatalf("%d retries of %d", repeats, budget)
	}
}

func chooseEvent(t *rapid.T, i int) Event {
	switch rapid.IntRange(0, 9).Draw(t, fmt.Sprint("choose", i)) {
	case 0:
		return NoneFree{Reason: "none"}
	case 1:
		return Expired{}
	case 2:
		return CallerLeft{}
	default:
		return Chosen{Endpoint: fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "endpoint"))}
	}
}

func sendEvent(t *rapid.T, i int) Event {
	events := []Event{
		Unreached{}, Declined{}, Declined{Misdirected: true}, Lost{}, Answered{}, Answered{}, Answered{Failure: true},
	}
	return rapid.SampledFrom(events).Draw(t, fmt.Sprint("send", i))
}

func relayEvent(t *rapid.T, i int) Event {
	events := []Event{Completed{}, Broken{Resumable: true}, Broken{}, Expired{}, CallerLeft{}}
	return rapid.SampledFrom(events).Draw(t, fmt.Sprint("relay", i))
}

func TestAnUnsafeRequestThatWasLostFails(t *testing.T) {
	m := New(Limits{MaxRuns: 2}, &purse{left: 5})
	now := time.Unix(1_000_000, 0)
	m.Step(now, Started{})
	m.Step(now, Chosen{Endpoint: "a"})
	assert.Equal(t, m.Step(now, Lost{}), Fail)
}

func TestAnUnsafeRequestThatWasDeclinedGoesElsewhere(t *testing.T) {
	m := New(Limits{MaxRuns: 1}, &purse{left: 5})
	now := time.Unix(1_000_000, 0)
	m.Step(now, Started{})
	m.Step(now, Chosen{Endpoint: "a"})
	assert.Equal(t, m.Step(now, Declined{}), Choose)
	assert.DeepEqual(t, m.Excluded(), []string{"a"})
}

func TestTheBudgetHoldsInEveryWindow(t *testing.T) {
	b := NewSharedBudget(BudgetBounds{Ratio: 0.2, Slack: 18, Window: 10 * time.Second})
	b.SetMembers(9)
	now := time.Unix(1_000_000, 0)
	var arrived, repeats []time.Time
	for i := range 2000 {
		now = now.Add(20 * time.Millisecond)
		if i%3 == 0 {
			b.Arrived(now)
			arrived = append(arrived, now)
		}
		if b.Take(now) {
			repeats = append(repeats, now)
		}
		from := now.Add(-10 * time.Second)
		assert.Assert(t, len(since(repeats, from)) <= int(0.2*float64(len(since(arrived, from))))+2)
	}
}

func TestTheBudgetForgetsRequestsWithoutNewOnes(t *testing.T) {
	b := NewSharedBudget(BudgetBounds{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
	now := time.Unix(1_000_000, 0)
	for range 1000 {
		b.Arrived(now)
	}
	assert.Assert(t, b.Left(now) > 100)
	assert.Assert(t, b.Left(now.Add(11*time.Second)) <= 10)
}

func since(times []time.Time, from time.Time) []time.Time {
	var later []time.Time
	for _, at := range times {
		if !at.Before(from) {
			later = append(later, at)
		}
	}
	return later
}
