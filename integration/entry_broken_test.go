package integration

import (
	"bufio"
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
	"gotest.tools/v3/poll"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/engine"
	"github.com/zinniaroute/zinniaroute/protocol/platform"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// rawEndpoint is an endpoint of a plain service that answers all requests but those for its report with the same bytes.
type rawEndpoint struct {
	mu     sync.Mutex
	answer string
	// early sends the answer before the body of the request is read, and resets the connection.
	early bool
	asked int
}

func (r *rawEndpoint) set(answer string, early bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer, r.early, r.asked = answer, early, 0
}

func (r *rawEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if request.URL.Path == engine.ReportPath {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 19\r\n\r\n{\"incarnation\":\"a\"}")
		return
	}
	r.mu.Lock()
	answer, early := r.answer, r.early
	r.asked++
	r.mu.Unlock()
	if !early {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, answer)
	if early {
		time.Sleep(2 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// newRawService starts a VM with a plain service, whose only endpoint is a raw one.
func newRawService(t *testing.T) (*rawEndpoint, vmNode) {
	t.Helper()
	s := newSystem(t, "kumamoto-a")
	listener := listen(t)
	endpoint := &rawEndpoint{answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"}
	tasks, err := group.New(context.Background())
	assert.NilError(t, err)
	tasks.Run("accept", func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			tasks.Run("serve", func(context.Context) { endpoint.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		assert.Check(t, tasks.Stop())
	})
	address := netip.MustParseAddrPort(listener.Addr().String())
	s.catalog.Services = []catalog.Service{{Name: "raw"}}
	s.catalog.Routes = []catalog.Route{{Name: "raw", Service: "raw"}}
	s.catalog.Runners = []catalog.Runner{{Name: "raw-1", Address: address, Domain: "kumamoto-a", Service: "raw"}}
	s.vmList = append(s.vmList, targetGroup("raw-1", "kumamoto-a", platform.RoleEndpoint, platform.StateLive, address))
	node := s.addVM("vm-1", "kumamoto-a")
	s.publishCatalog()
	return endpoint, node
}

// An endpoint of a plain service of the own interface answers with bytes that are no answer in HTTP, or with a part of one.
func TestBrokenAnswerOfAServiceReachesCallers(t *testing.T) {
	t.Parallel()
	endpoint, node := newRawService(t)
	const path = "/services/raw/one"
	body := fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(brokenBody), brokenBody)
	small, buffered, streamed := "{}", strings.Repeat("x", 900<<10), strings.Repeat("x", longBodyBytes)
	tests := []struct {
		name, answer string
		early        bool
		request      string
		headers      []string
	}{
		{"status 000", "HTTP/1.1 000 Status" + body, false, small, nil},
		{"status 000, buffered upload", "HTTP/1.1 000 Status" + body, false, buffered, nil},
		{"status 999", "HTTP/1.1 999 Status" + body, false, small, nil},
		{"field name with a blank", "HTTP/1.1 200 OK\r\nX Odd: odd" + body, false, small, nil},
		{"field name with 0x01 after a 100", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX\x01Odd: odd" + body, false, small, nil},
		{"buffered upload, part without a length", "HTTP/1.1 200 OK\r\n\r\n" + brokenBody, true, buffered, nil},
		{"buffered upload with a key, part without a length", "HTTP/1.1 200 OK\r\n\r\n" + brokenBody, true, buffered, []string{caller.HeaderIdempotencyKey, "key"}},
		{"streamed upload, part without a length", "HTTP/1.1 200 OK\r\n\r\n" + brokenBody, true, streamed, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			endpoint.set("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound", false)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if got := post(context.Background(), node.callers, path, "{}"); got.status == http.StatusOK && got.body == "sound" {
					return poll.Success()
				}
				return poll.Continue("no request is served")
			}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(10*time.Second))
			endpoint.set(test.answer, test.early)
			headers := test.headers
			for i := range 10 {
				if len(headers) > 0 {
					headers = []string{headers[0], fmt.Sprint(test.headers[1], i)}
				}
				asked := endpoint.count()
				got := post(context.Background(), node.callers, path, test.request, headers...)
				whole := got.err == nil && strings.Contains(got.body, brokenData)
				assert.Check(t, !whole, "status %d: a broken answer is taken for a whole one", got.status)
				if endpoint.count() > asked && got.err == nil {
					outcome := got.header.Get(caller.HeaderOutcome)
					assert.Check(t, outcome != string(caller.NotRun) && !isPromise(got.status), "a request that ran is answered %d, %s", got.status, outcome)
				}
				time.Sleep(25 * time.Millisecond)
			}
			assert.Check(t, endpoint.count() > 0, "no request was sent")
		})
	}
}

func (r *rawEndpoint) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked
}
