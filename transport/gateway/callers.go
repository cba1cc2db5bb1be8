package gateway

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

const (
	statusOK                 = 200
	statusUnauthorized       = 401
	statusMultipleChoices    = 300
	statusNotFound           = 404
	statusTooManyRequests    = 429
	statusBadGateway         = 502
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504

	// maxHeaderBytes and maxBodyBytes exceed the limits that configurations set, which are 16 KiB and 4 MiB.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 16 << 20
	// readTimeout is the time limit for the arrival of a request's header and body.
	readTimeout = 10 * time.Second
	// noConfigurationRetryAfter is the time after which a caller may retry at a VM that has no configuration yet.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// defaultTimeout is the time limit for a request whose caller and route set none.
	defaultTimeout = 60 * time.Second
)

func (g *Gateway) serveCallers(tasks *group.Group, listener net.Listener) {
	g.serveAll(tasks, listener, callersServer, g.serveRequest)
}

// inFlight returns the number of requests of callers and of other VMs that have no whole answer yet.
func (g *Gateway) inFlight() int64 {
	requests := int64(0)
	for _, server := range g.servers {
		requests += server.InFlight()
	}
	return requests
}

// serveAll serves the requests to a listener, whatever their method and path, with one handler. They count as in flight.
func (g *Gateway) serveAll(tasks *group.Group, listener net.Listener, name string, handler app.HandlerFunc) {
	bounds := httpserve.Bounds{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, ReadTimeout: readTimeout}
	server := httpserve.NewServer(listener, bounds, false)
	server.Panicked = func(cause error, stack []byte) { g.log.Emit(eventlog.HandlerPanicked, cause, string(stack)) }
	if name == callersServer {
		server.ContinueHandler = g.mayContinue
	}
	server.NoRoute(handler)
	server.NoMethod(handler)
	g.servers = append(g.servers, server)
	server.Start(tasks, name)
}

func (g *Gateway) serveReadiness(tasks *group.Group, listener net.Listener) {
	server := httpserve.NewServer(listener, httpserve.DefaultBounds(), false)
	server.GET(platform.ReadyPath, func(_ context.Context, c *app.RequestContext) {
		status := statusServiceUnavailable
		if g.ready() {
			status = statusOK
		}
		c.SetStatusCode(status)
	})
	server.Start(tasks, "readiness")
}

// serveRequest serves a caller's request.
func (g *Gateway) serveRequest(ctx context.Context, c *app.RequestContext) {
	now := clock.Now()
	if g.stopping.Load() {
		c.SetConnectionClose()
	}
	request, callerTimeout := platform.ReadRequest(&c.Request, callerAddress(c))
	request.ArrivedAt = now
	if g.refusing.Load() {
		g.log.Emit(eventlog.RequestRefusedStopping, request.ID)
		g.writeStatus(c, request.ID, statusServiceUnavailable, time.Millisecond)
		return
	}
	table := g.table.Load()
	if table == nil {
		g.writeStatus(c, request.ID, statusServiceUnavailable, noConfigurationRetryAfter)
		return
	}
	route := table.Match(string(c.Request.Header.Host()), requestPath(c))
	if route == nil {
		g.log.Emit(eventlog.NoRoute, request.ID, string(c.Request.Header.Host()), requestPath(c), table.Version)
		if !g.refuseByOldConfiguration(now, c, request.ID) {
			g.writeStatus(c, request.ID, statusNotFound, 0)
		}
		return
	}
	workspace, reason := authenticate(table, route, &c.Request.Header)
	if reason == "" && g.bodyUnread(&c.Request.Header) {
		reason = reasonBodyUnread
	}
	if reason != "" {
		g.refuseUnauthorized(c, &request, route, reason)
		return
	}
	x := &exchange{
		gateway: g, context: c, route: route, request: request, configurationVersion: table.Version,
		service: route.Pick(g.randomFraction()), maxRuns: route.MaxRuns,
	}
	x.setWorkspace(table, workspace)
	if !g.takeAllowance(ctx, x, workspace) {
		return
	}
	g.serveRouted(ctx, x, callerTimeout)
}

// refuseByOldConfiguration refuses a request that a later configuration than this VM's may allow, and reports whether it did. Callers do
// not retry after the statuses 401 and 404, as they do after this refusal.
func (g *Gateway) refuseByOldConfiguration(now time.Time, c *app.RequestContext, attempt string) bool {
	delay := g.bounds().ConfigurationDelay.Duration
	g.mu.Lock()
	age := now.Sub(g.syncedAt)
	g.mu.Unlock()
	if delay == 0 || age < max(delay-sendMargin, sendMargin) {
		return false
	}
	refusedByOldConfiguration.Add(1)
	g.writeStatus(c, attempt, statusServiceUnavailable, noConfigurationRetryAfter)
	return true
}

// serveRouted serves a request whose route is known, within the timeout of the caller if that is positive.
func (g *Gateway) serveRouted(ctx context.Context, x *exchange, callerTimeout time.Duration) {
	now, route := x.request.ArrivedAt, x.route
	x.bodyBytes = len(x.context.Request.Body())
	timeout := x.applyRoute(callerTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if route.Resumable && x.request.Resumption.After != "" {
		x.takeUp(ctx, now)
	}
	g.mu.Lock()
	budget := g.retryBudget(now, x.service)
	if !x.forwarded {
		// The VM that the caller asked counts the request.
		budget.RecordRequest(now)
		g.recordDemand(now, x.service, x)
	}
	g.mu.Unlock()
	x.machine = lifecycle.New(
		lifecycle.Limits{Retryable: route.Retryable(), MaxRuns: x.maxRuns},
		lockedBudget{gateway: g, budget: budget},
	)
	x.finish(ctx, lifecycle.Drive(ctx, clock.Now, x.machine, x))
}

// applyRoute sets what the route says of the request, and returns the time limit, which is at most that of the caller if that is
// positive.
func (x *exchange) applyRoute(callerTimeout time.Duration) time.Duration {
	route := x.route
	x.request.Kind, x.request.TargetLatency, x.request.MaxPause = route.Kind, route.TargetLatency, route.MaxPause
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if callerTimeout > 0 {
		timeout = min(timeout, callerTimeout)
	}
	x.request.Deadline = x.request.ArrivedAt.Add(timeout)
	return timeout
}

// callerAddress returns the address from which the caller has connected, or the zero address if it is unknown.
func callerAddress(c *app.RequestContext) netip.Addr {
	address, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

// requestPath returns the path of a request as the caller sent it, without the query.
func requestPath(c *app.RequestContext) string {
	path, _, _ := strings.Cut(string(c.Request.Header.RequestURI()), "?")
	return path
}

func (g *Gateway) randomFraction() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64()
}

// writeStatus writes a response without a body: the status, the identifier of the attempt, and the time after which the
// caller may retry if it is positive.
func (g *Gateway) writeStatus(c *app.RequestContext, attempt string, status int, retryAfter time.Duration) {
	c.SetStatusCode(status)
	platform.SetAttempt(&c.Response.Header, attempt)
	if retryAfter > 0 {
		platform.SetRetryAfter(&c.Response.Header, retryAfter)
	}
}

// lockedBudget is a retry budget that the gateway's lock protects.
type lockedBudget struct {
	gateway *Gateway
	budget  *lifecycle.RetryBudget
}

// Take uses up one retry. It reports false when none is left.
func (b lockedBudget) Take(now time.Time) bool {
	b.gateway.mu.Lock()
	defer b.gateway.mu.Unlock()
	return b.budget.Take(now)
}
