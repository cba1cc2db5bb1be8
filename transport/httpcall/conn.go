package httpcall

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/transport/framing"
)

const (
	// readBufferBytes is the size of the read buffer. It holds a response header, and the 8 KiB that the HTTP library
	// peeks at most.
	readBufferBytes = 8 << 10
	// TCP keep-alive detects an unresponsive peer after 10 seconds (4 + 3 * 2). A typical partition lasts 5 seconds and
	// must not truncate the responses that it delays.
	keepAliveIdle     = 4 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// connections counts the connections of the process, which gives each its number.
var connections atomic.Uint64

// connection is a TCP connection that implements network.Conn of the HTTP library.
type connection struct {
	net.Conn
	number       uint64
	reader       *bufio.Reader
	pending      []byte
	readTimeout  time.Duration
	writeTimeout time.Duration
	// readError is the error of the last read from the socket, or nil.
	readError error
	// refused holds the requests that were refused on this connection.
	refused refusedRequests
}

func dial(address string, timeout time.Duration) (*connection, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return newConnection(conn), nil
}

func newConnection(conn net.Conn) *connection {
	c := &connection{Conn: conn, number: connections.Add(1)}
	c.reader = bufio.NewReaderSize(timedReader{c}, readBufferBytes)
	return c
}

// quiet reports whether nothing has arrived on an idle connection, neither bytes nor the close. It must not be used if it reports
// false, as a byte may have been consumed.
func (c *connection) quiet() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok || c.Len() > 0 || c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var read [1]byte
		n, readErr := syscall.Read(int(fd), read[:])
		if n > 0 {
			unexpectedResponses.Add("idle", 1)
		}
		quiet = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// timedReader reads from the socket with the read timeout of the connection.
type timedReader struct{ c *connection }

// Read reads from the socket. It fails after the read timeout, if one is set.
func (t timedReader) Read(p []byte) (int, error) {
	if t.c.readTimeout > 0 {
		if err := t.c.Conn.SetReadDeadline(time.Now().Add(t.c.readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := t.c.Conn.Read(p)
	t.c.readError = err
	return n, err
}

// checkHead waits for the head of a response and checks it, without consuming it.
func checkHead(conn network.Conn) error {
	for n := 1; ; n = conn.Len() + 1 {
		if _, err := conn.Peek(n); err != nil {
			return headerCause(conn, err)
		}
		buffered, err := conn.Peek(conn.Len())
		if err != nil {
			return headerCause(conn, err)
		}
		head, complete := cutHead(buffered)
		if !complete {
			continue
		}
		if err := framing.CheckResponse(head); err != nil {
			return errors.WithMessage(errNoResponse, err.Error())
		}
		return nil
	}
}

// cutHead returns the bytes from the status line to the empty line that ends the head. It skips empty lines before it, as
// the HTTP library does, and reports false if the head is incomplete.
func cutHead(buffered []byte) (head []byte, complete bool) {
	head = buffered
	for bytes.HasPrefix(head, []byte("\r\n")) || bytes.HasPrefix(head, []byte("\n")) {
		head = head[bytes.IndexByte(head, '\n')+1:]
	}
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(head, []byte(end)); i >= 0 {
			head, complete = head[:i+len(end)], true
		}
	}
	return head, complete
}

// errNoResponse means that the endpoint sent bytes that are no response.
var errNoResponse = errors.New("the endpoint sent no response in the protocol")

// headerCause returns why no response header could be read. The HTTP library reports most failures as io.EOF.
func headerCause(conn network.Conn, err error) error {
	c, ok := conn.(*connection)
	switch {
	case ok && c.readError != nil:
		return c.readError
	case errors.Is(err, bufio.ErrBufferFull), ok && errors.Is(err, io.EOF):
		return errNoResponse
	default:
		return err
	}
}

// Read returns buffered bytes first.
func (c *connection) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Peek returns the next n bytes without consuming them.
func (c *connection) Peek(n int) ([]byte, error) { return c.reader.Peek(n) }

// Skip discards the next n bytes.
func (c *connection) Skip(n int) error {
	_, err := c.reader.Discard(n)
	return err
}

// Release does nothing, because the buffer keeps no bytes after they are read.
func (c *connection) Release() error { return nil }

// Len returns the number of buffered bytes.
func (c *connection) Len() int { return c.reader.Buffered() }

// ReadByte reads one byte.
func (c *connection) ReadByte() (byte, error) { return c.reader.ReadByte() }

// ReadBinary reads the next n bytes into a new slice.
func (c *connection) ReadBinary(n int) ([]byte, error) {
	p, err := c.reader.Peek(n)
	if err != nil {
		return nil, err
	}
	return append([]byte(nil), p...), c.Skip(n)
}

// Malloc returns n bytes at the end of the output of the next flush, for the caller to fill.
func (c *connection) Malloc(n int) ([]byte, error) {
	start := len(c.pending)
	c.pending = append(c.pending, make([]byte, n)...)
	return c.pending[start:], nil
}

// WriteBinary appends bytes to the output of the next flush.
func (c *connection) WriteBinary(b []byte) (int, error) {
	c.pending = append(c.pending, b...)
	return len(b), nil
}

// Flush writes the pending output to the socket.
func (c *connection) Flush() error {
	pending := c.pending
	c.pending = nil
	if c.writeTimeout > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return err
		}
	}
	_, err := c.Conn.Write(pending)
	return err
}

// SetReadTimeout bounds each read from the socket. Zero removes the bound.
func (c *connection) SetReadTimeout(t time.Duration) error {
	c.readTimeout = t
	if t <= 0 {
		return c.Conn.SetReadDeadline(time.Time{})
	}
	return nil
}

// SetWriteTimeout bounds each flush. Zero means no bound.
func (c *connection) SetWriteTimeout(t time.Duration) error {
	c.writeTimeout = t
	return nil
}
