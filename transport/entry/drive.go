package entry

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/routing"
)

// attempts carries out what the machine of one request asks for and tells what came of it.
type attempts interface {
	choose(ctx context.Context) lifecycle.Event
	send(ctx context.Context) lifecycle.Event
	pass(ctx context.Context) lifecycle.Event
}

// drive steps a request's machine until it has decided on the final answer. A request whose time is over or whose
// caller is gone ends as expired.
func drive(ctx context.Context, m *lifecycle.Machine, a attempts) lifecycle.Action {
	action := m.Step(time.Now(), lifecycle.Started{})
	for {
		var event lifecycle.Event
		switch action {
		case lifecycle.Choose:
			event = a.choose(ctx)
		case lifecycle.Send, lifecycle.Resume:
			event = a.send(ctx)
			if _, lost := event.(lifecycle.Lost); lost && ctx.Err() != nil {
				m.NoteSent()
			}
		case lifecycle.Relay:
			event = a.pass(ctx)
		default:
			return action
		}
		action = m.Step(time.Now(), inTime(ctx, event))
	}
}

// inTime replaces a failure by the end of the request's time when that has come; answers are delivered all the same.
func inTime(ctx context.Context, event lifecycle.Event) lifecycle.Event {
	switch event.(type) {
	case lifecycle.NoneFree, lifecycle.Unreached, lifecycle.Declined, lifecycle.Lost, lifecycle.Broken:
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
	p.budget.Earn(now)
}

// Take uses up one repeat, or reports that none is left.
func (p *sharedBudget) Take(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.budget.Spend(now) {
		return false
	}
	retriesTotal.Add(1)
	return true
}
