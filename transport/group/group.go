package group

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
)

const (
	unboundedPool = -1
	workerExpiry  = 30 * time.Second
)

// Group runs tasks until one of them fails, the group is stopped or its parent context ends.
type Group struct {
	pool   *ants.Pool
	ctx    context.Context
	cancel context.CancelCauseFunc
	wait   sync.WaitGroup
	mu     sync.Mutex
	err    error
}

// New returns a group whose context ends with the parent context at the latest.
func New(parent context.Context) (*Group, error) {
	ctx, cancel := context.WithCancelCause(parent)
	g := &Group{ctx: ctx, cancel: cancel}
	pool, err := ants.NewPool(
		unboundedPool,
		ants.WithExpiryDuration(workerExpiry),
		ants.WithPanicHandler(func(cause any) { g.fail(errors.Errorf("panic: %v\n%s", cause, debug.Stack())) }),
	)
	if err != nil {
		cancel(err)
		return nil, errors.Wrap(err, "create goroutine pool")
	}
	g.pool = pool
	return g, nil
}

// Context returns the context of the tasks, which ends when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Start runs a task that stops the whole group if it returns an error or panics. The name appears in the error.
func (g *Group) Start(name string, task func(ctx context.Context) error) {
	g.submit(name, func() {
		if err := task(g.ctx); err != nil && g.ctx.Err() == nil {
			g.fail(errors.Wrap(err, name))
		}
	})
}

// Run runs a task that handles its own errors. A panic in it stops the whole group.
func (g *Group) Run(name string, task func(ctx context.Context)) {
	g.submit(name, func() { task(g.ctx) })
}

func (g *Group) submit(name string, task func()) {
	g.wait.Add(1)
	err := g.pool.Submit(func() {
		defer g.wait.Done()
		task()
	})
	if err != nil {
		g.wait.Done()
		g.fail(errors.Wrapf(err, "start %s", name))
	}
}

func (g *Group) fail(err error) {
	g.mu.Lock()
	if g.err == nil {
		g.err = err
	}
	g.mu.Unlock()
	g.cancel(err)
}

// Stop ends the context of the group, waits for its tasks and returns the first failure.
func (g *Group) Stop() error {
	g.cancel(context.Canceled)
	return g.Wait()
}

// Wait waits until the context has ended and all tasks have returned, and returns the first failure.
func (g *Group) Wait() error {
	<-g.ctx.Done()
	g.wait.Wait()
	g.pool.Release()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// Every calls a function immediately and then once per interval, until the context ends. Calls do not overlap.
func Every(ctx context.Context, interval time.Duration, call func(now time.Time)) error {
	return EveryOrWhen(ctx, interval, nil, call)
}

// EveryOrWhen is like Every, and also calls the function for each value that it receives.
func EveryOrWhen(ctx context.Context, interval time.Duration, due <-chan struct{}, call func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	call(time.Now())
	for {
		select {
		case now := <-ticker.C:
			call(now)
		case <-due:
			call(time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// Sleep waits for a time span and reports whether it passed before the context ended. For a span of zero or less it
// reports whether the context has not ended.
func Sleep(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
