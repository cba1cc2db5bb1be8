package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/zinniaroute/zinniaroute/coordination/lease"
	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/protocol/operator"
	"github.com/zinniaroute/zinniaroute/protocol/platform"
	"github.com/zinniaroute/zinniaroute/state/catalog"
)

// eventually polls the condition until it returns nil. After the timeout it fails the test with the last error.
func eventually(t *testing.T, timeout time.Duration, condition func() error) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := condition(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(timeout))
}

// twoVMSystem starts one failure domain with two VMs, and two engines that both hold the model crest.
func twoVMSystem(t *testing.T, fenced bool, engineArguments ...string) (*system, []vmNode) {
	t.Helper()
	s := newSystem(t, "kumamoto-a")
	for _, name := range []string{"engine-1", "engine-2"} {
		s.addEngine(name, "kumamoto-a", 40_000, fenced, engineArguments...)
	}
	s.catalog.Models = []catalog.Model{{Name: "crest", MemoryMiB: 10_000}}
	s.catalog.Placements = []catalog.Placement{{Name: "pair", Target: "crest", MinReplicas: 2}}
	nodes := []vmNode{s.addVM("vm-1", "kumamoto-a"), s.addVM("vm-2", "kumamoto-a")}
	s.publishCatalog()
	for _, node := range nodes {
		s.waitReplicas(node, "crest", 2)
	}
	return s, nodes
}

// waitReplicas waits until a VM's entry knows exactly this number of ready runners for a model or adapter.
func (s *system) waitReplicas(node vmNode, name string, replicas int) {
	s.t.Helper()
	eventually(s.t, 30*time.Second, func() error {
		ready, err := s.readyRunners(node, name)
		if err != nil {
			return err
		}
		if len(ready) != replicas {
			return fmt.Errorf("%s is ready on %v, want %d runners", name, ready, replicas)
		}
		return nil
	})
}

// entryState holds the fields of an entry's dump that the tests read.
type entryState struct {
	Revision  uint64                  `json:"revision"`
	Endpoints []operator.RunnerStatus `json:"endpoints"`
}

func (s *system) readyRunners(node vmNode, name string) ([]string, error) {
	var state entryState
	if err := getJSON(node.entryOperations, operator.StatePath, &state); err != nil {
		return nil, err
	}
	var ready []string
	for _, endpoint := range state.Endpoints {
		if endpoint.Reachable && !endpoint.Draining && endpoint.Holds(name) {
			ready = append(ready, endpoint.Runner)
		}
	}
	return ready, nil
}

// checkNoOvercommit checks that no engine was ever ordered to hold more than its memory.
func (s *system) checkNoOvercommit() {
	s.t.Helper()
	for _, runner := range s.catalog.Runners {
		if runner.Service != "" {
			continue
		}
		state := s.engineState(runner.Address)
		assert.Equal(s.t, state.Overcommits, 0, runner.Name)
	}
}

// Each caller receives the complete response to its own request, even when the engine that runs it crashes.
func TestEngineCrashLosesNoResponse(t *testing.T) {
	s, nodes := twoVMSystem(t, true)
	const callers, tokens = 24, 120
	responses := make([]entryResponse, callers)
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			body := chatBody("crest", fmt.Sprint("family ", i), tokens, i%4 != 0)
			responses[i] = post(context.Background(), nodes[i%2].callers, openai.ChatPath, body)
		})
	}
	eventually(t, 5*time.Second, func() error {
		if state := s.engineState(s.catalog.Runners[0].Address); state.Tokens < 100 {
			return fmt.Errorf("engine-1 has generated only %d tokens", state.Tokens)
		}
		return nil
	})
	s.processes["engine-1"].kill()
	wait.Wait()
	for i, got := range responses {
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 200, got.body)
		want := expectedText("crest", fmt.Sprint("family ", i), tokens)
		if i%4 != 0 {
			stream := parseStream(t, got.body)
			assert.Equal(t, stream.failure, "")
			assert.Assert(t, stream.done)
			assert.Equal(t, stream.text, want)
			continue
		}
		var completion openai.Completion
		assert.NilError(t, json.Unmarshal([]byte(got.body), &completion))
		assert.Equal(t, string(completion.Choices[0].Message.Content), want)
	}
}

// A stream that cannot be resumed ends with an explicit error and never looks complete.
func TestStreamThatCannotResumeEndsWithError(t *testing.T) {
	s, node := singleVMSystem(t)
	result := make(chan entryResponse, 1)
	background.Go(func() {
		result <- post(context.Background(), node.callers, openai.ChatPath, chatBody("crest", "an owl", 2000, true))
	})
	eventually(t, 5*time.Second, func() error {
		if state := s.engineState(s.catalog.Runners[0].Address); state.Tokens < 10 {
			return fmt.Errorf("engine-1 has generated only %d tokens", state.Tokens)
		}
		return nil
	})
	s.processes["engine-1"].kill()
	got := <-result
	assert.NilError(t, got.err)
	stream := parseStream(t, got.body)
	assert.Assert(t, !stream.done)
	assert.Assert(t, strings.Contains(stream.failure, `"outcome":"partial"`), stream.failure)
	assert.Assert(t, strings.HasPrefix(expectedText("crest", "an owl", 2000), stream.text))
}

// leaseHolder returns the index of the VM that holds the controller lease, and the term of the lease.
func (s *system) leaseHolder(nodes []vmNode) (int, uint64, error) {
	for i, node := range nodes {
		var state struct {
			Lease lease.Snapshot `json:"lease"`
		}
		if err := getJSON(node.controlOperations, operator.StatePath, &state); err != nil {
			continue
		}
		if state.Lease.Power == lease.PowerFull {
			return i, state.Lease.Term, nil
		}
	}
	return 0, 0, fmt.Errorf("no VM holds the lease with full power")
}

// A lease holder that is paused until its lease has expired, and then resumes as if it still held it, does not
// overcommit memory.
func TestPausedLeaseHolderDoesNotOvercommit(t *testing.T) {
	t.Parallel()
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%t", fenced), func(t *testing.T) {
			s, nodes := twoVMSystem(t, fenced)
			first, term, err := s.leaseHolder(nodes)
			assert.NilError(t, err)
			other := nodes[1-first]
			paused := s.processes["control-"+nodes[first].name]
			paused.signal(syscall.SIGSTOP)
			eventually(t, 20*time.Second, func() error {
				at, next, err := s.leaseHolder([]vmNode{other})
				if err == nil && (at != 0 || next <= term) {
					err = fmt.Errorf("holder %d has term %d, not later than %d", at, next, term)
				}
				return err
			})
			s.catalog.Models = append(s.catalog.Models,
				catalog.Model{Name: "figure", MemoryMiB: 25_000}, catalog.Model{Name: "owl", MemoryMiB: 25_000})
			data, err := json.Marshal(s.catalog)
			assert.NilError(t, err)
			output, code := s.runZinniactl("apply", "-c", other.controlOperations.String(), s.writeFile("next.jsonc", string(data)))
			assert.Equal(t, code, 0, output)
			eventually(t, 60*time.Second, func() error {
				for _, name := range []string{"figure", "owl"} {
					ready, err := s.readyRunners(other, name)
					if err != nil || len(ready) == 0 {
						return fmt.Errorf("%s is not ready: %v", name, err)
					}
				}
				return nil
			})
			paused.signal(syscall.SIGCONT)
			eventually(t, 20*time.Second, func() error {
				_, _, err := s.leaseHolder([]vmNode{nodes[first]})
				if err == nil {
					return fmt.Errorf("the resumed control still holds the lease")
				}
				var state struct {
					Revision uint64 `json:"revision"`
				}
				err = getJSON(nodes[first].controlOperations, operator.StatePath, &state)
				if err == nil && state.Revision < 2 {
					err = fmt.Errorf("revision %d", state.Revision)
				}
				return err
			})
			s.checkNoOvercommit()
		})
	}
}

// While the key-value service is down for longer than every lease, each domain keeps serving requests, and the last
// lease holder keeps ordering fenced engines.
func TestKeyValueServiceOutageLongerThanLeases(t *testing.T) {
	t.Parallel()
	s, nodes := twoVMSystem(t, true)
	s.put(s.keyValueAddress, "/standin/faults", []byte(`{"down":true}`))
	eventually(t, 20*time.Second, func() error {
		if _, _, err := s.leaseHolder(nodes); err == nil {
			return fmt.Errorf("the lease is still held with full power")
		}
		return nil
	})
	runner := s.catalog.Runners[0]
	s.processes[runner.Name].kill()
	s.startProcess(runner.Name, "standin", "--kind", "engine", "--listen", runner.Address.String(), "--memory-mib", "40000")
	s.waitListening(runner.Address)
	eventually(t, 30*time.Second, func() error {
		if items := s.engineState(runner.Address).Items; len(items) != 1 {
			return fmt.Errorf("the restarted engine holds %v", items)
		}
		return nil
	})
	got := post(context.Background(), nodes[0].callers, openai.ChatPath, chatBody("crest", "an owl", 8, false))
	assert.Equal(t, got.status, 200, got.body)
	s.processes["control-vm-2"].kill()
	s.startControl(nodes[1])
	eventually(t, 10*time.Second, func() error {
		status, err := s.status(nodes[1])
		if err == nil && status.Revision != 1 {
			err = fmt.Errorf("revision %d", status.Revision)
		}
		return err
	})
	_, code := s.runZinniactl("apply", s.writeFile("again.jsonc", `{"models":[{"name":"late","memoryMiB":10}]}`))
	assert.Equal(t, code, 5)
	s.put(s.keyValueAddress, "/standin/faults", []byte(`{}`))
	output, code := s.runZinniactl("apply", "--wait=11s", s.writeFile("again.jsonc", `{"models":[{"name":"late","memoryMiB":10}]}`))
	assert.Equal(t, code, 0, output)
	s.checkNoOvercommit()
}

// A domain whose links to its peers and to the key-value service are cut keeps serving the models that it holds. A
// configuration that is published meanwhile applies there within seconds after the links return.
func TestPartitionedDomainKeepsServing(t *testing.T) {
	s := newSystem(t, "kumamoto-a", "fukuoka-b")
	s.addEngine("engine-a", "kumamoto-a", 40_000, true)
	s.addEngine("engine-b", "fukuoka-b", 40_000, true)
	s.catalog.Models = []catalog.Model{{Name: "crest", MemoryMiB: 10_000}, {Name: "only-a", MemoryMiB: 10_000}}
	s.catalog.Placements = []catalog.Placement{{Name: "only-a", Target: "only-a", Domains: []string{"kumamoto-a"}}}
	s.addVM("vm-a", "kumamoto-a")
	node, setFaults := s.addPartitionableVM("vm-b", "fukuoka-b")
	s.publishCatalog()
	s.waitReplicas(node, "crest", 2)
	s.waitReplicas(node, "only-a", 1)

	setFaults(`{"cut":true}`)
	s.processes["engine-a"].kill()
	got := post(context.Background(), node.callers, openai.ChatPath, chatBody("crest", "an owl", 8, false))
	assert.Equal(t, got.status, 200, got.body)
	eventually(t, 10*time.Second, func() error {
		got := post(context.Background(), node.callers, openai.ChatPath, chatBody("only-a", "an owl", 8, false))
		if got.status != 503 || got.header.Get(caller.HeaderOutcome) != string(caller.NotRun) || got.header.Get("Retry-After") == "" {
			return fmt.Errorf("status %d: %s", got.status, got.body)
		}
		return nil
	})
	output, code := s.runZinniactl("apply", s.writeFile("cut.jsonc", `{"models":[{"name":"late","memoryMiB":10}]}`))
	assert.Equal(t, code, 0, output)
	setFaults(`{}`)
	eventually(t, 11*time.Second, func() error {
		var state entryState
		err := getJSON(node.entryOperations, operator.StatePath, &state)
		if err == nil && state.Revision != 2 {
			err = fmt.Errorf("revision %d", state.Revision)
		}
		return err
	})
}

// A VM whose own link to the key-value service hangs receives a configuration from its peers.
func TestConfigurationArrivesFromPeer(t *testing.T) {
	s := newSystem(t, "kumamoto-a", "fukuoka-b")
	s.addEngine("engine-a", "kumamoto-a", 40_000, true)
	s.catalog.Models = []catalog.Model{{Name: "crest", MemoryMiB: 10_000}}
	first := s.addVM("vm-a", "kumamoto-a")
	node, setFaults := s.addPartitionableVM("vm-b", "fukuoka-b")
	s.publishCatalog()
	s.waitUnitsReady(first)
	setFaults(`{"cut":true}`)
	setFaults(`{}`)
	s.processes["proxy-vm-b-kv"].signal(syscall.SIGSTOP)
	startedAt := time.Now()
	output, code := s.runZinniactl("apply", "-c", first.controlOperations.String(), "--wait=11s",
		s.writeFile("peer.jsonc", `{"models":[{"name":"late","memoryMiB":10}]}`))
	assert.Equal(t, code, 0, output)
	t.Logf("applied after %s", time.Since(startedAt))
	status, err := s.status(node)
	assert.NilError(t, err)
	assert.Equal(t, status.Revision, uint64(2))
}

// A draining endpoint receives no new requests after a few seconds, and finishes those that it runs.
func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	for _, announcer := range []string{"VM list", "engine"} {
		t.Run(announcer, func(t *testing.T) {
			s, nodes := twoVMSystem(t, true)
			const tokens = 1200
			results := make(chan entryResponse, 8)
			for range 8 {
				background.Go(func() {
					results <- post(context.Background(), nodes[0].callers, openai.ChatPath, chatBody("crest", "an owl", tokens, true))
				})
			}
			address := s.catalog.Runners[0].Address
			if announcer == "engine" {
				s.put(address, "/standin/leaving", nil)
			} else {
				s.vmList[0].Labels.State = platform.StateLeaving
				s.publishVMList()
			}
			for _, node := range nodes {
				s.waitReplicas(node, "crest", 1)
			}
			before := s.engineState(address).Started
			for range 20 {
				got := post(context.Background(), nodes[1].callers, openai.ChatPath, chatBody("crest", "an owl", 2, false))
				assert.Equal(t, got.status, 200, got.body)
			}
			assert.Equal(t, s.engineState(address).Started, before)
			for range 8 {
				got := <-results
				assert.NilError(t, got.err)
				assert.Assert(t, parseStream(t, got.body).done)
			}
		})
	}
}

// Concurrent changes of different objects all succeed. Of two changes of one object with the same base revision, the
// second gets a conflict.
func TestConcurrentChangesConflictOnlyOnSameObject(t *testing.T) {
	s, node := singleVMSystem(t)
	const operators = 6
	codes := make([]int, operators)
	var wait sync.WaitGroup
	for i := range operators {
		file := s.writeFile(fmt.Sprintf("race-%d.jsonc", i), fmt.Sprintf(`{"models":[{"name":"race-%d","memoryMiB":10}]}`, i))
		wait.Go(func() {
			_, codes[i] = s.runZinniactl("apply", file)
		})
	}
	wait.Wait()
	assert.DeepEqual(t, codes, make([]int, operators))
	status, err := s.status(node)
	assert.NilError(t, err)
	base := fmt.Sprintf("--base=%d", status.Revision)
	var outputs []string
	for i := range 2 {
		file := s.writeFile(fmt.Sprintf("same-%d.jsonc", i), fmt.Sprintf(`{"models":[{"name":"race-0","memoryMiB":%d}]}`, 20+i))
		output, code := s.runZinniactl("apply", base, file)
		outputs = append(outputs, output)
		assert.Equal(t, code, []int{0, 4}[i], output)
	}
	assert.Assert(t, strings.Contains(outputs[1], "model/race-0"), outputs[1])
}

// A change whose response is lost after the store applied it is in the catalog once.
func TestPublicationWithLostResponseAppliesOnce(t *testing.T) {
	s, node := singleVMSystem(t)
	s.put(s.keyValueAddress, "/standin/faults", []byte(`{"dropAnswers":1,"only":"catalog/head","method":"PUT"}`))
	output, code := s.runZinniactl("apply", "--wait=11s", s.writeFile("once.jsonc", `{"models":[{"name":"late","memoryMiB":10}]}`))
	assert.Equal(t, code, 0, output)
	status, err := s.status(node)
	assert.NilError(t, err)
	assert.Equal(t, status.Revision, uint64(2))
}

// A crash of the control process fails no request: the entry keeps serving from its last snapshot.
func TestControlCrashFailsNoRequest(t *testing.T) {
	s, node := singleVMSystem(t)
	s.processes["control-"+node.name].kill()
	for range 10 {
		got := post(context.Background(), node.callers, openai.ChatPath, chatBody("crest", "an owl", 4, true))
		assert.Equal(t, got.status, 200, got.body)
		assert.Assert(t, parseStream(t, got.body).done)
	}
	s.startControl(node)
	eventually(t, 20*time.Second, func() error {
		_, _, err := s.leaseHolder([]vmNode{node})
		return err
	})
	s.checkNoOvercommit()
}
