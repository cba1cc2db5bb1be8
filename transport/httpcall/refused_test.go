package httpcall

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/transport/group"
)

// refuser is an endpoint that answers 503 to requests with the header X-Refuse, and counts its connections.
type refuser struct {
	address netip.AddrPort
	opened  atomic.Int64
}

func newRefuser(t *testing.T) *refuser {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &refuser{address: netip.MustParseAddrPort(listener.Addr().String())}
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			r.opened.Add(1)
			return ctx
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			w.Header().Set("X-Id", request.Header.Get("X-Id"))
			if request.Header.Get("X-Refuse") != "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}),
	}
	g, err := group.New(context.Background())
	assert.NilError(t, err)
	g.Run("serve", func(context.Context) { _ = server.Serve(listener) })
	t.Cleanup(func() {
		assert.Check(t, server.Close())
		assert.Check(t, g.Stop())
	})
	return r
}

// call sends a request of a name and returns the number of its connection.
func (r *refuser) call(t *testing.T, client *Client, name string, refused bool) uint64 {
	t.Helper()
	request := NewRequest("GET", r.address, "/", nil)
	request.Header.Set("X-Id", name)
	if refused {
		request.Header.Set("X-Refuse", "1")
	}
	exchange, err := client.Start(t.Context(), r.address, request, Options{Name: name, Match: matchID(name)})
	assert.NilError(t, err)
	_, err = exchange.ReadAll(t.Context(), 100)
	assert.NilError(t, err)
	return exchange.Connection()
}

func TestRequestIsSentAgainOnTheConnectionThatRefusedIt(t *testing.T) {
	r, client := newRefuser(t), NewClient(time.Second)
	defer client.Close()
	refusedOn := []uint64{r.call(t, client, "first", true), r.call(t, client, "first", true)}
	assert.Check(t, refusedOn[0] != refusedOn[1], "refused twice on connection %d", refusedOn[0])
	other := r.call(t, client, "second", false)
	assert.Equal(t, other, refusedOn[1], "another request does not use the connection that was used last")
	third := r.call(t, client, "first", false)
	assert.Check(t, third != refusedOn[0] && third != refusedOn[1], "sent again on connection %d after refusals on %v", third, refusedOn)
}

func TestConnectionForgetsRefusals(t *testing.T) {
	r, client := newRefuser(t), NewClient(time.Second)
	defer client.Close()
	first := r.call(t, client, "first", true)
	for i := range 4 * maxRefusedRequests {
		r.call(t, client, fmt.Sprint("other ", i), true)
	}
	assert.Check(t, r.call(t, client, "first", false) != first, "sent again on connection %d, which refused it", first)
	opened := r.opened.Load()
	assert.Check(t, opened <= 1+4+1, "%d connections opened for %d refusals", opened, 4*maxRefusedRequests)
}

func TestServedRequestsOpenNoConnections(t *testing.T) {
	r, client := newRefuser(t), NewClient(time.Second)
	defer client.Close()
	for range 100 {
		r.call(t, client, "first", false)
	}
	assert.Equal(t, r.opened.Load(), int64(1))
}
