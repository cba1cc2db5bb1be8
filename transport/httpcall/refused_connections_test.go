package httpcall

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/transport/group"
)

// connectionKey is the key of a connection's names in the contexts of its requests.
type connectionKey struct{}

// refusedNames holds the names of the requests that an endpoint refused on a connection.
type refusedNames struct {
	mu    sync.Mutex
	names map[string]bool
}

// again reports whether a name was refused on the connection, and adds it if it is refused now.
func (r *refusedNames) again(name string, refused bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	again := r.names[name]
	if refused {
		r.names[name] = true
	}
	return again
}

// strictRefuser is an endpoint that refuses each request with the status in its header X-Refuse, if any, and records the names of the
// requests that come again on a connection on which it has refused them.
type strictRefuser struct {
	address netip.AddrPort
	mu      sync.Mutex
	again   []string
}

func newStrictRefuser(t *testing.T) *strictRefuser {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &strictRefuser{address: netip.MustParseAddrPort(listener.Addr().String())}
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, &refusedNames{names: make(map[string]bool)})
		},
		Handler: http.HandlerFunc(s.serve),
	}
	g, err := group.New(context.Background())
	assert.NilError(t, err)
	g.Run("serve", func(context.Context) { _ = server.Serve(listener) })
	t.Cleanup(func() {
		assert.Check(t, server.Close())
		assert.Check(t, g.Stop())
	})
	return s
}

func (s *strictRefuser) serve(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	name, status := request.Header.Get("X-Id"), 0
	_, err := fmt.Sscan(request.Header.Get("X-Refuse"), &status)
	if names, ok := request.Context().Value(connectionKey{}).(*refusedNames); !ok || names.again(name, err == nil) {
		s.mu.Lock()
		s.again = append(s.again, name)
		s.mu.Unlock()
	}
	w.Header().Set("X-Id", name)
	if request.Header.Get("X-Interim") != "" {
		w.WriteHeader(http.StatusEarlyHints)
	}
	if err == nil {
		w.WriteHeader(status)
	}
	_, _ = io.WriteString(w, strings.Repeat("x", len(request.Header.Get("X-Long"))*(8<<10)))
}

func (s *strictRefuser) call(t *testing.T, client *Client, name string, body []byte, fields ...string) {
	t.Helper()
	request := NewRequest("POST", s.address, "/", body)
	request.Header.Set("X-Id", name)
	for i := 0; i+1 < len(fields); i += 2 {
		request.Header.Set(fields[i], fields[i+1])
	}
	exchange, err := client.Start(t.Context(), s.address, request, Options{Name: name, Match: matchID(name)})
	if !assert.Check(t, err) {
		return
	}
	_, err = exchange.ReadAll(t.Context(), 1<<20)
	assert.Check(t, err)
}

func TestRequestComesAgainAfterRefusalsOfAllKinds(t *testing.T) {
	long := make([]byte, 2*concurrentBodyBytes)
	tests := []struct {
		name   string
		body   []byte
		fields []string
	}{
		{"400", nil, []string{"X-Refuse", "400"}},
		{"408", nil, []string{"X-Refuse", "408"}},
		{"421", nil, []string{"X-Refuse", "421"}},
		{"429", nil, []string{"X-Refuse", "429"}},
		{"503", nil, []string{"X-Refuse", "503"}},
		{"after an interim response", nil, []string{"X-Refuse", "503", "X-Interim", "1"}},
		{"with a body in chunks", nil, []string{"X-Refuse", "503", "X-Long", "1"}},
		{"of a long request", long, []string{"X-Refuse", "503"}},
		{"of a long request after an interim response", long, []string{"X-Refuse", "503", "X-Interim", "1"}},
	}
	for _, test := range tests {
		s, client := newStrictRefuser(t), NewClient(time.Second)
		s.call(t, client, "first", test.body, test.fields...)
		s.call(t, client, "other", test.body)
		s.call(t, client, "first", test.body, test.fields...)
		s.call(t, client, "first", test.body)
		assert.Check(t, len(s.again) == 0, "%s: sent again where refused: %v", test.name, s.again)
		client.Close()
	}
}

// Callers send and repeat the same few requests at the same time, of which the endpoint refuses a third.
func TestConcurrentRequestsComeAgainOnTheConnectionThatRefusedThem(t *testing.T) {
	const callers, requests, names = 8, 200, 40
	s, client := newStrictRefuser(t), NewClient(time.Second)
	defer client.Close()
	var calls sync.WaitGroup
	for i := range callers {
		calls.Go(func() {
			for k := range requests {
				var fields []string
				if (i+k)%3 == 0 {
					fields = []string{"X-Refuse", "503"}
				}
				s.call(t, client, fmt.Sprint((i*7+k)%names), nil, fields...)
			}
		})
	}
	calls.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Check(t, len(s.again) == 0, "%d requests came again where they were refused", len(s.again))
}
