package modelrunner

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/zinniaroute/zinniaroute/standin/recorder"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

const (
	headerAttempt     = "X-Zinniaroute-Attempt-Id"
	headerModel       = "X-Zinniaroute-Model"
	headerPrompt      = "X-Zinniaroute-Prompt-Prefix"
	headerTarget      = "X-Zinniaroute-Target-Instance"
	headerSeal        = "X-Zinniaroute-Response-Seal"
	headerLastEventID = "Last-Event-Id"
	headerResumes     = "Resumes"
	headerWorkspace   = "X-Zinniaroute-Tenant"

	statusOK            = 200
	statusAccepted      = 202
	statusBadRequest    = 400
	statusConflict      = 409
	statusMisdirected   = 421
	statusInternalError = 500
)

// Model is a model that is resident on a runner, with its loaded adapters.
type Model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// Options configures a runner.
type Options struct {
	ID      string
	Service string
	Domain  string
	// Software is the version of the runner's software, "v1" if empty. The events of streams name it.
	Software string
	Models   []Model
	// MemoryMB, ModelMB (the size of each model) and AdapterSlots limit what the runner can hold. A real runner crashes
	// when an order exceeds the limits. Overcommitted reports whether that would have happened.
	MemoryMB     float64
	ModelMB      float64
	AdapterSlots int
	LoadTime     time.Duration
	// Address replaces the listener's address in the runner's entry, for example with that of a proxy.
	Address netip.AddrPort
	// StreamEvents is the number of events in a stream. Pause is the time before each event, and the time that a plain
	// endpoint needs for an answer.
	StreamEvents int
	Pause        time.Duration
	// AnswerBytes is the size of a plain endpoint's answer, or zero for a short one.
	AnswerBytes int
	// Slots limits the requests that the runner takes at once.
	Slots Slots
	// Started, if set, is told of each run when it starts.
	Started func(run Run)
	// Identify returns the name of the VM that has opened a connection from an address. It is nil if VMs have no names.
	Identify func(address netip.AddrPort) string
}

// DefaultOptions returns the options of a runner with room for two models and two adapters.
func DefaultOptions(id, service string) Options {
	return Options{
		ID: id, Service: service, Domain: "a", MemoryMB: 200, ModelMB: 80, AdapterSlots: 2,
		LoadTime: 150 * time.Millisecond, StreamEvents: 5, Pause: 20 * time.Millisecond,
	}
}

// Run is a request that a runner has started to execute.
type Run struct {
	Attempt string
	Path    string
	Body    string
	Prompt  string
	// Resumes is the attempt that brought the first event of a stream that a caller takes up.
	Resumes string
	// ResumeAfter is the ID of the event after which the caller resumes the stream.
	ResumeAfter string
	// Cancelled means that the caller disconnected before the end.
	Cancelled bool
	// At is the time at which the run began.
	At time.Time
	// Workspaces holds the value of each header that names a workspace.
	Workspaces []string
}

func newRun(c *app.RequestContext) Run {
	return Run{
		Attempt: string(c.GetHeader(headerAttempt)), Path: string(c.Request.Header.RequestURI()),
		Body: string(c.Request.Body()), Prompt: string(c.GetHeader(headerPrompt)), Resumes: string(c.GetHeader(headerResumes)),
		ResumeAfter: string(c.GetHeader(headerLastEventID)), At: time.Now(),
		Workspaces: c.Request.Header.GetAll(headerWorkspace),
	}
}

// OrderPath is the path at which runners take orders.
const OrderPath = "/zinniaroute/order"

// RunPrefix begins the line that a runner that is a process of its own prints for each request that it runs.
const RunPrefix = "ran "

// Line returns the line that such a runner prints: the attempt, the path, and the escaped name of each workspace.
func (r Run) Line() string {
	fields := []string{r.Attempt, r.Path}
	for _, name := range r.Workspaces {
		fields = append(fields, url.QueryEscape(name))
	}
	return RunPrefix + strings.Join(fields, " ")
}

// ParseRun returns the run of a line, or false if the line is about something else.
func ParseRun(line string) (Run, bool) {
	text, ok := strings.CutPrefix(strings.TrimSpace(line), RunPrefix)
	fields := strings.Split(text, " ")
	if !ok || len(fields) < 2 {
		return Run{}, false
	}
	r := Run{Attempt: fields[0], Path: fields[1]}
	for _, escaped := range fields[2:] {
		name, err := url.QueryUnescape(escaped)
		if err != nil {
			name = escaped
		}
		r.Workspaces = append(r.Workspaces, name)
	}
	return r, true
}

// HealthPath is the path of health checks in the configurations of the tests.
const HealthPath = "/health"

// The paths at which tests set the form of answers and read the entry of a runner that is a process of its own.
const (
	FormPath  = "/standin/form"
	EntryPath = "/standin/entry"
)

// Order is an order that has reached a runner.
type Order struct {
	Holder string
	Fence  uint64
	At     time.Time
}

// Runner is a stand-in for one endpoint.
type Runner struct {
	// Received records the headers of all requests, also of orders and of those that do not run.
	Received recorder.Headers

	options Options
	address string

	mu            sync.Mutex
	slots         slotUse
	startedAtMS   int64
	software      string
	models        []Model
	busy          bool
	sequence      uint64
	orders        []Order
	received      []Order
	runs          []Run
	overcommitted bool
	// truncateAfter is the number of events after which the next stream is truncated; negative means that it is not.
	truncateAfter   int
	pendingFailures int
	draining        bool
	crash           Crash
	crashes         []time.Time
	unsealedAnswers int
	downUntil       time.Time
	limit           string
	leaving         []string
	rest            Rest
	arrivals        []Arrival
	// inside is the number of requests that run or wait, and turnedAway holds when the brittle runner had no room for one.
	brittle     Brittle
	inside      int
	falls       int
	turnedAway  []time.Time
	forms       forms
	connections *connections
	// crashed is closed when the present incarnation crashes.
	crashed chan struct{}
}

// New returns a runner with the models of the options loaded.
func New(options Options) *Runner {
	return &Runner{
		options: options, models: slices.Clone(options.Models), startedAtMS: time.Now().UnixMilli(), truncateAfter: -1,
		crashed: make(chan struct{}), software: cmp.Or(options.Software, "v1"),
		slots: slotUse{freed: make(chan struct{}, max(1, options.Slots.Queue))},
	}
}

// Start serves on the listener in the group.
func (r *Runner) Start(g *group.Group, listener net.Listener) {
	r.address = listener.Addr().String()
	if r.options.Address.IsValid() {
		r.address = r.options.Address.String()
	}
	r.connections = newConnections(g, listener, r.answerEarly)
	server := httpserve.NewServer(r.connections, httpserve.DefaultBounds(), false)
	server.Use(r.Received.Handle)
	server.GET(recorder.Path, func(context.Context, *app.RequestContext) {})
	server.GET("/zinniaroute/report", r.report)
	server.POST(OrderPath, r.order)
	server.PUT(FormPath, r.setForm)
	server.GET(EntryPath, func(_ context.Context, c *app.RequestContext) { c.Data(statusOK, "application/json", r.Entry()) })
	server.NoRoute(r.run)
	server.NoMethod(r.run)
	server.Start(g, "runner stand-in")
}

// Entry returns the JSON entry that the runner writes to the metadata store.
func (r *Runner) Entry() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := "ready"
	if r.draining {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service": r.options.Service, "address": r.address, "zone": r.options.Domain, "version": r.software, "slots": 8,
		"state": state, "stage": "both", "models": r.models, "sequence": r.sequence, "born": r.startedAtMS,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// Upgrade starts the runner again under its identifier, with another version of its software and the models that it
// holds. Requests that it runs go on.
func (r *Runner) Upgrade(software string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The start after a crash lies ahead while the runner is down.
	r.software, r.startedAtMS, r.sequence = software, max(time.Now().UnixMilli(), r.startedAtMS+1), 0
}

// SetDraining makes Entry return the state draining.
func (r *Runner) SetDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// TruncateAfter truncates the next stream after a number of events. A negative number cancels this.
func (r *Runner) TruncateAfter(events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.truncateAfter = events
}

// OmitSeals omits the signature from a number of answers.
func (r *Runner) OmitSeals(answers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsealedAnswers = answers
}

// FailRequests answers the next requests with status 500 and the signature of the runner.
func (r *Runner) FailRequests(requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingFailures = requests
}

// Runs returns the requests that the runner has started to execute, in order.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}

// Orders returns the orders that the runner has accepted, in order of arrival. The runner rejects an order while it is
// busy or when the expected sequence number differs.
func (r *Runner) Orders() []Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.orders)
}

// ReceivedOrders returns the orders that have reached the runner, also those that it has rejected, in order of arrival.
func (r *Runner) ReceivedOrders() []Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.received)
}

// Overcommitted reports whether orders have ever exceeded the memory or the adapter slots of the runner.
func (r *Runner) Overcommitted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overcommitted
}

func (r *Runner) rejectMisdirected(c *app.RequestContext) bool {
	target := string(c.GetHeader(headerTarget))
	if target == "" || target == r.ID() {
		return false
	}
	c.Header(headerAttempt, string(c.GetHeader(headerAttempt)))
	c.Header(headerNotRun, "1")
	c.SetStatusCode(statusMisdirected)
	return true
}

func (r *Runner) report(_ context.Context, c *app.RequestContext) {
	r.sendCopy(c)
	r.announceLeaving(c)
	if r.rejectMisdirected(c) || r.refuse(c, true) {
		return
	}
	form := r.forms.next(true)
	defer func() {
		r.reshape(c, form)
		r.extend(c, form)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	c.JSON(statusOK, map[string]any{
		"stage": "both", "models": r.models, "busy": r.busy, "sequence": r.sequence, "born": r.startedAtMS,
	})
}

type orderRequest struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  uint64 `json:"precondition"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fence"`
}

func (r *Runner) order(_ context.Context, c *app.RequestContext) {
	r.sendCopy(c)
	r.announceLeaving(c)
	if r.rejectMisdirected(c) || r.refuse(c, true) {
		return
	}
	form := r.forms.next(true)
	defer func() {
		r.reshape(c, form)
		r.extend(c, form)
	}()
	var o orderRequest
	if err := json.Unmarshal(c.Request.Body(), &o); err != nil || o.Holder == "" || o.Fence == 0 {
		c.SetStatusCode(statusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	received := Order{Holder: o.Holder, Fence: o.Fence, At: time.Now()}
	r.received = append(r.received, received)
	if r.busy || o.Expected != r.sequence {
		c.SetStatusCode(statusConflict)
		return
	}
	r.orders = append(r.orders, received)
	c.SetStatusCode(r.execute(o))
}

// execute executes an order and returns its HTTP status. The caller must hold the lock.
func (r *Runner) execute(o orderRequest) int {
	index := slices.IndexFunc(r.models, func(m Model) bool { return m.Name == o.Model })
	loaded := o.Adapter != "" && index >= 0 && slices.Contains(r.models[index].Adapters, o.Adapter)
	load := o.Operation == "load"
	if o.Adapter == "" && load == (index >= 0) || o.Adapter != "" && load == loaded {
		return statusOK
	}
	if o.Adapter != "" && index < 0 {
		return statusMisdirected
	}
	r.sequence++
	switch {
	case o.Adapter == "":
		r.busy = true
		time.AfterFunc(r.options.LoadTime, func() { r.finishOrder(o) })
		return statusAccepted
	case load:
		r.models[index].Adapters = append(slices.Clone(r.models[index].Adapters), o.Adapter)
		r.checkLimits()
		return statusAccepted
	default:
		r.models[index].Adapters = slices.DeleteFunc(slices.Clone(r.models[index].Adapters), func(a string) bool {
			return a == o.Adapter
		})
		return statusOK
	}
}

func (r *Runner) finishOrder(o orderRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = false
	if o.Operation == "load" {
		r.models = append(slices.Clone(r.models), Model{Name: o.Model, Version: 1, Adapters: []string{}})
		r.checkLimits()
		return
	}
	r.models = slices.DeleteFunc(slices.Clone(r.models), func(m Model) bool { return m.Name == o.Model })
}

func (r *Runner) checkLimits() {
	adapters := 0
	for _, m := range r.models {
		adapters += len(m.Adapters)
	}
	if float64(len(r.models))*r.options.ModelMB > r.options.MemoryMB || adapters > r.options.AdapterSlots {
		r.overcommitted = true
	}
}

func (r *Runner) isLoaded(name string) bool {
	model, adapter, _ := strings.Cut(name, "/")
	return slices.ContainsFunc(r.models, func(m Model) bool {
		return m.Name == model && (adapter == "" || slices.Contains(m.Adapters, adapter))
	})
}

// recordRun records that a request runs, unless it is a health check, which is no request of a caller. The caller must hold the
// lock.
func (r *Runner) recordRun(run Run) {
	if run.Attempt == "" && run.Path == HealthPath {
		return
	}
	r.runs = append(r.runs, run)
	if r.options.Started != nil {
		r.options.Started(run)
	}
}

// beginRun records a run and returns its index. It returns false if the request is already answered: with status 421
// for a model that is not loaded, or with status 500 for an injected failure.
func (r *Runner) beginRun(c *app.RequestContext) (index, truncateAfter int, ok bool) {
	model := string(c.GetHeader(headerModel))
	r.mu.Lock()
	defer r.mu.Unlock()
	if model != "" && !r.isLoaded(model) {
		c.Header(headerAttempt, string(c.GetHeader(headerAttempt)))
		c.Header(headerNotRun, "1")
		c.SetStatusCode(statusMisdirected)
		return 0, 0, false
	}
	r.recordRun(newRun(c))
	if r.unsealedAnswers > 0 {
		r.unsealedAnswers--
	} else {
		c.Header(headerSeal, "seal-"+r.options.ID)
	}
	c.Header(headerAttempt, string(c.GetHeader(headerAttempt)))
	if r.pendingFailures > 0 {
		r.pendingFailures--
		c.SetStatusCode(statusInternalError)
		return 0, 0, false
	}
	truncateAfter, r.truncateAfter = r.truncateAfter, -1
	return len(r.runs) - 1, truncateAfter, true
}

func (r *Runner) run(ctx context.Context, c *app.RequestContext) {
	// For a path without a handler, the HTTP library presets status 404.
	c.SetStatusCode(statusOK)
	r.sendCopy(c)
	r.recordArrival(c)
	r.announceLeaving(c)
	if r.rejectMisdirected(c) || r.rejectResting(c) || r.refuse(c, false) {
		return
	}
	if r.endsRun(c) {
		return
	}
	leave, ok := r.enter(c)
	if !ok {
		return
	}
	defer leave()
	release, ok := r.takeSlot(ctx, c)
	if !ok {
		return
	}
	defer release()
	r.mu.Lock()
	crashed, software := r.crashed, r.software
	r.mu.Unlock()
	index, truncateAfter, ok := r.beginRun(c)
	if !ok {
		return
	}
	form := r.forms.next(false)
	if r.reshape(c, form) {
		return
	}
	defer r.extend(c, form)
	if string(c.GetHeader(headerModel)) == "" {
		group.Sleep(ctx, r.options.Pause)
		answer := "answer of " + r.options.ID
		c.String(statusOK, answer+strings.Repeat(".", max(0, r.options.AnswerBytes-len(answer))))
		return
	}
	c.SetContentType("text/event-stream")
	writer := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(writer)
	first := 1
	if _, err := fmt.Sscan(string(c.GetHeader(headerLastEventID)), &first); err == nil {
		first++
	}
	for i := first; i <= r.options.StreamEvents; i++ {
		if truncateAfter >= 0 && i-first >= truncateAfter {
			_ = c.GetConn().Close()
			return
		}
		select {
		case <-crashed:
			r.disconnect(c)
			return
		default:
		}
		if !group.Sleep(ctx, r.options.Pause) {
			r.mu.Lock()
			r.runs[index].Cancelled = true
			r.mu.Unlock()
			return
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: token %d of %s\n\n", i, i, software); err != nil {
			return
		}
		if err := writer.Flush(); err != nil {
			return
		}
	}
}
