package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/zinniaroute/zinniaroute/coordination/gathering"
	"github.com/zinniaroute/zinniaroute/coordination/ownership"
	"github.com/zinniaroute/zinniaroute/coordination/pacing"
	"github.com/zinniaroute/zinniaroute/coordination/relay"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/state/allocation"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
)

const (
	// runnerDial bounds the opening of a connection to a runner, which takes some milliseconds when it is well.
	runnerDial = 300 * time.Millisecond
	drainPoll  = 20 * time.Millisecond
	// leaveRotation is the time in which the platform notices that the VM is not ready: two checks, one a second.
	leaveRotation = 2500 * time.Millisecond
)

// Gateway is the state that the duties of a VM share.
type Gateway struct {
	settings settings.Gateway
	limits   atomic.Pointer[settings.Bounds]
	log      *eventlog.Log
	run      *group.Group
	// incarnation identifies this process among those of the VM.
	incarnation string
	peers       *peers
	metrics     *metrics
	started     time.Time
	renewed     time.Time
	runners     *httpcall.Client
	engines     *platform.RunnerClient
	store       *platform.Store

	table atomic.Pointer[routes.Table]

	mu        sync.Mutex
	directory *fleet.Directory
	desk      *dispatch.Scheduler
	budgets   map[string]*lifecycle.RetryBudget
	random    *rand.Rand
	// changed is closed and replaced when the directory has changed.
	changed chan struct{}
	// relay is what this VM hands on of the store; known is the revision up to which it knows everything.
	relay *relay.Log
	known uint64
	// relayed is when another VM last handed on what the store says.
	relayed time.Time
	// gatherer is the process that last answered an exchange, and told the number of changes of runners it had told.
	gatherer string
	told     uint64
	// graceUntil is the end of the time in which runners that a listing lacked may come back.
	graceUntil time.Time
	// entries are the runners' entries as last read, without their revisions.
	entries    map[string]fleet.Runner
	suspects   *quarantine.Tracker
	owners     *ownership.Tracker
	ordered    map[string]*orderedRunner
	loadPlaces *pacing.Permits
	// orphans is since when runners that this VM owns have had no entry.
	orphans  map[string]time.Time
	meters   map[string]*allocation.Meter
	uses     map[gathering.RunnerUnit]time.Time
	gathered *gathering.Reports
	plans    planState
	// heard is when the store last told that the directory is complete.
	heard time.Time

	inFlight atomic.Int64
	stopping atomic.Bool
	// refusing tells that the VM has been out of the platform's rotation for long enough to take nothing more.
	refusing  atomic.Bool
	stopOnce  sync.Once
	stopAsked chan struct{}
}

// New returns a gateway that is not started yet.
func New(now time.Time, s settings.Gateway, log *eventlog.Log) *Gateway {
	runners := httpcall.NewClient(runnerDial)
	incarnation := uuid.NewString()
	g := &Gateway{
		settings:  s,
		log:       log,
		runners:   runners,
		engines:   platform.NewRunnerClient(runners),
		store:     platform.NewStore(s.Store),
		directory: fleet.NewDirectory(),
		desk:      dispatch.NewScheduler(s.Domain),
		budgets:   make(map[string]*lifecycle.RetryBudget),
		random:    rand.New(rand.NewPCG(uint64(now.UnixNano()), 0)),
		changed:   make(chan struct{}),
		stopAsked: make(chan struct{}),

		incarnation: incarnation,
		peers:       newPeers(),
		metrics:     newMetrics(),
		started:     now,
		owners: ownership.New(s.Name, incarnation, ownership.Bounds{
			Validity: orderValidity, Pause: s.Bounds.TakeoverDelay.Duration, Settle: settleTime,
		}),
		relay:      relay.NewLog(),
		suspects:   quarantine.NewTracker(),
		entries:    make(map[string]fleet.Runner),
		ordered:    make(map[string]*orderedRunner),
		loadPlaces: pacing.NewPermits(),
		orphans:    make(map[string]time.Time),
		meters:     make(map[string]*allocation.Meter),
		uses:       make(map[gathering.RunnerUnit]time.Time),
		gathered:   gathering.NewReports(),
		plans:      newPlanState(),
	}
	g.limits.Store(&s.Bounds)
	return g
}

// bounds returns the bounds in force.
func (g *Gateway) bounds() settings.Bounds { return *g.limits.Load() }

// Start runs the gateway's duties in the group on open listeners.
func (g *Gateway) Start(run *group.Group, callers, readiness, peers, ops net.Listener) {
	g.run = run
	g.serveOperations(run, ops)
	g.serveCallers(run, callers)
	g.serveReadiness(run, readiness)
	g.handlers().Start(run, peers)
	run.Start("follow store", g.follow)
	run.Start("register", g.register)
	run.Start("claim runners", g.claim)
	run.Start("exchange", g.exchange)
	g.log.Emit(eventlog.ProcessStarted, "gateway", callers.Addr().String(), readiness.Addr().String())
}

// Drain stops the gateway as planned: the platform sees that it is not ready, then the last requests are finished. It
// returns the number of requests that were still running when the time was up.
func (g *Gateway) Drain(ctx context.Context) int64 {
	g.stopping.Store(true)
	began := clock.Now()
	g.log.Emit(eventlog.ProcessStopping, "gateway")
	ctx, cancel := context.WithTimeout(ctx, settings.ShutdownTimeout(g.bounds()))
	defer cancel()
	for ctx.Err() == nil && (g.inFlight.Load() > 0 || !g.refusing.Load()) {
		group.Sleep(ctx, drainPoll)
		g.refusing.Store(clock.Now().Sub(began) >= leaveRotation)
	}
	return g.inFlight.Load()
}

// RequestStop begins a planned stop.
func (g *Gateway) RequestStop() { g.stopOnce.Do(func() { close(g.stopAsked) }) }

// StopRequested returns a channel that is closed when a planned stop is asked for.
func (g *Gateway) StopRequested() <-chan struct{} { return g.stopAsked }

// ready reports whether the VM takes callers: it must know a configuration.
func (g *Gateway) ready() bool { return g.table.Load() != nil && !g.stopping.Load() }

// SetBounds puts changed bounds in force.
func (g *Gateway) SetBounds(bounds settings.Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.Store(&bounds)
	clear(g.budgets)
}

// announce wakes those who wait for a change of the directory; the lock must be held.
func (g *Gateway) announce() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// budget returns the repeats of a service; the lock must be held.
func (g *Gateway) budget(service string) *lifecycle.RetryBudget {
	b := g.budgets[service]
	if b == nil {
		bounds := g.bounds()
		b = lifecycle.NewRetryBudget(lifecycle.RetryBudgetLimits{
			Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow.Duration,
		})
		b.SetMembers(g.members())
		g.budgets[service] = b
	}
	return b
}

// members returns the number of VMs that share budgets; the lock must be held.
func (g *Gateway) members() int { return max(1, len(g.owners.Members())) }
