package integration

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/state/catalog"
)

// Every model stays available while its version changes.
func TestVersionChangeKeepsModelAvailable(t *testing.T) {
	t.Parallel()
	s, nodes := twoVMSystem(t, true, "--load-time", "1s")
	var failures, answered atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	stop := func() {
		cancel()
		wait.Wait()
	}
	defer stop()
	for i := range 4 {
		wait.Go(func() {
			for ctx.Err() == nil {
				got := post(context.Background(), nodes[i%2].callers, openai.ChatPath, chatBody("crest", "an owl", 4, i < 2))
				answered.Add(1)
				if got.err == nil && got.status == 200 {
					continue
				}
				if failures.Add(1) == 1 {
					t.Logf("first failure: %d %s %v", got.status, got.body, got.err)
				}
			}
		})
	}
	output, code := s.runZinniactl("apply", "--wait=11s", s.writeFile("version.jsonc",
		`{"versions":[{"name":"crest-2","model":"crest"}],"models":[{"name":"crest","memoryMiB":10000,"version":"crest-2"}]}`))
	assert.Equal(t, code, 0, output)
	s.waitReplicas(nodes[0], "crest-2", 2)
	s.waitReplicas(nodes[0], "crest", 0)
	stop()
	assert.Equal(t, failures.Load(), int64(0), "of %d", answered.Load())
	s.checkNoOvercommit()
}

// An order that arrives twice, the second time late, does not overcommit the runner's memory.
func TestDuplicateOrdersDoNotOvercommit(t *testing.T) {
	t.Parallel()
	s := newSystem(t, "kumamoto-a")
	address := s.addEngine("engine-1", "kumamoto-a", 40_000, true)
	proxied, setFaults := s.startFaultProxy("engine-1", address)
	s.catalog.Runners[0].Address = proxied
	setFaults(`{"duplicate":true,"late":"700ms"}`)
	s.catalog.Models = []catalog.Model{{Name: "m-0", MemoryMiB: 25_000}}
	node := s.addVM("vm-1", "kumamoto-a")
	s.publishCatalog()
	for i := range 3 {
		name := fmt.Sprint("m-", i)
		s.waitReplicas(node, name, 1)
		next := fmt.Sprintf(`{"models":[{"name":"m-%d","memoryMiB":25000}]}`, i+1)
		output, code := s.runZinniactl("apply", "--delete", "model/"+name, s.writeFile("next.jsonc", next))
		assert.Equal(t, code, 0, output)
	}
	s.waitReplicas(node, "m-3", 1)
	assert.Equal(t, s.engineState(address).Overcommits, 0)
}

// A request that crashes every endpoint on which it runs takes down a bounded number of endpoints, no matter who
// retries it and through which entry. All other requests succeed.
func TestRequestThatCrashesEnginesIsQuarantined(t *testing.T) {
	s := newSystem(t, "kumamoto-a")
	const engines = 5
	for i := range engines {
		s.addEngine(fmt.Sprint("engine-", i), "kumamoto-a", 40_000, true, "--crash-text", "poison")
	}
	s.catalog.Models = []catalog.Model{{Name: "crest", MemoryMiB: 10_000}}
	s.catalog.Placements = []catalog.Placement{{Name: "all", Target: "crest", MinReplicas: engines}}
	nodes := []vmNode{s.addVM("vm-1", "kumamoto-a"), s.addVM("vm-2", "kumamoto-a")}
	s.publishCatalog()
	for _, node := range nodes {
		s.waitReplicas(node, "crest", engines)
	}
	const callers, tokens = 20, 200
	responses := make([]entryResponse, callers)
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			body := chatBody("crest", fmt.Sprint("family ", i), tokens, true)
			responses[i] = post(context.Background(), nodes[i%2].callers, openai.ChatPath, body)
		})
	}
	var last entryResponse
	eventually(t, 20*time.Second, func() error {
		last = post(context.Background(), nodes[0].callers, openai.ChatPath, chatBody("crest", "poison", 8, true))
		if last.status != 422 {
			return fmt.Errorf("status %d: %s", last.status, last.body)
		}
		return nil
	})
	assert.Assert(t, last.header.Get("Retry-After") != "")
	assert.Equal(t, last.header.Get(caller.HeaderOutcome), string(caller.NotRun))
	eventually(t, 10*time.Second, func() error {
		got := post(context.Background(), nodes[1].callers, openai.ChatPath, chatBody("crest", "poison", 8, false))
		if got.status != 422 {
			return fmt.Errorf("status %d: %s", got.status, got.body)
		}
		return nil
	})
	wait.Wait()
	for i, got := range responses {
		assert.NilError(t, got.err)
		stream := parseStream(t, got.body)
		assert.Assert(t, stream.done, "%d %s", got.status, got.body[max(0, len(got.body)-400):])
		assert.Equal(t, stream.text, expectedText("crest", fmt.Sprint("family ", i), tokens))
	}
	alive := 0
	for _, runner := range s.catalog.Runners {
		if connection, err := net.Dial("tcp", runner.Address.String()); err == nil {
			_ = connection.Close()
			alive++
		}
	}
	assert.Assert(t, alive >= engines-3, "only %d engines still listen", alive)
}
