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
	// bufferedUpload is the size of the largest request body that is held in memory, so that a retry can send it again.
	bufferedUpload = 1 << 20
	relayBuffer    = 32 << 10
)

// serviceRun serves a request to a plain service.
type serviceRun struct {
	timed
	entry      *Entry
	exchange   *exchange
	target     catalog.Target
	path       string
	idempotent bool
	headers    requestHeaders
	// body holds a small request body. upload streams a large one, which cannot be sent again.
	body   []byte
	upload io.Reader
	size   int

	machine  *lifecycle.Machine
	endpoint lent
	call     *httpcall.Exchange
	// cancel ends the current attempt.
	cancel context.CancelFunc
	last   *failure
	// recorded is the answer of a claimed request, which is recorded for its retries.
	recorded *claims.Answer
}

func (e *Entry) answerService(ctx context.Context, x *exchange) *failure {
	run, failed := e.readServiceCall(x)
	if failed != nil {
		return failed
	}
	if run.upload == nil {
		defer httpserve.WatchCaller(x.rc)()
	}
	limit := e.settings.RequestLimit.Duration
	if run.headers.deadline > 0 {
		limit = min(limit, run.headers.deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if run.headers.key != "" && !run.idempotent {
		return run.serveClaimed(ctx)
	}
	return run.serve(ctx)
}

func (e *Entry) readServiceCall(x *exchange) (*serviceRun, *failure) {
	headers, failed := readHeaders(x.rc)
	if failed != nil {
		return nil, failed
	}
	name := x.rc.Param("route")
	target, ok := e.table.resolve(name)
	if !ok || target.Service == "" {
		f := badRequest(codeNoRoute, "", "unknown service route: "+name)
		f.status = statusNotFound
		f.kind = openai.TypeNotFound
		return nil, f
	}
	run := &serviceRun{entry: e, exchange: x, target: target, headers: headers}
	run.path = "/" + strings.TrimPrefix(x.rc.Param("path"), "/")
	index, _ := e.table.catalog()
	if service := index.Service(target.Service); service != nil {
		run.idempotent = service.Idempotent(string(x.rc.Method()), run.path)
	}
	return run, run.readBody()
}

// readBody reads a small body into memory. It streams a large body, and one of unknown length that has no idempotency
// key.
func (s *serviceRun) readBody() *failure {
	c := s.exchange.rc
	s.size = c.Request.Header.ContentLength()
	if s.size > maxUpload {
		f := badRequest(openai.CodeTooLarge, "", "the body is larger than this entry takes")
		f.status = statusTooLarge
		return f
	}
	if !c.Request.IsBodyStream() {
		return nil
	}
	_ = c.GetConn().SetReadTimeout(s.entry.settings.BodyLimit.Duration)
	if s.size > bufferedUpload || s.size < 0 && s.headers.key == "" {
		s.upload = c.RequestBodyStream()
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), bufferedUpload+1))
	if err != nil {
		return bodyFailure(err)
	}
	if len(body) > bufferedUpload {
		f := badRequest(openai.CodeTooLarge, "", "a body of unknown length with an idempotency key is too large")
		f.status = statusTooLarge
		return f
	}
	s.body = body
	return nil
}

func (s *serviceRun) serve(ctx context.Context) *failure {
	s.entry.budget.earn(time.Now())
	limits := lifecycle.Limits{Retryable: s.idempotent && s.upload == nil, MaxRuns: maxAttempts}
	s.machine = lifecycle.New(limits, s.entry.budget)
	action := lifecycle.Drive(ctx, time.Now, s.machine, s)
	failed := conclude(action, s.last)
	if action == lifecycle.Abort {
		s.cut(failed)
		return nil
	}
	return failed
}

func (s *serviceRun) Choose(ctx context.Context) lifecycle.Event {
	if ctx.Err() != nil {
		s.last = expired(ctx, s.machine.MayHaveRun())
		return lifecycle.Expired{}
	}
	tried := s.machine.Excluded()
	if s.upload != nil && len(tried) > 0 {
		return lifecycle.NoEndpoint{Reason: "a streamed body is sent once", RetryAfter: retryShortly}
	}
	endpoint, _, ok := s.entry.table.choose(time.Now(), wish{target: s.target, tried: tried})
	if !ok {
		if s.last == nil {
			s.last = overloaded(codeNoEndpoint, "no endpoint of service "+s.target.Service+" is in reach", retryShortly)
		}
		return lifecycle.NoEndpoint{Reason: s.last.message, RetryAfter: s.last.retryAfter}
	}
	s.endpoint = endpoint
	return lifecycle.Chosen{Endpoint: endpoint.name}
}

func (s *serviceRun) Send(ctx context.Context) lifecycle.Event {
	attempt, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	sent := time.Now()
	options := httpcall.Options{Fresh: !s.idempotent}
	call, err := s.entry.http.Start(attempt, s.endpoint.address, s.newRequest(s.endpoint), options)
	if err != nil {
		return s.failedCall(ctx, err)
	}
	s.call = call
	s.entry.table.firstByte(s.endpoint.name, time.Since(sent))
	if s.headers.key != "" && !s.idempotent {
		return s.record(ctx)
	}
	return lifecycle.Answered{}
}

// ended ends the current attempt and records whether its endpoint failed.
func (s *serviceRun) ended(failed bool) {
	s.cancel()
	s.entry.table.finish(time.Now(), s.endpoint.name, failed)
}

func (s *serviceRun) newRequest(endpoint lent) *protocol.Request {
	c := s.exchange.rc
	request := &protocol.Request{}
	c.Request.Header.CopyTo(&request.Header)
	uri := s.path
	if query := c.Request.URI().QueryString(); len(query) > 0 {
		uri += "?" + string(query)
	}
	request.SetRequestURI(uri)
	request.Header.SetHost(endpoint.address.String())
	dropHopHeaders(&request.Header)
	request.Header.Set(caller.HeaderRequestID, s.exchange.id)
	if s.upload != nil {
		request.SetBodyStream(s.upload, s.size)
	} else {
		request.SetBody(s.body)
	}
	return request
}

// dropHopHeaders removes the headers that apply to a single connection.
// Source: RFC 9110, section 7.6.1.
func dropHopHeaders(header *protocol.RequestHeader) {
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	} {
		header.Del(name)
	}
	header.SetConnectionClose(false)
}

func (s *serviceRun) failedCall(ctx context.Context, err error) lifecycle.Event {
	s.last = failedCall(ctx, s.endpoint.name, err)
	sent := httpcall.WasSent(err)
	s.ended(ctx.Err() == nil && (s.idempotent || !sent))
	if !sent {
		return lifecycle.Unreachable{}
	}
	return lifecycle.Lost{}
}

// Relay relays the endpoint's answer to the caller. If the answer is truncated, serve closes the caller's connection.
func (s *serviceRun) Relay(context.Context) lifecycle.Event {
	c := s.exchange.rc
	s.copyHeader(s.endpoint, s.call.Response)
	if s.recorded != nil {
		c.Response.SetBody(s.recorded.Body)
		s.ended(false)
		return lifecycle.Completed{}
	}
	defer s.ended(false)
	if bodyless(&c.Request, s.call.Response.StatusCode()) {
		s.call.Done()
		return lifecycle.Completed{}
	}
	copyTrailers(s.call.Response, &c.Response)
	writer := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(writer)
	return s.relay(writer)
}

func (s *serviceRun) relay(writer chunkWriter) lifecycle.Event {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := s.call.Body().Read(buffer)
		if n > 0 && !s.write(writer, buffer[:n]) {
			s.call.Abort()
			return lifecycle.CallerLeft{}
		}
		if errors.Is(err, io.EOF) {
			copyTrailers(s.call.Response, &s.exchange.rc.Response)
			s.call.Done()
			return lifecycle.Completed{}
		}
		if err != nil {
			s.call.Abort()
			s.last = &failure{
				status:  statusBadGateway,
				code:    codeBroken,
				message: "endpoint " + s.endpoint.name + ": " + err.Error(),
				outcome: caller.Partial,
			}
			return lifecycle.Truncated{}
		}
	}
}

// bodyless reports whether an answer to the request with this status never has a body.
// Source: RFC 9110, section 6.4.1.
func bodyless(request *protocol.Request, status int) bool {
	return request.Header.IsHead() || status == statusNoContent || status == statusNotModified
}

type chunkWriter interface {
	io.Writer
	Flush() error
}

func (s *serviceRun) write(writer chunkWriter, data []byte) bool {
	_ = s.exchange.rc.GetConn().SetWriteTimeout(writeTimeout)
	if _, err := writer.Write(data); err != nil {
		return false
	}
	return writer.Flush() == nil
}

// cut closes the caller's connection before the end of the answer, so that the caller sees that it is truncated.
func (s *serviceRun) cut(f *failure) {
	s.entry.noteFailure(s.exchange, f)
	if err := s.exchange.rc.GetConn().Close(); err != nil {
		s.entry.log.Emit(eventlog.RequestFailed, s.exchange.id, s.path, "closing the caller's connection", f.status, err)
	}
}

func (s *serviceRun) copyHeader(endpoint lent, from *protocol.Response) {
	c := s.exchange.rc
	c.Response.SetStatusCode(from.StatusCode())
	from.Header.VisitAll(func(key, value []byte) {
		if !hopHeader(string(key)) {
			c.Response.Header.Add(string(key), string(value))
		}
	})
	c.Response.Header.SetContentTypeBytes(from.Header.ContentType())
	c.Header(caller.HeaderOutcome, string(caller.Complete))
	c.Header(caller.HeaderRunner, endpoint.name)
}

func hopHeader(name string) bool {
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
