package bookings

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/google/uuid"

	"github.com/zinniaroute/zinniaroute/protocol/engine"
	"github.com/zinniaroute/zinniaroute/standin/fault"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

// StatePath is the HTTP path at which the stand-in serves its State as JSON.
const StatePath = "/standin/state"

// RunHeader is the request header with the ID under which executions are counted. Without it, the ID is the body, or
// the method and path if the body is empty.
const RunHeader = "Booking-Id"

// Paths with special answers.
const (
	// EmptyPath answers with status 204 and without a body.
	EmptyPath = "/empty"
	// TrailerPath answers with a chunked body and the trailer TrailerName.
	TrailerPath = "/trailer"
	TrailerName = "Booking-Checksum"
)

const (
	statusOK        = 200
	statusNoContent = 204
)

// Answer is the JSON answer to a call. It echoes the request. Run is the number of executions under its ID so far.
type Answer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query,omitempty"`
	Body   string `json:"body,omitempty"`
	Run    int    `json:"run"`
}

// RunCount is the number of executions of the requests with one ID.
type RunCount struct {
	ID    string `json:"id"`
	Count int    `json:"count"`
}

// State holds the executions counted so far.
type State struct {
	Runs []RunCount `json:"runs"`
}

// Server is a stand-in for a plain service.
type Server struct {
	Faults      fault.Injector
	workTime    time.Duration
	incarnation string
	running     atomic.Int64
	leaving     atomic.Bool
	mu          sync.Mutex
	runs        map[string]int
}

// NewServer returns a service that needs workTime for each call.
func NewServer(workTime time.Duration) *Server {
	return &Server{workTime: workTime, incarnation: uuid.NewString(), runs: make(map[string]int)}
}

// Start serves on the listener in the group.
func (s *Server) Start(g *group.Group, listener net.Listener) {
	server := httpserve.NewServer(listener, httpserve.DefaultBounds(), false)
	server.Use(s.Faults.Handle)
	server.GET(engine.ReportPath, s.report)
	server.GET(StatePath, s.state)
	server.PUT(fault.Path, func(context.Context, *app.RequestContext) {})
	server.PUT("/standin/leaving", func(context.Context, *app.RequestContext) { s.leaving.Store(true) })
	server.GET(EmptyPath, func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(statusNoContent) })
	server.GET(TrailerPath, answerWithTrailer)
	server.NoRoute(s.run)
	server.Start(g, "bookings stand-in")
}

func (s *Server) report(_ context.Context, c *app.RequestContext) {
	c.JSON(statusOK, engine.Report{
		Incarnation: s.incarnation,
		Running:     int(s.running.Load()),
		Leaving:     s.leaving.Load(),
	})
}

// State returns the executions counted so far, in no particular order.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	var state State
	for id, count := range s.runs {
		state.Runs = append(state.Runs, RunCount{ID: id, Count: count})
	}
	return state
}

func (s *Server) state(_ context.Context, c *app.RequestContext) { c.JSON(statusOK, s.State()) }

func answerWithTrailer(_ context.Context, c *app.RequestContext) {
	_ = c.Response.Header.Trailer().Set(TrailerName, "7")
	writer := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(writer)
	_, _ = writer.Write([]byte("with a trailer"))
}

func (s *Server) run(ctx context.Context, c *app.RequestContext) {
	s.running.Add(1)
	defer s.running.Add(-1)
	body, _ := c.Body()
	id := string(c.GetHeader(RunHeader))
	if id == "" {
		id = string(body)
	}
	if id == "" {
		id = string(c.Method()) + " " + string(c.Path())
	}
	s.mu.Lock()
	s.runs[id]++
	count := s.runs[id]
	s.mu.Unlock()
	select {
	case <-time.After(s.workTime):
	case <-ctx.Done():
	}
	c.JSON(statusOK, Answer{
		Method: string(c.Method()),
		Path:   string(c.Path()),
		Query:  string(c.Request.URI().QueryString()),
		Body:   string(body),
		Run:    count,
	})
}
