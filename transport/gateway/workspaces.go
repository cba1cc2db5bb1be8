package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/state/workspaces"
)

const (
	// callersServer is the name of the server to which callers connect.
	callersServer = "callers"
	// headerBodyUnread marks a request whose body was not read, since it presented no valid key. Its value is the incarnation of
	// the VM, which callers do not know.
	headerBodyUnread = "Zinniaroute-Body-Unread"
	reasonBodyUnread = "no valid key before the body"
	reasonUnknownKey = "an unknown key"
	// unauthorizedRetryAfter is the time after which a caller may retry whose VM does not check keys yet. Configurations reach
	// all VMs within 3 s.
	unauthorizedRetryAfter = time.Second
	// maxLoggedProblems bounds the log lines about one configuration.
	maxLoggedProblems = 64
)

// authenticate returns the workspace of a caller's request, which may be nil, or the reason why the request may not be served. It
// removes from the headers what identifies the caller.
func authenticate(
	table *routes.Table, route *routes.Route, header *protocol.RequestHeader,
) (workspace *workspaces.Workspace, reason string) {
	vm.RemoveForwardWorkspace(header)
	if table.Workspaces == nil {
		return nil, ""
	}
	key, reason := platform.TakeKey(header)
	if reason == "" {
		found, ok := table.Workspaces.Find(key)
		if workspace = found; !ok {
			reason = reasonUnknownKey
		}
	}
	if route.Public {
		reason = ""
	}
	return workspace, reason
}

// authenticateForwarded returns the workspace of a request that another VM forwards, or the reason why it may not be served. A VM
// of the build before names no workspace, does not check keys, and passes them on.
func authenticateForwarded(
	table *routes.Table, route *routes.Route, name string, header *protocol.RequestHeader,
) (workspace *workspaces.Workspace, reason string) {
	if name == "" {
		return authenticate(table, route, header)
	}
	if table.Workspaces == nil {
		return &workspaces.Workspace{Name: name}, ""
	}
	// The request had no key any more when it was forwarded, but may name another workspace to the runner.
	_, _ = platform.TakeKey(header)
	if workspace = table.Workspaces.Named(name); workspace == nil {
		// The workspace was removed after the other VM had accepted the request.
		workspace = &workspaces.Workspace{Name: name}
	}
	return workspace, ""
}

// mayContinue reports whether a caller may send the body of a request for which it asks (RFC 9110, section 10.1.1).
func (g *Gateway) mayContinue(header *protocol.RequestHeader) bool {
	table := g.table.Load()
	if table == nil || table.Workspaces == nil {
		return true
	}
	path, _, _ := strings.Cut(string(header.RequestURI()), "?")
	route := table.Match(string(header.Host()), path)
	if route == nil {
		return true
	}
	checked := &protocol.RequestHeader{}
	header.CopyTo(checked)
	if _, reason := authenticate(table, route, checked); reason != "" {
		header.Set(headerBodyUnread, g.incarnation)
		return false
	}
	return true
}

// bodyUnread reports whether mayContinue has refused the body. The configuration may have changed since.
func (g *Gateway) bodyUnread(header *protocol.RequestHeader) bool {
	return header.Get(headerBodyUnread) == g.incarnation
}

// refuseUnauthorized answers a request without a valid key.
func (g *Gateway) refuseUnauthorized(c *app.RequestContext, request *fleet.Request, route *routes.Route, reason string) {
	callersRefused.Add(reason, 1)
	g.log.Emit(eventlog.RequestUnauthorized, request.ID, route.Name, request.Caller.String(), reason)
	if g.bodyUnread(&c.Request.Header) {
		// What follows on the connection may be the body.
		c.SetConnectionClose()
	}
	if reason == reasonUnknownKey && g.refuseByOldConfiguration(request.ArrivedAt, c, request.ID) {
		return
	}
	g.writeStatus(c, request.ID, statusUnauthorized, 0)
	platform.SetChallenge(&c.Response.Header)
}

// refuseForwarded answers a forwarded request that no VM may send to a runner.
func (g *Gateway) refuseForwarded(c *app.RequestContext, request *fleet.Request, route *routes.Route, reason string) {
	callersRefused.Add(reason, 1)
	g.log.Emit(eventlog.ForwardUnauthorized, request.ID, route.Name, request.Caller.String(), reason)
	g.writeStatus(c, request.ID, statusServiceUnavailable, unauthorizedRetryAfter)
	vm.WriteOutcome(&c.Response.Header, vm.Refused, 0)
}

// mostUrgent is the urgency of the most urgent requests. Where priorities are of workspaces and routes, they need more of the
// range up to 9.
const (
	mostUrgent          = 3
	mostUrgentWorkspace = 1
)

// setWorkspace sets the workspace of the request, which may be nil, and the priority that follows from it.
func (x *exchange) setWorkspace(table *routes.Table, workspace *workspaces.Workspace) {
	x.workspace = workspace
	if workspace != nil {
		x.request.Workspace = workspace.Name
	}
	x.request.Priority, x.mostUrgent = x.route.Priority, mostUrgent
	if table.Workspaces != nil {
		x.mostUrgent = mostUrgentWorkspace
		x.request.WorkspacePriority = table.Workspaces.Priority(workspace)
		x.request.Priority = table.Workspaces.Rank(x.request.WorkspacePriority, x.route.Priority)
	}
}

// loggedWorkspace returns the value of a log line's field, which is left out for a request without a workspace.
func loggedWorkspace(name string) any {
	if name == "" {
		return nil
	}
	return name
}

// logWorkspaceProblems logs what is wrong with the workspaces of a configuration that applies from now on.
func (g *Gateway) logWorkspaceProblems(table *routes.Table) {
	if table.Workspaces == nil {
		return
	}
	problems := table.Workspaces.Problems()
	for _, p := range problems[:min(len(problems), maxLoggedProblems)] {
		switch p.Kind {
		case workspaces.SharedKey:
			g.log.Emit(eventlog.WorkspaceKeyShared, table.Version, p.Index, p.Name, p.Other)
		case workspaces.UnusableLimit:
			g.log.Emit(eventlog.WorkspaceLimitNotUsed, table.Version, p.Index, p.Name)
		default:
			g.log.Emit(eventlog.WorkspaceNotUsed, table.Version, p.Index, p.Name, string(p.Kind))
		}
	}
}

// WorkspaceDump is a workspace of the configuration as operators get it.
type WorkspaceDump struct {
	Name string `json:"name"`
	// Priority is empty for a workspace without one.
	Priority string `json:"priority,omitempty"`
	// PerSecond is zero for a workspace without a limit.
	PerSecond float64 `json:"ratePerSecond,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
	Tokens    bool    `json:"tokens,omitempty"`
}

func dumpWorkspaces(table *workspaces.Table) (dumped []WorkspaceDump, keys int) {
	if table == nil {
		return nil, 0
	}
	for _, w := range table.All() {
		d := WorkspaceDump{Name: w.Name, PerSecond: w.Limit.PerSecond, Burst: w.Limit.Burst, Tokens: w.Limit.Tokens}
		if w.HasPriority {
			d.Priority = strconv.Itoa(w.Priority)
		}
		dumped = append(dumped, d)
	}
	return dumped, table.Keys()
}
