package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

var now = time.Unix(1_000_000, 0)

func draft(waited time.Duration) *fleet.Request {
	return &fleet.Request{
		Kind: routes.Stream, Rank: 1, PromptTokens: 9000, OutputTokens: 80, Target: time.Second,
		Arrived: now.Add(-waited), Deadline: now.Add(5*time.Second - waited),
	}
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name     string
		request  *fleet.Request
		prospect Prediction
		admit    bool
		hold     bool
	}{
		{"an idle runner", draft(0), Prediction{Wait: 200 * time.Millisecond, PrefillTokens: 9000}, true, false},
		{"a large prompt on a runner without prefill", draft(0), Prediction{PrefillTokens: 39_000}, true, false},
		{"four chunks ahead", draft(0), Prediction{Wait: 600 * time.Millisecond, PrefillTokens: 9000, Backlog: 16_000}, false, true},
		{"a small prompt behind four chunks", draft(0), Prediction{Wait: 50 * time.Millisecond, PrefillTokens: 600, Backlog: 16_000}, true, false},
		{"a runner with constant prefill", draft(0), Prediction{Wait: 300 * time.Millisecond, PrefillTokens: 9000, PrefillUtilization: 0.95}, false, true},
		{"deferred for so long that it would be late", draft(time.Second), Prediction{Wait: 400 * time.Millisecond, PrefillTokens: 9000, Backlog: 16_000}, false, false},
		{"a queue longer than the target", draft(0), Prediction{Wait: 2 * time.Second, PrefillTokens: 9000}, false, false},
		{"already late, with a short wait", draft(2 * time.Second), Prediction{Wait: 100 * time.Millisecond, PrefillTokens: 600}, true, false},
		{"a plain request", &fleet.Request{Kind: routes.Unsafe}, Prediction{Wait: time.Minute, PrefillUtilization: 1}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := Decide(now, test.request, test.prospect)
			assert.Equal(t, v.Admit, test.admit)
			assert.Equal(t, v.Hold, test.hold)
			if !v.Admit && !v.Hold {
				assert.Assert(t, v.RetryAfter >= soonest)
				assert.Assert(t, v.Reason != "")
			}
		})
	}
}

// TestDraftsDoNotStopQuickAnswers guards against stalled answers. 30 prompts a second of 9000 tokens to prefill arrive
// at one runner. If all are sent at once, the gaps between the events of running answers are longer than callers
// accept.
func TestDraftsDoNotStopQuickAnswers(t *testing.T) {
	const rate = 38_000
	backlog, longest, admitted := 0.0, 0.0, 0
	at := now
	for range 300 {
		at = at.Add(time.Second / 30)
		backlog = max(0, backlog-rate/30)
		wait := time.Duration(backlog / rate * float64(time.Second))
		request := draft(0)
		request.Arrived, request.Deadline = at, at.Add(5*time.Second)
		v := Decide(at, request, Prediction{Wait: wait, PrefillTokens: 9000, Backlog: int(backlog)})
		if v.Admit {
			backlog += 9000
			admitted++
		}
		longest = max(longest, backlog)
	}
	assert.Assert(t, longest <= maxBacklog, "%.0f tokens of backlog", longest)
	assert.Assert(t, admitted >= 30, "%d admitted in ten seconds", admitted)
}
