package httpcall

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/zinniaroute/zinniaroute/transport/framing"
)

const (
	maxIdlePerAddress = 1024
	// maxIdleTimeout bounds the idle time of a connection whose endpoint sends no Keep-Alive timeout.
	maxIdleTimeout = 20 * time.Second
	// idleMargin is the time before the endpoint's Keep-Alive timeout at which an idle connection is dropped. It covers
	// the delivery of a request that is sent at the last moment.
	idleMargin = 500 * time.Millisecond
	// concurrentBodyBytes is the body size in bytes above which the request is written while the response is read.
	// Smaller requests fit into the TCP windows.
	concurrentBodyBytes = 8 << 10
	// bufferedBodyBytes is how much of bodies that are read whole a client buffers at once, and unreservedBodyBytes is the
	// part of each body that does not count.
	bufferedBodyBytes   = 32 << 20
	unreservedBodyBytes = 64 << 10
	// maxSkippedResponses and maxSkippedBytes bound the interim responses and the late responses to other requests that
	// are dropped before the response to a request.
	maxSkippedResponses = 8
	maxSkippedBytes     = 1 << 20
	// minFinalStatus is the lowest status of a response that is not interim (RFC 9110, section 15.2).
	minFinalStatus = 200
	// untilCloseLength is the content length with which the HTTP library marks a body that ends with its connection.
	untilCloseLength = -2
)

// Client sends requests and keeps a pool of idle connections for each address.
type Client struct {
	dialTimeout time.Duration
	// bodies limits the memory for bodies that are read whole, in bytes.
	bodies *semaphore.Weighted
	mu     sync.Mutex
	idle   map[netip.AddrPort][]idleConn
}

type idleConn struct {
	conn      network.Conn
	idleSince time.Time
	// idleTimeout is the idle time from which the connection is not reused, because the endpoint may close it.
	idleTimeout time.Duration
}

// NewClient returns a client whose attempts to connect fail after the dial timeout.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{
		dialTimeout: dialTimeout,
		bodies:      semaphore.NewWeighted(bufferedBodyBytes),
		idle:        make(map[netip.AddrPort][]idleConn),
	}
}

// Options are the options of a single call.
type Options struct {
	// Fresh requires a connection of its own, which is closed at the end of the call. If the endpoint closes a reused one while the
	// request is on its way, the client cannot tell whether the endpoint received the request. If responses name no request, a
	// late one to another request could be taken for the one to this.
	Fresh bool
	// MaxBody bounds the bytes of a chunked response body that are buffered at once. Zero means no bound.
	MaxBody int
	// ReadTimeout bounds the time without any byte of the response. Zero means no bound.
	ReadTimeout time.Duration
	// ResetAtExit resets the connection if the process ends during the call. Otherwise the kernel goes on sending a request
	// that a network partition holds up.
	ResetAtExit bool
	// Name is the name by which responses tell to which request they belong, or empty if they do not. A request is not sent on a
	// connection on which one of its name was refused: a copy of the refusal, sent late, could be taken for its response.
	Name string
	// CloseRefused closes the connection after a refusal. It is for calls whose responses have no name, which cannot be told from a
	// copy of the refusal that is sent late.
	CloseRefused bool
	// Match says to which request a response belongs. Nil means that all responses are Own.
	Match func(header *protocol.ResponseHeader) Match
}

// Match says to which request a response belongs.
type Match int

// The matches of a response.
const (
	// Own means that it is the response to this request.
	Own Match = iota
	// Foreign means that it is the response to another request. It is read and dropped.
	Foreign
	// Unnamed means that it may be the response to another request. The call fails with ErrUnnamed.
	Unnamed
)

func (o Options) match(header *protocol.ResponseHeader) Match {
	if o.Match == nil {
		return Own
	}
	return o.Match(header)
}

// Exchange is a call whose response header has arrived. It ends with Done, Abort or ReadAll.
type Exchange struct {
	Response   *protocol.Response
	client     *Client
	address    netip.AddrPort
	conn       network.Conn
	stopCancel func() bool
	ended      bool
	// writeResult delivers the result of writing a long request. It is nil for others, which are written before the response is read.
	writeResult chan error
	// writeEnded means that the result has been delivered, and writeError is its error.
	writeEnded bool
	writeError error
	// reused means that the connection has carried other calls.
	reused bool
	// name is the name of the request, or empty.
	name string
	// fresh means that the connection is closed after the call.
	fresh bool
	// closeRefused means that the connection is closed if the call is refused.
	closeRefused bool
	// resetAtExit means that the connection is reset if the process ends.
	resetAtExit bool
	// untilClose means that the body ends with the connection.
	untilClose bool
	// fixed is the body if its length is known, and nil otherwise.
	fixed *fixedBody
}

// Start sends a request and reads the response header. The end of the context resets the connection, also while the
// body is read.
func (c *Client) Start(
	ctx context.Context,
	address netip.AddrPort,
	request *protocol.Request,
	options Options,
) (*Exchange, error) {
	conn, reused, err := c.connect(address, options)
	if err != nil {
		return nil, &Error{Stage: StageDial, Cause: err}
	}
	if err := ctx.Err(); err != nil {
		c.putIdle(address, conn, maxIdleTimeout)
		return nil, &Error{Stage: StageDial, Cause: err}
	}
	if err := conn.SetReadTimeout(options.ReadTimeout); err != nil {
		closeConn(conn)
		return nil, &Error{Stage: StageDial, Cause: err}
	}
	if options.ResetAtExit {
		if err := setLinger(conn, resetLinger); err != nil {
			closeConn(conn)
			return nil, &Error{Stage: StageDial, Cause: err}
		}
	}
	stopCancel := context.AfterFunc(ctx, func() { resetConn(conn) })
	exchange := &Exchange{
		Response:     &protocol.Response{},
		client:       c,
		address:      address,
		conn:         conn,
		stopCancel:   stopCancel,
		reused:       reused,
		name:         options.Name,
		fresh:        options.Fresh,
		closeRefused: options.CloseRefused,
		resetAtExit:  options.ResetAtExit,
	}
	if err := exchange.send(request, options); err != nil {
		exchange.Abort()
		return nil, withContextCause(ctx, err)
	}
	return exchange, nil
}

func (e *Exchange) send(request *protocol.Request, options Options) error {
	if err := req.Write(request, e.conn); err != nil {
		return &Error{Stage: StageWrite, Cause: err}
	}
	e.Response.SkipBody = request.Header.IsHead()
	if len(request.Body()) > concurrentBodyBytes {
		return e.sendConcurrently(options)
	}
	if err := e.conn.Flush(); err != nil {
		return &Error{Stage: StageWrite, Cause: err}
	}
	return e.readResponse(options)
}

// sendConcurrently reads the response while the request is still being written, because an endpoint may respond early
// and stop reading.
func (e *Exchange) sendConcurrently(options Options) error {
	written := make(chan error, 1)
	if err := ants.Submit(func() { written <- e.conn.Flush() }); err != nil {
		return &Error{Stage: StageDial, Cause: err}
	}
	e.writeResult = written
	return e.readResponse(options)
}

func (e *Exchange) readResponse(options Options) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &Error{Stage: StageHeader, Cause: malformedResponse(cause)}
		}
	}()
	isHead := e.Response.SkipBody
	for range maxSkippedResponses + 1 {
		if err := checkHead(e.conn); err != nil {
			return &Error{Stage: StageHeader, Cause: err}
		}
		// ReadHeaders would read the head after a 100 too, before it is checked.
		if err := resp.ReadHeader(&e.Response.Header, e.conn); err != nil {
			return &Error{Stage: StageHeader, Cause: headerCause(e.conn, err)}
		}
		interim := e.Response.StatusCode() < minFinalStatus
		if err := e.openBody(options); err != nil {
			return err
		}
		if !interim {
			switch options.match(&e.Response.Header) {
			case Own:
				return nil
			case Unnamed:
				unexpectedResponses.Add("unnamed", 1)
				return &Error{Stage: StageHeader, Cause: ErrUnnamed}
			case Foreign:
				unexpectedResponses.Add("foreign", 1)
			}
		}
		if err := e.skipBody(); err != nil {
			return &Error{Stage: StageHeader, Cause: err}
		}
		e.Response.Reset()
		e.Response.SkipBody = isHead
	}
	return &Error{Stage: StageHeader, Cause: errTooManySkipped}
}

// skipBody drops the body of a response that does not belong to the request.
func (e *Exchange) skipBody() error {
	n, err := io.Copy(io.Discard, io.LimitReader(e.Body(), maxSkippedBytes+1))
	if err == nil && n > maxSkippedBytes {
		return ErrBodyTooLarge
	}
	return err
}

// openBody prepares the reader of the body. The HTTP library reads only chunked bodies; it does not keep to the bounds
// of the others.
func (e *Exchange) openBody(options Options) error {
	e.untilClose, e.fixed = false, nil
	if e.Response.MustSkipBody() {
		return nil
	}
	switch length := e.Response.Header.ContentLength(); {
	case length == untilCloseLength:
		e.untilClose = true
		return nil
	case length >= 0:
		e.fixed = &fixedBody{conn: e.conn, remaining: length}
		return nil
	default:
		err := resp.ReadRespBodyStream(e.Response, e.conn, options.MaxBody, func(bool) error { return nil })
		if err != nil {
			return &Error{Stage: StageHeader, Cause: err}
		}
		return nil
	}
}

// fixedBody reads a body of known length and fails if the connection ends before the body does.
type fixedBody struct {
	conn      network.Conn
	remaining int
}

// Read reads from the rest of the body. It returns io.ErrUnexpectedEOF if the connection ends early.
func (f *fixedBody) Read(p []byte) (int, error) {
	if f.remaining == 0 {
		return 0, io.EOF
	}
	n, err := f.conn.Read(p[:min(len(p), f.remaining)])
	f.remaining -= n
	if errors.Is(err, io.EOF) && f.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// untilCloseBody reads a body that ends with its connection.
type untilCloseBody struct{ exchange *Exchange }

// Read reads from the connection. It returns io.ErrUnexpectedEOF if the connection did not end properly.
func (u untilCloseBody) Read(p []byte) (int, error) {
	n, err := u.exchange.conn.Read(p)
	if errors.Is(err, io.EOF) && u.exchange.writeBroken() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// writeBroken ends the writing of the request and reports whether the connection failed meanwhile. The kernel reports the error of a
// connection once: if the write gets it, reads return io.EOF as if the endpoint had closed the connection.
func (e *Exchange) writeBroken() bool {
	if e.writeResult == nil {
		return false
	}
	if !e.writeEnded {
		// A write that waits ends at once. This fails only if the connection is closed, which ends it too.
		_ = e.conn.SetWriteDeadline(time.Now())
		e.recordWrite(<-e.writeResult)
	}
	return e.writeError != nil && !errors.Is(e.writeError, os.ErrDeadlineExceeded)
}

// writeIncomplete reports whether the request is not completely written yet, or could not be written.
func (e *Exchange) writeIncomplete() bool {
	if e.writeResult == nil {
		return false
	}
	if !e.writeEnded {
		select {
		case err := <-e.writeResult:
			e.recordWrite(err)
		default:
			return true
		}
	}
	return e.writeError != nil
}

func (e *Exchange) recordWrite(err error) { e.writeEnded, e.writeError = true, err }

func withContextCause(ctx context.Context, err error) error {
	cause := ctx.Err()
	var failed *Error
	if cause != nil && errors.As(err, &failed) {
		failed.Cause = cause
	}
	return err
}

// Reused reports whether the connection has carried other calls before.
func (e *Exchange) Reused() bool { return e.reused }

// Connection returns the number of the connection, which is unique in the process.
func (e *Exchange) Connection() uint64 {
	c, ok := e.conn.(*connection)
	if !ok {
		return 0
	}
	return c.number
}

// EndsWithConnection reports whether the response has neither a length nor chunks, so that the end of the connection is
// its only end.
func (e *Exchange) EndsWithConnection() bool { return e.untilClose }

// Body returns a reader of the response body.
func (e *Exchange) Body() io.Reader {
	if e.untilClose {
		return untilCloseBody{e}
	}
	if e.fixed != nil {
		return e.fixed
	}
	if !e.Response.IsBodyStream() {
		return eofReader{}
	}
	return guardedReader{e.Response.BodyStream(), e.Response.Header.Trailer()}
}

// guardedReader reads a body with the HTTP library, which panics at some malformed ones.
type guardedReader struct {
	reader  io.Reader
	trailer *protocol.Trailer
}

// Read reads from the body. It returns an error in place of a panic, and in place of io.EOF if the trailer is malformed.
func (g guardedReader) Read(p []byte) (n int, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			n, err = 0, malformedResponse(cause)
		}
	}()
	n, err = g.reader.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := framing.CheckTrailer(g.trailer); malformed != nil {
			err = errors.WithMessage(errNoResponse, malformed.Error())
		}
	}
	return n, err
}

// malformedResponses counts the responses at which the HTTP library panicked.
var malformedResponses = expvar.NewInt("malformedResponses")

// malformedResponse counts a response at which the HTTP library panicked, and returns the error of the call.
func malformedResponse(cause any) error {
	malformedResponses.Add(1)
	return errors.WithMessagef(errNoResponse, "panic: %v", cause)
}

type eofReader struct{}

// Read returns io.EOF.
func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// Done ends the exchange and keeps the connection for reuse if possible. The body must have been read to its end.
func (e *Exchange) Done() {
	if e.ended {
		return
	}
	e.ended = true
	intact := e.stopCancel()
	if e.conn.Len() > 0 {
		unexpectedResponses.Add("after", 1)
	}
	if !intact || e.Response.ConnectionClose() || e.untilClose || e.conn.Len() > 0 || e.writeIncomplete() {
		closeConn(e.conn)
		return
	}
	if err := e.conn.Release(); err != nil {
		closeConn(e.conn)
		return
	}
	if e.resetAtExit && setLinger(e.conn, defaultLinger) != nil || e.fresh {
		closeConn(e.conn)
		return
	}
	if e.Response.StatusCode() >= minRefusalStatus && !e.reusableAfterRefusal() {
		closeConn(e.conn)
		return
	}
	e.client.putIdle(e.address, e.conn, idleTimeout(&e.Response.Header))
}

// reusableAfterRefusal records that the connection carried a refusal. It reports whether the connection may carry other requests.
func (e *Exchange) reusableAfterRefusal() bool {
	c, ok := e.conn.(*connection)
	return ok && !e.closeRefused && c.refused.record(e.name)
}

// Abort ends the exchange and resets the connection, which cancels the work at the endpoint.
func (e *Exchange) Abort() {
	if e.ended {
		return
	}
	e.ended = true
	e.stopCancel()
	resetConn(e.conn)
}

// connect returns an idle connection, or a new one if there is none or a fresh one is required.
func (c *Client) connect(address netip.AddrPort, options Options) (conn network.Conn, reused bool, err error) {
	if !options.Fresh {
		for idle, ok := c.takeIdle(address, options.Name); ok; idle, ok = c.takeIdle(address, options.Name) {
			if idle.usable(time.Now()) {
				return idle.conn, true, nil
			}
			closeConn(idle.conn)
		}
	}
	dialed, err := dial(address.String(), c.dialTimeout)
	if err != nil {
		return nil, false, err
	}
	return dialed, false, nil
}

// takeIdle takes the connection that was used last, of those on which no request of the name was refused.
func (c *Client) takeIdle(address netip.AddrPort, name string) (idleConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	for i, idle := range slices.Backward(conns) {
		if !idle.refused(name) {
			c.idle[address] = slices.Delete(conns, i, i+1)
			return idle, true
		}
	}
	return idleConn{}, false
}

func (i idleConn) refused(name string) bool {
	c, ok := i.conn.(*connection)
	return ok && c.refused.contains(name)
}

// usable reports whether an idle connection can be reused. A request on a connection that the endpoint has closed fails
// as if the endpoint had crashed during the request, and bytes that wait there belong to no request.
func (i idleConn) usable(now time.Time) bool {
	if now.Sub(i.idleSince) >= i.idleTimeout {
		return false
	}
	c, ok := i.conn.(*connection)
	return ok && c.quiet()
}

// idleTimeout returns the idle time up to which a connection is reused: idleMargin less than the Keep-Alive timeout of
// the endpoint, and at most maxIdleTimeout.
func idleTimeout(header *protocol.ResponseHeader) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if seconds, err := strconv.Atoi(text); found && err == nil {
			return min(maxIdleTimeout, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return maxIdleTimeout
}

func (c *Client) putIdle(address netip.AddrPort, conn network.Conn, idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdlePerAddress {
		closeConn(conn)
		return
	}
	c.idle[address] = append(c.idle[address], idleConn{conn: conn, idleSince: time.Now(), idleTimeout: idleTimeout})
}

// Close closes all idle connections. It does not end calls in progress.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		for _, idle := range conns {
			closeConn(idle.conn)
		}
		delete(c.idle, address)
	}
}

// resetConn closes a connection and discards all bytes that have not reached the endpoint. Otherwise a request that is
// cancelled during a network partition would arrive when the partition ends.
func resetConn(conn network.Conn) {
	// If this fails, the connection is closed without a reset.
	_ = setLinger(conn, resetLinger)
	closeConn(conn)
}

// The values of setLinger, in seconds: a close resets the connection, or sends what has been written first.
const (
	resetLinger   = 0
	defaultLinger = -1
)

// setLinger sets what the close of a TCP connection does, also the one at the end of the process.
func setLinger(conn network.Conn, seconds int) error {
	if c, ok := conn.(*connection); ok {
		if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
			return tcp.SetLinger(seconds)
		}
	}
	return nil
}

// closeConn closes a connection. It ignores the error, because the connection is not used any more.
func closeConn(conn network.Conn) { _ = conn.Close() }
