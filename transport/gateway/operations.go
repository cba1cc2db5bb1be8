package gateway

import (
	"net"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/ownership"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
	"github.com/zinniaroute/zinniaroute/transport/operations"
)

// serveOperations serves the operators' routes: health, metrics, the state dump and the planned stop.
func (g *Gateway) serveOperations(run *group.Group, listener net.Listener) {
	server := httpserve.NewServer(listener, httpserve.DefaultBounds(), false)
	operations.Serve(server, operations.Source{
		Health: g.ready,
		State:  func(time.Time) any { return g.state(clock.Now()) },
		Stop:   g.RequestStop,
	})
	server.Start(run, "operations")
}

// Dump is the state of a gateway, as operators get it and as a replay reads it.
type Dump struct {
	VM       string    `json:"vm"`
	Domain   string    `json:"domain"`
	Started  time.Time `json:"started"`
	Stopping bool      `json:"stopping"`
	InFlight int64     `json:"inFlight"`
	// Configuration is the version of the configuration in force, or zero if there is none.
	Configuration uint64 `json:"configuration"`
	// StoreRevision is the store's revision that is known as of StoreHeard.
	StoreRevision uint64    `json:"storeRevision"`
	StoreHeard    time.Time `json:"storeHeard"`
	Gatherer      string    `json:"gatherer"`
	Members       []string  `json:"members"`
	// RepeatsLeft is the number of retries that may be sent now, by service.
	RepeatsLeft map[string]int `json:"repeatsLeft"`
	Runners     []RunnerDump   `json:"runners"`
	// Desk is the state from which the choices of runners for requests can be repeated.
	Desk dispatch.Snapshot `json:"desk"`
}

// Endpoints returns the runners of a service as the gateway knew them at the time of the dump.
func (d Dump) Endpoints(service string) []*fleet.Runner {
	var runners []*fleet.Runner
	for _, r := range d.Runners {
		if r.Service == service {
			runners = append(runners, &fleet.Runner{
				ID: r.ID, Service: r.Service, Domain: r.Domain, Slots: r.Slots, Draining: r.Leaving, Holdings: r.Holdings,
				HoldingsAt: r.AsOf,
			})
		}
	}
	return runners
}

// RunnerDump is a runner's state as a gateway knows it.
type RunnerDump struct {
	ID       string          `json:"id"`
	Service  string          `json:"service"`
	Domain   string          `json:"domain"`
	Slots    int             `json:"slots"`
	Leaving  bool            `json:"leaving"`
	Holdings fleet.Holdings  `json:"holdings"`
	AsOf     time.Time       `json:"asOf"`
	Owner    ownership.Claim `json:"owner"`
	// Ordered reports that this VM sends orders to the runner, and Sequence is the number of orders that the runner has
	// accepted.
	Ordered  bool   `json:"ordered"`
	Sequence uint64 `json:"sequence"`
}

func (g *Gateway) state(now time.Time) Dump {
	hub := g.hub(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	d := Dump{
		VM: g.settings.Name, Domain: g.settings.Domain, Started: g.started, Stopping: g.stopping.Load(),
		InFlight: g.inFlight.Load(), StoreRevision: g.known, StoreHeard: g.heard, Gatherer: hub,
		Members: g.owners.Members(), RepeatsLeft: make(map[string]int), Desk: g.desk.Snapshot(now),
	}
	if table := g.table.Load(); table != nil {
		d.Configuration = table.Version
	}
	for service, budget := range g.budgets {
		d.RepeatsLeft[service] = budget.Remaining(now)
	}
	for _, r := range g.directory.All() {
		shown := RunnerDump{
			ID: r.ID, Service: r.Service, Domain: r.Domain, Slots: r.Slots, Leaving: r.Draining, Holdings: r.Holdings,
			AsOf: r.HoldingsAt, Owner: g.owners.Claim(r.ID),
		}
		if o := g.ordered[r.ID]; o != nil {
			shown.Ordered, shown.Sequence = true, o.ledger.Sequence()
		}
		d.Runners = append(d.Runners, shown)
	}
	return d
}
