package httpserve

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/zinniaroute/zinniaroute/transport/group"
)

// A request counts as in flight until its response is written, not only until its handler returns.
func TestRequestIsInFlightUntilItsResponseIsWritten(t *testing.T) {
	const size = 8 << 20
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(listener, DefaultBounds(), false)
	returned := make(chan struct{}, 1)
	server.GET("/large", func(_ context.Context, c *app.RequestContext) {
		c.Response.SetBody(make([]byte, size))
		returned <- struct{}{}
	})
	server.GET("/panic", func(context.Context, *app.RequestContext) { panic("fault") })
	tasks, err := group.New(t.Context())
	assert.NilError(t, err)
	server.Start(tasks, "server")
	ended := func(poll.LogT) poll.Result {
		if n := server.InFlight(); n != 0 {
			return poll.Continue("%d requests in flight", n)
		}
		return poll.Success()
	}
	url := "http://" + listener.Addr().String()
	for _, path := range []string{"/panic", "/unknown"} {
		response, err := http.Get(url + path)
		assert.NilError(t, err)
		_ = response.Body.Close()
		poll.WaitOn(t, ended)
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, server.InFlight(), int64(0), "an open connection counts")
	_, err = io.WriteString(conn, "GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	<-returned
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, server.InFlight(), int64(1))
	n, err := io.Copy(io.Discard, conn)
	assert.NilError(t, err)
	assert.Check(t, n > size)
	poll.WaitOn(t, ended)
	// The caller leaves before the response is written.
	conn, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	<-returned
	assert.NilError(t, conn.Close())
	poll.WaitOn(t, ended)
	assert.NilError(t, tasks.Stop())
}
