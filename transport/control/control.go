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
	eventRing   = 1024
	dialTimeout = time.Second
	// handoverLimit is the longest wait for the lease to be given up at a planned stop.
	handoverLimit = 3 * time.Second
)

// Control is the process of one VM that acts together with those of the others.
type Control struct {
	settings settings.Control
	log      *eventlog.Log
	group    *group.Group
	board    *board
	store    *consul.Client
	engines  *engineapi.Client

	leaseMu     sync.Mutex
	lease       *lease.Candidate
	leaseEvents *ring.Queue[lease.Event]
	lastPower   lease.Power
	lastTerm    uint64
	term        atomic.Uint64

	controllerMu sync.Mutex
	controller   *controller
	runnerEvents *ring.Queue[runnerEvent]

	clientsMu   sync.Mutex
	clients     map[netip.AddrPort]*rpc.Client
	silent      map[netip.AddrPort]bool
	meter       rpc.Meter
	listedPeers atomic.Pointer[[]netip.AddrPort]

	claims        *claimDesk
	observers     *observers
	catalogError  atomic.Pointer[string]
	entryRevision atomic.Uint64
	stopping      atomic.Bool
	started       time.Time
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
		settings:      s,
		log:           log,
		board:         newBoard(now, self),
		store:         consul.NewClient(s.KeyValue),
		engines:       engineapi.NewClient(dialTimeout),
		lease:         lease.NewCandidate(lease.DefaultConfig(s.Process.Name, incarnation)),
		leaseEvents:   ring.New[lease.Event](eventRing),
		lastPower:     lease.PowerNone,
		controller:    newController(),
		runnerEvents:  ring.New[runnerEvent](eventRing),
		clients:       make(map[netip.AddrPort]*rpc.Client),
		silent:        make(map[netip.AddrPort]bool),
		observers:     newObservers(),
		claims:        newClaimDesk(),
		started:       now,
		stopRequested: make(chan struct{}),
	}
}

// Start runs the control's duties in the group on open listeners.
func (c *Control) Start(g *group.Group, peers, operations net.Listener) {
	c.group = g
	c.mux().Start(g, peers)
	c.serveOperations(g, operations)
	g.Start("gossip", c.gossip)
	g.Start("VM list", c.followVMList)
	g.Start("catalog", c.followCatalog)
	g.Start("collector", c.collect)
	g.Start("lease", c.seekLease)
	g.Start("reconciler", c.reconcile)
	g.Start("claims", c.commitClaims)
	c.log.Emit(eventlog.ProcessStarted, "control", peers.Addr().String(), operations.Addr().String())
}

// Drain gives up the lease and tells the peers that the VM leaves, before a planned stop; it cuts off nothing.
func (c *Control) Drain(ctx context.Context) int64 {
	c.stopping.Store(true)
	c.log.Emit(eventlog.ProcessStopping, "control")
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	for ctx.Err() == nil {
		if power, _ := c.leasePower(); power == lease.PowerNone {
			break
		}
		group.Sleep(ctx, leaseTick)
	}
	return 0
}

// RequestStop begins a planned stop.
func (c *Control) RequestStop() { c.stopOnce.Do(func() { close(c.stopRequested) }) }

// StopRequested returns a channel that is closed when a planned stop is asked for.
func (c *Control) StopRequested() <-chan struct{} { return c.stopRequested }
