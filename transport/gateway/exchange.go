package gateway

import (
	"context"
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/state/waiting"
	"github.com/zinniaroute/zinniaroute/state/workspaces"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
)

const (
	maxAnswerBytes = 8 << 20
	// minServerErrorStatus is the lowest status that counts as a failure of the endpoint.
	minServerErrorStatus = 500
	// deadlineMargin is subtracted from the time limit that a runner gets, so that its answer arrives before the deadline.
	deadlineMargin = 5 * time.Millisecond
)

// errUnsealed reports a success status without the runner's signature, so the answer is not from the runner.
var errUnsealed = errors.New("success status without the runner's signature")

// exchange performs the actions of a request's state machine.
type exchange struct {
	gateway *Gateway
	context *app.RequestContext
	route   *routes.Route
	service string
	request fleet.Request
	// workspace is the one that the caller's key belongs to, or nil.
	workspace *workspaces.Workspace
	// mostUrgent is the urgency, for the runner, of the most urgent requests.
	mostUrgent int
	machine    *lifecycle.Machine
	// configurationVersion is the version of the configuration that routed the request.
	configurationVersion uint64
	// maxRuns is the largest number of endpoints that may run the request.
	maxRuns int
	// forwarded means that another VM has sent the request, for its caller.
	forwarded bool
	// peer is the VM to which the request is forwarded, or "".
	peer string
	// bodyBytes is the size of the request's body.
	bodyBytes int
	// entry stands for the request in the queue. It is nil until an endpoint is chosen.
	entry *waiting.Entry
	// callerLeft reports that the caller has closed the connection, or its side of it.
	callerLeft bool
	// reserved are the reservations of the request's prompt.
	reserved promptReservations
	// unreachable reports that the request found an endpoint unreachable.
	unreachable bool

	choice   dispatch.Choice
	inFlight *dispatch.InFlight
	run      *quarantine.Run
	// trial means that the request may run although it is quarantined.
	trial bool
	call  *httpcall.Exchange
	// body is the body of an answer that is relayed whole.
	body  []byte
	relay *eventRelay
	// binding holds the software version of a resumable stream that has begun, and is nil for other requests.
	binding *binding
	// begun is the resumable stream that this request has begun, or nil.
	begun *stream
	// resumption means that the caller takes up a stream that broke off.
	resumption bool
	sentAt     time.Time
	// sends is the number of times that the request was sent to an endpoint.
	sends int
	// listAge is the age of the list of endpoints at the last send to one.
	listAge time.Duration
	// taken is what the request has taken of its workspace's allowance, and reachedRunner means that it may have been sent.
	taken         takenAllowance
	reachedRunner bool
	// firstByteLatency is the time from the last send to the first byte of the answer.
	firstByteLatency time.Duration
}

// ReplaceEvent replaces an event by Expired or CallerLeft when the request's context has ended, unless an answer has
// arrived or the caller is known to have left.
func (x *exchange) ReplaceEvent(ctx context.Context, event lifecycle.Event) lifecycle.Event {
	switch event.(type) {
	case lifecycle.Answered, lifecycle.Completed:
		return event
	case lifecycle.CallerLeft:
		x.callerLeft = true
		return event
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lifecycle.Expired{}
	case ctx.Err() != nil:
		x.callerLeft = true
		return lifecycle.CallerLeft{}
	default:
		return event
	}
}

// Choose returns the chosen endpoint, or the reason why none can take the request.
func (x *exchange) Choose(ctx context.Context) lifecycle.Event {
	if x.peer = x.choosePeer(ctx); x.peer != "" {
		return lifecycle.Chosen{Endpoint: x.peer}
	}
	if x.resumption && x.binding == nil {
		return x.refuseTakeUp()
	}
	choice, refusal := x.gateway.chooseEndpoint(ctx, x)
	if refusal != nil {
		return *refusal
	}
	if x.relay != nil {
		from := x.choice.Runner
		x.gateway.log.Emit(
			eventlog.StreamContinued, x.request.ID, from.ID, from.Software, choice.Runner.ID, choice.Runner.Software,
			x.relay.lastEvent,
		)
	}
	x.choice = choice
	return lifecycle.Chosen{Endpoint: choice.Runner.ID}
}

// Send sends the request to the chosen endpoint. It reads the head of a stream's answer, and the whole of any other.
func (x *exchange) Send(ctx context.Context) lifecycle.Event {
	if x.peer != "" {
		return x.forward(ctx)
	}
	g := x.gateway
	g.confirmRunner(ctx, x.choice.Runner.ID)
	now := clock.Now()
	if !x.recordSent(now) {
		return lifecycle.NotSent{}
	}
	send := platform.RequestHeaders{
		Runner:  x.choice.Runner.ID,
		Timeout: x.request.Deadline.Sub(now) - deadlineMargin,
		Urgency: x.urgency(), Workspace: x.request.Workspace,
	}
	if x.relay != nil {
		send.ResumeAfter = x.relay.lastEvent
	}
	request := platform.NewRequest(&x.context.Request, send)
	options := x.callOptions()
	call, err := g.endpointClient.Start(ctx, x.choice.Runner.Address, request, options)
	if err != nil {
		return x.handleCallFailure(ctx, err)
	}
	x.call, x.reachedRunner = call, true
	return x.handleResponse(ctx)
}

// callOptions returns the options of the calls that send the request. A response to a request without an attempt can be told
// from others only on a connection of its own.
func (x *exchange) callOptions() httpcall.Options {
	return httpcall.Options{
		Fresh: x.request.ID == "",
		Name:  x.request.ID,
		Match: func(header *protocol.ResponseHeader) httpcall.Match {
			return platform.MatchAttempt(header, x.request.ID)
		},
	}
}

// recordSent records that the request is sent to the chosen endpoint. It reports false if the endpoint cannot take it any more:
// other requests of this VM may have taken its last place since the choice, or the endpoint may have asked for a rest.
func (x *exchange) recordSent(now time.Time) bool {
	g := x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.queue.Pass(now, x.entry)
	runner := g.directory.Get(x.choice.Runner.ID)
	if !g.scheduler.Eligible(now, &x.request, runner, x.machine.Excluded()) {
		requestsChosenAgain.Add(1)
		return false
	}
	x.inFlight = g.scheduler.RecordSent(now, &x.request, x.choice)
	x.beginRun(now)
	x.sentAt = now
	x.listAge = now.Sub(g.syncedAt)
	x.sends++
	g.queue.Charge(now, x.entry.Workspace, max(1, x.request.PromptTokens+x.request.OutputTokens))
	return true
}

// urgency returns the urgency of the request for the runner, up to 9. The runner admits lower values first.
func (x *exchange) urgency() int { return min(9, x.mostUrgent+x.request.Priority) }

func (x *exchange) handleCallFailure(ctx context.Context, err error) lifecycle.Event {
	sent := httpcall.WasSent(err)
	x.reachedRunner = x.reachedRunner || sent
	x.recordCallFailure(ctx, sent, err)
	x.gateway.log.Emit(eventlog.EndpointFailed, x.request.ID, x.choice.Runner.ID, sent, err)
	if ctx.Err() == nil && httpcall.BeforeAnswer(err) {
		x.gateway.recordPathFailure()
	}
	if sent {
		return lifecycle.Lost{}
	}
	x.unreachable = true
	return lifecycle.Unreachable{}
}

func (x *exchange) recordCallFailure(ctx context.Context, sent bool, err error) {
	x.releasePrompt()
	now := clock.Now()
	x.gateway.mu.Lock()
	defer x.gateway.mu.Unlock()
	defer x.gateway.queue.Changed(now)
	if sent {
		x.failRun(ctx, now, err)
	} else {
		x.endRun(now, false)
		if ctx.Err() == nil && errors.Is(err, syscall.ECONNREFUSED) {
			x.gateway.recordConnectionFailure(now, x.choice.Runner)
		}
	}
	switch {
	case ctx.Err() != nil:
		x.gateway.scheduler.RecordOutcome(now, x.inFlight, dispatch.Cancelled)
	case sent:
		x.gateway.scheduler.RecordOutcome(now, x.inFlight, dispatch.Failed)
	default:
		x.gateway.scheduler.RecordUnreachable(now, x.inFlight)
	}
}

func (x *exchange) handleResponse(ctx context.Context) lifecycle.Event {
	header := &x.call.Response.Header
	head := platform.ReadResponseHead(header)
	x.recordLimit(head)
	x.recordBrittle(head)
	x.recordStanding(head)
	x.recordLoad(head)
	x.recordMachineLoad(head)
	if !head.NotRun && (head.Stated || platform.IsPromise(header.StatusCode())) {
		x.logUnproven(head)
	}
	switch {
	case head.NotRun:
		return x.handleDecline(ctx, head)
	case platform.IsPromise(header.StatusCode()):
		return x.handleUnstated(ctx)
	}
	if status := header.StatusCode(); status >= statusOK && status < statusMultipleChoices && !head.Sealed {
		x.call.Abort()
		return x.handleCallFailure(ctx, errUnsealed)
	}
	if x.route.Kind == routes.Stream && header.StatusCode() == statusOK {
		x.recordFirstByte()
		if !x.confirmStream(ctx) {
			return lifecycle.Lost{}
		}
		return lifecycle.Answered{}
	}
	body, err := x.call.ReadAll(ctx, maxAnswerBytes)
	if err != nil {
		return x.handleCallFailure(ctx, err)
	}
	x.body = body
	failure := header.StatusCode() >= minServerErrorStatus
	outcome := dispatch.Served
	if failure {
		outcome = dispatch.Failed
	}
	x.recordFirstByte()
	x.recordOutcome(outcome, header.StatusCode() < statusMultipleChoices)
	// A stream can only be continued by a stream.
	return lifecycle.Answered{Failure: failure || x.relay != nil}
}

// confirmStream reports whether a stream that begins to arrive may be relayed. It ends the call if the caller has events of
// the stream and the runner may have another version of the software than the one that sent them.
func (x *exchange) confirmStream(ctx context.Context) bool {
	if !x.route.Resumable {
		return true
	}
	if x.binding == nil {
		x.bind()
		return true
	}
	err := x.gateway.confirmIncarnation(ctx, x.choice.Runner)
	if err == nil {
		return true
	}
	x.call.Abort()
	x.recordOutcome(dispatch.Cancelled, false)
	x.gateway.log.Emit(eventlog.EndpointFailed, x.request.ID, x.choice.Runner.ID, true, err)
	return false
}

// handleUnstated ends a run whose answer has the status of a refusal. The status promises callers that the request has not run,
// which the runner does not say.
func (x *exchange) handleUnstated(ctx context.Context) lifecycle.Event {
	if _, err := x.call.ReadAll(ctx, maxAnswerBytes); err != nil {
		return x.handleCallFailure(ctx, err)
	}
	x.recordFirstByte()
	x.recordOutcome(dispatch.Failed, false)
	return lifecycle.Lost{Unstated: true}
}

func (x *exchange) handleDecline(ctx context.Context, head platform.ResponseHead) lifecycle.Event {
	sinceSend := clock.Now().Sub(x.sentAt)
	_, err := x.call.ReadAll(ctx, maxAnswerBytes)
	if err != nil {
		x.gateway.log.Emit(eventlog.EndpointFailed, x.request.ID, x.choice.Runner.ID, true, err)
	}
	full := x.recordFull(head)
	x.recordOutcome(dispatch.Declined, false)
	if head.Misdirected {
		x.gateway.removeUnit(x.choice.Runner, x.request.Unit)
	}
	status := x.call.Response.StatusCode()
	x.gateway.log.Emit(
		eventlog.EndpointDeclined, x.request.ID, x.choice.Runner.ID, status, x.request.Unit.String(),
		head.Named, head.Stated, x.call.Reused(), x.call.Connection(), x.sends, sinceSend.Milliseconds(),
	)
	return lifecycle.Declined{Misdirected: head.Misdirected, Full: full}
}

// logUnproven logs an answer that may be taken for a refusal without being one.
func (x *exchange) logUnproven(head platform.ResponseHead) {
	answersUnproven.Add(strconv.Itoa(x.call.Response.StatusCode()), 1)
	x.gateway.log.Emit(
		eventlog.AnswerUnproven, x.request.ID, x.choice.Runner.ID, x.call.Response.StatusCode(), head.Named, head.Stated,
		x.call.Reused(), x.call.Connection(),
	)
}

func (x *exchange) recordFirstByte() {
	x.releasePrompt()
	now := clock.Now()
	x.firstByteLatency = now.Sub(x.sentAt)
	x.gateway.mu.Lock()
	defer x.gateway.mu.Unlock()
	x.gateway.scheduler.RecordFirstByte(now, x.inFlight)
	x.run.RecordFirstByte(now)
	x.gateway.queue.Changed(now)
}

// recordOutcome records the result of a run. Succeeded means that a whole answer with a success status arrived.
func (x *exchange) recordOutcome(outcome dispatch.Outcome, succeeded bool) {
	x.releasePrompt()
	now := clock.Now()
	x.gateway.mu.Lock()
	defer x.gateway.mu.Unlock()
	x.gateway.scheduler.RecordOutcome(now, x.inFlight, outcome)
	x.endRun(now, succeeded)
	x.gateway.queue.Changed(now)
}

// recordBrokenAnswer records a run whose answer broke off.
func (x *exchange) recordBrokenAnswer(ctx context.Context, outcome dispatch.Outcome, err error) {
	now := clock.Now()
	x.gateway.mu.Lock()
	defer x.gateway.mu.Unlock()
	x.gateway.scheduler.RecordOutcome(now, x.inFlight, outcome)
	x.failRun(ctx, now, err)
	x.gateway.queue.Changed(now)
}

// Relay sends the answer that arrived to the caller.
func (x *exchange) Relay(ctx context.Context) lifecycle.Event {
	if x.peer != "" {
		return x.relayForwarded(ctx)
	}
	response := &x.context.Response
	if x.route.Kind == routes.Stream && x.call.Response.StatusCode() == statusOK {
		return x.relayEvents(ctx)
	}
	x.copyHead()
	response.SetBodyRaw(x.body)
	return lifecycle.Completed{}
}

// copyHead copies the head of a runner's answer to the one for the caller. A runner does not speak for the VM that forwards.
func (x *exchange) copyHead() {
	platform.CopyHead(&x.call.Response.Header, &x.context.Response.Header)
	vm.RemoveOutcome(&x.context.Response.Header)
}

// openRelay begins the answer to the caller with the head of a stream.
func (x *exchange) openRelay() {
	x.copyHead()
	after := ""
	if x.resumption {
		after = x.request.Resumption.After
	}
	x.relay = newEventRelay(x.context, x.gateway.eventBudget, after)
}

func (x *exchange) relayEvents(ctx context.Context) lifecycle.Event {
	if x.relay == nil {
		x.openRelay()
	}
	x.relay.pauses.restart()
	// A forwarded stream says nothing about a runner, and has no request in flight here.
	x.relay.onEventTime = x.recordEventTime
	err := x.relay.copy(x.call.Body(), x.call.EndsWithConnection())
	switch {
	case err == nil:
		x.call.Done()
		x.recordOutcome(dispatch.Served, true)
		if x.binding != nil {
			x.binding.complete.Store(true)
		}
		return lifecycle.Completed{}
	case errors.Is(err, errCallerLeft) || ctx.Err() != nil:
		x.call.Abort()
		x.recordBrokenAnswer(ctx, dispatch.Cancelled, errCallerLeft)
		if ctx.Err() == nil {
			return lifecycle.CallerLeft{}
		}
		return lifecycle.Truncated{}
	default:
		x.call.Abort()
		x.recordBrokenAnswer(ctx, dispatch.Failed, err)
		x.gateway.log.Emit(eventlog.EndpointFailed, x.request.ID, x.choice.Runner.ID, true, err)
		return lifecycle.Truncated{Resumable: x.binding != nil && x.boundSoftware(ctx) != ""}
	}
}

// sendDelay returns the time from the request's arrival to its last send, or zero if it was not sent.
func (x *exchange) sendDelay() time.Duration {
	if x.sentAt.IsZero() {
		return 0
	}
	return x.sentAt.Sub(x.request.ArrivedAt)
}

// closeCaller closes the connection to the caller without an answer, or within one.
func (x *exchange) closeCaller() {
	if err := x.context.GetConn().Close(); err != nil && !errors.Is(err, io.EOF) {
		x.gateway.log.Emit(eventlog.EndpointFailed, x.request.ID, "caller", true, err)
	}
}

// finish performs the machine's final action, and logs and counts the request.
func (x *exchange) finish(ctx context.Context, action lifecycle.Action) {
	g := x.gateway
	x.passTurn()
	x.releasePrompt()
	status := 0
	switch action {
	case lifecycle.Refuse:
		status = statusServiceUnavailable
		g.writeStatus(x.context, x.request.ID, status, max(x.machine.RetryAfter(), time.Millisecond))
		if x.resumption {
			x.context.Response.SetBodyString(x.machine.Reason() + "; without Last-Event-Id the stream begins again\n")
		}
		x.writeOutcome(vm.Refused)
	case lifecycle.Fail:
		status = statusBadGateway
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			status = statusGatewayTimeout
		}
		g.writeStatus(x.context, x.request.ID, status, 0)
		x.writeOutcome(vm.Failed)
	case lifecycle.Abort:
		x.closeCaller()
	default:
		status = x.context.Response.StatusCode()
		if x.callerLeft {
			// The HTTP library would send an answer of its own to a caller that still reads.
			x.closeCaller()
		}
	}
	now := clock.Now()
	x.refundAllowance(now)
	event := eventlog.RequestNotServed
	if status >= statusOK && status < minServerErrorStatus && action == lifecycle.End {
		event = eventlog.RequestServed
	}
	g.metrics.recordRequest(x, action, status, now)
	g.log.Emit(
		event, x.request.ID, x.route.Name, x.request.Unit.String(), string(action), status,
		x.machine.Reason(), x.machine.Endpoint(), x.machine.Runs(), now.Sub(x.request.ArrivedAt).Milliseconds(),
		x.choice.Wait.Milliseconds(), x.sendDelay().Milliseconds(), x.firstByteLatency.Milliseconds(),
		x.longestPause().Milliseconds(), x.configurationVersion, loggedWorkspace(x.request.Workspace), x.listAge.Milliseconds(),
	)
}
