package httpcall

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// Result is a complete response.
type Result struct {
	Status int
	Header *protocol.ResponseHeader
	Body   []byte
}

// ErrBodyTooLarge means that a response body exceeds the limit of the call.
var ErrBodyTooLarge = errors.New("response body too large")

// ErrUnnamed means that a response does not say to which request it belongs.
var ErrUnnamed = errors.New("the response does not say to which request it belongs")

// errTooManySkipped means that the endpoint sent only interim responses, or responses to other requests.
var errTooManySkipped = errors.New("too many responses that do not belong to the request")

// Fetch sends a request and reads the complete response within the timeout. A body of more than maxBody bytes is an
// error.
func (c *Client) Fetch(
	ctx context.Context,
	address netip.AddrPort,
	request *protocol.Request,
	timeout time.Duration,
	maxBody int64,
) (*Result, error) {
	return c.FetchWith(ctx, address, request, timeout, maxBody, Options{})
}

// FetchWith does the same as Fetch, with options.
func (c *Client) FetchWith(
	ctx context.Context,
	address netip.AddrPort,
	request *protocol.Request,
	timeout time.Duration,
	maxBody int64,
	options Options,
) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	exchange, err := c.Start(ctx, address, request, options)
	if err != nil {
		return nil, err
	}
	body, err := exchange.ReadAll(ctx, maxBody)
	if err != nil {
		return nil, withContextCause(ctx, err)
	}
	return &Result{Status: exchange.Response.StatusCode(), Header: &exchange.Response.Header, Body: body}, nil
}

// ReadAll reads the complete body and ends the exchange. A body of more than limit bytes is an error. If it is longer
// than unreservedBodyBytes, ReadAll waits until the client may buffer the rest.
func (e *Exchange) ReadAll(ctx context.Context, limit int64) ([]byte, error) {
	body, err := e.readBody(ctx, limit)
	if err == nil && int64(len(body)) > limit {
		err = ErrBodyTooLarge
	}
	if err != nil {
		e.Abort()
		return nil, &Error{Stage: StageBody, Cause: err}
	}
	e.Done()
	return body, nil
}

// readBody reads at most one byte more than the limit.
func (e *Exchange) readBody(ctx context.Context, limit int64) ([]byte, error) {
	reader := io.LimitReader(e.Body(), limit+1)
	body, err := io.ReadAll(io.LimitReader(reader, unreservedBodyBytes))
	if err != nil || len(body) < unreservedBodyBytes {
		return body, err
	}
	reserved := min(limit, bufferedBodyBytes)
	if e.fixed != nil {
		reserved = min(reserved, int64(e.fixed.remaining))
	}
	if err := e.client.bodies.Acquire(ctx, reserved); err != nil {
		return nil, err
	}
	defer e.client.bodies.Release(reserved)
	for {
		if len(body) == cap(body) {
			// Doubling, but not beyond the limit, holds at most one and a half times the limit while the body is copied.
			grown := make([]byte, len(body), min(2*int64(len(body)), limit+2))
			copy(grown, body)
			body = grown
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// NewRequest returns a request to an address. The URI is a path with an optional query. The body is JSON, or nil for
// none.
func NewRequest(method string, address netip.AddrPort, uri string, body []byte) *protocol.Request {
	request := &protocol.Request{}
	request.Header.SetMethod(method)
	request.SetRequestURI(uri)
	request.Header.SetHost(address.String())
	if body != nil {
		request.Header.SetContentTypeBytes([]byte("application/json"))
		request.SetBody(body)
	}
	return request
}
