package entry

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/routing"
)

// timed settles the events of the requests of an entry.
type timed struct{}

// ReplaceEvent replaces a failure by the end of the request's time when that has come, or its caller is gone; answers
// are delivered all the same.
func (timed) ReplaceEvent(ctx context.Context, event lifecycle.Event) lifecycle.Event {
	switch event.(type) {
	case lifecycle.NoEndpoint, lifecycle.Unreachable, lifecycle.Declined, lifecycle.Lost, lifecycle.Truncated:
		if ctx.Err() != nil {
			return lifecycle.Expired{}
		}
	}
	return event
}

// conclude makes the last failure tell the truth about a request that its machine has given up.
func conclude(action lifecycle.Action, last *failure) *failure {
	if action == lifecycle.End || last == nil {
		return nil
	}
	final := *last
	if action != lifecycle.Refuse && final.outcome == caller.NotRun {
		final.status, final.code, final.outcome = statusBadGateway, codeLost, caller.Unknown
	}
	return &final
}

// sharedBudget is the budget of repeats of all of an entry's requests.
type sharedBudget struct {
	mu     sync.Mutex
	budget *routing.RetryBudget
}

func (p *sharedBudget) earn(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Deposit(now)
}

// Take uses up one repeat, or reports that none is left.
func (p *sharedBudget) Take(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.budget.TryWithdraw(now) {
		return false
	}
	retriesTotal.Add(1)
	return true
}
