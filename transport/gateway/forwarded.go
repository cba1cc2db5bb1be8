package gateway

import (
	"context"
	"net"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// serveForwards takes requests that other VMs forward.
func (g *Gateway) serveForwards(tasks *group.Group, listener net.Listener) {
	g.serveAll(tasks, listener, "forwarded requests", g.serveForwarded)
}

// serveForwarded serves a request that another VM forwards for its caller. It sends the request to an endpoint or not at all.
func (g *Gateway) serveForwarded(ctx context.Context, c *app.RequestContext) {
	forward, err := vm.TakeForward(&c.Request.Header)
	request, timeout := platform.ReadRequest(&c.Request, forward.Caller)
	request.ArrivedAt = clock.Now()
	table := g.table.Load()
	reason := ""
	switch {
	case err != nil:
		reason = err.Error()
	case g.stopping.Load():
		c.SetConnectionClose()
		reason = "the process stops"
	case table == nil || table.Version < forward.Configuration:
		reason = "the configuration is older than the one that routed the request"
	case g.pathLost():
		reason = "this VM has no path to the runners either"
	}
	if reason != "" {
		g.declineForwarded(c, request.ID, reason)
		return
	}
	route := table.Match(string(c.Request.Header.Host()), requestPath(c))
	if route == nil {
		g.declineForwarded(c, request.ID, "no route")
		return
	}
	workspace, reason := authenticateForwarded(table, route, forward.Workspace, &c.Request.Header)
	if reason != "" {
		g.refuseForwarded(c, &request, route, reason)
		return
	}
	x := &exchange{
		gateway: g, context: c, route: route, request: request, configurationVersion: table.Version,
		service: route.Pick(g.randomFraction()), forwarded: true, maxRuns: min(route.MaxRuns, forward.Runs),
	}
	x.setWorkspace(table, workspace)
	g.serveRouted(ctx, x, timeout)
}

// declineForwarded answers that this VM has sent a forwarded request to no runner, so that another VM may.
func (g *Gateway) declineForwarded(c *app.RequestContext, attempt, reason string) {
	forwards.Add("declined", 1)
	g.log.Emit(eventlog.ForwardDeclined, attempt, reason)
	g.writeStatus(c, attempt, statusServiceUnavailable, 0)
	vm.WriteOutcome(&c.Response.Header, vm.NotTaken, 0)
}

// writeOutcome tells the VM that has forwarded the request how it ended without an answer of a runner.
func (x *exchange) writeOutcome(outcome vm.Outcome) {
	if x.forwarded {
		vm.WriteOutcome(&x.context.Response.Header, outcome, x.machine.Runs())
	}
}
