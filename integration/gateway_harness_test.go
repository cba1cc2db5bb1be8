package integration

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/standin/metadata"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

// deployment is a metadata store, runners and gateways. The gateways are processes of their own; the store and the
// runners are stand-ins in the test process.
type deployment struct {
	*system
	group        *group.Group
	store        *metadata.Server
	storeAddress netip.AddrPort
	runners      map[string]*modelrunner.Runner
	gateways     map[string]gatewayNode
	heartbeats   map[string]context.CancelFunc
	// loadS is the time of a load from the weight store that configurations name, in seconds.
	loadS float64
	// workspaces are those of the configurations, and key is the one that the callers of gateways present that start from now on.
	workspaces []caller.Workspace
	key        string
	// runnerLinks holds the proxy in front of each runner, and storeLinks the proxy between each gateway and the store.
	runnerLinks map[string]*proxy.Proxy
	storeLinks  map[string]*proxy.Proxy
}

type gatewayNode struct {
	callers    netip.AddrPort
	readiness  netip.AddrPort
	operations netip.AddrPort
	settings   string
	// key is the key that callers present, or "".
	key string
}

const (
	testHost     = "shop.example"
	modelPath    = "/models/chat"
	resumePath   = "/resume/chat"
	unsafePath   = "/book/one"
	safePath     = "/look/one"
	modelService = "models"
	plainService = "plain"
)

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	httpserve.DisableLibraryLog()
	g, err := group.New(context.Background())
	assert.NilError(t, err)
	d := &deployment{
		system: &system{t: t, directory: t.TempDir(), processes: make(map[string]*process)},
		group:  g, store: metadata.NewServer(), loadS: 0.2,
		runners: make(map[string]*modelrunner.Runner), gateways: make(map[string]gatewayNode),
		heartbeats:  make(map[string]context.CancelFunc),
		runnerLinks: make(map[string]*proxy.Proxy), storeLinks: make(map[string]*proxy.Proxy),
	}
	t.Cleanup(func() {
		d.stop()
		_ = g.Stop()
	})
	listener := listen(t)
	d.storeAddress = netip.MustParseAddrPort(listener.Addr().String())
	d.store.Start(g, listener)
	d.configure(1, 10_000)
	return d
}

// startLinkProxy starts a proxy in front of the target and returns the proxy and its address.
func (d *deployment) startLinkProxy(target netip.AddrPort) (*proxy.Proxy, netip.AddrPort) {
	d.t.Helper()
	p := proxy.New(target)
	return p, d.startProxy(p)
}

// startProxy starts a proxy and returns its address.
func (d *deployment) startProxy(p *proxy.Proxy) netip.AddrPort {
	d.t.Helper()
	listener := listen(d.t)
	p.Start(d.group, listener, listen(d.t))
	return netip.MustParseAddrPort(listener.Addr().String())
}

// configure writes a configuration with the routes of the tests, all with one timeout, and with further routes.
func (d *deployment) configure(version, timeoutMS int, additional ...caller.Route) {
	model := func(name string) caller.Model {
		return caller.Model{Name: name, MemoryMB: 80, LoadS: d.loadS, WarmS: 0.1, DiskS: 0.1, Adapters: 9, AdapterMB: 1}
	}
	route := func(name, prefix, kind, service string, attempts int, resumable bool) caller.Route {
		return caller.Route{
			Name: name, Host: testHost, Prefix: prefix, Kind: kind, TimeoutMS: timeoutMS, TargetLatencyMS: 2000, Priority: 1,
			Service: service, MaxAttempts: attempts, Resumable: resumable, GapTargetMS: 600,
		}
	}
	all := append([]caller.Route{
		route("models", "/models/", "streaming", modelService, 1, false),
		route("resume", "/resume/", "streaming", modelService, 3, true),
		route("book", "/book/", "unsafe", plainService, 2, false),
		route("look", "/look/", "safe", plainService, 2, false),
	}, additional...)
	if len(d.workspaces) > 0 {
		all = append(all, openRoute())
	}
	data, err := caller.Configuration(version, all, []caller.Service{
		{Name: modelService, HealthPath: modelrunner.HealthPath, MaxConnections: 100, Engine: &caller.Engine{
			Slots: 8, KVCapacityTokens: 100_000, Models: []caller.Model{model("large"), model("small")},
			MemoryMB: 200, AdapterSlots: 2, LoadsPerS: 5,
		}},
		{Name: plainService, HealthPath: modelrunner.HealthPath, MaxConnections: 100},
	}, d.workspaces...)
	assert.NilError(d.t, err)
	d.store.Put(caller.ConfigurationKey, data)
}

// plainRoute returns a route for safe requests to the plain service, with the name as its path prefix.
func plainRoute(name string) caller.Route {
	return caller.Route{
		Name: name, Host: testHost, Prefix: "/" + name + "/", Kind: "safe", TimeoutMS: 1000, TargetLatencyMS: 100, Priority: 1,
		Service: plainService, MaxAttempts: 1,
	}
}

// addRunner starts a runner that writes its entry to the store every 300 ms.
func (d *deployment) addRunner(id, service string, models ...string) *modelrunner.Runner {
	options := modelrunner.DefaultOptions(id, service)
	for _, name := range models {
		options.Models = append(options.Models, modelrunner.Model{Name: name, Version: 1, Adapters: []string{}})
	}
	return d.addRunnerWith(options)
}

func (d *deployment) addRunnerWith(options modelrunner.Options) *modelrunner.Runner {
	listener := listen(d.t)
	link := proxy.New(netip.MustParseAddrPort(listener.Addr().String()))
	link.Identify, options.Identify = d.processAt, link.CallerBehind
	d.runnerLinks[options.ID], options.Address = link, d.startProxy(link)
	runner := modelrunner.New(options)
	runner.Start(d.group, listener)
	d.runners[options.ID] = runner
	ctx, cancel := context.WithCancel(d.group.Context())
	d.heartbeats[options.ID] = cancel
	d.group.Run("heartbeat", func(context.Context) {
		d.writeHeartbeats(ctx, runner)
	})
	return runner
}

// writeHeartbeats writes the runner's entry every 300 ms while the runner is up, and removes the entry of an incarnation
// that returned under another ID.
func (d *deployment) writeHeartbeats(ctx context.Context, runner *modelrunner.Runner) {
	former := make(map[string]bool)
	_ = group.Every(ctx, 300*time.Millisecond, func(time.Time) {
		if runner.Down() {
			return
		}
		id := runner.ID()
		for other := range former {
			// The store may have returned from a copy that has the entry.
			if other != id && d.store.Value(caller.RunnerKeys+other) != nil {
				d.store.Remove(caller.RunnerKeys + other)
			}
		}
		d.store.Put(caller.RunnerKeys+id, runner.Entry())
		former[id] = true
	})
}

const settingsText = `{
  "name": %q, "domain": "a", "address": "127.0.0.1", "callers": %q, "readiness": %q, "ports": [%d, %d],
  "store": %q, "memoryMB": 256, "prefillReservations": true,
  "bounds": {
    "grace": "8s", "takeOver": "3s",%s "repeatRatio": 0.2, "repeatSlack": 50,
    "repeatWindow": "10s", "loadWindow": "5s", "loadOverage": 1.1
  }
}`

// addedBounds are the bounds that the build before does not know.
const addedBounds = ` "runnerDrain": "2s", "configurationDelay": "2s",`

// addGateway starts a gateway and waits until it is ready.
func (d *deployment) addGateway(name string) gatewayNode {
	d.t.Helper()
	node := d.startGateway(name)
	d.waitGatewayReady(name)
	return node
}

// internalPorts is the number of a gateway's internal ports.
const internalPorts = 3

// startGateway starts a gateway and does not wait until it is ready.
func (d *deployment) startGateway(name string) gatewayNode {
	d.t.Helper()
	first := freePorts(d.t, internalPorts)
	node := gatewayNode{
		callers: freeAddress(d.t), readiness: freeAddress(d.t),
		operations: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(first+1)),
		settings:   filepath.Join(d.directory, name+".jsonc"), key: d.key,
	}
	link, storeAddress := d.startLinkProxy(d.storeAddress)
	d.storeLinks[name] = link
	added := addedBounds
	if d.programBefore != "" {
		added = ""
	}
	text := fmt.Sprintf(settingsText, name, node.callers, node.readiness, first, first+internalPorts-1, storeAddress, added)
	assert.NilError(d.t, os.WriteFile(node.settings, []byte(text), 0o600))
	d.gateways[name] = node
	d.startProcess(name, "gateway", "--settings", node.settings)
	return node
}

func (d *deployment) isReady(name string) bool {
	response, err := http.Get("http://" + d.gateways[name].readiness.String() + caller.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *deployment) waitGatewayReady(name string) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if d.isReady(name) {
			return poll.Success()
		}
		return poll.Continue("%s is not ready yet", name)
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// waitServing waits until a gateway serves a request to a model and one to the plain service.
func (d *deployment) waitServing(name string) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if d.send(name, modelPath, "large").status == 200 && d.send(name, safePath, "").status == 200 {
			return poll.Success()
		}
		return poll.Continue("%s does not serve both services yet", name)
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(10*time.Second))
}

type gatewayResponse struct {
	status     int
	body       string
	seal       string
	retryAfter string
	err        error
}

// eventIDs returns the IDs of a streamed response's events, separated by spaces.
func (r gatewayResponse) eventIDs() string {
	var ids []string
	scanner := bufio.NewScanner(strings.NewReader(r.body))
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	return strings.Join(ids, " ")
}

var (
	nextAttempt = make(chan int, 1)
	testClient  = &http.Client{Transport: &http.Transport{DisableCompression: true}}
)

func init() { nextAttempt <- 0 }

func newRequest(ctx context.Context, node gatewayNode, path, model string, body []byte) *http.Request {
	n := <-nextAttempt
	nextAttempt <- n + 1
	request, err := caller.NewRequest(ctx, node.callers, caller.Request{
		Attempt: fmt.Sprintf("attempt-%d", n), Host: testHost, Path: path, Get: path == safePath, Model: model, Body: body,
		Key: node.key,
	})
	if err != nil {
		panic(err)
	}
	return request
}

func (d *deployment) send(name, path, model string) gatewayResponse {
	return d.sendBody(name, path, model, []byte("{}"))
}

func (d *deployment) sendBody(name, path, model string, body []byte) gatewayResponse {
	response, err := testClient.Do(newRequest(context.Background(), d.gateways[name], path, model, body))
	if err != nil {
		return gatewayResponse{err: err}
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return gatewayResponse{
		status: response.StatusCode, body: string(data), err: err,
		seal: caller.ResponseSeal(response), retryAfter: response.Header.Get("Retry-After"),
	}
}

func readLog(directory, name string) (string, error) {
	data, err := os.ReadFile(filepath.Join(directory, name+".log"))
	return string(data), err
}
