package httpserve

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/transport/group"
)

const insideRequest = "POST /inside HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// exchangeText sends bytes on a new connection and returns what comes back until the server closes it.
func exchangeText(t *testing.T, address net.Addr, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	defer func() { assert.Check(t, conn.Close()) }()
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, _ := io.ReadAll(conn)
	return string(response)
}

// A request whose end is ambiguous hides another one in its body, which runs as a request that no caller sent.
func TestRequestInsideARequestIsServed(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(listener, DefaultBounds(), false)
	var served atomic.Int64
	server.NoRoute(func(_ context.Context, c *app.RequestContext) {
		served.Add(1)
		c.SetStatusCode(http.StatusOK)
	})
	tasks, err := group.New(t.Context())
	assert.NilError(t, err)
	server.Start(tasks, "server")
	chunked := "0\r\n\r\n" + insideRequest
	tests := []struct {
		name, head, body string
		status           string
	}{
		{"the length is zero, then that of the body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: LENGTH\r\n", insideRequest, "400"},
		{"the length is that of the body, then zero", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: LENGTH\r\nContent-Length: 0\r\n", insideRequest, "400"},
		{"two lengths in one field", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: LENGTH, 0\r\n", insideRequest, "400"},
		{"length before chunks", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n", chunked, "400"},
		{"chunks before length", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: LENGTH\r\n", chunked, "400"},
		{"unknown coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: odd\r\n", chunked, "400"},
		{"identity", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n", insideRequest, "400"},
		{"two codings", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", chunked, "400"},
		{"chunks in HTTP/1.0", "POST / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n", chunked, "400"},
		{"folded line", "POST / HTTP/1.1\r\nHost: h\r\nX-Folded: a\r\n b\r\nContent-Length: LENGTH\r\n", insideRequest, "400"},
		{"line end in a field name", "POST / HTTP/1.1\r\nHost: h\r\nX\rContent-Length: LENGTH\r\n", insideRequest, "400"},
		{"two hosts", "POST / HTTP/1.1\r\nHost: h\r\nHost: i\r\nContent-Length: LENGTH\r\n", insideRequest, "400"},
		{"line end in the target", "POST /a\rb HTTP/1.1\r\nHost: h\r\nContent-Length: LENGTH\r\n", insideRequest, "400"},
		{"tab in the method", "POST\tx / HTTP/1.1\r\nHost: h\r\nContent-Length: LENGTH\r\n", insideRequest, "400"},
		{"chunk size with a sign", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n", "+0\r\n\r\n" + insideRequest, "400"},
		{"chunk size that overflows", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n", "10000000000000000\r\n" + insideRequest, "400"},
		{"bare line end in a chunk size", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n", "0\n\n" + insideRequest, "400"},
		{"the same length twice", "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: LENGTH\r\nContent-Length: LENGTH\r\n", insideRequest, "200"},
		{"one length", "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: LENGTH\r\n", insideRequest, "200"},
		{"chunks", "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: Chunked\r\n", "0\r\n\r\n", "200"},
		{"no body", "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n", "", "200"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := served.Load()
			head := strings.ReplaceAll(test.head, "LENGTH", strconv.Itoa(len(test.body)))
			response := exchangeText(t, listener.Addr(), head+"\r\n"+test.body)
			assert.Check(t, strings.HasPrefix(response, "HTTP/1.1 "+test.status), "%q", response)
			assert.Check(t, strings.Count(response, "HTTP/1.1 ") == 1, "the connection goes on: %q", response)
			want := int64(0)
			if test.status == "200" {
				want = 1
			}
			assert.Equal(t, served.Load()-before, want)
		})
	}
	assert.NilError(t, tasks.Stop())
}
