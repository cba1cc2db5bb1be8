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
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
	"github.com/zinniaroute/zinniaroute/transport/operations"
	"github.com/zinniaroute/zinniaroute/transport/ring"
)

const (
	dialTimeout  = 500 * time.Millisecond
	headerBytes  = 16 << 10
	maxUpload    = 64 << 20
	drainPoll    = 20 * time.Millisecond
	retryShortly = time.Second
)

// counters are the metrics of all entries of a process.
var (
	requestsTotal = expvar.NewInt("entryRequests")
	failuresTotal = expvar.NewMap("entryFailures")
	retriesTotal  = expvar.NewInt("entryRetries")
	resumedTotal  = expvar.NewInt("entryResumedStreams")
	tokensTotal   = expvar.NewInt("entryStreamEvents")
)

// Entry answers callers.
type Entry struct {
	settings settings.Entry
	log      *eventlog.Log
	http     *httpcall.Client
	table    *table
	demand   *demand

	budget *sharedBudget

	// suspected wakes the duty that spreads suspicions.
	suspected *ring.Queue[struct{}]

	control       atomic.Pointer[netip.AddrPort]
	controlSilent atomic.Bool
	inFlight      atomic.Int64
	stopping      atomic.Bool
	refusing      atomic.Bool
	started       time.Time
	stopOnce      sync.Once
	stopRequested chan struct{}
}

// New returns an entry that is not started yet.
func New(now time.Time, s settings.Entry, log *eventlog.Log) *Entry {
	return &Entry{
		settings:      s,
		log:           log,
		http:          httpcall.NewClient(dialTimeout),
		table:         newTable(s.Process.Domain, uint64(now.UnixNano())),
		demand:        newDemand(now),
		budget:        &sharedBudget{budget: routing.NewRetryBudget(now)},
		suspected:     ring.New[struct{}](1),
		started:       now,
		stopRequested: make(chan struct{}),
	}
}

// Start runs the entry's duties in the group on open listeners.
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
	g.Start("spread suspicions", e.spreadSuspicions)
	e.log.Emit(eventlog.ProcessStarted, "entry", callers.Addr().String(), ops.Addr().String())
}

func (e *Entry) serveCallers(g *group.Group, listener net.Listener) {
	bounds := httpserve.Bounds{HeaderBytes: headerBytes, BodyBytes: maxUpload, ReadTimeout: e.settings.BodyLimit.Duration}
	server := httpserve.NewServer(listener, bounds, true)
	server.POST(openai.ChatPath, e.handle(e.answerModel))
	server.POST(openai.CompletionsPath, e.handle(e.answerModel))
	server.GET(openai.ModelsPath, e.handle(e.listModels))
	server.Any(caller.ServicesPath+":route", e.handle(e.answerService))
	server.Any(caller.ServicesPath+":route/*path", e.handle(e.answerService))
	server.GET("/health", func(_ context.Context, c *app.RequestContext) {
		if e.stopping.Load() {
			c.String(statusUnavailable, "stopping")
			return
		}
		c.String(statusOK, "ok")
	})
	server.NoRoute(e.handle(e.noRoute))
	server.NoMethod(e.handle(e.noRoute))
	server.Start(g, "callers")
}

// exchange is one caller's request in progress.
type exchange struct {
	id    string
	began time.Time
	rc    *app.RequestContext
}

// handle gives each request its identity, counts it and answers its failure.
func (e *Entry) handle(answer func(ctx context.Context, x *exchange) *failure) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		x := &exchange{id: uuid.NewString(), began: time.Now(), rc: c}
		c.Header(caller.HeaderRequestID, x.id)
		requestsTotal.Add(1)
		running := e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		failed := e.refuse(running)
		if failed == nil {
			failed = answer(ctx, x)
		}
		if failed == nil {
			return
		}
		e.noteFailure(x, failed)
		if c.Request.IsBodyStream() {
			// An unread body must not be taken for the next request.
			c.SetConnectionClose()
		}
		failed.answer(c, x.id)
	}
}

func (e *Entry) noteFailure(x *exchange, f *failure) {
	failuresTotal.Add(f.code, 1)
	if f.status >= statusBadGateway {
		e.log.Emit(eventlog.RequestFailed, x.id, string(x.rc.Path()), string(f.outcome), f.status, f.message)
	}
}

func (e *Entry) refuse(running int64) *failure {
	if e.refusing.Load() {
		return overloaded(codeStopping, "this entry is stopping; use another", retryShortly)
	}
	if running > int64(e.settings.MaxInFlight) {
		return overloaded(openai.CodeOverloaded, "this entry handles as many requests as it may", retryShortly)
	}
	return nil
}

func (e *Entry) noRoute(_ context.Context, x *exchange) *failure {
	f := badRequest(codeNoRoute, "", "unknown path or method: "+string(x.rc.Method())+" "+string(x.rc.Path()))
	f.status = statusNotFound
	f.kind = openai.TypeNotFound
	return f
}

// Drain stops the entry as planned: health fails first, then new requests are refused, then the last are finished.
// It returns the number of requests that were still running when the drain limit passed.
func (e *Entry) Drain(ctx context.Context) int64 {
	e.stopping.Store(true)
	e.log.Emit(eventlog.ProcessStopping, "entry")
	group.Sleep(ctx, e.settings.DrainWait.Duration)
	e.refusing.Store(true)
	ctx, cancel := context.WithTimeout(ctx, e.settings.DrainLimit.Duration)
	defer cancel()
	for ctx.Err() == nil && e.inFlight.Load() > 0 {
		group.Sleep(ctx, drainPoll)
	}
	return e.inFlight.Load()
}

// dump is the state of every duty of an entry.
type dump struct {
	VM        string          `json:"vm"`
	Domain    string          `json:"domain"`
	Started   time.Time       `json:"started"`
	Revision  uint64          `json:"revision"`
	Control   string          `json:"control,omitempty"`
	InFlight  int64           `json:"inFlight"`
	Stopping  bool            `json:"stopping"`
	Endpoints []endpointState `json:"endpoints"`
	// Suspicions are the requests under which endpoints were lost.
	Suspicions []quarantine.Suspicion `json:"suspicions"`
}

func (e *Entry) state(now time.Time) dump {
	_, revision := e.table.catalog()
	state := dump{
		VM:         e.settings.Process.Name,
		Domain:     e.settings.Process.Domain,
		Started:    e.started,
		Revision:   revision,
		InFlight:   e.inFlight.Load(),
		Stopping:   e.stopping.Load(),
		Endpoints:  e.table.states(now),
		Suspicions: e.table.suspicions(),
	}
	if address := e.control.Load(); address != nil {
		state.Control = address.String()
	}
	return state
}

// RequestStop begins a planned stop.
func (e *Entry) RequestStop() { e.stopOnce.Do(func() { close(e.stopRequested) }) }

// StopRequested returns a channel that is closed when a planned stop is asked for.
func (e *Entry) StopRequested() <-chan struct{} { return e.stopRequested }
