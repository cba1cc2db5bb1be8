package control

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/zinniaroute/zinniaroute/coordination/lease"
	"github.com/zinniaroute/zinniaroute/coordination/membership"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/transport/consul"
	"github.com/zinniaroute/zinniaroute/transport/engineapi"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/ring"
	"github.com/zinniaroute/zinniaroute/transport/rpc"
)

const (
	eventQueueCapacity = 1024
	dialTimeout        = time.Second
	// handoverTimeout is the longest time that a graceful shutdown waits for the release of the lease.
	handoverTimeout = 3 * time.Second
)

// Control is the control process of one VM. It cooperates with the controls of the other VMs.
type Control struct {
	settings settings.Control
	log      *eventlog.Log
	group    *group.Group
	shared   *sharedState
	store    *consul.Client
	engines  *engineapi.Client

	leaseMu     sync.Mutex
	lease       *lease.Candidate
	leaseEvents *ring.Queue[lease.Event]
	// loggedPower and loggedTerm are the values that were last logged.
	loggedPower lease.Power
	loggedTerm  uint64
	// term is the term under which the VM holds the lease, or zero; gossip publishes it.
	term atomic.Uint64

	controllerMu sync.Mutex
	controller   *controller
	runnerEvents *ring.Queue[runnerEvent]

	clientsMu sync.Mutex
	clients   map[netip.AddrPort]*rpc.Client
	// unreachablePeers holds the peers whose last exchange failed.
	unreachablePeers map[netip.AddrPort]bool
	meter            rpc.Meter
	// listedPeers holds the addresses of the controls in the VM list.
	listedPeers atomic.Pointer[[]netip.AddrPort]

	claims        *claimSlots
	observations  *observations
	catalogError  atomic.Pointer[string]
	entryRevision atomic.Uint64
	stopping      atomic.Bool
	startedAt     time.Time
	stopOnce      sync.Once
	stopRequested chan struct{}
}

// New returns a control that is not started yet.
func New(now time.Time, s settings.Control, log *eventlog.Log) *Control {
	incarnation := uuid.NewString()
	if !s.Advertise.IsValid() {
		s.Advertise = s.Listen
	}
	self := membership.Member{Name: s.Process.Name, Domain: s.Process.Domain, Address: s.Advertise}
	return &Control{
		settings:         s,
		log:              log,
		shared:           newSharedState(now, self),
		store:            consul.NewClient(s.KeyValue),
		engines:          engineapi.NewClient(dialTimeout),
		lease:            lease.NewCandidate(lease.DefaultConfig(s.Process.Name, incarnation)),
		leaseEvents:      ring.New[lease.Event](eventQueueCapacity),
		loggedPower:      lease.PowerNone,
		controller:       newController(),
		runnerEvents:     ring.New[runnerEvent](eventQueueCapacity),
		clients:          make(map[netip.AddrPort]*rpc.Client),
		unreachablePeers: make(map[netip.AddrPort]bool),
		observations:     newObservations(),
		claims:           newClaimSlots(),
		startedAt:        now,
		stopRequested:    make(chan struct{}),
	}
}

// Start starts the control's goroutines in the group and serves on the listeners.
func (c *Control) Start(g *group.Group, peers, operations net.Listener) {
	c.group = g
	c.mux().Start(g, peers)
	c.serveOperations(g, operations)
	g.Start("gossip", c.gossip)
	g.Start("VM list", c.pollVMList)
	g.Start("catalog", c.followCatalog)
	g.Start("collector", c.observeRunners)
	g.Start("lease", c.runCandidate)
	g.Start("reconciler", c.reconcile)
	g.Start("claims", c.tickClaims)
	c.log.Emit(eventlog.ProcessStarted, "control", peers.Addr().String(), operations.Addr().String())
}

// Drain releases the lease and marks the VM as leaving for the peers, before a graceful shutdown. It returns the
// number of aborted requests, which is always zero.
func (c *Control) Drain(ctx context.Context) int64 {
	c.stopping.Store(true)
	c.log.Emit(eventlog.ProcessStopping, "control")
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if power, _ := c.leasePower(); power == lease.PowerNone {
			break
		}
		group.Sleep(ctx, leaseTickInterval)
	}
	return 0
}

// RequestStop requests a graceful shutdown. Further calls have no effect.
func (c *Control) RequestStop() { c.stopOnce.Do(func() { close(c.stopRequested) }) }

// StopRequested returns a channel that is closed when a graceful shutdown is requested.
func (c *Control) StopRequested() <-chan struct{} { return c.stopRequested }
