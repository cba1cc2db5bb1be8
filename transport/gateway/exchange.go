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
	// serverError is the lowest status that counts as a failure of the endpoint.
	serverError = 500
	// leftMargin is subtracted from the time limit that a runner gets, so that its answer arrives before the deadline.
	leftMargin = 5 * time.Millisecond
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
	machine *lifecycle.Machine
	// version is the version of the configuration that routed the request.
	version uint64

	choice dispatch.Choice
	ticket *dispatch.InFlight
	call   *httpcall.Exchange
	// body is the body of an answer that is relayed whole.
	body  []byte
	relay *eventRelay
	sent  time.Time
	// first is the time from the last send to the first byte of the answer.
	first time.Duration
}

// ReplaceEvent replaces an event by Expired or CallerLeft when the request's context has ended, unless an answer has
// arrived or the caller is known to have left.
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

// Choose returns the chosen endpoint, or the reason why none can take the request.
func (x *exchange) Choose(ctx context.Context) lifecycle.Event {
	choice, refusal := x.gateway.place(ctx, x)
	if refusal != nil {
		return *refusal
	}
	x.choice = choice
	return lifecycle.Chosen{Endpoint: choice.Runner.ID}
}

// Send sends the request to the chosen endpoint. It reads the head of a stream's answer, and the whole of any other.
func (x *exchange) Send(ctx context.Context) lifecycle.Event {
	now := clock.Now()
	g := x.gateway
	g.mu.Lock()
	x.ticket = g.desk.RecordSent(now, &x.request, x.choice)
	g.mu.Unlock()
	x.sent = now
	send := platform.Send{
		Runner:  x.choice.Runner.ID,
		Left:    x.request.Deadline.Sub(now) - leftMargin,
		Urgency: x.urgency(),
	}
	if x.relay != nil {
		send.ResumeAfter = x.relay.lastEvent
	}
	request := platform.NewRequest(&x.context.Request, send)
	options := httpcall.Options{
		Accept: func(header *protocol.ResponseHeader) bool { return platform.Answers(header, x.request.ID) },
	}
	call, err := g.runners.Start(ctx, x.choice.Runner.Address, request, options)
	if err != nil {
		return x.failedCall(ctx, err)
	}
	x.call = call
	return x.judge(ctx)
}

// urgency returns the urgency of the request for the runner, from 3 to 9. The runner admits lower values first.
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

// suspect records a possible crash of a model runner if the runner ended the connection during the request. The caller
// must hold the lock. Requests to plain services are skipped, since different ones can have the same fingerprint.
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

// earlyCrash is the time after the send within which a request that crashes its endpoint does so.
const earlyCrash = 2 * time.Second

// cleared records that the endpoint completed its answer, which ends a suspicion against the request.
func (x *exchange) cleared() {
	x.gateway.mu.Lock()
	defer x.gateway.mu.Unlock()
	x.gateway.suspects.RecordCompleted(quarantine.Fingerprint(x.request.Fingerprint), x.choice.Runner.ID)
}

func (x *exchange) judge(ctx context.Context) lifecycle.Event {
	header := &x.call.Response.Header
	verdict := platform.ReadVerdict(header)
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

func (x *exchange) declined(verdict platform.Verdict) lifecycle.Event {
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

// Relay sends the answer that arrived to the caller.
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

// before returns the time from the request's arrival to its last send, or zero if it was not sent.
func (x *exchange) before() time.Duration {
	if x.sent.IsZero() {
		return 0
	}
	return x.sent.Sub(x.request.ArrivedAt)
}

// finish performs the machine's final action, and logs and counts the request.
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
