package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/claims"
	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/protocol/peer"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/transport/rpc"
)

const (
	claimTimeout = 4 * time.Second
	// claimLifetime is the time for which a retry of a claimed request gets the answer of the first one.
	claimLifetime = 24 * time.Hour
)

// notRunFailure is the failure of a claimed request that was not sent to an endpoint.
var notRunFailure = &failure{outcome: caller.NotRun}

var errNoControl = errors.New("no control answers")

// serveClaimed runs a non-idempotent request with an idempotency key at most once. Its retries get the recorded answer.
func (s *serviceRun) serveClaimed(ctx context.Context) *failure {
	claim, err := s.claim(context.WithoutCancel(ctx))
	if err != nil {
		s.settle(ctx, notRunFailure)
		return unavailable(codeIdempotency, "no claim could be made: "+err.Error(), defaultRetryAfter)
	}
	switch claim.Status {
	case claims.Won:
		if ctx.Err() != nil {
			s.settle(ctx, notRunFailure)
			return unavailable(codeTimeout, "the time was over before the claim was made", defaultRetryAfter)
		}
		failed := s.serve(ctx)
		s.settle(ctx, failed)
		return failed
	case claims.Done:
		return s.replay(claim.Answer)
	case claims.DoneUnrecorded:
		f := s.conflict(statusConflict, "a request with this idempotency key has run; its answer was too large to keep", 0)
		f.outcome = caller.Complete
		return f
	case claims.Running:
		return s.conflict(statusConflict, "a request with this idempotency key is in progress", defaultRetryAfter)
	case claims.Uncertain:
		return s.conflict(statusConflict, "a request with this idempotency key may have run, and its answer was lost", 0)
	case claims.Mismatch:
		return s.conflict(statusUnprocessable, "this idempotency key was used for another request", 0)
	default:
		return unavailable(codeIdempotency, "the key-value service does not answer, so no claim was made", defaultRetryAfter)
	}
}

// conflict returns the failure for a retry that may not run. The outcome is unknown, since the first request may have
// run, unless the key belongs to another request.
func (s *serviceRun) conflict(status int, message string, retryAfter time.Duration) *failure {
	outcome := caller.Unknown
	if status == statusUnprocessable {
		outcome = caller.NotRun
	}
	return &failure{
		status:     status,
		errorType:  openai.TypeInvalidRequest,
		code:       codeIdempotency,
		message:    message,
		outcome:    outcome,
		retryAfter: retryAfter,
	}
}

func (s *serviceRun) claimKey() string {
	return s.target.Service + "\x00" + s.headers.caller + "\x00" + s.headers.idempotencyKey
}

func (s *serviceRun) fingerprint() uint64 {
	hash := xxhash.New()
	_, _ = hash.Write(s.exchange.requestContext.Method())
	_, _ = hash.WriteString("\x00" + s.path + "\x00")
	_, _ = hash.Write(s.body)
	return hash.Sum64()
}

func (s *serviceRun) claim(ctx context.Context) (*peer.ClaimResponse, error) {
	request := &peer.ClaimRequest{
		Key:         s.claimKey(),
		RequestID:   s.exchange.id,
		Fingerprint: s.fingerprint(),
		Lifetime:    claimLifetime,
	}
	return callControl[peer.ClaimRequest, peer.ClaimResponse](ctx, s.entry, peer.CallClaim, request, claimTimeout)
}

// settle records the outcome of a claimed request, even if its caller has disconnected. The outcome Won releases the
// claim, because the request has not run.
func (s *serviceRun) settle(ctx context.Context, failed *failure) {
	request := &peer.SettleRequest{
		Key:       s.claimKey(),
		RequestID: s.exchange.id,
		Outcome:   claims.Uncertain,
	}
	switch {
	case s.recordedAnswer != nil && len(s.recordedAnswer.Body) > claims.MaxRecordedBytes:
		request.Outcome = claims.DoneUnrecorded
	case s.recordedAnswer != nil:
		request.Outcome = claims.Done
		request.Answer = s.recordedAnswer
	case failed != nil && failed.outcome == caller.NotRun:
		request.Outcome = claims.Won
	}
	ctx = context.WithoutCancel(ctx)
	_, _ = callControl[peer.SettleRequest, peer.SettleResponse](ctx, s.entry, peer.CallSettle, request, claimTimeout)
}

// recordAnswer reads the whole answer of a claimed request and records it for retries.
func (s *serviceRun) recordAnswer(ctx context.Context) lifecycle.Event {
	body, err := s.call.ReadAll(ctx, maxAnswerBytes)
	if err != nil {
		return s.recordCallFailure(ctx, err)
	}
	s.recordedAnswer = &claims.Answer{
		HTTPStatus:  s.call.Response.StatusCode(),
		ContentType: string(s.call.Response.Header.ContentType()),
		Body:        body,
	}
	return lifecycle.Answered{}
}

func (s *serviceRun) replay(answer *claims.Answer) *failure {
	rc := s.exchange.requestContext
	rc.Header(caller.HeaderOutcome, string(caller.Complete))
	rc.Header(caller.HeaderReplayed, "true")
	rc.Data(answer.HTTPStatus, answer.ContentType, answer.Body)
	return nil
}

// callControl calls the control that the entry follows, over a new connection.
func callControl[Q, A any](ctx context.Context, e *Entry, name string, request *Q, limit time.Duration) (*A, error) {
	address := e.controlAddress.Load()
	if address == nil {
		return nil, errNoControl
	}
	client := rpc.NewClient(*address, nil)
	defer client.Close()
	return rpc.Call[Q, A](ctx, client, name, request, limit)
}
