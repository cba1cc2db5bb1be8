package entry

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/claims"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

const (
	// maxBufferedBodyBytes is the size of the largest request body that is held in memory, so that a retry can send it
	// again.
	maxBufferedBodyBytes = 1 << 20
	relayBufferBytes     = 32 << 10
)

// serviceRun serves a request to a plain service.
type serviceRun struct {
	expiryFilter
	entry      *Entry
	exchange   *exchange
	target     catalog.Target
	path       string
	idempotent bool
	headers    requestHeaders
	// body holds a small request body. streamedBody streams a large one, which cannot be sent again.
	body          []byte
	streamedBody  io.Reader
	contentLength int

	machine  *lifecycle.Machine
	endpoint chosenEndpoint
	call     *httpcall.Exchange
	// cancel ends the current attempt.
	cancel      context.CancelFunc
	lastFailure *failure
	// recordedAnswer is the answer of a claimed request, which is recorded for its retries.
	recordedAnswer *claims.Answer
}

func (e *Entry) answerService(ctx context.Context, x *exchange) *failure {
	run, failed := e.readServiceCall(x)
	if failed != nil {
		return failed
	}
	if run.streamedBody == nil {
		defer httpserve.WatchCaller(x.requestContext)()
	}
	limit := e.settings.RequestLimit.Duration
	if run.headers.deadline > 0 {
		limit = min(limit, run.headers.deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if run.headers.idempotencyKey != "" && !run.idempotent {
		return run.serveClaimed(ctx)
	}
	return run.serve(ctx)
}

func (e *Entry) readServiceCall(x *exchange) (*serviceRun, *failure) {
	headers, failed := e.readCallerHeaders(x)
	if failed != nil {
		return nil, failed
	}
	name := x.requestContext.Param("route")
	target, ok := e.table.resolve(name)
	if !ok || target.Service == "" {
		f := badRequest(codeUnknownRoute, "", "unknown service route: "+name)
		f.status = statusNotFound
		f.errorType = openai.TypeNotFound
		return nil, f
	}
	run := &serviceRun{entry: e, exchange: x, target: target, headers: headers}
	run.path = "/" + strings.TrimPrefix(x.requestContext.Param("path"), "/")
	index, _ := e.table.catalog()
	if service := index.Service(target.Service); service != nil {
		run.idempotent = service.Idempotent(string(x.requestContext.Method()), run.path)
	}
	return run, run.readBody()
}

// readBody reads a small body into memory. It streams a large body, and one of unknown length that has no idempotency
// key.
func (s *serviceRun) readBody() *failure {
	c := s.exchange.requestContext
	s.contentLength = c.Request.Header.ContentLength()
	if s.contentLength > maxUploadBytes {
		f := badRequest(openai.CodeTooLarge, "", "the body is larger than this entry takes")
		f.status = statusTooLarge
		return f
	}
	if !c.Request.IsBodyStream() {
		return nil
	}
	_ = c.GetConn().SetReadTimeout(s.entry.settings.BodyLimit.Duration)
	if s.contentLength > maxBufferedBodyBytes || s.contentLength < 0 && s.headers.idempotencyKey == "" {
		s.streamedBody = c.RequestBodyStream()
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), maxBufferedBodyBytes+1))
	if err != nil {
		return bodyFailure(err)
	}
	if len(body) > maxBufferedBodyBytes {
		f := badRequest(openai.CodeTooLarge, "", "a body of unknown length with an idempotency key is too large")
		f.status = statusTooLarge
		return f
	}
	s.body = body
	return nil
}

func (s *serviceRun) serve(ctx context.Context) *failure {
	s.entry.retryBudget.deposit(time.Now())
	limits := lifecycle.Limits{Retryable: s.idempotent && s.streamedBody == nil, MaxRuns: maxRuns}
	s.machine = lifecycle.New(limits, s.entry.retryBudget)
	action := lifecycle.Drive(ctx, time.Now, s.machine, s)
	failed := finalFailure(action, s.lastFailure)
	if action == lifecycle.Abort {
		s.closeCaller(failed)
		return nil
	}
	return failed
}

func (s *serviceRun) Choose(ctx context.Context) lifecycle.Event {
	if ctx.Err() != nil {
		s.lastFailure = expiryFailure(ctx, s.machine.MayHaveRun())
		return lifecycle.Expired{}
	}
	excluded := s.machine.Excluded()
	if s.streamedBody != nil && len(excluded) > 0 {
		return lifecycle.NoEndpoint{Reason: "a streamed body is sent once", RetryAfter: defaultRetryAfter}
	}
	endpoint, _, ok := s.entry.table.choose(time.Now(), endpointCriteria{target: s.target, excluded: excluded})
	if !ok {
		if s.lastFailure == nil {
			s.lastFailure = unavailable(codeNoEndpoint, "no endpoint of service "+s.target.Service+" is in reach",
				defaultRetryAfter)
		}
		return lifecycle.NoEndpoint{Reason: s.lastFailure.message, RetryAfter: s.lastFailure.retryAfter}
	}
	s.endpoint = endpoint
	return lifecycle.Chosen{Endpoint: endpoint.name}
}

func (s *serviceRun) Send(ctx context.Context) lifecycle.Event {
	attempt, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	sentAt := time.Now()
	call, err := s.entry.http.Start(attempt, s.endpoint.address, s.newRequest(s.endpoint), ownConnection)
	if err != nil {
		return s.recordCallFailure(ctx, err)
	}
	s.call = call
	s.entry.table.recordFirstByte(s.endpoint.name, time.Since(sentAt))
	if s.headers.idempotencyKey != "" && !s.idempotent {
		return s.recordAnswer(ctx)
	}
	return lifecycle.Answered{}
}

// endAttempt ends the current attempt and records whether its endpoint failed.
func (s *serviceRun) endAttempt(failed bool) {
	s.cancel()
	s.entry.table.recordEnd(time.Now(), s.endpoint.name, failed)
}

func (s *serviceRun) newRequest(endpoint chosenEndpoint) *protocol.Request {
	c := s.exchange.requestContext
	request := &protocol.Request{}
	c.Request.Header.CopyTo(&request.Header)
	uri := s.path
	if query := c.Request.URI().QueryString(); len(query) > 0 {
		uri += "?" + string(query)
	}
	request.SetRequestURI(uri)
	request.Header.SetHost(endpoint.address.String())
	removePerConnectionHeaders(&request.Header)
	request.Header.Set(caller.HeaderRequestID, s.exchange.id)
	if s.streamedBody != nil {
		request.SetBodyStream(s.streamedBody, s.contentLength)
	} else {
		request.SetBody(s.body)
	}
	return request
}

// removePerConnectionHeaders removes the headers that apply to a single connection.
// Source: RFC 9110, section 7.6.1.
func removePerConnectionHeaders(header *protocol.RequestHeader) {
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	} {
		header.Del(name)
	}
	header.SetConnectionClose(false)
}

func (s *serviceRun) recordCallFailure(ctx context.Context, err error) lifecycle.Event {
	s.lastFailure = callFailure(ctx, s.endpoint.name, err)
	sent := httpcall.WasSent(err)
	s.endAttempt(ctx.Err() == nil && (s.idempotent || !sent))
	if !sent {
		return lifecycle.Unreachable{}
	}
	return lifecycle.Lost{}
}

// Relay relays the endpoint's answer to the caller. If the answer is truncated, serve closes the caller's connection.
func (s *serviceRun) Relay(context.Context) lifecycle.Event {
	c := s.exchange.requestContext
	s.copyHeader(s.endpoint, s.call.Response)
	if s.recordedAnswer != nil {
		c.Response.SetBody(s.recordedAnswer.Body)
		s.endAttempt(false)
		return lifecycle.Completed{}
	}
	defer s.endAttempt(false)
	if hasNoBody(&c.Request, s.call.Response.StatusCode()) {
		s.call.Done()
		return lifecycle.Completed{}
	}
	copyTrailers(s.call.Response, &c.Response)
	writer := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(writer)
	return s.relay(writer)
}

func (s *serviceRun) relay(writer chunkWriter) lifecycle.Event {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := s.call.Body().Read(buffer)
		if n > 0 && !s.writeChunk(writer, buffer[:n]) {
			s.call.Abort()
			return lifecycle.CallerLeft{}
		}
		if errors.Is(err, io.EOF) {
			copyTrailers(s.call.Response, &s.exchange.requestContext.Response)
			s.call.Done()
			return lifecycle.Completed{}
		}
		if err != nil {
			s.call.Abort()
			s.lastFailure = &failure{
				status:  statusBadGateway,
				code:    codeAnswerBroken,
				message: "endpoint " + s.endpoint.name + ": " + err.Error(),
				outcome: caller.Partial,
			}
			return lifecycle.Truncated{}
		}
	}
}

// hasNoBody reports whether an answer to the request with this status never has a body.
// Source: RFC 9110, section 6.4.1.
func hasNoBody(request *protocol.Request, status int) bool {
	return request.Header.IsHead() || status == statusNoContent || status == statusNotModified
}

type chunkWriter interface {
	io.Writer
	Flush() error
}

func (s *serviceRun) writeChunk(writer chunkWriter, data []byte) bool {
	_ = s.exchange.requestContext.GetConn().SetWriteTimeout(writeTimeout)
	if _, err := writer.Write(data); err != nil {
		return false
	}
	return writer.Flush() == nil
}

// closeCaller closes the caller's connection before the end of the answer, so that the caller sees the truncation.
func (s *serviceRun) closeCaller(f *failure) {
	s.entry.recordFailure(s.exchange, f)
	if err := s.exchange.requestContext.GetConn().Close(); err != nil {
		s.entry.log.Emit(eventlog.RequestFailed, s.exchange.id, s.path, "closing the caller's connection", f.status, err)
	}
}

func (s *serviceRun) copyHeader(endpoint chosenEndpoint, from *protocol.Response) {
	c := s.exchange.requestContext
	c.Response.SetStatusCode(from.StatusCode())
	from.Header.VisitAll(func(key, value []byte) {
		if !isExcludedHeader(string(key)) {
			c.Response.Header.Add(string(key), string(value))
		}
	})
	c.Response.Header.SetContentTypeBytes(from.Header.ContentType())
	c.Header(caller.HeaderOutcome, string(caller.Complete))
	c.Header(caller.HeaderRunner, endpoint.name)
}

func isExcludedHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Content-Type", "Upgrade", "Date":
		return true
	default:
		return false
	}
}

func copyTrailers(from, to *protocol.Response) {
	from.Header.Trailer().VisitAll(func(key, value []byte) {
		_ = to.Header.Trailer().Set(string(key), string(value))
	})
}
