//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zinniaroute/zinniaroute/transport/group"
)

const host = "shop.example"

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		panic(err)
	}
	return &record{file: file, begun: time.Now()}
}

func (r *record) at(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", t.Sub(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) line(format string, args ...any) { r.at(time.Now(), format, args...) }

// gateway is a process of the project on one VM.
type gateway struct {
	name, zone                       string
	callers, readiness, address, log string
	firstPort                        int
	process                          *exec.Cmd
	exited                           chan struct{}
}

// deployment is a store, runners and gateways.
type deployment struct {
	tasks     *group.Group
	record    *record
	directory string
	store     *store
	gateways  []*gateway
	maxFiles  int
}

func newDeployment(r *record) *deployment {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		panic(err)
	}
	tasks, err := group.New(context.Background())
	if err != nil {
		panic(err)
	}
	d := &deployment{tasks: tasks, record: r, directory: directory, store: newStore()}
	d.run("end leases", d.store.endLeases)
	return d
}

// run runs a task until the program ends.
func (d *deployment) run(name string, task func()) {
	d.tasks.Run(name, func(context.Context) { task() })
}

// serve serves HTTP on a free port until the server is closed, and returns its address.
func (d *deployment) serve(server *http.Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d.run("serve HTTP", func() { _ = server.Serve(listener) })
	return listener.Addr().String()
}

// settings has the fields of deploy/settings.jsonc with the bounds of a small deployment.
const settings = `{
  "name": %q, "domain": %q, "address": "127.0.0.1", "callers": %q, "readiness": %q, "ports": [%d, %d],
  "store": %q, "memoryMB": 284, "linkMbps": 1000, "storeWrites": 400, "prefillReservations": true,
  "bounds": {
    "grace": "8s", "takeOver": "3000ms", "runnerDrain": "2000ms", "configurationDelay": "2000ms",
    "repeatRatio": 0.2, "repeatSlack": 58, "repeatWindow": "10s", "loadWindow": "5s", "loadOverage": 1.1
  }
}`

const (
	// firstFreePort and freePortCount bound the ports of gateways. They lie below those that the kernel gives to outgoing connections.
	firstFreePort = 20_000
	freePortCount = 12_000
	internalPorts = 3
)

// freePorts returns the first of some free ports in a row.
func freePorts(count int) int {
	for {
		first, free := firstFreePort+rand.IntN(freePortCount-count), true
		for port := first; port < first+count && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			return first
		}
	}
}

func freeAddress() string { return fmt.Sprintf("127.0.0.1:%d", freePorts(1)) }

// addGateway starts a gateway with the command of the deploy file.
func (d *deployment) addGateway(name, zone string) *gateway {
	g := &gateway{
		name: name, zone: zone, callers: freeAddress(), readiness: freeAddress(), firstPort: freePorts(internalPorts),
		log: filepath.Join(d.directory, name+".log"),
	}
	path := filepath.Join(d.directory, name+".jsonc")
	text := fmt.Sprintf(settings, name, zone, g.callers, g.readiness, g.firstPort, g.firstPort+internalPorts-1, d.serve(&http.Server{Handler: d.store}))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		panic(err)
	}
	command := "exec target/zinniaroute gateway --allowance-window= --allowance-overage= --allowance-slack="
	if d.maxFiles > 0 {
		// The platform limits the descriptors of each process.
		command = fmt.Sprintf("ulimit -n %d; ", d.maxFiles) + command
	}
	g.process = exec.Command("sh", "-c", command)
	g.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.directory, "ZINNIAROUTE_BOOT=" + path}
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	file, err := os.Create(g.log)
	if err != nil {
		panic(err)
	}
	g.process.Stdout, g.process.Stderr = file, file
	if err := g.process.Start(); err != nil {
		panic(err)
	}
	g.exited = make(chan struct{})
	d.run("wait for "+name, func() {
		_ = g.process.Wait()
		d.record.line("process of %s ended: %s", g.name, g.process.ProcessState)
		close(g.exited)
	})
	d.gateways = append(d.gateways, g)
	return g
}

func (g *gateway) ended() bool {
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}

// files returns the number of open descriptors of the process.
func (g *gateway) files() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.process.Process.Pid))
	return len(entries)
}

func (d *deployment) stop() {
	for _, g := range d.gateways {
		_ = g.process.Process.Kill()
		<-g.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.directory)
	}
}

func (g *gateway) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.readiness + "/zinniaroute/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *deployment) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, g := range d.gateways {
		for !g.ready() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// channel is a channel that a client keeps open for many requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// answer is what a client got for a request.
type answer struct {
	status   int
	complete bool
	seal     string
	// bytes is the number of bytes that arrived, of the head and the body.
	bytes int
	err   error
	body  string
	// head is the head of the answer.
	head http.Header
}

// countingReader counts the bytes that arrive.
type countingReader struct {
	io.Reader
	n int
}

// Read reads and counts.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.n += n
	return n, err
}

type request struct {
	attempt, method, path, model, body string
	budget                             time.Duration
	tokens, prompt                     string
}

// send sends a request and reads the answer to its end, for no longer than the client's time budget and a second.
func (c *channel) send(q request) answer {
	_ = c.conn.SetDeadline(time.Now().Add(q.budget + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Zinniaroute-Attempt-Id: %s\r\nX-Zinniaroute-Deadline-Ms: %d\r\n",
		q.method, q.path, host, q.attempt, q.budget.Milliseconds())
	if q.model != "" {
		fmt.Fprintf(&b, "X-Zinniaroute-Model: %s\r\nX-Zinniaroute-Token-Count: %s\r\nX-Zinniaroute-Prompt-Prefix: %s\r\n", q.model, q.tokens, q.prompt)
	}
	if q.method == http.MethodPost || q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	if _, err := c.conn.Write([]byte(b.String())); err != nil {
		return answer{err: err}
	}
	counted := &countingReader{Reader: c.reader}
	reader := bufio.NewReader(counted)
	response, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err, bytes: counted.n}
	}
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, complete: err == nil, seal: response.Header.Get("X-Zinniaroute-Response-Seal"),
		bytes: counted.n, err: err, body: string(body), head: response.Header,
	}
}

func (a answer) String() string {
	switch {
	case a.bytes == 0:
		return fmt.Sprintf("no answer: %v", a.err)
	case a.complete:
		return fmt.Sprintf("%d, complete, %d bytes, seal %q", a.status, a.bytes, a.seal)
	default:
		return fmt.Sprintf("%d, incomplete after %d bytes: %v", a.status, a.bytes, a.err)
	}
}
