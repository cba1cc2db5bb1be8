package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
)

const maxAnswerBytes = 32 << 20

// modelRun serves a model request. It tries endpoints in turn until one answers or the machine stops retrying.
type modelRun struct {
	timed
	entry    *Entry
	exchange *exchange
	request  *modelRequest
	machine  *lifecycle.Machine
	print    quarantine.Fingerprint
	endpoint lent
	call     *httpcall.Exchange
	// cancel ends the current attempt.
	cancel context.CancelFunc
	sent   time.Time
	// proved reports whether the current endpoint has delivered provedTokens tokens.
	proved bool
	relay  *relay
	// body is a complete answer. reply is the endpoint's error answer, which is relayed to the caller.
	body  []byte
	reply *failure
	last  *failure
}

func (e *Entry) newModelRun(x *exchange, request *modelRequest) *modelRun {
	// Each request in flight on a lost endpoint is retried at most once for this loss. Such retries are bounded already,
	// so they use nothing from the budget.
	limits := lifecycle.Limits{Retryable: true, MaxRuns: maxAttempts, LossRetriesFree: true}
	return &modelRun{
		entry: e, exchange: x, request: request, print: request.fingerprint(), machine: lifecycle.New(limits, e.budget),
	}
}

func (m *modelRun) serve(ctx context.Context) *failure {
	m.entry.budget.earn(time.Now())
	action := lifecycle.Drive(ctx, time.Now, m.machine, m)
	if action == lifecycle.End {
		return m.reply
	}
	return conclude(action, m.last)
}

// Choose chooses an endpoint. It refuses a request that is quarantined, cannot meet its deadline, or has no endpoint.
func (m *modelRun) Choose(ctx context.Context) lifecycle.Event {
	table := m.entry.table
	group.Sleep(ctx, table.caution(time.Now(), m.print))
	now := time.Now()
	if failed := table.refusal(now, m.print); failed != nil {
		return m.none(failed)
	}
	endpoint, ok := m.await(ctx, now)
	if ctx.Err() != nil {
		if ok {
			table.finish(time.Now(), endpoint.name, false)
		}
		m.last = expired(ctx, m.machine.MayHaveRun())
		return lifecycle.Expired{}
	}
	if !ok {
		return m.none(m.noEndpoint())
	}
	if failed := m.tooLate(endpoint, now); failed != nil {
		table.finish(now, endpoint.name, false)
		return m.none(failed)
	}
	m.endpoint = endpoint
	return lifecycle.Chosen{Endpoint: endpoint.name}
}

func (m *modelRun) none(f *failure) lifecycle.Event {
	m.last = f
	return lifecycle.NoEndpoint{Reason: f.message, RetryAfter: f.retryAfter}
}

// await chooses an endpoint. A suspect waits up to suspectLimit for an endpoint that runs no other suspect.
func (m *modelRun) await(ctx context.Context, now time.Time) (lent, bool) {
	for {
		w := wish{target: m.request.target, tried: m.machine.Excluded(), fingerprint: m.print}
		endpoint, occupied, ok := m.entry.table.choose(time.Now(), w)
		if ok || !occupied || ctx.Err() != nil || time.Since(now) > suspectLimit {
			return endpoint, ok
		}
		group.Sleep(ctx, suspectPoll)
	}
}

// ended ends an attempt. It records the outcome for the circuit breaker of the endpoint and for the quarantine of the
// request.
func (m *modelRun) ended(ctx context.Context, event lifecycle.Event) lifecycle.Event {
	m.cancel()
	table, now := m.entry.table, time.Now()
	served, lost := false, false
	switch e := event.(type) {
	case lifecycle.Completed:
		served = m.reply == nil && ctx.Err() == nil
	case lifecycle.Answered:
		lost = e.Failure
	case lifecycle.Lost, lifecycle.Truncated, lifecycle.Unreachable:
		lost = true
	}
	table.finish(now, m.endpoint.name, lost && ctx.Err() == nil)
	switch {
	case served:
		table.finished(m.print, m.endpoint.name)
	case m.last != nil && m.last.lost && ctx.Err() == nil:
		table.lostUnder(now, m.print, m.endpoint.name, !m.proved && now.Sub(m.sent) < earlyTime)
		m.entry.suspected.Offer(struct{}{})
	default:
		table.proved(m.print, m.endpoint.name)
	}
	return event
}

// tooLate returns a failure if the chosen endpoint is not expected to meet the deadline of the first token.
func (m *modelRun) tooLate(endpoint lent, now time.Time) *failure {
	deadline := m.request.headers.deadline
	if deadline == 0 || m.relay != nil || now.Sub(m.exchange.began)+endpoint.predicted <= deadline {
		return nil
	}
	return overloaded(codeTimeout, "no endpoint can begin to answer within the deadline", endpoint.predicted)
}

func (m *modelRun) noEndpoint() *failure {
	if m.last != nil {
		return m.last
	}
	return overloaded(codeNotReady, "no endpoint holds "+m.request.parsed.Model+" yet", 2*time.Second)
}

// Send sends the request to the chosen endpoint. It reads the header of a streamed answer, or the whole of another.
func (m *modelRun) Send(ctx context.Context) lifecycle.Event {
	request := httpcall.NewRequest("POST", m.endpoint.address, m.request.path, m.request.body)
	request.Header.Set(caller.HeaderRequestID, m.exchange.id)
	m.sent, m.proved, m.last, m.reply = time.Now(), false, nil, nil
	attempt, cancel := context.WithCancel(ctx)
	m.cancel = cancel
	call, err := m.entry.http.Start(attempt, m.endpoint.address, request, httpcall.Options{})
	if err != nil {
		return m.ended(ctx, m.failedCall(ctx, err))
	}
	m.call = call
	if status := call.Response.StatusCode(); status != statusOK {
		return m.ended(ctx, m.declined(status))
	}
	m.entry.table.firstByte(m.endpoint.name, time.Since(m.sent))
	if m.request.parsed.Stream {
		return lifecycle.Answered{}
	}
	body, err := call.ReadAll(maxAnswerBytes)
	if err == nil && !json.Valid(body) {
		err = errors.New("the answer is not valid JSON")
	}
	if err != nil {
		return m.ended(ctx, m.failedCall(ctx, err))
	}
	m.body = body
	return lifecycle.Answered{}
}

// Relay writes the endpoint's answer to the caller.
func (m *modelRun) Relay(ctx context.Context) lifecycle.Event {
	switch {
	case m.reply != nil:
		return lifecycle.Completed{}
	case m.request.parsed.Stream:
		return m.ended(ctx, m.stream(ctx))
	}
	rc := m.exchange.rc
	rc.Header(caller.HeaderOutcome, string(caller.Complete))
	rc.Header(caller.HeaderRunner, m.endpoint.name)
	rc.Data(statusOK, "application/json", m.body)
	return m.ended(ctx, lifecycle.Completed{})
}

func (m *modelRun) failedCall(ctx context.Context, err error) lifecycle.Event {
	sent := httpcall.WasSent(err)
	m.last = failedCall(ctx, m.endpoint.name, err)
	m.last.lost = sent && ctx.Err() == nil
	if !sent {
		return lifecycle.Unreachable{}
	}
	return lifecycle.Lost{}
}

// failedCall returns the failure for a call that ended without an answer.
func failedCall(ctx context.Context, endpoint string, err error) *failure {
	sent := httpcall.WasSent(err)
	if ctx.Err() != nil {
		return expired(ctx, sent)
	}
	f := &failure{
		status:     statusBadGateway,
		kind:       openai.TypeServer,
		code:       codeLost,
		message:    "endpoint " + endpoint + ": " + err.Error(),
		outcome:    caller.Unknown,
		retryAfter: retryShortly,
	}
	if !sent {
		f.status, f.code, f.outcome = statusUnavailable, codeNoEndpoint, caller.NotRun
	}
	return f
}

// expired returns the failure for a request whose deadline has passed or whose caller has disconnected.
func expired(ctx context.Context, sent bool) *failure {
	f := &failure{
		status:     statusGatewayTimeout,
		kind:       openai.TypeTimeout,
		code:       codeTimeout,
		message:    "the request took too long: " + ctx.Err().Error(),
		outcome:    caller.NotRun,
		retryAfter: retryShortly,
	}
	if sent {
		f.outcome = caller.Unknown
	}
	return f
}

// declined handles an answer with an error status: the endpoint declined the request, failed, or rejected it as
// invalid.
func (m *modelRun) declined(status int) lifecycle.Event {
	name := m.endpoint.name
	body, err := m.call.ReadAll(maxAnswerBytes)
	if err != nil {
		body = nil
	}
	var answer openai.Failure
	_ = json.Unmarshal(body, &answer)
	switch {
	case status == statusNotFound, status == statusTooMany, status == statusUnavailable:
		leaving := answer.Error.Code == openai.CodeLeaving
		if status != statusTooMany {
			m.entry.table.refused(name, m.request.target, leaving)
		}
		m.last = overloaded(openai.CodeOverloaded, "endpoint "+name+": "+answer.Error.Message, retryShortly)
		return lifecycle.Declined{}
	case status >= statusServerError:
		m.last = &failure{
			status:     statusBadGateway,
			kind:       openai.TypeServer,
			code:       codeBroken,
			message:    "endpoint " + name + " failed: " + answer.Error.Message,
			outcome:    caller.Unknown,
			retryAfter: retryShortly,
		}
		m.reply = m.last
		return lifecycle.Answered{Failure: true}
	default:
		m.reply = &failure{
			status:  status,
			kind:    answer.Error.Type,
			code:    answer.Error.Code,
			message: answer.Error.Message,
			param:   answer.Error.Param,
			outcome: caller.NotRun,
		}
		if m.machine.MayHaveRun() {
			m.reply.outcome = caller.Unknown
		}
		return lifecycle.Answered{}
	}
}

func (m *modelRun) noteResumed(from, to string, tokens int) {
	resumedTotal.Add(1)
	m.entry.log.Emit(eventlog.StreamResumed, m.exchange.id, m.request.parsed.Model, from, to, tokens)
}
