package httpcall

import (
	"net"
	"syscall"
	"testing"
	"time"

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
