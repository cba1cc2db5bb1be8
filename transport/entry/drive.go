package entry

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/routing"
)

// expiryFilter implements lifecycle.Executor.ReplaceEvent for the requests of an entry.
type expiryFilter struct{}

// ReplaceEvent replaces a failure by Expired if the deadline has passed or the caller has disconnected. Answers are
// still relayed.
func (expiryFilter) ReplaceEvent(ctx context.Context, event lifecycle.Event) lifecycle.Event {
	switch event.(type) {
	case lifecycle.NoEndpoint, lifecycle.Unreachable, lifecycle.Declined, lifecycle.Lost, lifecycle.Truncated:
		if ctx.Err() != nil {
			return lifecycle.Expired{}
		}
	}
	return event
}

// finalFailure returns the failure to answer with, or nil if the request was answered. If an endpoint may have run the
// request, the outcome is unknown.
func finalFailure(action lifecycle.Action, lastFailure *failure) *failure {
	if action == lifecycle.End || lastFailure == nil {
		return nil
	}
	final := *lastFailure
	if action != lifecycle.Refuse && final.outcome == caller.NotRun {
		final.status, final.code, final.outcome = statusBadGateway, codeAnswerLost, caller.Unknown
	}
	return &final
}

// sharedBudget is the retry budget that all requests of an entry share.
type sharedBudget struct {
	mu     sync.Mutex
	budget *routing.RetryBudget
}

func (b *sharedBudget) deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Deposit(now)
}

// Take uses up one retry. It reports false when none is left.
func (b *sharedBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.budget.TryWithdraw(now) {
		return false
	}
	retriesTotal.Add(1)
	return true
}
