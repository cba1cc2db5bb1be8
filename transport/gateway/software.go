package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/origins"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

const (
	// confirmTimeout is the time limit for the report that shows which incarnation of a runner answers.
	confirmTimeout = 200 * time.Millisecond
	// maxUnboundStreams bounds the streams whose version has not been needed so far.
	maxUnboundStreams = 4096
)

var (
	errOtherIncarnation = errors.New("the runner has started again since its entry was read")
	errUnknownSoftware  = errors.New("the runner's entry names no version of its software")
)

// binding keeps a stream to the version of the software that began it: what two versions write does not fit together.
type binding struct {
	// once starts the search for the version, and done is closed when it has ended.
	once sync.Once
	done chan struct{}
	// software is the version, or "" if it could not be confirmed. The stream cannot go on elsewhere then.
	software string
	// complete reports that the caller has the whole stream.
	complete atomic.Bool
}

// stream is a resumable stream that has begun, with the runner that began it as its entry was at the time.
type stream struct {
	attempt string
	service string
	model   string
	runner  *fleet.Runner
	// until is the time until which its caller may take it up.
	until   time.Time
	binding *binding
}

// bind binds a stream to the software of the runner that begins it. While the service has one version, that is put off
// until it is needed.
func (x *exchange) bind() {
	g, now := x.gateway, clock.Now()
	x.binding = &binding{done: make(chan struct{})}
	s := &stream{
		attempt: x.request.ID, service: x.service, model: x.request.Unit.Model, runner: x.choice.Runner, binding: x.binding,
		until: now.Add(streamLifetime(x.route)),
	}
	x.begun = s
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.versions.HasSeveral(x.service) || len(g.unboundStreams) >= maxUnboundStreams {
		g.tasks.Run("confirm software", func(ctx context.Context) { g.bindStream(ctx, s) })
		return
	}
	g.unboundStreams[s.attempt] = s
}

// bindStream binds a stream to the version of its runner's entry if the runner's report confirms that it has not started
// again with another version since the entry was read.
func (g *Gateway) bindStream(ctx context.Context, s *stream) {
	g.bindIf(s, func() error { return g.confirmIncarnation(ctx, s.runner) })
}

// bindNow binds a stream whose runner may be gone: to the only version that the service has, or as bindStream does. The
// version is needed also if the caller leaves, since it may come back.
func (g *Gateway) bindNow(ctx context.Context, s *stream) {
	ctx = context.WithoutCancel(ctx)
	g.bindIf(s, func() error {
		software, err := g.soleVersion(ctx, s.service, s.model, clock.Now())
		if err == nil && software == s.runner.Software {
			return nil
		}
		return g.confirmIncarnation(ctx, s.runner)
	})
}

// bindIf binds a stream to the version of its runner's entry unless confirm returns an error. It does so once, and waits
// for a binding that is under way.
func (g *Gateway) bindIf(s *stream, confirm func() error) {
	s.binding.once.Do(func() {
		defer close(s.binding.done)
		if err := confirm(); err != nil {
			streamRecords.Add("unconfirmed", 1)
			g.log.Emit(eventlog.OriginUnconfirmed, s.attempt, s.runner.ID, s.runner.Software, err)
			return
		}
		s.binding.software = s.runner.Software
		g.recordOrigin(clock.Now(), s)
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unboundStreams, s.attempt)
}

// forgetStreams removes the unbound streams that are complete or cannot be taken up any more. The caller must hold the lock.
func (g *Gateway) forgetStreams(now time.Time) {
	for attempt, s := range g.unboundStreams {
		if s.binding.complete.Load() || !now.Before(s.until) {
			delete(g.unboundStreams, attempt)
		}
	}
}

// ownOrigin returns the origin of a stream that this VM has begun, or false if it does not know it.
func (g *Gateway) ownOrigin(ctx context.Context, now time.Time, attempt string) (origins.Origin, bool) {
	g.mu.Lock()
	origin, ok := g.origins.Get(now, attempt)
	unbound := g.unboundStreams[attempt]
	g.mu.Unlock()
	if ok || unbound == nil {
		return origin, ok
	}
	g.bindNow(ctx, unbound)
	return origins.Origin{Service: unbound.service, Software: unbound.binding.software}, unbound.binding.software != ""
}

// boundSoftware returns the version that a stream must go on at, or "" if it is not known. It waits until the binding is
// confirmed.
func (x *exchange) boundSoftware(ctx context.Context) string {
	if x.begun != nil {
		x.gateway.bindNow(ctx, x.begun)
	}
	select {
	case <-x.binding.done:
		return x.binding.software
	case <-ctx.Done():
		return ""
	}
}

// confirmIncarnation returns an error unless the runner's report shows that it is the incarnation of its entry.
func (g *Gateway) confirmIncarnation(ctx context.Context, runner *fleet.Runner) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if runner.Software == "" {
		return errUnknownSoftware
	}
	report, err := g.runnerClient.Report(ctx, runner.ID, runner.Address)
	if err != nil {
		return err
	}
	if report.Incarnation == 0 || report.Incarnation != runner.Incarnation {
		return errOtherIncarnation
	}
	return nil
}

// endpoints returns those of a service's endpoints at which the request may run: those with the software that began the
// stream if it goes on, those with a recorded version if it may be resumed later, and all otherwise. The caller must hold
// the lock.
func (x *exchange) endpoints(all []*fleet.Runner, software string) []*fleet.Runner {
	if x.binding != nil {
		return slices.DeleteFunc(all, func(r *fleet.Runner) bool { return software == "" || r.Software != software })
	}
	if !x.route.Resumable || !slices.ContainsFunc(all, x.gateway.mayBeginAt) {
		return all
	}
	return slices.DeleteFunc(all, func(r *fleet.Runner) bool { return !x.gateway.mayBeginAt(r) })
}
