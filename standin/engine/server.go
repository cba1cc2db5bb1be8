package engine

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"github.com/zinniaroute/zinniaroute/protocol/engine"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/standin/fault"
	"github.com/zinniaroute/zinniaroute/state/ledger"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

// StatePath is the HTTP path at which the stand-in serves its State as JSON.
const StatePath = "/standin/state"

const (
	statusOK          = 200
	statusBadRequest  = 400
	statusNotFound    = 404
	statusTooMany     = 429
	statusUnavailable = 503
)

// Options configures a stand-in engine.
type Options struct {
	Accelerators int
	MemoryMiB    int
	Fenced       bool
	// LoadTime is the time to load a base model.
	LoadTime time.Duration
	// AdapterTime is the time to load an adapter.
	AdapterTime time.Duration
	// FirstToken is the time to first token of a request that does not queue.
	FirstToken time.Duration
	// BetweenTokens is the time between consecutive tokens.
	BetweenTokens time.Duration
	// Slots is the number of requests that run concurrently. Queue is the number that may wait for a slot.
	Slots int
	Queue int
	// CrashText is a text in a prompt that crashes the engine. Empty means that no prompt does.
	CrashText string
	// Crash ends the process. If it is nil, a crash unloads everything, changes the incarnation and closes the
	// connection of the request.
	Crash func()
}

// DefaultOptions returns the options of a small, fast engine.
func DefaultOptions() Options {
	return Options{
		Accelerators:  1,
		MemoryMiB:     80_000,
		Fenced:        true,
		LoadTime:      50 * time.Millisecond,
		AdapterTime:   7 * time.Millisecond,
		FirstToken:    5 * time.Millisecond,
		BetweenTokens: 5 * time.Millisecond,
		Slots:         64,
		Queue:         256,
	}
}

// State holds the resident items of a stand-in engine and its counters since the start. Overcommits counts the load
// orders that the engine refused for lack of accelerator memory.
type State struct {
	Items       []ledger.IndexEntry `json:"items"`
	Overcommits int                 `json:"overcommits"`
	Orders      int                 `json:"orders"`
	Fence       uint64              `json:"fence"`
	Started     int64               `json:"started"`
	Finished    int64               `json:"finished"`
	Cancelled   int64               `json:"cancelled"`
	Tokens      int64               `json:"tokens"`
	Crashes     int64               `json:"crashes"`
	Incarnation string              `json:"incarnation"`
	// Refused is the number of calls that were refused by a form.
	Refused int `json:"refused"`
}

// Server is a stand-in for a model engine.
type Server struct {
	Faults      fault.Injector
	options     Options
	memory      *memory
	slots       chan struct{}
	incarnation atomic.Value
	waiting     atomic.Int64
	started     atomic.Int64
	finished    atomic.Int64
	cancelled   atomic.Int64
	tokens      atomic.Int64
	crashes     atomic.Int64
	leaving     atomic.Bool
	form        atomic.Pointer[Form]
	copies      copies
}

// NewServer returns an engine with nothing loaded.
func NewServer(options Options) *Server {
	s := &Server{
		options: options,
		memory:  newMemory(options.Accelerators, options.MemoryMiB, options.Fenced),
		slots:   make(chan struct{}, options.Slots),
		copies:  copies{calls: make(map[string]int), pending: make(map[string][]byte)},
	}
	s.incarnation.Store(uuid.NewString())
	return s
}

// Start serves on the listener in the group.
func (s *Server) Start(g *group.Group, listener net.Listener) {
	server := httpserve.NewServer(listener, httpserve.DefaultBounds(), false)
	server.Use(s.Faults.Handle, s.copyRefusal)
	server.POST(engine.IndexPath, s.index)
	server.POST(engine.ModelsPath+":name"+engine.LoadSuffix, s.load)
	server.POST(engine.ModelsPath+":name"+engine.UnloadSuffix, s.unload)
	server.GET(engine.ReportPath, s.report)
	server.GET(engine.HealthPath, func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(statusOK) })
	server.POST(openai.ChatPath, func(ctx context.Context, c *app.RequestContext) { s.complete(ctx, c, true) })
	server.POST(openai.CompletionsPath, func(ctx context.Context, c *app.RequestContext) { s.complete(ctx, c, false) })
	server.GET(StatePath, s.state)
	server.PUT("/standin/leaving", func(context.Context, *app.RequestContext) { s.leaving.Store(true) })
	server.PUT(FormPath, s.setForm)
	server.PUT(fault.Path, func(context.Context, *app.RequestContext) {})
	server.Start(g, "engine stand-in")
}

// State returns the resident items and the counters.
func (s *Server) State() State {
	s.memory.mu.Lock()
	overcommits, orders, fence := s.memory.overcommits, s.memory.orders, s.memory.fence
	s.memory.mu.Unlock()
	s.copies.mu.Lock()
	refused := s.copies.refused
	s.copies.mu.Unlock()
	return State{
		Items:       s.memory.index(),
		Overcommits: overcommits,
		Orders:      orders,
		Fence:       fence,
		Started:     s.started.Load(),
		Finished:    s.finished.Load(),
		Cancelled:   s.cancelled.Load(),
		Tokens:      s.tokens.Load(),
		Crashes:     s.crashes.Load(),
		Incarnation: s.incarnation.Load().(string),
		Refused:     refused,
	}
}

func (s *Server) state(_ context.Context, c *app.RequestContext) { c.JSON(statusOK, s.State()) }

func (s *Server) index(_ context.Context, c *app.RequestContext) {
	c.Header(engine.IncarnationHeader, s.incarnation.Load().(string))
	c.JSON(statusOK, s.memory.index())
}

func (s *Server) report(_ context.Context, c *app.RequestContext) {
	c.JSON(statusOK, engine.Report{
		Incarnation: s.incarnation.Load().(string),
		Running:     len(s.slots),
		Waiting:     int(s.waiting.Load()),
		Leaving:     s.leaving.Load(),
	})
}

func (s *Server) load(ctx context.Context, c *app.RequestContext) {
	order, ok := s.parseOrder(c)
	if !ok {
		return
	}
	name := c.Param("name")
	resident, refused := s.memory.beginLoad(name, order)
	if refused != nil {
		c.JSON(refused.status, engine.ErrorResponse{Error: refused.reason})
		return
	}
	if !resident {
		duration := s.options.LoadTime
		if order.Kind == ledger.ItemAdapter {
			duration = s.options.AdapterTime
		}
		// A load continues when the sender of its order disconnects.
		group.Sleep(context.WithoutCancel(ctx), duration)
		s.memory.finishLoad(name)
	}
	c.JSON(statusOK, struct{}{})
}

func (s *Server) unload(_ context.Context, c *app.RequestContext) {
	order, ok := s.parseOrder(c)
	if !ok {
		return
	}
	if refused := s.memory.unload(c.Param("name"), order); refused != nil {
		c.JSON(refused.status, engine.ErrorResponse{Error: refused.reason})
		return
	}
	c.JSON(statusOK, struct{}{})
}

func (s *Server) parseOrder(c *app.RequestContext) (engine.OrderParameters, bool) {
	body, _ := c.Body()
	var request engine.OrderRequest
	if err := json.Unmarshal(body, &request); err != nil {
		c.JSON(statusBadRequest, engine.ErrorResponse{Error: err.Error()})
		return engine.OrderParameters{}, false
	}
	return request.Parameters, true
}

func (s *Server) crashIfTriggered(c *app.RequestContext, request *openai.Request) bool {
	if s.options.CrashText == "" || !promptContains(request, s.options.CrashText) {
		return false
	}
	s.crashes.Add(1)
	if s.options.Crash != nil {
		s.options.Crash()
	}
	s.memory.reset()
	s.incarnation.Store(uuid.NewString())
	_ = c.GetConn().Close()
	return true
}

func promptContains(request *openai.Request, text string) bool {
	if strings.Contains(string(request.Prompt), text) {
		return true
	}
	for _, message := range request.Messages {
		if strings.Contains(string(message.Content), text) {
			return true
		}
	}
	return false
}
