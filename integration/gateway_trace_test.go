package integration

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
)

// The trace of a failed request, looked up by its attempt ID, names the fault that caused the failure.
func TestTraceShowsWhyRequestFailed(t *testing.T) {
	d := newDeployment(t)
	d.configure(2, 1000)
	// A load takes longer than the route's timeout, so that a request for a model that is not loaded is refused.
	d.addRunnerWith(modelrunner.Options{
		ID: "r1", Service: modelService, Domain: "a", MemoryMB: 200, ModelMB: 80, AdapterSlots: 2, LoadTime: 3 * time.Second,
		StreamEvents: 5, Pause: 20 * time.Millisecond, Models: []modelrunner.Model{{Name: "large", Version: 1, Adapters: []string{}}},
	})
	d.addRunner("p1", plainService)
	d.addGateway("vm-1")
	d.addGateway("vm-2")
	d.waitServing("vm-1")
	d.waitServing("vm-2")
	cases := []struct {
		name  string
		fault func()
		path  string
		model string
		want  []string
	}{
		{
			"truncated", func() { d.runners["r1"].TruncateAfter(2) }, modelPath, "large",
			[]string{"cut after 1 runs: answer broke off", "runner r1"},
		},
		{
			"model not loaded", func() {}, modelPath, "small/a1",
			[]string{"refused, not run: no endpoint holds small/a1"},
		},
		{
			"no response", func() { d.runnerLinks["p1"].Set(proxy.Faults{FreezeDown: true}) }, unsafePath, "",
			[]string{"fail after 1 runs: out of time", "runner p1: header: context deadline exceeded"},
		},
	}
	for _, c := range cases {
		c.fault()
		request := newRequest(context.Background(), d.gateways["vm-1"], c.path, c.model, []byte("{}"))
		response, err := testClient.Do(request)
		assert.NilError(t, err, c.name)
		_, err = io.Copy(io.Discard, response.Body)
		assert.Check(t, err == nil || c.name == "truncated", "%s: %v", c.name, err)
		assert.NilError(t, response.Body.Close())
		logs, err := filepath.Glob(filepath.Join(d.directory, "*.log"))
		assert.NilError(t, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			output, _ := d.runZinniactl(append([]string{"trace", request.Header.Get(caller.AttemptHeader)}, logs...)...)
			for _, text := range c.want {
				if !strings.Contains(output, text) {
					return poll.Continue("%s: no %q in:\n%s", c.name, text, output)
				}
			}
			return poll.Success()
		})
	}
}

// A replay with the dump of a process makes the decisions that the process makes.
func TestReplayReproducesDecisionsFromDump(t *testing.T) {
	d := newDeployment(t)
	d.addRunner("r1", modelService, "large")
	d.addRunner("r2", modelService, "small")
	d.addRunner("p1", plainService)
	d.addGateway("vm-1")
	d.waitServing("vm-1")
	dump, code := d.runZinniactl("dump", d.gateways["vm-1"].operations.String())
	assert.Equal(t, code, 0, dump)
	file := filepath.Join(d.directory, "dump.json")
	assert.NilError(t, os.WriteFile(file, []byte(dump), 0o600))
	cases := []struct {
		unit string
		want []string
	}{
		{"large", []string{"sent to the first one", "r2        a       ", "it does not hold the model"}},
		{"large/a9", []string{"the adapter must be loaded first"}},
		{"unknown", []string{"refused: no endpoint can take it"}},
	}
	for _, c := range cases {
		output, code := d.runZinniactl("replay", "--service", modelService, "--unit", c.unit, "--prompt-tokens", "500", file)
		assert.Equal(t, code, 0, output)
		for _, text := range c.want {
			assert.Check(t, strings.Contains(output, text), "%s: no %q in:\n%s", c.unit, text, output)
		}
	}
}
