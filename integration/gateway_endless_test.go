package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// endlessRunner answers whatever it is asked with a start and a text that it repeats until the caller closes.
type endlessRunner struct {
	start, repeated atomic.Pointer[string]
	asked           atomic.Int64
}

func (r *endlessRunner) set(start, repeated string) {
	r.start.Store(&start)
	r.repeated.Store(&repeated)
}

func (r *endlessRunner) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	r.asked.Add(1)
	repeated := *r.repeated.Load()
	block := strings.Repeat(repeated, 1+(16<<10)/len(repeated))
	for text := *r.start.Load() + block; ; text = block {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// addEndlessRunner adds a faulty runner of a service, with an entry that says that it is ready.
func (d *deployment) addEndlessRunner(id, service, model string) *endlessRunner {
	r := &endlessRunner{}
	r.set("", "x")
	listener := listen(d.t)
	d.group.Run("accept", func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			d.group.Run("endless answer", func(context.Context) { r.serve(conn) })
		}
	})
	d.t.Cleanup(func() { _ = listener.Close() })
	models := []any{}
	if model != "" {
		models = append(models, map[string]any{"name": model, "version": 1, "adapters": []string{}})
	}
	link := proxy.New(netip.MustParseAddrPort(listener.Addr().String()))
	link.Identify = d.processAt
	d.runnerLinks[id] = link
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": d.startProxy(link).String(), "zone": "a", "version": "v1", "slots": 64, "state": "ready",
		"stage": "both", "models": models, "sequence": 0, "born": time.Now().UnixMilli(),
	})
	assert.NilError(d.t, err)
	d.group.Run("heartbeat", func(ctx context.Context) {
		_ = group.Every(ctx, 300*time.Millisecond, func(time.Time) { d.store.Put(caller.RunnerKeys+id, entry) })
	})
	return r
}

// heapBytes returns the largest size that the heap of a gateway's process has had.
func (d *deployment) heapBytes(name string) uint64 {
	d.t.Helper()
	var vars struct {
		Memory struct{ HeapSys uint64 } `json:"memstats"`
	}
	assert.NilError(d.t, getJSON(d.gateways[name].operations, "/debug/vars", &vars))
	return vars.Memory.HeapSys
}

// Runners answer requests, orders and reports with bytes that are no answer, without end. Requests to sound runners must go on
// being served, also by a gateway that reaches the runners through another one.
func TestEndlessAnswersOfRunnersStopAGateway(t *testing.T) {
	const (
		callers = 48
		// memoryLimit is the memory of the gateways' settings.
		memoryLimit = 256 << 20
		head        = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + caller.SealHeader + ": s\r\n"
		chunked     = head + "Transfer-Encoding: chunked\r\n\r\n"
	)
	d := newDeployment(t)
	faulty := []*endlessRunner{d.addEndlessRunner("r1", modelService, "large"), d.addEndlessRunner("p1", plainService, "")}
	// The sound runner does not get the faulty one's model within the test.
	d.addRunnerWith(modelrunner.Options{
		ID: "r2", Service: modelService, Domain: "a", MemoryMB: 200, ModelMB: 80, AdapterSlots: 2, StreamEvents: 5,
		Pause: 5 * time.Millisecond, LoadTime: time.Minute, Models: []modelrunner.Model{{Name: "small", Version: 1, Adapters: []string{}}},
	})
	for _, name := range []string{"vm-1", "vm-2"} {
		d.addGateway(name)
	}
	serves := func(name string) bool { return d.send(name, modelPath, "small").status == http.StatusOK }
	for _, name := range []string{"vm-1", "vm-2"} {
		waitUntil(t, name+" serves the sound model", func() bool { return serves(name) })
	}
	d.partitionGateways(proxy.Faults{Freeze: true, RefuseNew: true}, "vm-2")
	waitUntil(t, "vm-2 forwards requests", func() bool { return serves("vm-2") })
	line := "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"
	answers := []struct{ name, start, repeated string }{
		{"no head", "", "x"},
		{"header lines", head, "X-A: b\r\n"},
		{"body until the connection closes", head + "\r\n", "data: x"},
		{"long body", head + "Content-Length: 900000000000\r\n\r\n", "x"},
		{"one event", chunked, line},
		{"events without an identifier", chunked, "9\r\ndata: x\n\n\r\n"},
	}
	for _, answer := range answers {
		for _, r := range faulty {
			r.set(answer.start, answer.repeated)
		}
		ctx, stop := context.WithCancel(t.Context())
		var load sync.WaitGroup
		for i := range callers {
			load.Go(func() {
				paths := []struct{ path, model string }{
					{modelPath, "large"}, {resumePath, "large"}, {modelPath, "large/a1"}, {unsafePath, ""}, {safePath, ""},
				}
				for n := i; ctx.Err() == nil; n++ {
					p := paths[n%len(paths)]
					name := fmt.Sprint("vm-", 1+n/len(paths)%2)
					if response, err := testClient.Do(newRequest(ctx, d.gateways[name], p.path, p.model, fmt.Appendf(nil, "%s %d %d", answer.name, i, n))); err == nil {
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
					}
				}
			})
		}
		served, sent := 0, 0
		for end := time.Now().Add(time.Second); time.Now().Before(end); sent++ {
			if serves(fmt.Sprint("vm-", 1+sent%2)) {
				served++
			}
		}
		stop()
		load.Wait()
		t.Logf("%s: %d of %d served, %d and %d answers without end, heaps of %d and %d MiB", answer.name, served, sent, faulty[0].asked.Load(),
			faulty[1].asked.Load(), d.heapBytes("vm-1")>>20, d.heapBytes("vm-2")>>20)
		assert.Check(t, served == sent, "%s: %d of %d requests to sound runners served", answer.name, served, sent)
		for _, name := range []string{"vm-1", "vm-2"} {
			assert.Check(t, d.heapBytes(name) < memoryLimit, "%s: the heap of %s has taken %d MiB", answer.name, name, d.heapBytes(name)>>20)
		}
	}
}
