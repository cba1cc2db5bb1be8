package rpc

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"
)

const dialTimeout = time.Second

// Client calls one peer over one connection. A call waits until the previous one has ended.
type Client struct {
	address netip.AddrPort
	mu      sync.Mutex
	conn    *drpcconn.Conn
	meter   *Meter
}

// Meter counts the bytes that the connections of one or more clients transfer.
type Meter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Bytes returns the number of bytes sent and received so far.
func (m *Meter) Bytes() (sent, received uint64) { return m.sent.Load(), m.received.Load() }

// NewClient returns a client that connects on first use. The meter may be nil.
func NewClient(address netip.AddrPort, meter *Meter) *Client {
	return &Client{address: address, meter: meter}
}

// Address returns the peer's address.
func (c *Client) Address() netip.AddrPort { return c.address }

// Call sends a request and returns the response. The timeout starts before the wait for earlier calls, but it does not
// interrupt this wait. After an error the next call connects again.
func Call[Q, A any](ctx context.Context, c *Client, name string, request *Q, timeout time.Duration) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	var response A
	if err := conn.Invoke(ctx, name, encoding{}, request, &response); err != nil {
		c.disconnect()
		return nil, errors.Wrapf(err, "call %s at %s", name, c.address)
	}
	return &response, nil
}

// Stream sends a request and passes each response to receive until the stream fails or the context ends. It always
// returns an error and closes the connection.
func Stream[Q, A any](ctx context.Context, c *Client, name string, request *Q, receive func(*A)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	defer c.disconnect()
	stream, err := conn.NewStream(ctx, name, encoding{})
	if err != nil {
		return errors.Wrapf(err, "open %s at %s", name, c.address)
	}
	if err := stream.MsgSend(request, encoding{}); err != nil {
		return errors.Wrapf(err, "send %s to %s", name, c.address)
	}
	for {
		var response A
		if err := stream.MsgRecv(&response, encoding{}); err != nil {
			return errors.Wrapf(err, "receive %s from %s", name, c.address)
		}
		receive(&response)
	}
}

func (c *Client) connect(ctx context.Context) (*drpcconn.Conn, error) {
	if c.conn != nil && !isClosed(c.conn) {
		return c.conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	transport, err := dialer.DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", c.address)
	}
	if c.meter != nil {
		transport = &meteredConn{Conn: transport, meter: c.meter}
	}
	c.conn = drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()})
	return c.conn, nil
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

func (c *Client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Close closes the connection after the call in progress. A later call connects again.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnect()
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(uint64(n))
	return n, err
}
