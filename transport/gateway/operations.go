package gateway

import (
	"maps"
	"net"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/ownership"
	"github.com/zinniaroute/zinniaroute/protocol/operator"
	"github.com/zinniaroute/zinniaroute/state/allowance"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/limits"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
	"github.com/zinniaroute/zinniaroute/transport/operations"
)

// serveOperations serves the operators' routes: health, metrics, the state dump, where a request would go, and the graceful shutdown.
func (g *Gateway) serveOperations(tasks *group.Group, listener net.Listener) {
	server := httpserve.NewServer(listener, httpserve.DefaultBounds(), false)
	operations.Serve(server, operations.Source{
		Health: g.ready,
		State:  func(time.Time) any { return g.dump(clock.Now()) },
		Stop:   g.RequestStop,
		Where: func(description []byte) (any, error) {
			query, err := operator.DecodeWhereQuery(description)
			if err != nil {
				return nil, err
			}
			return g.where(clock.Now(), query)
		},
	})
	server.Start(tasks, "operations")
}

// Dump is the state of a gateway, as operators get it and as a replay reads it.
type Dump struct {
	VM        string    `json:"vm"`
	Domain    string    `json:"domain"`
	StartedAt time.Time `json:"started"`
	Stopping  bool      `json:"stopping"`
	InFlight  int64     `json:"inFlight"`
	// ConfigurationVersion is the version of the configuration in force, or zero if there is none.
	ConfigurationVersion uint64 `json:"configuration"`
	// StoreRevision is the store's revision that is known as of StoreSyncedAt.
	StoreRevision fleet.Revision `json:"storeRevision"`
	StoreSyncedAt time.Time      `json:"storeHeard"`
	Aggregator    string         `json:"gatherer"`
	Members       []string       `json:"members"`
	// RemainingRetries is the number of retries that may be sent now, by service.
	RemainingRetries map[string]int `json:"repeatsLeft"`
	Runners          []RunnerDump   `json:"runners"`
	// Suspicions are the requests during which endpoints ended, and QuarantinedParts the parts of prompts that are refused.
	Suspicions       []quarantine.Suspicion     `json:"suspicions"`
	QuarantinedParts []quarantine.PartSuspicion `json:"quarantinedParts"`
	// Workspaces are the workspaces of the configuration in force, and WorkspaceKeys is the number of their keys.
	Workspaces    []WorkspaceDump `json:"workspaces,omitempty"`
	WorkspaceKeys int             `json:"workspaceKeys,omitempty"`
	// Limits holds the requests a second that runners take from all VMs together, by runner.
	Limits map[string]string `json:"limits,omitempty"`
	// Allowances is the spending of workspaces as this VM knows it.
	Allowances allowance.Snapshot `json:"allowances,omitzero"`
	// PathLostSince is since when this VM has no path to the runners, and LostPaths are the VMs that have none.
	PathLostSince time.Time `json:"pathLostSince,omitzero"`
	LostPaths     []string  `json:"lostPaths,omitempty"`
	// Scheduler is the state from which the choices of runners for requests can be repeated.
	Scheduler dispatch.Snapshot `json:"desk"`
}

// Endpoints returns the runners of a service as the gateway knew them at the time of the dump.
func (d Dump) Endpoints(service string) []*fleet.Runner {
	var runners []*fleet.Runner
	for _, r := range d.Runners {
		if r.Service == service {
			runners = append(runners, &fleet.Runner{
				ID: r.ID, Service: r.Service, Domain: r.Domain, Slots: r.Slots, Draining: r.Draining, Holdings: r.Holdings,
				HoldingsAt: r.HoldingsAt,
			})
		}
	}
	return runners
}

// RunnerDump is a runner's state as a gateway knows it.
type RunnerDump struct {
	ID         string         `json:"id"`
	Service    string         `json:"service"`
	Domain     string         `json:"domain"`
	Slots      int            `json:"slots"`
	Draining   bool           `json:"leaving"`
	Holdings   fleet.Holdings `json:"holdings"`
	HoldingsAt time.Time      `json:"asOf"`
	// Obstacle is the reason why the runner gets no requests, or gets them as the last choice, whatever they ask for.
	Obstacle dispatch.Obstacle `json:"obstacle,omitzero"`
	Owner    ownership.Claim   `json:"owner"`
	// HasLedger reports that this VM sends orders to the runner, and Sequence is the number of orders that the runner has
	// accepted.
	HasLedger bool   `json:"ordered"`
	Sequence  uint64 `json:"sequence"`
	// Limit is the learned number of requests in flight that a plain runner serves without loss, or the number of its slots.
	Limit int `json:"learnedLimit"`
	// Reservations is the number of prompts that VMs have reserved at a runner that this VM owns and that await prefill.
	Reservations int `json:"reservations,omitempty"`
}

func (g *Gateway) dump(now time.Time) Dump {
	aggregator := g.aggregator(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	d := Dump{
		VM: g.settings.Name, Domain: g.settings.Domain, StartedAt: g.startedAt, Stopping: g.stopping.Load(),
		InFlight: g.inFlight(), StoreRevision: g.knownRevision, StoreSyncedAt: g.syncedAt, Aggregator: aggregator,
		Members: g.owners.Members(), RemainingRetries: make(map[string]int), Limits: make(map[string]string), Scheduler: g.scheduler.Snapshot(now),
		Suspicions: g.crashes.tracker.All(now), QuarantinedParts: g.crashes.parts.Quarantined(),
	}
	d.Allowances = g.allowances.ledger.Snapshot(now)
	d.PathLostSince, d.LostPaths = g.path.LostSince(), slices.Sorted(maps.Keys(g.lostPeers))
	if table := g.table.Load(); table != nil {
		d.ConfigurationVersion = table.Version
		d.Workspaces, d.WorkspaceKeys = dumpWorkspaces(table.Workspaces)
	}
	for service, budget := range g.retryBudgets {
		d.RemainingRetries[service] = budget.Remaining(now)
	}
	for _, known := range g.limits.Current(now) {
		d.Limits[known.Runner] = limits.Text(known.PerSecond)
	}
	for _, r := range g.directory.All() {
		dumped := RunnerDump{
			ID: r.ID, Service: r.Service, Domain: r.Domain, Slots: r.Slots, Draining: r.Draining, Holdings: r.Holdings,
			HoldingsAt: r.HoldingsAt, Owner: g.owners.Claim(r.ID), Limit: g.scheduler.PlainLimit(now, r),
			Obstacle: g.scheduler.Obstacle(now, &fleet.Request{}, r, nil),
		}
		if o := g.ownedRunners[r.ID]; o != nil {
			dumped.HasLedger, dumped.Sequence = true, o.ledger.Sequence()
			dumped.Reservations = g.reservations.table.Len(now, r.ID)
		}
		d.Runners = append(d.Runners, dumped)
	}
	return d
}
