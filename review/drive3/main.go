//go:build review

// Command drive3 plays the script cases of the third review: it starts gateways of the deploy file as processes of their own, with
// the platform, runners and users as stand-ins, and checks a rule by what these see.
package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
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
	host    = "desk.example"
	prefix  = "/look/"
	service = "desk"
	// descriptors is the limit of each gateway process in the settings of the deployments of one region.
	descriptors = 4100
	// usualUsers is the number of users with a kept channel at each gateway, and burstFactor the largest burst of the site file.
	usualUsers  = 2500
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	bursts      = 3
	// A user waits from minPause to maxPause between two requests, which is less than four fifths of idle_timeout_ms.
	minPause = 2 * time.Second
	maxPause = 11 * time.Second
	// rampTime is the time over which the users of a burst come.
	rampTime = 2 * time.Second
	// calmTime is the time before a burst, in which all users send requests on kept channels.
	calmTime     = 13 * time.Second
	restartDelay = 300 * time.Millisecond
	// toleratedLosses is the number of requests of kept channels that a machine may pass on and leave without an answer.
	toleratedLosses = 3
	gatewayCount    = 2
	runnerCount     = 6
	// workTime is the usual time that the application of the site needs for a request.
	workTime = 30 * time.Millisecond
)

// record writes the file record.txt.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", values...)
}

// gateway is a process of the system and what its platform and its users see of it.
type gateway struct {
	name             string
	callers          string
	readiness        string
	settings         string
	ends             atomic.Int64
	open, mostOpen   atomic.Int64
	answered, failed atomic.Int64
	// unanswered holds the attempts on kept channels that ended without an answer.
	unanswered attemptSet
}

// attemptSet is a set of attempts.
type attemptSet struct {
	mu       sync.Mutex
	attempts map[string]bool
}

func (s *attemptSet) add(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts == nil {
		s.attempts = make(map[string]bool)
	}
	s.attempts[attempt] = true
}

// countIn returns the number of attempts that are in both sets.
func (s *attemptSet) countIn(other *attemptSet) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	count := 0
	for attempt := range s.attempts {
		if other.attempts[attempt] {
			count++
		}
	}
	return count
}

type play struct {
	record   *record
	group    *group.Group
	gateways []*gateway
	attempts atomic.Int64
	// ran holds the attempts that a runner has begun to work on.
	ran      attemptSet
	stopping atomic.Bool
	commands sync.WaitGroup
	mu       sync.Mutex
	running  map[string]*exec.Cmd
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: drive3 PROGRAM FOLDER RECORD")
		return exitCannotRun
	}
	program, folder := os.Args[1], os.Args[2]
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
		record: &record{out: bufio.NewWriter(file), start: time.Now()}, group: g, running: make(map[string]*exec.Cmd),
	}
	defer func() { _ = p.record.out.Flush() }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	g.Run("stop", func(context.Context) {
		<-interrupted
		p.stop()
		os.Exit(exitCannotRun)
	})
	code, text := p.play(program, folder, os.Getenv("TROUBLE") != "0")
	p.stop()
	p.record.line("%s", text)
	fmt.Println(text)
	return code
}

func (p *play) play(program, folder string, trouble bool) (int, string) {
	store, err := p.startPlatform()
	if err != nil {
		return exitCannotRun, err.Error()
	}
	for i := range gatewayCount {
		if err := p.addGateway(program, folder, store, i); err != nil {
			return exitCannotRun, err.Error()
		}
	}
	for _, g := range p.gateways {
		if !p.waitReady(g) {
			return exitCannotRun, g.name + " is not ready"
		}
	}
	always, endAlways := context.WithCancel(context.Background())
	defer endAlways()
	p.addUsers(always, usualUsers)
	time.Sleep(calmTime)
	for i := range bursts {
		if trouble {
			p.record.line("burst %d: %.1f times the users", i+1, burstFactor)
			burst, end := context.WithTimeout(context.Background(), burstTime)
			p.addUsers(burst, int(usualUsers*(burstFactor-1)))
			<-burst.Done()
			end()
		} else {
			time.Sleep(burstTime)
		}
		time.Sleep(calmTime)
	}
	broken, text := false, ""
	for _, g := range p.gateways {
		lost := g.unanswered.countIn(&p.ran)
		text += fmt.Sprintf(
			"%s: ended by itself %d times, at most %d channels, %d answers, %d requests without one, %d of them from kept channels and run; ",
			g.name, g.ends.Load(), g.mostOpen.Load(), g.answered.Load(), g.failed.Load(), lost,
		)
		broken = broken || lost > toleratedLosses
	}
	if broken {
		return exitBroken, text + "the rule is broken"
	}
	return exitHeld, text + "the rule holds"
}

// startPlatform starts the store and the runners, and returns the address of the store.
func (p *play) startPlatform() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	store := metadata.NewServer()
	store.Start(p.group, listener)
	configuration, err := caller.Configuration(1, []caller.Route{{
		Name: "look", Host: host, Prefix: prefix, Kind: "safe", TimeoutMS: 3000, TargetLatencyMS: 300, Service: service, MaxAttempts: 2,
	}}, []caller.Service{{Name: service, HealthPath: modelrunner.HealthPath, MaxConnections: 110}})
	if err != nil {
		return netip.AddrPort{}, err
	}
	store.Put(caller.ConfigurationKey, configuration)
	for i := range runnerCount {
		if err := p.addRunner(store, fmt.Sprint("runner-", i+1)); err != nil {
			return netip.AddrPort{}, err
		}
	}
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

func (p *play) addRunner(store *metadata.Server, id string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	options := modelrunner.DefaultOptions(id, service)
	options.Pause = workTime
	options.Started = func(run modelrunner.Run) {
		p.ran.add(run.Attempt)
		p.record.line("ran %s at %s", run.Attempt, id)
	}
	runner := modelrunner.New(options)
	runner.Start(p.group, listener)
	p.group.Run("heartbeats of "+id, func(ctx context.Context) {
		_ = group.Every(ctx, 1200*time.Millisecond, func(time.Time) { store.Put(caller.RunnerKeys+id, runner.Entry()) })
	})
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

func (p *play) addGateway(program, folder string, store netip.AddrPort, i int) error {
	ports, err := freePorts(18)
	if err != nil {
		return err
	}
	g := &gateway{
		name: fmt.Sprint("front-", i+1), callers: fmt.Sprint("127.0.0.1:", ports), readiness: fmt.Sprint("127.0.0.1:", ports+1),
	}
	g.settings = filepath.Join(folder, g.name+".jsonc")
	text := fmt.Sprintf(settingsText, g.name, g.callers, g.readiness, ports+2, ports+17, store)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return err
	}
	p.gateways = append(p.gateways, g)
	p.commands.Add(1)
	p.group.Run("keep "+g.name, func(context.Context) {
		defer p.commands.Done()
		p.keepRunning(program, folder, g)
	})
	return nil
}

// keepRunning starts the process again after each end, as the platform does.
func (p *play) keepRunning(program, folder string, g *gateway) {
	for !p.stopping.Load() {
		// The shell sets the limit of the settings and becomes the program.
		command := exec.Command(
			"/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec \"$0\" \"$@\"", descriptors), program, "gateway",
			"--allowance-window=", "--allowance-overage=", "--allowance-slack=",
		)
		command.Env = append(os.Environ(), "ZINNIAROUTE_BOOT="+g.settings)
		log, err := os.OpenFile(filepath.Join(folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return
		}
		command.Stdout, command.Stderr = log, log
		p.mu.Lock()
		if p.stopping.Load() || command.Start() != nil {
			p.mu.Unlock()
			return
		}
		p.running[g.name] = command
		p.mu.Unlock()
		p.record.line("%s starts", g.name)
		err = command.Wait()
		_ = log.Close()
		if !p.stopping.Load() {
			g.ends.Add(1)
			p.record.line("%s ended by itself with %d channels of users (%v)", g.name, g.open.Load(), err)
			time.Sleep(restartDelay)
		}
	}
}

func (p *play) stop() {
	p.stopping.Store(true)
	p.mu.Lock()
	for _, command := range p.running {
		_ = command.Process.Kill()
	}
	p.mu.Unlock()
	p.commands.Wait()
}

func (p *play) waitReady(g *gateway) bool {
	for range 200 {
		response, err := http.Get("http://" + g.readiness + caller.ReadyPath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// addUsers adds users at each gateway, who come evenly over rampTime and leave at the end of the context.
func (p *play) addUsers(ctx context.Context, count int) {
	for _, g := range p.gateways {
		for i := range count {
			comeAt := time.Duration(float64(rampTime) * float64(i) / float64(count))
			p.group.Run("user", func(context.Context) {
				if group.Sleep(ctx, comeAt) {
					p.use(ctx, g)
				}
			})
		}
	}
}

// use sends requests on a channel that the user keeps, and opens another one when it has lost it.
func (p *play) use(ctx context.Context, g *gateway) {
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", g.callers)
		if err != nil {
			group.Sleep(ctx, 500*time.Millisecond)
			continue
		}
		open := g.open.Add(1)
		for most := g.mostOpen.Load(); open > most && !g.mostOpen.CompareAndSwap(most, open); most = g.mostOpen.Load() {
		}
		p.useChannel(ctx, g, conn)
		_ = conn.Close()
		g.open.Add(-1)
		group.Sleep(ctx, 500*time.Millisecond)
	}
}

func (p *play) useChannel(ctx context.Context, g *gateway, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	reader := bufio.NewReaderSize(conn, 1024)
	for kept := false; ctx.Err() == nil; kept = true {
		attempt := fmt.Sprint("a", p.attempts.Add(1))
		p.record.line("sent %s to %s", attempt, g.name)
		_, err := fmt.Fprintf(
			conn, "GET %sone HTTP/1.1\r\nHost: %s\r\nX-Zinniaroute-Attempt-Id: %s\r\nX-Zinniaroute-Deadline-Ms: 3000\r\n\r\n", prefix, host, attempt,
		)
		if err == nil {
			err = p.readAnswer(reader, g, attempt)
		}
		if err != nil {
			if ctx.Err() == nil {
				g.failed.Add(1)
				if kept {
					g.unanswered.add(attempt)
				}
				p.record.line("no answer to %s: %v", attempt, err)
			}
			return
		}
		if !group.Sleep(ctx, minPause+rand.N(maxPause-minPause)) {
			return
		}
	}
}

func (p *play) readAnswer(reader *bufio.Reader, g *gateway, attempt string) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := bufio.NewReader(response.Body).WriteTo(discard{}); err != nil {
		return err
	}
	g.answered.Add(1)
	p.record.line("answered %s: %d", attempt, response.StatusCode)
	return nil
}

type discard struct{}

func (discard) Write(data []byte) (int, error) { return len(data), nil }

// The range of ports below those that the kernel gives to channels of users.
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
