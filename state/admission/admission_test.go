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
		Kind: routes.Stream, Priority: 1, PromptTokens: 9000, OutputTokens: 80, TargetLatency: time.Second,
		ArrivedAt: now.Add(-waited), Deadline: now.Add(5*time.Second - waited),
	}
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name     string
		request  *fleet.Request
		prospect Prospect
		admit    bool
		hold     bool
	}{
		{"an idle runner", draft(0), Prospect{Wait: 200 * time.Millisecond, Unread: 9000}, true, false},
		{"a large prompt on a runner that reads nothing", draft(0), Prospect{Unread: 39_000}, true, false},
		{"four pieces ahead", draft(0), Prospect{Wait: 600 * time.Millisecond, Unread: 9000, Backlog: 16_000}, false, true},
		{"a small prompt behind them", draft(0), Prospect{Wait: 50 * time.Millisecond, Unread: 600, Backlog: 16_000}, true, false},
		{"reading all the time", draft(0), Prospect{Wait: 300 * time.Millisecond, Unread: 9000, Duty: 0.95}, false, true},
		{"held for so long that it would be late", draft(time.Second), Prospect{Wait: 400 * time.Millisecond, Unread: 9000, Backlog: 16_000}, false, false},
		{"a queue beyond the target", draft(0), Prospect{Wait: 2 * time.Second, Unread: 9000}, false, false},
		{"late already, and served at once", draft(2 * time.Second), Prospect{Wait: 100 * time.Millisecond, Unread: 600}, true, false},
		{"a plain request", &fleet.Request{Kind: routes.Unsafe}, Prospect{Wait: time.Minute, Duty: 1}, true, false},
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

// TestDraftsDoNotStopQuickAnswers replays the load in which a runner was sent drafts as they came, 30 a second of 9000
// unread tokens: the quick answers that it generated stood still for longer than callers accept.
func TestDraftsDoNotStopQuickAnswers(t *testing.T) {
	const rate = 38_000
	backlog, longest, admitted := 0.0, 0.0, 0
	at := now
	for range 300 {
		at = at.Add(time.Second / 30)
		backlog = max(0, backlog-rate/30)
		wait := time.Duration(backlog / rate * float64(time.Second))
		request := draft(0)
		request.ArrivedAt, request.Deadline = at, at.Add(5*time.Second)
		v := Decide(at, request, Prospect{Wait: wait, Unread: 9000, Backlog: int(backlog)})
		if v.Admit {
			backlog += 9000
			admitted++
		}
		longest = max(longest, backlog)
	}
	assert.Assert(t, longest <= maxBacklog, "%.0f tokens in a row", longest)
	assert.Assert(t, admitted >= 30, "%d admitted in ten seconds", admitted)
}
