package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
			t.Cleanup(func() {
				// The second server waits for a connection, which not every case opens.
				if conn, err := net.Dial("tcp", address.String()); err == nil {
					_ = conn.Close()
				}
			})
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
