package entry

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/state/routing"
	"github.com/zinniaroute/zinniaroute/state/workspaces"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
	"github.com/zinniaroute/zinniaroute/transport/operations"
	"github.com/zinniaroute/zinniaroute/transport/ring"
)

const (
	dialTimeout       = 500 * time.Millisecond
	maxHeaderBytes    = 16 << 10
	maxUploadBytes    = 64 << 20
	drainPollInterval = 20 * time.Millisecond
	defaultRetryAfter = time.Second
)

// The metrics of all entries of a process.
var (
	requestsTotal     = expvar.NewInt("entryRequests")
	failuresTotal     = expvar.NewMap("entryFailures")
	retriesTotal      = expvar.NewInt("entryRetries")
	resumedTotal      = expvar.NewInt("entryResumedStreams")
	streamEventsTotal = expvar.NewInt("entryStreamEvents")
)

// Entry receives callers' requests and forwards them to endpoints.
type Entry struct {
	settings settings.Entry
	log      *eventlog.Log
	http     *httpcall.Client
	table    *table
	// callerKeys holds the workspaces of callers and their allowances.
	callerKeys *callerKeys
	demand     *demand

	retryBudget *sharedBudget

	// crashesChanged wakes the task that reports new crash records to the control.
	crashesChanged *ring.Queue[struct{}]

	controlAddress atomic.Pointer[netip.AddrPort]
	controlLost    atomic.Bool
	inFlight       atomic.Int64
	// callers serves callers. Start sets it.
	callers       *httpserve.Server
	stopping      atomic.Bool
	rejecting     atomic.Bool
	startedAt     time.Time
	stopOnce      sync.Once
	stopRequested chan struct{}
}

// New returns an entry that has not started.
func New(now time.Time, s settings.Entry, log *eventlog.Log) *Entry {
	return &Entry{
		settings:       s,
		log:            log,
		http:           httpcall.NewClient(dialTimeout),
		table:          newTable(s.Process.Domain, uint64(now.UnixNano())),
		callerKeys:     newCallerKeys(len(s.Controls)),
		demand:         newDemand(now),
		retryBudget:    &sharedBudget{budget: routing.NewRetryBudget(now)},
		crashesChanged: ring.New[struct{}](1),
		startedAt:      now,
		stopRequested:  make(chan struct{}),
	}
}

// Start runs the entry's servers and background tasks in the group. Both listeners must be open.
func (e *Entry) Start(g *group.Group, callers, ops net.Listener) {
	e.serveCallers(g, callers)
	server := httpserve.NewServer(ops, httpserve.DefaultBounds(), false)
	operations.Serve(server, operations.Source{
		Health: func() bool { return !e.stopping.Load() },
		State:  func(now time.Time) any { return e.state(now) },
		Stop:   e.RequestStop,
	})
	server.Start(g, "entry operations")
	g.Start("follow", e.follow)
	g.Start("report", e.report)
	g.Start("spread crash records", e.spreadCrashes)
	e.log.Emit(eventlog.ProcessStarted, "entry", callers.Addr().String(), ops.Addr().String())
}

func (e *Entry) serveCallers(g *group.Group, listener net.Listener) {
	bounds := httpserve.Bounds{
		HeaderBytes: maxHeaderBytes,
		BodyBytes:   maxUploadBytes,
		ReadTimeout: e.settings.BodyLimit.Duration,
	}
	server := httpserve.NewServer(listener, bounds, true)
	server.POST(openai.ChatPath, e.handle(e.authenticated(e.charged(e.answerModel))))
	server.POST(openai.CompletionsPath, e.handle(e.authenticated(e.charged(e.answerModel))))
	server.GET(openai.ModelsPath, e.handle(e.authenticated(e.listModels)))
	server.Any(caller.ServicesPath+":route", e.handle(e.authenticated(e.charged(e.answerService))))
	server.Any(caller.ServicesPath+":route/*path", e.handle(e.authenticated(e.charged(e.answerService))))
	server.GET("/health", func(_ context.Context, c *app.RequestContext) {
		if e.stopping.Load() {
			c.String(statusUnavailable, "stopping")
			return
		}
		c.String(statusOK, "ok")
	})
	server.NoRoute(e.handle(e.noRoute))
	server.NoMethod(e.handle(e.noRoute))
	e.callers = server
	server.Start(g, "callers")
}

// exchange is a caller's request with its HTTP context.
type exchange struct {
	id             string
	receivedAt     time.Time
	requestContext *app.RequestContext
	// workspace is nil in a catalog without workspaces.
	workspace *workspaces.Workspace
	// charged means that the request has used up a part of the workspace's allowance.
	charged bool
}

// handle returns a handler that gives each request an ID, rejects requests above the limit, and writes the failure if
// answer returns one.
func (e *Entry) handle(answer func(ctx context.Context, x *exchange) *failure) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		x := &exchange{id: uuid.NewString(), receivedAt: time.Now(), requestContext: c}
		c.Header(caller.HeaderRequestID, x.id)
		requestsTotal.Add(1)
		running := e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		failed := e.rejection(running)
		if failed == nil {
			failed = answer(ctx, x)
		}
		if failed == nil {
			return
		}
		e.refund(x, failed)
		e.recordFailure(x, failed)
		if c.Request.IsBodyStream() {
			// Otherwise the unread body would be parsed as the next request.
			c.SetConnectionClose()
		}
		failed.write(c, x.id)
	}
}

func (e *Entry) recordFailure(x *exchange, f *failure) {
	failuresTotal.Add(f.code, 1)
	if f.status >= statusBadGateway {
		e.log.Emit(eventlog.RequestFailed, x.id, string(x.requestContext.Path()), string(f.outcome), f.status, f.message)
	}
}

func (e *Entry) rejection(running int64) *failure {
	if e.rejecting.Load() {
		return unavailable(codeStopping, "this entry is stopping; use another", defaultRetryAfter)
	}
	if running > int64(e.settings.MaxInFlight) {
		return unavailable(openai.CodeOverloaded, "this entry handles as many requests as it may", defaultRetryAfter)
	}
	return nil
}

func (e *Entry) noRoute(_ context.Context, x *exchange) *failure {
	f := badRequest(codeUnknownRoute, "", "unknown path or method: "+
		string(x.requestContext.Method())+" "+string(x.requestContext.Path()))
	f.status = statusNotFound
	f.errorType = openai.TypeNotFound
	return f
}

// Drain prepares a graceful shutdown. It fails the health check, then rejects new requests, then waits for those in
// flight. It returns the number of requests that are still in flight when the drain limit passes.
func (e *Entry) Drain(ctx context.Context) int64 {
	e.stopping.Store(true)
	e.log.Emit(eventlog.ProcessStopping, "entry")
	group.Sleep(ctx, e.settings.DrainWait.Duration)
	e.rejecting.Store(true)
	ctx, cancel := context.WithTimeout(ctx, e.settings.DrainLimit.Duration)
	defer cancel()
	for ctx.Err() == nil && e.callers.InFlight() > 0 {
		group.Sleep(ctx, drainPollInterval)
	}
	return e.callers.InFlight()
}

// dump is the entry's state as shown to operators.
type dump struct {
	VM        string          `json:"vm"`
	Domain    string          `json:"domain"`
	StartedAt time.Time       `json:"started"`
	Revision  uint64          `json:"revision"`
	Control   string          `json:"control,omitempty"`
	InFlight  int64           `json:"inFlight"`
	Stopping  bool            `json:"stopping"`
	Endpoints []endpointState `json:"endpoints"`
	// Workspaces are the workspaces of callers, with what this entry may admit of each.
	Workspaces []workspaceState `json:"workspaces,omitempty"`
	// Suspicions lists the requests that ran on endpoints when these crashed.
	Suspicions []quarantine.Suspicion `json:"suspicions"`
}

func (e *Entry) state(now time.Time) dump {
	_, revision := e.table.catalog()
	state := dump{
		VM:         e.settings.Process.Name,
		Domain:     e.settings.Process.Domain,
		StartedAt:  e.startedAt,
		Revision:   revision,
		InFlight:   e.inFlight.Load(),
		Stopping:   e.stopping.Load(),
		Endpoints:  e.table.states(now),
		Suspicions: e.table.suspicions(now),
		Workspaces: e.callerKeys.states(now),
	}
	if address := e.controlAddress.Load(); address != nil {
		state.Control = address.String()
	}
	return state
}

// RequestStop requests a graceful shutdown. Further calls have no effect.
func (e *Entry) RequestStop() { e.stopOnce.Do(func() { close(e.stopRequested) }) }

// StopRequested returns a channel that RequestStop closes.
func (e *Entry) StopRequested() <-chan struct{} { return e.stopRequested }
