package gateway

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
)

const (
	maxAnswerBytes = 8 << 20
	// serverError is the first status of an endpoint's own failures.
	serverError = 500
	// leftMargin is kept back from the time that a runner is given, so that its answer arrives in time.
	leftMargin = 5 * time.Millisecond
)

// errUnsealed tells of a success that no runner signed, which is not the runner's answer.
var errUnsealed = errors.New("a success without the runner's signature")

// exchange carries one request through its machine.
type exchange struct {
	gateway *Gateway
	context *app.RequestContext
	route   *routes.Route
	service string
	request fleet.Request
	machine *lifecycle.Machine
	// version is that of the configuration that routed the request.
	version uint64

	choice dispatch.Choice
	ticket *dispatch.InFlight
	call   *httpcall.Exchange
	// body is a whole answer that has been read.
	body  []byte
	relay *eventRelay
	sent  time.Time
	// first is the time from the last send to the first byte of the answer.
	first time.Duration
}

// ReplaceEvent replaces an event by the end of the request's time or the caller's leaving, but for answers that have
// come.
func (x *exchange) ReplaceEvent(ctx context.Context, event lifecycle.Event) lifecycle.Event {
	switch event.(type) {
	case lifecycle.Answered, lifecycle.Completed, lifecycle.CallerLeft:
		return event
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lifecycle.Expired{}
	case ctx.Err() != nil:
		return lifecycle.CallerLeft{}
	default:
		return event
	}
}

// Choose picks an endpoint, or tells why none takes the request.
func (x *exchange) Choose(ctx context.Context) lifecycle.Event {
	choice, refusal := x.gateway.place(ctx, x)
	if refusal != nil {
		return *refusal
	}
	x.choice = choice
	return lifecycle.Chosen{Endpoint: choice.Runner.ID}
}

// Send sends the request to the chosen endpoint, and reads the head of its answer or the whole of it.
func (x *exchange) Send(ctx context.Context) lifecycle.Event {
	now := clock.Now()
	g := x.gateway
	g.mu.Lock()
	x.ticket = g.desk.RecordSent(now, &x.request, x.choice)
	g.mu.Unlock()
	x.sent = now
	send := platform.RequestHeaders{
		Runner:  x.choice.Runner.ID,
		Timeout: x.request.Deadline.Sub(now) - leftMargin,
		Urgency: x.urgency(),
	}
	if x.relay != nil {
		send.ResumeAfter = x.relay.lastEvent
	}
	request := platform.NewRequest(&x.context.Request, send)
	options := httpcall.Options{
		Accept: func(header *protocol.ResponseHeader) bool { return platform.MatchesAttempt(header, x.request.ID) },
	}
	call, err := g.runners.Start(ctx, x.choice.Runner.Address, request, options)
	if err != nil {
		return x.failedCall(ctx, err)
	}
	x.call = call
	return x.judge(ctx)
}

// urgency returns the order in which a runner admits the request; lower goes first.
func (x *exchange) urgency() int { return min(9, 3+x.request.Priority) }

func (x *exchange) failedCall(ctx context.Context, err error) lifecycle.Event {
	now := clock.Now()
	sent := httpcall.WasSent(err)
	x.gateway.mu.Lock()
	switch {
	case ctx.Err() != nil:
		x.gateway.desk.RecordOutcome(now, x.ticket, dispatch.Cancelled)
	case sent:
		x.gateway.desk.RecordOutcome(now, x.ticket, dispatch.Failed)
		x.suspect(now, err)
	default:
		x.gateway.desk.RecordUnreachable(now, x.ticket)
	}
	x.gateway.mu.Unlock()
	x.gateway.log.Emit(eventlog.EndpointFailed, x.request.ID, x.choice.Runner.ID, sent, err)
	if sent {
		return lifecycle.Lost{}
	}
	return lifecycle.Unreachable{}
}

// suspect notes that a model runner ended its connection under the request, which may have crashed it; the lock must be
// held. Requests to plain services are left out, since different ones can look the same.
func (x *exchange) suspect(now time.Time, err error) {
	if x.request.Unit.Model == "" {
		return
	}
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return
	}
	early := now.Sub(x.sent) < earlyCrash
	x.gateway.suspects.RecordCrash(now, quarantine.Fingerprint(x.request.Fingerprint), x.choice.Runner.ID, early)
}

// earlyCrash is the time within which an endpoint that crashes on a request does so.
const earlyCrash = 2 * time.Second

// cleared notes that the request has been answered whole.
func (x *exchange) cleared() {
	x.gateway.mu.Lock()
	defer x.gateway.mu.Unlock()
	x.gateway.suspects.RecordCompleted(quarantine.Fingerprint(x.request.Fingerprint), x.choice.Runner.ID)
}

func (x *exchange) judge(ctx context.Context) lifecycle.Event {
	header := &x.call.Response.Header
	verdict := platform.ReadResponseHead(header)
	if verdict.NotRun {
		return x.declined(verdict)
	}
	if status := header.StatusCode(); status >= statusOK && status < statusRedirect && !verdict.Sealed {
		x.call.Abort()
		return x.failedCall(ctx, errUnsealed)
	}
	if x.route.Kind == routes.Stream && header.StatusCode() == statusOK {
		x.began()
		return lifecycle.Answered{}
	}
	body, err := x.call.ReadAll(maxAnswerBytes)
	if err != nil {
		return x.failedCall(ctx, err)
	}
	x.body = body
	failure := header.StatusCode() >= serverError
	outcome := dispatch.Served
	if failure {
		outcome = dispatch.Failed
	}
	x.began()
	x.ended(outcome)
	return lifecycle.Answered{Failure: failure}
}

func (x *exchange) declined(verdict platform.ResponseHead) lifecycle.Event {
	_, err := x.call.ReadAll(maxAnswerBytes)
	if err != nil {
		x.gateway.log.Emit(eventlog.EndpointFailed, x.request.ID, x.choice.Runner.ID, true, err)
	}
	x.ended(dispatch.Declined)
	if verdict.Misdirected {
		x.gateway.disown(x.choice.Runner, x.request.Unit)
	}
	status := x.call.Response.StatusCode()
	x.gateway.log.Emit(eventlog.EndpointDeclined, x.request.ID, x.choice.Runner.ID, status, x.request.Unit.String())
	return lifecycle.Declined{Misdirected: verdict.Misdirected}
}

func (x *exchange) began() {
	now := clock.Now()
	x.first = now.Sub(x.sent)
	x.gateway.mu.Lock()
	defer x.gateway.mu.Unlock()
	x.gateway.desk.RecordFirstByte(now, x.ticket)
}

func (x *exchange) ended(outcome dispatch.Outcome) {
	x.gateway.mu.Lock()
	defer x.gateway.mu.Unlock()
	x.gateway.desk.RecordOutcome(clock.Now(), x.ticket, outcome)
}

// Relay delivers the arrived answer to the caller.
func (x *exchange) Relay(ctx context.Context) lifecycle.Event {
	response := &x.context.Response
	if x.route.Kind == routes.Stream && x.call.Response.StatusCode() == statusOK {
		return x.passEvents(ctx)
	}
	platform.CopyHead(&x.call.Response.Header, &response.Header)
	response.SetBodyRaw(x.body)
	return lifecycle.Completed{}
}

func (x *exchange) passEvents(ctx context.Context) lifecycle.Event {
	if x.relay == nil {
		platform.CopyHead(&x.call.Response.Header, &x.context.Response.Header)
		x.relay = newEventRelay(x.context)
	}
	err := x.relay.copy(x.call.Body())
	switch {
	case err == nil:
		x.call.Done()
		x.ended(dispatch.Served)
		x.cleared()
		return lifecycle.Completed{}
	case errors.Is(err, errCallerGone) || ctx.Err() != nil:
		x.call.Abort()
		x.ended(dispatch.Cancelled)
		if ctx.Err() == nil {
			return lifecycle.CallerLeft{}
		}
		return lifecycle.Truncated{}
	default:
		x.call.Abort()
		x.ended(dispatch.Failed)
		x.gateway.mu.Lock()
		x.suspect(clock.Now(), err)
		x.gateway.mu.Unlock()
		x.gateway.log.Emit(eventlog.EndpointFailed, x.request.ID, x.choice.Runner.ID, true, err)
		return lifecycle.Truncated{Resumable: x.route.Resumable}
	}
}

// before returns the time from the request's arrival to its last send, zero when it was not sent.
func (x *exchange) before() time.Duration {
	if x.sent.IsZero() {
		return 0
	}
	return x.sent.Sub(x.request.ArrivedAt)
}

// finish gives the caller the final answer that the machine decided on.
func (x *exchange) finish(ctx context.Context, action lifecycle.Action) {
	g := x.gateway
	status := 0
	switch action {
	case lifecycle.Refuse:
		status = statusUnavailable
		g.refuse(x.context, x.request.ID, status, max(x.machine.RetryAfter(), time.Millisecond))
	case lifecycle.Fail:
		status = statusFailed
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			status = statusTimeout
		}
		g.refuse(x.context, x.request.ID, status, 0)
	case lifecycle.Abort:
		if err := x.context.GetConn().Close(); err != nil && !errors.Is(err, io.EOF) {
			g.log.Emit(eventlog.EndpointFailed, x.request.ID, "caller", true, err)
		}
	default:
		status = x.context.Response.StatusCode()
	}
	now := clock.Now()
	event := eventlog.RequestNotServed
	if status >= statusOK && status < serverError && action == lifecycle.End {
		event = eventlog.RequestServed
	}
	g.metrics.ended(x, action, status, now)
	g.log.Emit(
		event, x.request.ID, x.route.Name, x.request.Unit.String(), string(action), status,
		x.machine.Reason(), x.machine.Endpoint(), x.machine.Runs(), now.Sub(x.request.ArrivedAt).Milliseconds(),
		x.choice.Wait.Milliseconds(), x.before().Milliseconds(), x.first.Milliseconds(), x.version,
	)
}
