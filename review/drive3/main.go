//go:build review

// Command drive3 plays the script case of the third review: it starts gateways of the deploy file as processes of their own, with
// the platform's store, runners and clients as stand-ins, and checks a rule by what these see.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/standin/metadata"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

// The exit codes that run.sh passes on.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

const (
	host     = "desk.example"
	prefix   = "/plan/"
	service  = "planners"
	model    = "m1"
	adapters = 99
	// The runners together have less room than there are adapters, so that orders come all the time.
	slotsForAdapters = 5
	firstRunners     = 7
	newRunners       = 2
	// requestPause is the time between two requests at one gateway.
	requestPause = 25 * time.Millisecond
	leaseTime    = 3 * time.Second

	settleTime = 8 * time.Second
	// copyAge is the age of the copy from which the store returns, and awayTime how long it is away.
	copyAge  = 4 * time.Second
	awayTime = 500 * time.Millisecond
	// cutTime is how long one machine is cut off from the store.
	cutTime = 6 * time.Second
	afterIt = 4 * time.Second
	// healTime is the time after the end of a cut in which orders of the machine do not count (thaw_ms).
	healTime = 300 * time.Millisecond
)

// record writes the file record.txt.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func (r *record) at(moment time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", moment.Sub(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", values...)
}

func (r *record) line(format string, values ...any) { r.at(time.Now(), format, values...) }

// gateway is a process of the system, with its own link to the store.
type gateway struct {
	name, callers, readiness string
	link                     *storeLink
}

// storeLink forwards the calls of one machine to the store, and names the eras of the store.
type storeLink struct {
	proxy  *httputil.ReverseProxy
	cut    *atomic.Bool
	away   *atomic.Bool
	mu     sync.Mutex
	opened map[net.Conn]bool
}

const headerEra = "Store-Era"

// newStoreLink returns the link of a machine. The stand-in of the store counts its eras from one, the link from firstEra.
func newStoreLink(store string, away *atomic.Bool, firstEra int) *storeLink {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	proxy.ModifyResponse = func(response *http.Response) error {
		era, err := strconv.Atoi(response.Header.Get(headerEra))
		if err == nil {
			response.Header.Set(headerEra, strconv.Itoa(era-1+firstEra))
		}
		return err
	}
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	return &storeLink{proxy: proxy, cut: &atomic.Bool{}, away: away, opened: make(map[net.Conn]bool)}
}

// ServeHTTP resets the channel while the machine is cut off or the store is away.
func (l *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.cut.Load() || l.away.Load() {
		panic(http.ErrAbortHandler)
	}
	l.proxy.ServeHTTP(w, r)
}

// reset ends the calls under way.
func (l *storeLink) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.opened {
		_ = conn.Close()
	}
}

func (l *storeLink) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(l.opened, conn)
		return
	}
	l.opened[conn] = true
}

type play struct {
	program, folder string
	record          *record
	group           *group.Group
	store           *metadata.Server
	storeAddress    string
	away            atomic.Bool
	firstEra        int
	runners         map[string]*modelrunner.Runner
	attempts        atomic.Int64
	mu              sync.Mutex
	running         []*exec.Cmd
	stopped         bool
	// healed is the machine that was cut off, and healedAt the end of its cut.
	healed   string
	healedAt time.Time
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: drive3 PROGRAM FOLDER RECORD")
		return exitCannotRun
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = file.Close() }()
	httpserve.DisableLibraryLog()
	g, err := group.New(context.Background())
	if err != nil {
		return exitCannotRun
	}
	p := &play{
		program: os.Args[1], folder: os.Args[2], group: g, store: metadata.NewServer(), runners: make(map[string]*modelrunner.Runner),
		record: &record{out: bufio.NewWriter(file), start: time.Now()},
	}
	if os.Getenv("FIRST_ERA") == "1" {
		p.firstEra = 1
	}
	defer func() { _ = p.record.out.Flush() }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	g.Run("stop", func(context.Context) {
		<-interrupted
		p.stop()
		os.Exit(exitCannotRun)
	})
	code, text := p.play(os.Getenv("TROUBLE") != "0")
	p.stop()
	p.record.line("%s", text)
	fmt.Println(text)
	return code
}

func (p *play) play(trouble bool) (int, string) {
	if err := p.startStore(); err != nil {
		return exitCannotRun, err.Error()
	}
	if err := p.addRunners(firstRunners); err != nil {
		return exitCannotRun, err.Error()
	}
	var gateways []*gateway
	for _, name := range []string{"front-1", "front-2"} {
		g, err := p.addGateway(name)
		if err != nil {
			return exitCannotRun, err.Error()
		}
		gateways = append(gateways, g)
	}
	time.Sleep(settleTime)
	earlier := p.store.Copy()
	p.record.line("the copy of the store is made")
	if err := p.addRunners(newRunners); err != nil {
		return exitCannotRun, err.Error()
	}
	time.Sleep(copyAge - awayTime)
	if trouble {
		p.record.line("%s is cut off from the store", gateways[0].name)
		gateways[0].link.cut.Store(true)
		gateways[0].link.reset()
		p.record.line("the store is away")
		p.away.Store(true)
		for _, g := range gateways {
			g.link.reset()
		}
		time.Sleep(awayTime)
		p.store.ReturnFrom(earlier)
		p.away.Store(false)
		p.record.line("the store is back from the copy")
	} else {
		time.Sleep(awayTime)
	}
	added, err := p.addGateway("front-3")
	if err != nil {
		return exitCannotRun, err.Error()
	}
	time.Sleep(cutTime - awayTime)
	p.healed, p.healedAt = gateways[0].name, time.Now()
	gateways[0].link.cut.Store(false)
	p.record.line("%s reaches the store", gateways[0].name)
	time.Sleep(afterIt)
	if !ready(added) {
		return exitCannotRun, added.name + " is not ready"
	}
	return p.judge()
}

// judge counts the orders that runners took whose token is lower than one of an earlier order of another holder.
func (p *play) judge() (int, string) {
	orders, stale, turns := 0, 0, 0
	for _, id := range p.ids() {
		var highest modelrunner.Order
		var last []modelrunner.Order
		for _, o := range p.runners[id].Orders() {
			orders++
			p.record.at(o.At, "%s carries out an order of %s with token %d", id, o.Holder, o.Fence)
			if since := o.At.Sub(p.healedAt); o.Holder == p.healed && since >= 0 && since < healTime {
				continue
			}
			if highest.Holder != "" && o.Holder != highest.Holder && o.Fence < highest.Fence {
				stale++
				p.record.at(o.At, "%s: a lower token after a higher one", id)
			}
			if o.Fence >= highest.Fence {
				highest = o
			}
			if n := len(last); n == 0 || last[n-1].Holder != o.Holder {
				last = append(last, o)
			} else {
				last[n-1] = o
			}
			if n := len(last); n > 2 && o.At.Sub(last[n-3].At) < leaseTime && last[n-3].Holder == o.Holder {
				turns++
			}
		}
	}
	text := fmt.Sprintf(
		"%d orders were carried out, %d of them with a lower token after a higher one of another holder, %d in turns within %v; ",
		orders, stale, turns, leaseTime,
	)
	switch {
	case orders == 0:
		return exitCannotRun, text + "no order came"
	case stale > 0:
		return exitBroken, text + "the rule is broken"
	default:
		return exitHeld, text + "the rule holds"
	}
}

func (p *play) ids() []string {
	ids := make([]string, 0, len(p.runners))
	for id := range p.runners {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// startStore starts the store with a configuration.
func (p *play) startStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.storeAddress = listener.Addr().String()
	p.store.Start(p.group, listener)
	configuration, err := caller.Configuration(1, []caller.Route{{
		Name: "plan", Host: host, Prefix: prefix, Kind: "streaming", TimeoutMS: 5000, TargetLatencyMS: 1000, Priority: 1,
		Service: service, MaxAttempts: 1, GapTargetMS: 600,
	}}, []caller.Service{{Name: service, HealthPath: modelrunner.HealthPath, MaxConnections: 360, Engine: &caller.Engine{
		Slots: 64, KVCapacityTokens: 241_266, MemoryMB: 220, AdapterSlots: slotsForAdapters, LoadsPerS: 2.1,
		Models: []caller.Model{{Name: model, MemoryMB: 70, LoadS: 4, WarmS: 0.4, DiskS: 0.8, Adapters: adapters, AdapterMB: 1}},
	}}})
	if err == nil {
		p.store.Put(caller.ConfigurationKey, configuration)
	}
	return err
}

// addRunners starts runners that hold the model.
func (p *play) addRunners(count int) error {
	for range count {
		id := fmt.Sprint("runner-", len(p.runners)+1)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		options := modelrunner.DefaultOptions(id, service)
		options.MemoryMB, options.ModelMB, options.AdapterSlots = 220, 70, slotsForAdapters
		options.Models = []modelrunner.Model{{Name: model, Version: 1, Adapters: []string{}}}
		options.StreamEvents, options.Pause = 3, 5*time.Millisecond
		options.Started = func(run modelrunner.Run) { p.record.line("ran %s at %s", run.Attempt, id) }
		runner := modelrunner.New(options)
		runner.Start(p.group, listener)
		p.runners[id] = runner
		p.record.line("%s starts", id)
		p.group.Run("heartbeats of "+id, func(ctx context.Context) {
			_ = group.Every(ctx, 1200*time.Millisecond, func(time.Time) {
				if !p.away.Load() {
					p.store.Put(caller.RunnerKeys+id, runner.Entry())
				}
			})
		})
	}
	return nil
}

const settingsText = `{
  "name": %q, "domain": "a", "address": "127.0.0.1", "callers": %q, "readiness": %q, "ports": [%d, %d],
  "store": %q, "memoryMB": 284, "linkMbps": 1000, "storeWrites": 400, "prefillReservations": true,
  "bounds": {
    "grace": "8s", "takeOver": "3000ms", "runnerDrain": "2000ms", "configurationDelay": "2000ms", "repeatRatio": 0.2,
    "repeatSlack": 52, "repeatWindow": "10s", "loadWindow": "5s", "loadOverage": 1.1
  }
}`

// addGateway starts a gateway with its clients, who begin when it is ready.
func (p *play) addGateway(name string) (*gateway, error) {
	first, err := freePorts(18)
	if err != nil {
		return nil, err
	}
	g := &gateway{
		name: name, callers: fmt.Sprint("127.0.0.1:", first), readiness: fmt.Sprint("127.0.0.1:", first+1),
		link: newStoreLink(p.storeAddress, &p.away, p.firstEra),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: g.link, ConnState: g.link.track, ReadHeaderTimeout: time.Minute}
	p.group.Run("link of "+name, func(context.Context) { _ = server.Serve(listener) })
	settings := filepath.Join(p.folder, name+".jsonc")
	text := fmt.Sprintf(settingsText, name, g.callers, g.readiness, first+2, first+17, listener.Addr())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(p.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(p.program, "gateway", "--allowance-window=", "--allowance-overage=", "--allowance-slack=")
	command.Env = append(os.Environ(), "ZINNIAROUTE_BOOT="+settings)
	command.Stdout, command.Stderr = log, log
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil, context.Canceled
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p.running = append(p.running, command)
	p.record.line("%s starts", name)
	p.group.Run("clients of "+name, func(ctx context.Context) { p.send(ctx, g) })
	return g, nil
}

func (p *play) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	for _, command := range p.running {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	p.running = nil
}

func ready(g *gateway) bool {
	response, err := http.Get("http://" + g.readiness + caller.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// send sends requests for adapters in turn.
func (p *play) send(ctx context.Context, g *gateway) {
	for !ready(g) {
		if !group.Sleep(ctx, 50*time.Millisecond) {
			return
		}
	}
	_ = group.Every(ctx, requestPause, func(time.Time) {
		attempt := fmt.Sprint("a", p.attempts.Add(1))
		p.group.Run("request", func(ctx context.Context) { p.request(ctx, g, attempt) })
	})
}

func (p *play) request(ctx context.Context, g *gateway, attempt string) {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	request, err := caller.NewRequest(ctx, netip.MustParseAddrPort(g.callers), caller.Request{
		Attempt: attempt, Host: host, Path: prefix + "one", Model: fmt.Sprint(model, "/a", 1+rand.IntN(adapters)),
		Prompt: "a1:50," + attempt[1:] + ":50", Body: []byte("{}"),
	})
	if err != nil {
		return
	}
	p.record.line("sent %s to %s", attempt, g.name)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		p.record.line("no answer to %s: %v", attempt, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	p.record.line("answered %s: %d, %d events (%v)", attempt, response.StatusCode, strings.Count(string(body), "id:"), err)
}

// The range of ports below those that the kernel gives to the channels of clients.
const firstPort, lastPort = 12000, 32000

// freePorts returns the first of consecutive free ports.
func freePorts(count int) (int, error) {
	for range 100 {
		if first := firstPort + rand.IntN(lastPort-firstPort-count); allFree(first, count) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", count)
}

func allFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}
