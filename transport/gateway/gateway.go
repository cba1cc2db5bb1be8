package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"

	"github.com/zinniaroute/zinniaroute/coordination/gathering"
	"github.com/zinniaroute/zinniaroute/coordination/ownership"
	"github.com/zinniaroute/zinniaroute/coordination/pacing"
	"github.com/zinniaroute/zinniaroute/coordination/relay"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/state/admission"
	"github.com/zinniaroute/zinniaroute/state/allocation"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/limits"
	"github.com/zinniaroute/zinniaroute/state/origins"
	"github.com/zinniaroute/zinniaroute/state/reach"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/state/waiting"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

const (
	// endpointDialTimeout is the time limit for opening a connection to an endpoint, which takes some milliseconds if the
	// endpoint is healthy.
	endpointDialTimeout = 300 * time.Millisecond
	// peerDialTimeout is the time limit for opening a connection to another VM that forwards requests.
	peerDialTimeout   = 300 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// rotationRemovalTime is the time within which the platform notices that the VM is not ready. It needs two checks and
	// makes one a second.
	rotationRemovalTime = 2500 * time.Millisecond
)

// Gateway is the gateway process of a VM. The field mu protects the fields after it, up to storeCalledAt.
type Gateway struct {
	settings      settings.Gateway
	currentBounds atomic.Pointer[settings.Bounds]
	log           *eventlog.Log
	tasks         *group.Group
	// incarnation distinguishes this process from earlier ones on the same VM.
	incarnation   string
	peers         *peers
	metrics       *metrics
	startedAt     time.Time
	lastRenewedAt time.Time
	// endpointClient sends the callers' requests to endpoints. runnerClient reads the reports of model runners and sends orders to
	// them, on connections of its own.
	endpointClient *httpcall.Client
	runnerClient   *platform.RunnerClient
	// peerClient forwards callers' requests to other VMs.
	peerClient *httpcall.Client
	store      *platform.Store

	table atomic.Pointer[routes.Table]

	// applying serializes the application of listings, events and forwarded views. It is locked before mu.
	applying sync.Mutex

	mu        sync.Mutex
	directory *fleet.Directory
	scheduler *dispatch.Scheduler
	limits    *limits.Registry
	permits   *limits.Permits
	// brittle holds the requests that runners may turn away within a second, over all VMs.
	brittle *limits.Registry
	// origins holds where streams began that this VM served, and versions the recorded versions of software.
	origins  *origins.Table
	versions *origins.Versions
	// unboundStreams holds the streams whose version has not been needed so far, by attempt.
	unboundStreams map[string]*stream
	// unloadedSince holds the models for which requests arrive and which no runner holds, as far as this VM knows.
	unloadedSince map[serviceModel]missingModel
	// unrecordedSince is since when a listed runner has a version that is not recorded, or zero.
	unrecordedSince time.Time
	// queuedOrigins are to be written to the store. originsQueued wakes the task that does so.
	queuedOrigins []queuedOrigin
	originsQueued chan struct{}
	// aggregatorSince is when this VM became the aggregator, or zero if it is not.
	aggregatorSince time.Time
	retryBudgets    map[string]*lifecycle.RetryBudget
	random          *rand.Rand
	// queue holds the requests that cannot be sent now.
	queue *waiting.Queue
	// returns holds when refused callers were told to come back.
	returns *admission.Returns
	// storeLog is the copy of the store's content from which this VM forwards views.
	storeLog *relay.Log
	// pace limits the large values that this VM forwards.
	pace *relay.Pace
	// knownRevision is the store's revision up to which this VM knows the content.
	knownRevision fleet.Revision
	// lastViewAt is when the aggregator last forwarded a view, or zero if this VM must read the store.
	lastViewAt time.Time
	// heldBackSince is since when views lack a large value, or zero.
	heldBackSince time.Time
	// aggregatorIncarnation is the incarnation of the aggregator process that last answered, and receivedChanges is the
	// number of changes of owned runners that it had sent by then.
	aggregatorIncarnation string
	receivedChanges       uint64
	// entryGrace says how long runners that a listing lacked stay in the directory.
	entryGrace *fleet.EntryGrace
	// confirmations says which runners the store has confirmed, and confirming joins the calls of requests for the same one.
	confirmations *fleet.Confirmations
	confirming    singleflight.Group
	// runnerEntries holds the runners' entries as last read, without their revisions.
	runnerEntries map[string]fleet.Runner
	crashes       crashState
	owners        *ownership.Tracker
	// memberValues holds the values of the VMs' keys, and aggregators the VMs in the order in which they become the
	// aggregator, or nil after a change.
	memberValues map[string]memberValue
	aggregators  []string
	// settledEra is the value of settledEraKey, and settledEraRevision the revision of its last write.
	settledEra         uint64
	settledEraRevision fleet.Revision
	// loadsBlockedUntil is the time until which the store may lack permits of loads that count.
	loadsBlockedUntil time.Time
	ownedRunners      map[string]*ownedRunner
	loadPermits       *pacing.Permits
	// orphanedSince is the time since when a runner that this VM owns has had no entry, by runner.
	orphanedSince map[string]time.Time
	demandMeters  map[string]*allocation.Meter
	adapterUsedAt map[gathering.RunnerUnit]time.Time
	reports       *gathering.Reports
	// reportTurn admits one report of another VM at a time. It is acquired before mu.
	reportTurn *semaphore.Weighted
	planState  planState
	// reservations holds the prompts that await prefill at the runners that this VM owns.
	reservations reservationState
	// failedAt is when a connection to a runner last failed, and lastReportAt when the last report was made.
	failedAt, lastReportAt time.Time
	// reportNow wakes the task that exchanges reports.
	reportNow chan struct{}
	// syncedAt is the time of the request to the store that the known content reflects.
	syncedAt time.Time
	// storeCalledAt is when the call that reads the store began, or zero if none is under way.
	storeCalledAt time.Time

	// allowances holds the spending of workspaces. The field mu protects it.
	allowances allowances

	// path says whether the path to the runners is lost. pathChecked is closed and replaced at the end of each check. The field
	// mu protects both, and the two after them.
	path        reach.Tracker
	pathChecked chan struct{}
	// lostPeers holds the VMs that have lost their path to the runners, and slowPeers until when others are preferred for
	// requests that are forwarded.
	lostPeers map[string]bool
	slowPeers map[string]time.Time
	// eventBudget limits the memory for parts of events of the streams that this VM relays.
	eventBudget *semaphore.Weighted
	// pathDoubted wakes the task that checks the path.
	pathDoubted chan struct{}

	// offeredAt is when the store's content was last offered to each member that does not report, and offersInFlight the
	// number of offers that have not ended. The field mu protects both.
	offeredAt      map[string]time.Time
	offersInFlight int

	// readingVersions has room for one reading of the versions in the store, whose result is versionEvidence.
	readingVersions chan struct{}
	versionEvidence evidence

	// servers serve callers and the VMs that forward requests. Start sets it.
	servers  []*httpserve.Server
	stopping atomic.Bool
	// refusing reports that the platform has taken the VM out of rotation, so that new requests are refused.
	refusing      atomic.Bool
	stopOnce      sync.Once
	stopRequested chan struct{}
}

// New returns a gateway that does not serve before Start.
func New(now time.Time, s settings.Gateway, log *eventlog.Log) *Gateway {
	incarnation := uuid.NewString()
	g := &Gateway{
		settings:        s,
		log:             log,
		endpointClient:  httpcall.NewClient(endpointDialTimeout),
		runnerClient:    platform.NewRunnerClient(httpcall.NewClient(endpointDialTimeout)),
		peerClient:      httpcall.NewClient(peerDialTimeout),
		pathChecked:     make(chan struct{}),
		eventBudget:     newEventBudget(),
		pathDoubted:     make(chan struct{}, 1),
		slowPeers:       make(map[string]time.Time),
		store:           platform.NewStore(s.Store),
		directory:       fleet.NewDirectory(),
		entryGrace:      fleet.NewEntryGrace(now),
		scheduler:       dispatch.NewScheduler(s.Domain),
		origins:         origins.NewTable(),
		versions:        origins.NewVersions(),
		unloadedSince:   make(map[serviceModel]missingModel),
		unboundStreams:  make(map[string]*stream),
		offeredAt:       make(map[string]time.Time),
		readingVersions: make(chan struct{}, 1),
		originsQueued:   make(chan struct{}, 1),
		limits:          limits.NewRegistry(),
		brittle:         limits.NewRegistry(),
		permits:         limits.NewPermits(),
		retryBudgets:    make(map[string]*lifecycle.RetryBudget),
		random:          rand.New(rand.NewPCG(uint64(now.UnixNano()), 0)),
		queue:           waiting.New(queueLimits(s)),
		returns:         admission.NewReturns(),
		stopRequested:   make(chan struct{}),

		incarnation: incarnation,
		peers:       newPeers(),
		metrics:     newMetrics(),
		startedAt:   now,
		owners: ownership.New(s.Name, incarnation, ownership.Bounds{
			Validity: orderValidity, OwnerChangePause: s.Bounds.OwnerChangePause.Duration, ClaimDelay: settleDelay,
		}),
		memberValues:  make(map[string]memberValue),
		storeLog:      relay.NewLog(),
		pace:          relay.NewPace(s.LinkMbps),
		crashes:       newCrashState(),
		runnerEntries: make(map[string]fleet.Runner),
		confirmations: fleet.NewConfirmations(),
		ownedRunners:  make(map[string]*ownedRunner),
		loadPermits:   pacing.NewPermits(),
		orphanedSince: make(map[string]time.Time),
		demandMeters:  make(map[string]*allocation.Meter),
		adapterUsedAt: make(map[gathering.RunnerUnit]time.Time),
		reports:       gathering.NewReports(),
		reportTurn:    semaphore.NewWeighted(1),
		planState:     newPlanState(),
		reservations:  newReservationState(),
		allowances:    newAllowances(now, s.Bounds),
		reportNow:     make(chan struct{}, 1),
	}
	g.currentBounds.Store(&s.Bounds)
	if !s.UsesLearnedSpeeds() {
		g.scheduler.IgnoreSpeeds()
	}
	return g
}

// bounds returns the bounds in force.
func (g *Gateway) bounds() settings.Bounds { return *g.currentBounds.Load() }

// Start runs the gateway's servers, on open listeners, and its background tasks in the group.
func (g *Gateway) Start(tasks *group.Group, callers, readiness, peers, ops, forwards net.Listener) {
	g.tasks = tasks
	g.serveCallers(tasks, callers)
	g.serveReadiness(tasks, readiness)
	g.peerHandlers().Start(tasks, peers)
	g.serveForwards(tasks, forwards)
	g.serveOperations(tasks, ops)
	tasks.Start("follow store", g.followStore)
	tasks.Start("watch content age", g.watchContentAge)
	tasks.Start("register", g.keepRegistered)
	tasks.Start("claim runners", g.claimRunners)
	tasks.Start("watch path", g.watchPath)
	tasks.Start("exchange", g.syncWithAggregator)
	tasks.Start("store quarantines", g.storeQuarantines)
	tasks.Start("store origins", g.storeOrigins)
	g.log.Emit(eventlog.ProcessStarted, "gateway", callers.Addr().String(), readiness.Addr().String())
}

// Drain makes the gateway not ready, waits until the platform has taken the VM out of rotation, and lets the requests
// in flight finish. It returns the number of requests that were still running at the shutdown timeout.
func (g *Gateway) Drain(ctx context.Context) int64 {
	g.stopping.Store(true)
	startedAt := clock.Now()
	g.log.Emit(eventlog.ProcessStopping, "gateway")
	ctx, cancel := context.WithTimeout(ctx, settings.ShutdownTimeout(g.bounds()))
	defer cancel()
	for ctx.Err() == nil && (g.inFlight() > 0 || !g.refusing.Load()) {
		group.Sleep(ctx, drainPollInterval)
		g.refusing.Store(clock.Now().Sub(startedAt) >= rotationRemovalTime)
	}
	return g.inFlight()
}

// RequestStop requests a graceful shutdown. Further calls have no effect.
func (g *Gateway) RequestStop() { g.stopOnce.Do(func() { close(g.stopRequested) }) }

// StopRequested returns a channel that the first RequestStop closes.
func (g *Gateway) StopRequested() <-chan struct{} { return g.stopRequested }

// ready reports whether the VM takes new requests: it has a configuration and is not stopping.
func (g *Gateway) ready() bool { return g.table.Load() != nil && !g.stopping.Load() }

// SetBounds replaces the bounds of the settings, also of the retry budgets.
func (g *Gateway) SetBounds(bounds settings.Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.currentBounds.Store(&bounds)
	g.allowances.ledger.SetBounds(allowanceBounds(bounds))
	for _, budget := range g.retryBudgets {
		budget.SetLimits(retryLimits(bounds))
	}
}

// notifyDirectoryChange wakes the requests that wait for a change of the directory. The caller must hold the lock.
func (g *Gateway) notifyDirectoryChange() {
	g.queue.Changed(clock.Now())
}

func retryLimits(bounds settings.Bounds) lifecycle.RetryBudgetLimits {
	return lifecycle.RetryBudgetLimits{
		Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow.Duration,
	}
}

// retryBudget returns the retry budget of a service. The caller must hold the lock.
func (g *Gateway) retryBudget(now time.Time, service string) *lifecycle.RetryBudget {
	b := g.retryBudgets[service]
	if b == nil {
		b = lifecycle.NewRetryBudget(retryLimits(g.bounds()))
		b.SetMembers(now, g.members())
		g.retryBudgets[service] = b
	}
	return b
}

// members returns the number of VMs that share the retry budgets. The caller must hold the lock.
func (g *Gateway) members() int { return max(1, len(g.owners.Members())) }
