package entry

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/routing"
)

// timed implements lifecycle.Executor.ReplaceEvent for the requests of an entry.
type timed struct{}

// ReplaceEvent replaces a failure by Expired if the deadline has passed or the caller has disconnected. Answers are
// still relayed.
func (timed) ReplaceEvent(ctx context.Context, event lifecycle.Event) lifecycle.Event {
	switch event.(type) {
	case lifecycle.NoEndpoint, lifecycle.Unreachable, lifecycle.Declined, lifecycle.Lost, lifecycle.Truncated:
		if ctx.Err() != nil {
			return lifecycle.Expired{}
		}
	}
	return event
}

// conclude returns the failure to answer with, or nil if the request was answered. If an endpoint may have run the
// request, the outcome is unknown.
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

// sharedBudget is the retry budget that all requests of an entry share.
type sharedBudget struct {
	mu     sync.Mutex
	budget *routing.RetryBudget
}

func (p *sharedBudget) earn(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Deposit(now)
}

// Take uses up one retry. It reports false when none is left.
func (p *sharedBudget) Take(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.budget.TryWithdraw(now) {
		return false
	}
	retriesTotal.Add(1)
	return true
}
