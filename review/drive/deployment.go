//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/standin/metadata"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

// The bounds of a small deployment, as its sheet names them.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	leaseTime   = 3 * time.Second
	graceTime   = 8 * time.Second
)

const (
	host         = "shop.example"
	modelService = "models"
	plainService = "booking"
	modelPath    = "/models/chat"
	unsafePath   = "/book/one"
	safePath     = "/look/one"
	readyTimeout = 15 * time.Second
)

// deployment is a store, runners and gateways. Only the gateways are processes of their own.
type deployment struct {
	directory string
	startedAt time.Time
	tasks     *group.Group
	store     *metadata.Server
	// storeAddress is the address at which gateways reach the store, each through a link of its own.
	storeAddress netip.AddrPort

	mu       sync.Mutex
	record   *os.File
	gateways map[string]*node
}

// node is one gateway.
type node struct {
	name               string
	callers, readiness netip.AddrPort
	settings           string
	storeLink          *proxy.Proxy
	command            *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

func newDeployment(recordPath string) (*deployment, error) {
	httpserve.DisableLibraryLog()
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	tasks, err := group.New(context.Background())
	if err != nil {
		return nil, err
	}
	d := &deployment{
		directory: directory, startedAt: time.Now(), tasks: tasks, store: metadata.NewServer(), record: record,
		gateways: make(map[string]*node),
	}
	listener := listen()
	d.storeAddress = addressOf(listener)
	d.store.Start(tasks, listener)
	return d, nil
}

// stop ends the processes and removes the temporary folder.
func (d *deployment) stop() {
	d.mu.Lock()
	nodes := make([]*node, 0, len(d.gateways))
	for _, n := range d.gateways {
		nodes = append(nodes, n)
	}
	d.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	_ = os.RemoveAll(d.directory)
}

// note writes a line with the time since the start to the record.
func (d *deployment) note(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f s  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return listener
}

func addressOf(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}

func freeAddress() netip.AddrPort {
	listener := listen()
	defer func() { _ = listener.Close() }()
	return addressOf(listener)
}

// freePorts returns the first of several consecutive free ports.
func freePorts(count int) int {
	for {
		first := int(freeAddress().Port())
		if first+count < 1<<16 && allFree(first, count) {
			return first
		}
	}
}

func allFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// configure writes a configuration with one route of each kind.
func (d *deployment) configure(version int) {
	model := caller.Model{Name: "large", MemoryMB: 72_700, LoadS: 1.2, WarmS: 0.63, DiskS: 0.82, Adapters: 74, AdapterMB: 66}
	route := func(name, prefix, kind, service string, attempts int) caller.Route {
		return caller.Route{
			Name: name, Host: host, Prefix: prefix, Kind: kind, TimeoutMS: 8000, TargetLatencyMS: 1500, Priority: 1,
			Service: service, MaxAttempts: attempts, GapTargetMS: 600,
		}
	}
	data, err := caller.Configuration(version, []caller.Route{
		route("models", "/models/", "streaming", modelService, 1),
		route("book", "/book/", "unsafe", plainService, 1),
		route("look", "/look/", "safe", plainService, 2),
	}, []caller.Service{
		{Name: modelService, HealthPath: "/health", MaxConnections: 370, Engine: &caller.Engine{
			Slots: 64, KVCapacityTokens: 281_907, Models: []caller.Model{model}, MemoryMB: 200_000, AdapterSlots: 8,
			LoadsPerS: 1.4,
		}},
		{Name: plainService, HealthPath: "/health", MaxConnections: 110},
	})
	if err != nil {
		panic(err)
	}
	d.store.Put(caller.ConfigurationKey, data)
}

// boot holds the fields of the platform's settings that the template uses.
func (d *deployment) boot(n *node, store netip.AddrPort, firstPort, lastPort int) map[string]any {
	return map[string]any{
		"node_name": n.name, "zone": "kumamoto-a", "ip": "127.0.0.1",
		"listen_addrs.front": n.callers.String(), "listen_addrs.ready": n.readiness.String(),
		"internal_ports": []int{firstPort, lastPort}, "platform.address": store.String(),
		"limits.memory_mb": 284, "limits.link_mbps": 1000.0, "platform.writes_per_s": 400,
		"bounds.grace_s": int(graceTime.Seconds()), "bounds.lease_ms": leaseTime.Milliseconds(),
		"bounds.retry_budget_ratio": 0.2, "bounds.budget_slack": 58, "bounds.budget_window_s": 10,
		"bounds.ceiling_window_s": 5, "bounds.ceiling_overage": 1.1,
	}
}

var (
	placeholder = regexp.MustCompile(`\{\{[^}]+\}\}`)
	// section matches text that stands between the name of a field and its end, and is left out if the field is missing.
	section = regexp.MustCompile(`\{\{#([^}]+)\}\}(.*)\{\{/[^}]+\}\}`)
)

// fillTemplate fills in the template of the settings as the platform does.
func fillTemplate(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		if _, ok := fields[parts[1]]; !ok {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(text, "{}"), "|json")
		value, ok := fields[name]
		if !ok {
			panic("no value for " + text)
		}
		if !asJSON {
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return string(data)
	})
}

// internalPorts is the number of internal ports of a machine.
const internalPorts = 16

// addGateway starts a gateway behind a link of its own to the store.
func (d *deployment) addGateway(name string) *node {
	n := &node{
		name: name, callers: freeAddress(), readiness: freeAddress(), settings: filepath.Join(d.directory, name+".jsonc"),
		storeLink: proxy.New(d.storeAddress),
	}
	listener := listen()
	n.storeLink.Start(d.tasks, listener, listen())
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		panic(err)
	}
	first := freePorts(internalPorts)
	text := fillTemplate(string(template), d.boot(n, addressOf(listener), first, first+internalPorts-1))
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	d.mu.Lock()
	d.gateways[name] = n
	d.mu.Unlock()
	n.start(d.directory)
	d.note("gateway %s is started", name)
	return n
}

// start starts the process as the deploy file says.
func (n *node) start(directory string) {
	n.command = exec.Command("target/zinniaroute", "gateway")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + directory, "LANG=C", "ZINNIAROUTE_BOOT=" + n.settings}
	log, err := os.OpenFile(filepath.Join(directory, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		panic(err)
	}
	n.exited = make(chan struct{})
	go func() {
		defer close(n.exited)
		_ = n.command.Wait()
	}()
}

func (n *node) kill() {
	_ = n.command.Process.Kill()
	<-n.exited
}

// ended returns how the process has ended, or "" if it runs.
func (n *node) ended() string {
	select {
	case <-n.exited:
		return n.command.ProcessState.String()
	default:
		return ""
	}
}

// panicLine returns the line of the gateway's output that names a panic, or "".
func (d *deployment) panicLine(n *node) string {
	data, err := os.ReadFile(filepath.Join(d.directory, n.name+".log"))
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// awaitReady waits until the gateway says that it is ready.
func (d *deployment) awaitReady(n *node) {
	await("gateway "+n.name+" is ready", readyTimeout, func() bool {
		response, err := http.Get("http://" + n.readiness.String() + caller.ReadyPath)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	d.note("gateway %s is ready", n.name)
}

// await waits until a condition holds, and ends the case if it does not in time.
func await(what string, timeout time.Duration, holds func() bool) {
	for end := time.Now().Add(timeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			panic("not in time: " + what)
		}
	}
}
