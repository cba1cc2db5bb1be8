package httpcall

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

const refusalOfFirst = "HTTP/1.1 503 Service Unavailable\r\nX-Id: first\r\nContent-Length: 0\r\n\r\n"

// An endpoint writes an earlier refusal once more on a connection that is used again.
func TestRefusalThatIsWrittenAgainIsTakenForTheNextAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nX-Id: second\r\nContent-Length: 5\r\n\r\nright"
	tests := []struct {
		name string
		// first and second are sent after the arrival of each request.
		first, second string
	}{
		{"at once", refusalOfFirst + refusalOfFirst, answer},
		{"with the next request", refusalOfFirst, refusalOfFirst + answer},
		{"instead of the answer", refusalOfFirst, refusalOfFirst},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, address := newPeer(t)
			p.serve(t, test.first, test.second)
			client := NewClient(time.Second)
			accept := func(id string) Options {
				return Options{Match: matchID(id)}
			}
			exchange, err := client.Start(context.Background(), address, NewRequest("GET", address, "/", nil), accept("first"))
			assert.NilError(t, err)
			_, err = exchange.ReadAll(context.Background(), 100)
			assert.NilError(t, err)
			p.serve(t, answer)
			t.Cleanup(func() { releaseServer(address) })
			exchange, err = client.Start(context.Background(), address, NewRequest("GET", address, "/", nil), accept("second"))
			if err != nil {
				assert.Assert(t, WasSent(err), "a request that may have run is called not sent: %v", err)
				return
			}
			body, err := exchange.ReadAll(context.Background(), 100)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "right")
		})
	}
}

// releaseServer connects once, so that a server that still waits for a connection ends.
func releaseServer(address netip.AddrPort) {
	if conn, err := net.Dial("tcp", address.String()); err == nil {
		_ = conn.Close()
	}
}

// An endpoint stops in the middle of its answer's head, or of the body, and closes.
func TestAnswerThatStopsEarlyIsTakenForAWholeOne(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 5\r\nX-Id: mine\r\n\r\n"
	for length := range len(head + "right") {
		p, address := newPeer(t)
		g, err := group.New(t.Context())
		assert.NilError(t, err)
		g.Run("serve", func(context.Context) {
			conn := <-p.conns
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, (head + "right")[:length])
			}
			_ = conn.Close()
		})
		exchange, err := NewClient(time.Second).Start(context.Background(), address, NewRequest("GET", address, "/", nil), Options{})
		if err == nil {
			_, err = exchange.ReadAll(context.Background(), 100)
		}
		assert.Check(t, err != nil, "%d bytes of the answer are taken for a whole one", length)
		assert.Check(t, err == nil || WasSent(err), "%d bytes of an answer: the request is called not sent", length)
		assert.NilError(t, g.Stop())
	}
}

// An endpoint sends further bytes, or closes the connection, when the answer has been read.
func TestRequestIsSentOnAConnectionOnWhichBytesWait(t *testing.T) {
	const first, second = "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 5\r\n\r\nright", "HTTP/1.1 200 OK\r\nX-Id: second\r\nContent-Length: 5\r\n\r\nright"
	tests := []struct{ name, late string }{
		{"refusal without a name", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
		{"refusal of the next request", "HTTP/1.1 503 Service Unavailable\r\nX-Id: second\r\nContent-Length: 0\r\n\r\n"},
		{"one byte", "x"},
		{"close", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, address := newPeer(t)
			g, err := group.New(t.Context())
			assert.NilError(t, err)
			wrote := make(chan struct{})
			g.Run("serve", func(context.Context) {
				conn := <-p.conns
				readHead(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, first)
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(conn, test.late)
				if test.late == "" {
					_ = conn.Close()
				}
				close(wrote)
			})
			client := NewClient(time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			exchange, err := client.Start(ctx, address, NewRequest("GET", address, "/", nil), Options{Match: matchID("first")})
			assert.NilError(t, err)
			_, err = exchange.ReadAll(ctx, 100)
			assert.NilError(t, err)
			<-wrote
			time.Sleep(5 * time.Millisecond)
			p.serve(t, second)
			t.Cleanup(func() { releaseServer(address) })
			exchange, err = client.Start(ctx, address, NewRequest("GET", address, "/", nil), Options{Match: matchID("second")})
			assert.NilError(t, err)
			assert.Equal(t, exchange.Response.StatusCode(), 200)
			_, err = exchange.ReadAll(ctx, 100)
			assert.NilError(t, err)
			assert.NilError(t, g.Stop())
		})
	}
}
