package gateway

import (
	"cmp"
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/state/admission"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/waiting"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

const (
	// maxWaiting is the largest number of requests in the queue. On the smallest VM, with 0.144 cores, a decision on each takes
	// some 0.1 s.
	maxWaiting = 1024
	// queueMemoryPart is the part of the VM's memory that the bodies of waiting requests may take.
	queueMemoryPart = 8
)

func queueLimits(s settings.Gateway) waiting.Limits {
	return waiting.Limits{Requests: maxWaiting, Bytes: max(maxBodyBytes, s.MemoryMB<<20/queueMemoryPart)}
}

// wait is the choice of an endpoint for a request, which may wait in the queue meanwhile.
type wait struct {
	gateway  *Gateway
	exchange *exchange
	entry    *waiting.Entry
	// turn receives when the request gets its turn to be decided on.
	turn   chan struct{}
	queued bool
	// until is how long the request waits for a model that is not being loaded.
	until time.Time
	// software is the version that a stream must go on at, or "", and excluded are the endpoints that were tried.
	software string
	excluded []string
	tried    endpointTries
	// options are those of the last decision.
	options options
}

func (g *Gateway) newWait(ctx context.Context, x *exchange) *wait {
	arrived := x.request.ArrivedAt
	w := &wait{
		gateway: g, exchange: x, turn: make(chan struct{}, 1), excluded: x.machine.Excluded(),
		until: arrived.Add(min(busyModelTimeout, admission.Patience(&x.request), x.request.Deadline.Sub(arrived)/2)),
	}
	if x.binding != nil {
		// The caller waits between two events, and the model may be placed on runners of another version.
		w.until = arrived
		w.software = x.boundSoftware(ctx)
	}
	w.entry = &waiting.Entry{
		Group: waiting.Group{Service: x.service, Model: x.request.Unit.Model}, Priority: x.request.Priority, Workspace: x.request.Workspace,
		ArrivedAt: arrived, LateAt: arrived.Add(admission.Target(&x.request)), Bytes: x.bodyBytes,
		Turn: func() {
			select {
			case w.turn <- struct{}{}:
			default:
			}
		},
	}
	x.entry = w.entry
	return w
}

// mustWait reports whether others have to decide before the request, which then waits for its turn. A request that may have run
// does not wait.
func (w *wait) mustWait(now time.Time) bool {
	g := w.gateway
	if w.exchange.machine.MayHaveRun() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.MustWait(now, w.entry) {
		return false
	}
	w.join(now)
	g.queue.AwaitTurn(now, w.entry)
	return true
}

// join puts the request into the queue. The caller must hold the lock.
func (w *wait) join(now time.Time) {
	if !w.queued {
		w.queued = true
		queueRecords.Add("joined", 1)
		w.gateway.queue.Add(now, w.entry)
	}
}

// wait waits in the queue for the turn of the request, or for a time. It reports false if the context has ended.
func (w *wait) wait(ctx context.Context, atMost time.Duration) bool {
	now := clock.Now()
	w.gateway.mu.Lock()
	w.join(now)
	w.gateway.queue.Pass(now, w.entry)
	w.gateway.mu.Unlock()
	return pause(ctx, w.turn, atMost)
}

// leave removes the request from the queue. If it goes to an endpoint, its turn lasts until it is sent.
func (w *wait) leave(sent bool) {
	now := clock.Now()
	w.gateway.mu.Lock()
	defer w.gateway.mu.Unlock()
	if w.queued {
		w.queued = false
		w.gateway.queue.Leave(now, w.entry, sent)
		if sent {
			queueRecords.Add("sent", 1)
		}
	}
	if !sent {
		w.gateway.queue.Pass(now, w.entry)
	}
}

// passTurn ends the turn of a request that was not sent, if it has it.
func (x *exchange) passTurn() {
	if x.entry == nil {
		return
	}
	x.gateway.mu.Lock()
	defer x.gateway.mu.Unlock()
	x.gateway.queue.Pass(clock.Now(), x.entry)
}

// refuseQueueFull refuses a request that had to leave the queue for more urgent ones.
func (g *Gateway) refuseQueueFull(now time.Time, x *exchange) *lifecycle.NoEndpoint {
	g.mu.Lock()
	count, bytes, drained := g.queue.Len(), g.queue.Bytes(), cmp.Or(g.queue.RetryAfter(now), busyModelRetryAfter)
	g.mu.Unlock()
	refusal := g.scheduleReturn(now, x, "the queue is full", drained)
	queueRecords.Add("full", 1)
	g.log.Emit(eventlog.QueueFull, x.request.ID, count, bytes, refusal.RetryAfter.Milliseconds())
	return refusal
}
