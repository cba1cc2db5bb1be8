package entry

import (
	"context"
	"encoding/json"
	"fmt"
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

// ownConnection sends a request on a connection of its own. Endpoints name no request in their answers, so that on a shared
// connection a late answer to another request could be taken for the one to this.
var ownConnection = httpcall.Options{Fresh: true}

// modelRun serves a model request. It tries endpoints in turn until one answers or the machine stops retrying.
type modelRun struct {
	expiryFilter
	entry       *Entry
	exchange    *exchange
	request     *modelRequest
	machine     *lifecycle.Machine
	fingerprint quarantine.Fingerprint
	endpoint    chosenEndpoint
	call        *httpcall.Exchange
	// cancel ends the current attempt.
	cancel context.CancelFunc
	sentAt time.Time
	relay  *relay
	// answerBody is a complete answer. relayedFailure is the endpoint's error answer, which is relayed to the caller.
	answerBody     []byte
	relayedFailure *failure
	lastFailure    *failure
}

func (e *Entry) newModelRun(x *exchange, request *modelRequest) *modelRun {
	// Each request in flight on a lost endpoint is retried at most once for this loss. Such retries are bounded already,
	// so they use nothing from the budget.
	limits := lifecycle.Limits{Retryable: true, MaxRuns: maxRuns, LossRetriesFree: true}
	return &modelRun{
		entry: e, exchange: x, request: request, fingerprint: request.fingerprint(),
		machine: lifecycle.New(limits, e.retryBudget),
	}
}

func (m *modelRun) serve(ctx context.Context) *failure {
	m.entry.retryBudget.deposit(time.Now())
	action := lifecycle.Drive(ctx, time.Now, m.machine, m)
	if action == lifecycle.End {
		return m.relayedFailure
	}
	return finalFailure(action, m.lastFailure)
}

// Choose chooses an endpoint. It refuses a request that is quarantined, cannot meet its deadline, or has no endpoint.
func (m *modelRun) Choose(ctx context.Context) lifecycle.Event {
	table := m.entry.table
	group.Sleep(ctx, table.randomDelay(time.Now(), m.fingerprint))
	now := time.Now()
	if failed := table.quarantineFailure(now, m.fingerprint); failed != nil {
		return m.refuse(failed)
	}
	endpoint, ok := m.awaitEndpoint(ctx, now)
	if ctx.Err() != nil {
		if ok {
			table.recordEnd(time.Now(), endpoint.name, false)
		}
		m.lastFailure = expiryFailure(ctx, m.machine.MayHaveRun())
		return lifecycle.Expired{}
	}
	if !ok {
		return m.refuse(m.noEndpointFailure())
	}
	if failed := m.deadlineFailure(endpoint, now); failed != nil {
		table.recordEnd(now, endpoint.name, false)
		return m.refuse(failed)
	}
	m.endpoint = endpoint
	return lifecycle.Chosen{Endpoint: endpoint.name}
}

func (m *modelRun) refuse(f *failure) lifecycle.Event {
	m.lastFailure = f
	return lifecycle.NoEndpoint{Reason: f.message, RetryAfter: f.retryAfter}
}

// awaitEndpoint chooses an endpoint. A suspect waits up to suspectWaitTimeout for one that runs no other suspect.
func (m *modelRun) awaitEndpoint(ctx context.Context, startedAt time.Time) (chosenEndpoint, bool) {
	for {
		criteria := endpointCriteria{target: m.request.target, excluded: m.machine.Excluded(), fingerprint: m.fingerprint}
		endpoint, occupied, ok := m.entry.table.choose(time.Now(), criteria)
		if ok || !occupied || ctx.Err() != nil || time.Since(startedAt) > suspectWaitTimeout {
			return endpoint, ok
		}
		group.Sleep(ctx, suspectPollInterval)
	}
}

// endAttempt ends an attempt. It records the outcome for the endpoint's circuit breaker and for the quarantine of the
// request.
func (m *modelRun) endAttempt(ctx context.Context, event lifecycle.Event) lifecycle.Event {
	m.cancel()
	table, now := m.entry.table, time.Now()
	completed, endpointFailed := false, false
	switch e := event.(type) {
	case lifecycle.Completed:
		completed = m.relayedFailure == nil && ctx.Err() == nil
	case lifecycle.Answered:
		endpointFailed = e.Failure
	case lifecycle.Lost, lifecycle.Truncated, lifecycle.Unreachable:
		endpointFailed = true
	}
	table.recordEnd(now, m.endpoint.name, endpointFailed && ctx.Err() == nil)
	switch {
	case completed:
		table.recordCompleted(now, m.fingerprint, m.endpoint.name, m.sentAt)
	case m.lastFailure != nil && m.lastFailure.connectionLost && ctx.Err() == nil:
		table.recordCrash(now, m.crash(now))
		m.entry.crashesChanged.Offer(struct{}{})
	default:
		table.endProbation(m.fingerprint, m.endpoint.name)
	}
	return event
}

// crash returns the record of the endpoint's end during the present attempt. A request that has delivered tokens, also
// from an earlier endpoint, can run, so it is a less likely cause.
func (m *modelRun) crash(now time.Time) quarantine.Crash {
	return quarantine.Crash{
		Fingerprint: m.fingerprint, Endpoint: m.endpoint.name, SentAt: m.sentAt, EndedAt: now,
		Early: m.relay == nil || m.relay.tokens < probationTokens,
	}
}

// deadlineFailure returns a failure if the chosen endpoint is not expected to meet the deadline of the first token.
func (m *modelRun) deadlineFailure(endpoint chosenEndpoint, now time.Time) *failure {
	deadline := m.request.headers.deadline
	if deadline == 0 || m.relay != nil || now.Sub(m.exchange.receivedAt)+endpoint.predictedTimeToFirstToken <= deadline {
		return nil
	}
	return unavailable(codeTimeout, "no endpoint can begin to answer within the deadline",
		endpoint.predictedTimeToFirstToken)
}

func (m *modelRun) noEndpointFailure() *failure {
	if m.lastFailure != nil {
		return m.lastFailure
	}
	return unavailable(codeNotReady, "no endpoint holds "+m.request.parsed.Model+" yet", 2*time.Second)
}

// Send sends the request to the chosen endpoint. It reads only the header of a streamed answer, and the whole of any
// other answer.
func (m *modelRun) Send(ctx context.Context) lifecycle.Event {
	request := httpcall.NewRequest("POST", m.endpoint.address, m.request.path, m.request.body)
	request.Header.Set(caller.HeaderRequestID, m.exchange.id)
	m.sentAt, m.lastFailure, m.relayedFailure = time.Now(), nil, nil
	attempt, cancel := context.WithCancel(ctx)
	m.cancel = cancel
	call, err := m.entry.http.Start(attempt, m.endpoint.address, request, ownConnection)
	if err != nil {
		return m.endAttempt(ctx, m.recordCallFailure(ctx, err))
	}
	m.call = call
	if status := call.Response.StatusCode(); status != statusOK {
		return m.endAttempt(ctx, m.handleErrorStatus(ctx, status))
	}
	m.entry.table.recordFirstByte(m.endpoint.name, time.Since(m.sentAt))
	if m.request.parsed.Stream {
		return lifecycle.Answered{}
	}
	body, err := call.ReadAll(ctx, maxAnswerBytes)
	if err == nil && !json.Valid(body) {
		err = errors.New("the answer is not valid JSON")
	}
	if err != nil {
		return m.endAttempt(ctx, m.recordCallFailure(ctx, err))
	}
	m.answerBody = body
	return lifecycle.Answered{}
}

// Relay writes the endpoint's answer to the caller.
func (m *modelRun) Relay(ctx context.Context) lifecycle.Event {
	switch {
	case m.relayedFailure != nil:
		return lifecycle.Completed{}
	case m.request.parsed.Stream:
		return m.endAttempt(ctx, m.relayStream(ctx))
	}
	rc := m.exchange.requestContext
	rc.Header(caller.HeaderOutcome, string(caller.Complete))
	rc.Header(caller.HeaderRunner, m.endpoint.name)
	rc.Data(statusOK, "application/json", m.answerBody)
	return m.endAttempt(ctx, lifecycle.Completed{})
}

func (m *modelRun) recordCallFailure(ctx context.Context, err error) lifecycle.Event {
	sent := httpcall.WasSent(err)
	m.lastFailure = callFailure(ctx, m.endpoint.name, err)
	m.lastFailure.connectionLost = sent && ctx.Err() == nil
	if !sent {
		return lifecycle.Unreachable{}
	}
	return lifecycle.Lost{}
}

// callFailure returns the failure for a call that ended without an answer.
func callFailure(ctx context.Context, endpoint string, err error) *failure {
	sent := httpcall.WasSent(err)
	if ctx.Err() != nil {
		return expiryFailure(ctx, sent)
	}
	f := &failure{
		status:     statusBadGateway,
		errorType:  openai.TypeServer,
		code:       codeAnswerLost,
		message:    "endpoint " + endpoint + ": " + err.Error(),
		outcome:    caller.Unknown,
		retryAfter: defaultRetryAfter,
	}
	if !sent {
		f.status, f.code, f.outcome = statusUnavailable, codeNoEndpoint, caller.NotRun
	}
	return f
}

// expiryFailure returns the failure for a request whose deadline has passed or whose caller has disconnected.
func expiryFailure(ctx context.Context, sent bool) *failure {
	f := &failure{
		status:     statusGatewayTimeout,
		errorType:  openai.TypeTimeout,
		code:       codeTimeout,
		message:    "the request took too long: " + ctx.Err().Error(),
		outcome:    caller.NotRun,
		retryAfter: defaultRetryAfter,
	}
	if sent {
		f.outcome = caller.Unknown
	}
	return f
}

// handleErrorStatus handles an answer with an error status: the engine declined the request, rejected it as invalid, or failed.
// Only an error that the engine itself describes shows that the request has not run: a status alone may come from what stands
// before the engine.
func (m *modelRun) handleErrorStatus(ctx context.Context, status int) lifecycle.Event {
	name := m.endpoint.name
	body, err := m.call.ReadAll(ctx, maxAnswerBytes)
	if err != nil {
		body = nil
	}
	var answer openai.ErrorResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		answer = openai.ErrorResponse{}
	}
	switch {
	case answer.Error.Declines(status):
		draining := answer.Error.Code == openai.CodeLeaving
		if status != statusTooMany {
			m.entry.table.recordDeclined(name, m.request.target, draining)
		}
		m.lastFailure = unavailable(openai.CodeOverloaded, "endpoint "+name+": "+answer.Error.Message, defaultRetryAfter)
		return lifecycle.Declined{}
	case answer.Error.Rejects(status):
		m.relayedFailure = &failure{
			status:    status,
			errorType: answer.Error.Type,
			code:      answer.Error.Code,
			message:   answer.Error.Message,
			param:     answer.Error.Param,
			outcome:   caller.NotRun,
		}
		if m.machine.MayHaveRun() {
			m.relayedFailure.outcome = caller.Unknown
		}
		return lifecycle.Answered{}
	default:
		m.lastFailure = &failure{
			status:     statusBadGateway,
			errorType:  openai.TypeServer,
			code:       codeAnswerBroken,
			message:    fmt.Sprintf("endpoint %s failed with status %d: %s", name, status, answer.Error.Message),
			outcome:    caller.Unknown,
			retryAfter: defaultRetryAfter,
		}
		m.relayedFailure = m.lastFailure
		return lifecycle.Answered{Failure: true}
	}
}

func (m *modelRun) recordResumed(from, to string, tokens int) {
	resumedTotal.Add(1)
	m.entry.log.Emit(eventlog.StreamResumed, m.exchange.id, m.request.parsed.Model, from, to, tokens)
}
