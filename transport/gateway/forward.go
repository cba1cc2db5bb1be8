package gateway

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/reach"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
)

const (
	// slowPeerTime is the time without an answer to a forwarded request after which other VMs are preferred, and slowPeerBackoff
	// how long they are.
	slowPeerTime    = time.Second
	slowPeerBackoff = 2 * time.Second
)

// choosePeer returns the VM that forwards the request to an endpoint, or "" if this VM sends it itself. Only a request of
// which the caller has no part of an answer is forwarded, and only once.
func (x *exchange) choosePeer(ctx context.Context) string {
	if x.forwarded || x.relay != nil {
		return ""
	}
	g := x.gateway
	if x.unreachable {
		g.awaitCheck(ctx)
	}
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.path.Lost() {
		return ""
	}
	var peers []reach.Peer
	for name, member := range g.memberValues {
		if name == g.settings.Name || !member.Forward.IsValid() || slices.Contains(x.machine.Excluded(), name) {
			continue
		}
		peers = append(peers, reach.Peer{
			Name: name, Domain: member.Domain, Lost: g.lostPeers[name], Slow: now.Before(g.slowPeers[name]),
		})
	}
	return reach.ChoosePeer(g.settings.Domain, peers, g.random)
}

// forward sends the request to the chosen VM. It reads the head of a stream's answer, and the whole of any other.
func (x *exchange) forward(ctx context.Context) lifecycle.Event {
	g, now := x.gateway, clock.Now()
	x.sentAt = now
	request := platform.NewForwardedRequest(&x.context.Request, x.request.Deadline.Sub(now)-deadlineMargin, x.request.Workspace)
	vm.Forward{
		Caller: x.request.Caller, Runs: max(1, x.maxRuns-x.machine.Runs()), Configuration: x.configurationVersion,
		Workspace: x.request.Workspace,
	}.Write(&request.Header)
	options := x.callOptions()
	peer := x.peer
	slow := time.AfterFunc(slowPeerTime, func() { g.recordSlowPeer(clock.Now(), peer) })
	call, err := g.peerClient.Start(ctx, g.forwardAddress(peer), request, options)
	slow.Stop()
	if err != nil {
		return x.handleForwardFailure(ctx, err)
	}
	x.call = call
	x.firstByteLatency = clock.Now().Sub(now)
	answer := readForwardedAnswer(&call.Response.Header)
	if answer.outcome == vm.Passed && x.route.Kind == routes.Stream && answer.status == statusOK {
		if !answer.sealed {
			call.Abort()
			return x.handleForwardFailure(ctx, errUnsealed)
		}
		x.reachedRunner = true
		x.logForward("stream", nil)
		return lifecycle.Answered{}
	}
	if x.body, err = call.ReadAll(ctx, maxAnswerBytes); err != nil {
		return x.handleForwardFailure(ctx, err)
	}
	x.logForward(string(answer.outcome), nil)
	x.reachedRunner = x.reachedRunner || answer.outcome != vm.NotTaken
	event := answer.event(peer)
	switch event.(type) {
	case lifecycle.Unreachable:
		g.recordSlowPeer(clock.Now(), peer)
	case lifecycle.Lost:
		for range min(answer.runs, x.maxRuns) - 1 {
			x.machine.RecordRun()
		}
	}
	return event
}

// forwardedAnswer is the head of the answer of a VM to which a request was forwarded.
type forwardedAnswer struct {
	status     int
	sealed     bool
	outcome    vm.Outcome
	runs       int
	retryAfter time.Duration
}

func readForwardedAnswer(header *protocol.ResponseHeader) forwardedAnswer {
	a := forwardedAnswer{
		status: header.StatusCode(), sealed: platform.ReadResponseHead(header).Sealed, retryAfter: platform.RetryAfter(header),
	}
	a.outcome, a.runs = vm.ReadOutcome(header)
	return a
}

// event returns what the whole answer of a VM means for the request.
func (a forwardedAnswer) event(peer string) lifecycle.Event {
	isSuccess := a.status >= statusOK && a.status < statusMultipleChoices
	switch {
	case a.outcome == vm.Passed && platform.IsPromise(a.status):
		// VMs of earlier builds pass on refusals that do not say that the request was not executed.
		return lifecycle.Lost{Unstated: true}
	case a.outcome == vm.Passed && isSuccess && !a.sealed, a.outcome != vm.Passed && a.sealed:
		// The answer of a runner is sealed and the word of a VM is not. VMs of earlier builds pass on outcomes that runners name.
		return lifecycle.Lost{}
	case a.outcome == vm.Passed:
		return lifecycle.Answered{}
	case a.outcome == vm.NotTaken:
		return lifecycle.Unreachable{}
	case a.outcome == vm.Refused:
		return lifecycle.NoEndpoint{Reason: "refused by " + peer + ", which forwards it", RetryAfter: a.retryAfter}
	default:
		return lifecycle.Lost{}
	}
}

func (x *exchange) handleForwardFailure(ctx context.Context, err error) lifecycle.Event {
	x.logForward("", err)
	x.reachedRunner = x.reachedRunner || httpcall.WasSent(err)
	if ctx.Err() == nil {
		x.gateway.recordSlowPeer(clock.Now(), x.peer)
	}
	if httpcall.WasSent(err) {
		return lifecycle.Lost{}
	}
	return lifecycle.Unreachable{}
}

func (x *exchange) logForward(outcome string, err error) {
	switch {
	case err != nil:
		outcome = "error"
	case outcome == "":
		outcome = "answer"
	}
	forwards.Add(outcome, 1)
	x.gateway.log.Emit(eventlog.RequestForwarded, x.request.ID, x.peer, outcome, clock.Now().Sub(x.sentAt).Milliseconds(), err)
}

// relayForwarded sends the answer that another VM has passed on to the caller.
func (x *exchange) relayForwarded(ctx context.Context) lifecycle.Event {
	if x.route.Kind != routes.Stream || x.call.Response.StatusCode() != statusOK {
		x.copyHead()
		x.context.Response.SetBodyRaw(x.body)
		return lifecycle.Completed{}
	}
	x.openRelay()
	err := x.relay.copy(x.call.Body(), x.call.EndsWithConnection())
	if err == nil {
		x.call.Done()
		return lifecycle.Completed{}
	}
	x.call.Abort()
	if ctx.Err() == nil && errors.Is(err, errCallerLeft) {
		return lifecycle.CallerLeft{}
	}
	x.logForward("", err)
	return lifecycle.Truncated{}
}

// forwardAddress returns the address at which a VM takes forwarded requests, or the zero address if it has left.
func (g *Gateway) forwardAddress(name string) netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.memberValues[name].Forward
}

// recordSlowPeer records that a VM does not answer a forwarded request, or does not take it.
func (g *Gateway) recordSlowPeer(now time.Time, name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowPeers[name] = now.Add(slowPeerBackoff)
}
