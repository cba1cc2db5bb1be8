package engineapi

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/transport/group"
)

// serveCopies answers each third call with 503 and sends a copy of it before the next answer on the connection.
func serveCopies(t *testing.T) netip.AddrPort {
	t.Helper()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g, err := group.New(t.Context())
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.Check(t, listener.Close())
		assert.Check(t, g.Stop())
	})
	calls := 0
	g.Run("accept", func(ctx context.Context) {
		// The client makes one call at a time and closes a connection before it opens the next.
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			copied := ""
			for reader := bufio.NewReader(conn); ; {
				request, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, request.Body)
				answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
				if request.Method == http.MethodPost {
					answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"
				}
				if calls++; calls%3 == 1 {
					answer = refusal
				}
				_, _ = io.WriteString(conn, copied+answer)
				if copied = ""; answer == refusal {
					copied = refusal
				}
			}
			stop()
			_ = conn.Close()
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// An engine refuses a call for its report or its index, and sends a copy of the refusal in place of the next answer.
func TestCopyOfARefusedReportIsTakenForTheNextAnswer(t *testing.T) {
	client := NewClient(time.Second)
	t.Cleanup(client.http.Close)
	address := serveCopies(t)
	report := func() error { _, err := client.Report(t.Context(), address); return err }
	index := func() error { _, _, err := client.Index(t.Context(), address); return err }
	tests := []struct {
		name          string
		refused, next func() error
	}{
		{"report after a report", report, report},
		{"index after a report", report, index},
		{"report after an index", index, report},
		{"index after an index", index, index},
	}
	for _, test := range tests {
		assert.Check(t, test.refused() != nil, "%s: the first call is not refused", test.name)
		for range 2 {
			assert.Check(t, test.next(), test.name)
		}
	}
}
