package httpcall

import (
	"bufio"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// readBuffer holds a response header, and the largest piece that the HTTP library peeks at once (8 KiB).
	readBuffer = 8 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a silent peer after ten seconds: a partition of five, the
	// usual one on the users' platform, does not cut the answers that it holds up.
	keepAliveIdle     = 4 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// connection is a TCP connection with the buffers that the HTTP library asks for.
type connection struct {
	net.Conn
	in           *bufio.Reader
	out          []byte
	readTimeout  time.Duration
	writeTimeout time.Duration
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
	c := &connection{Conn: conn}
	c.in = bufio.NewReaderSize(timedReader{c}, readBuffer)
	return c, nil
}

// timedReader reads from the socket under the connection's read timeout.
type timedReader struct{ c *connection }

// Read reads from the socket.
func (t timedReader) Read(p []byte) (int, error) {
	if t.c.readTimeout > 0 {
		if err := t.c.Conn.SetReadDeadline(time.Now().Add(t.c.readTimeout)); err != nil {
			return 0, err
		}
	}
	return t.c.Conn.Read(p)
}

// Read reads buffered bytes first.
func (c *connection) Read(p []byte) (int, error) { return c.in.Read(p) }

// Peek returns the next n bytes without consuming them.
func (c *connection) Peek(n int) ([]byte, error) { return c.in.Peek(n) }

// Skip discards the next n bytes.
func (c *connection) Skip(n int) error {
	_, err := c.in.Discard(n)
	return err
}

// Release does nothing, since no read bytes are kept.
func (c *connection) Release() error { return nil }

// Len returns the number of buffered bytes.
func (c *connection) Len() int { return c.in.Buffered() }

// ReadByte reads one byte.
func (c *connection) ReadByte() (byte, error) { return c.in.ReadByte() }

// ReadBinary reads the next n bytes into a new slice.
func (c *connection) ReadBinary(n int) ([]byte, error) {
	p, err := c.in.Peek(n)
	if err != nil {
		return nil, err
	}
	return append([]byte(nil), p...), c.Skip(n)
}

// Malloc returns n bytes at the end of what the next flush writes.
func (c *connection) Malloc(n int) ([]byte, error) {
	start := len(c.out)
	c.out = append(c.out, make([]byte, n)...)
	return c.out[start:], nil
}

// WriteBinary adds bytes to what the next flush writes.
func (c *connection) WriteBinary(b []byte) (int, error) {
	c.out = append(c.out, b...)
	return len(b), nil
}

// Flush writes everything that has been added.
func (c *connection) Flush() error {
	out := c.out
	c.out = nil
	if c.writeTimeout > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return err
		}
	}
	_, err := c.Conn.Write(out)
	return err
}

// SetReadTimeout bounds each read from the socket.
func (c *connection) SetReadTimeout(t time.Duration) error {
	c.readTimeout = t
	if t <= 0 {
		return c.Conn.SetReadDeadline(time.Time{})
	}
	return nil
}

// SetWriteTimeout bounds each flush.
func (c *connection) SetWriteTimeout(t time.Duration) error {
	c.writeTimeout = t
	return nil
}
