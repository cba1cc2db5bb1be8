package httpcall

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"gotest.tools/v3/assert"
)

// TCP keep-alive must not close connections during a partition of a failure domain of five seconds, or the responses in
// progress are lost.
func TestKeepAliveOutlastsPartitionOfFiveSeconds(t *testing.T) {
	_, address := newPeer(t)
	c, err := dial(address.String(), time.Second)
	assert.NilError(t, err)
	defer func() { assert.Check(t, c.Close()) }()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	option := func(name int) time.Duration {
		value := 0
		assert.NilError(t, raw.Control(func(fd uintptr) {
			value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name)
		}))
		assert.NilError(t, err)
		return time.Duration(value) * time.Second
	}
	timeout := option(syscall.TCP_KEEPIDLE) + option(syscall.TCP_KEEPINTVL)*option(syscall.TCP_KEEPCNT)/time.Second
	assert.Check(t, timeout > 5*time.Second, "keep-alive closes the connection after %v", timeout)
	assert.Check(t, timeout <= 10*time.Second, "keep-alive detects a dead peer only after %v", timeout)
}

// failingConn fails each read.
type failingConn struct {
	net.Conn
	err error
}

func (c failingConn) Read([]byte) (int, error) { return 0, c.err }

// The HTTP library reports each failure before the first byte of a response as io.EOF. A connection that keep-alive
// gave up says nothing about the endpoint, but one that the endpoint closed may mean that it crashed.
func TestLostConnectionIsTakenForAClosedOne(t *testing.T) {
	tests := []struct {
		name string
		err  error
	}{
		{"keep-alive timeout", &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}},
		{"reset", &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}},
		{"closed", io.EOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := &Exchange{Response: &protocol.Response{}, conn: newConnection(failingConn{err: test.err})}
			err := e.readResponse(Options{})
			var failed *Error
			assert.Assert(t, errors.As(err, &failed))
			assert.Equal(t, failed.Cause, test.err)
		})
	}
}

func TestEmptyLinesAreTakenForAClosedConnection(t *testing.T) {
	p, address := newPeer(t)
	p.serveEndless(t, "", "\r\n")
	_, err := NewClient(time.Second).Start(
		context.Background(), address, NewRequest("GET", address, "/", nil), Options{},
	)
	assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
}
