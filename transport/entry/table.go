package entry

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/state/residency"
	"github.com/zinniaroute/zinniaroute/state/routing"
)

// endpoint is a runner with its reported state and the measurements of this entry's own requests.
type endpoint struct {
	runner      *catalog.Runner
	state       residency.RunnerState
	breaker     routing.Breaker
	ownInFlight int
	// ownInFlightAtReport is the value of ownInFlight at the time of the latest report.
	ownInFlightAtReport int
	timeToFirstToken    time.Duration
}

// table holds the active catalog, every endpoint, and the quarantine. It is safe for concurrent use.
type table struct {
	mu        sync.Mutex
	domain    string
	index     *catalog.Index
	revision  uint64
	endpoints map[string]*endpoint
	random    *rand.Rand
	// lastServed maps a public name to the target that last served it. That target is used while the catalog's target
	// is not loaded.
	lastServed map[string]catalog.Target
	quarantine *quarantine.Tracker
}

func newTable(domain string, seed uint64) *table {
	return &table{
		domain:     domain,
		index:      catalog.NewIndex(&catalog.Set{}),
		endpoints:  make(map[string]*endpoint),
		random:     rand.New(rand.NewPCG(seed, 0)),
		lastServed: make(map[string]catalog.Target),
		quarantine: quarantine.NewTracker(),
	}
}

// install activates a catalog if its revision is newer, and reports whether it is.
func (t *table) install(index *catalog.Index, revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision <= t.revision {
		return false
	}
	t.index, t.revision = index, revision
	for name, e := range t.endpoints {
		runner := index.Runner(name)
		if runner == nil {
			delete(t.endpoints, name)
			continue
		}
		e.runner = runner
	}
	for i := range index.Set.Runners {
		runner := &index.Set.Runners[i]
		if t.endpoints[runner.Name] == nil {
			t.endpoints[runner.Name] = &endpoint{runner: runner, state: residency.RunnerState{Runner: runner.Name}}
		}
	}
	return true
}

// applyRunnerStates applies reported states of runners. It ignores an older report of the same observer.
func (t *table) applyRunnerStates(states []residency.RunnerState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range states {
		e := t.endpoints[state.Runner]
		if e == nil || state.Sequence < e.state.Sequence && state.Observer == e.state.Observer {
			continue
		}
		e.state = state
		e.ownInFlightAtReport = e.ownInFlight
	}
}

func (t *table) catalog() (*catalog.Index, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.index, t.revision
}

// resolve returns the target that serves a public name. If the catalog's target is not loaded on any endpoint, it
// returns the target that last served the name, or else another version. So a version change causes no outage.
func (t *table) resolve(name string) (catalog.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	target, ok := t.index.Resolve(name, t.random.Float64())
	if !ok {
		delete(t.lastServed, name)
		return target, false
	}
	if t.isServed(target) {
		t.lastServed[name] = target
		return target, true
	}
	if before, known := t.lastServed[name]; known && t.isServed(before) {
		return before, true
	}
	for _, sibling := range t.index.WeightSets(name) {
		if t.isServed(sibling) {
			return sibling, true
		}
	}
	return target, true
}

func (t *table) isServed(target catalog.Target) bool {
	for _, e := range t.endpoints {
		if e.serves(target) {
			return true
		}
	}
	return false
}

// chosenEndpoint is the endpoint chosen for an attempt.
type chosenEndpoint struct {
	name                      string
	address                   netip.AddrPort
	predictedTimeToFirstToken time.Duration
}

// endpointCriteria holds the criteria by which an endpoint is chosen.
type endpointCriteria struct {
	target      catalog.Target
	excluded    []string
	fingerprint quarantine.Fingerprint
}

// choose chooses an endpoint that serves the target and is not excluded, and counts the request as in flight on it. A
// suspect gets only an endpoint that runs no other suspect. If there is no such endpoint and at least one runs another
// suspect, occupied is true and the request may wait.
func (t *table) choose(now time.Time, c endpointCriteria) (chosen chosenEndpoint, occupied, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspect := t.quarantine.IsSuspect(now, c.fingerprint)
	var candidates []routing.Endpoint
	for name, e := range t.endpoints {
		if !e.serves(c.target) || slices.Contains(c.excluded, name) {
			continue
		}
		if suspect && t.quarantine.RunsSuspect(name) {
			occupied = true
			continue
		}
		candidates = append(candidates, e.candidate(t.domain))
	}
	slices.SortFunc(candidates, func(a, b routing.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	choice, found := routing.Choose(now, t.random, candidates)
	if !found {
		return chosenEndpoint{}, occupied, false
	}
	e := t.endpoints[choice.Endpoint.Name]
	t.quarantine.RecordSent(now, c.fingerprint, choice.Endpoint.Name)
	e.ownInFlight++
	e.breaker.RecordSent(now)
	return chosenEndpoint{
		name:                      e.runner.Name,
		address:                   e.runner.Address,
		predictedTimeToFirstToken: choice.PredictedTimeToFirstToken,
	}, false, true
}

func (e *endpoint) serves(target catalog.Target) bool {
	if !e.state.Reachable || e.state.Draining {
		return false
	}
	if target.Service != "" {
		return e.runner.Service == target.Service
	}
	if target.Adapter != "" && !e.state.Holds(target.Adapter) {
		return false
	}
	return e.state.Holds(target.Unit.Name)
}

func (e *endpoint) candidate(domain string) routing.Endpoint {
	return routing.Endpoint{
		Name:                e.runner.Name,
		Local:               e.runner.Domain == domain,
		ReportedRequests:    e.state.Running + e.state.Waiting,
		OwnInFlight:         e.ownInFlight,
		OwnInFlightAtReport: e.ownInFlightAtReport,
		TimeToFirstToken:    e.timeToFirstToken,
		Breaker:             &e.breaker,
	}
}

// recordFirstByte records that an endpoint began to answer, and the time that it took.
func (t *table) recordFirstByte(name string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[name]; e != nil {
		e.timeToFirstToken = routing.MovingAverage(e.timeToFirstToken, took)
		e.breaker.RecordSuccess()
	}
}

// recordEnd records that an attempt has ended, and whether the endpoint failed.
func (t *table) recordEnd(now time.Time, name string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[name]
	if e == nil {
		return
	}
	e.ownInFlight--
	if failed {
		e.breaker.RecordFailure(now)
	}
}

// recordDeclined records that an endpoint is draining, or else that it does not have the target loaded.
func (t *table) recordDeclined(name string, target catalog.Target, draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[name]
	if e == nil {
		return
	}
	if draining {
		e.state.Draining = true
		return
	}
	e.state.Items = slices.DeleteFunc(slices.Clone(e.state.Items), func(item residency.HeldItem) bool {
		return item.Name == target.EngineName()
	})
}

// endpointState is the state of an endpoint as shown in a dump.
type endpointState struct {
	residency.RunnerState
	OwnInFlight         int                  `json:"own"`
	OwnInFlightAtReport int                  `json:"ownAtReport"`
	TimeToFirstToken    time.Duration        `json:"firstTokenNs"`
	Breaker             routing.BreakerState `json:"breaker"`
}

func (t *table) states(now time.Time) []endpointState {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]endpointState, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		states = append(states, endpointState{
			RunnerState:         e.state,
			OwnInFlight:         e.ownInFlight,
			OwnInFlightAtReport: e.ownInFlightAtReport,
			TimeToFirstToken:    e.timeToFirstToken,
			Breaker:             e.breaker.State(now),
		})
	}
	slices.SortFunc(states, func(a, b endpointState) int { return strings.Compare(a.Runner, b.Runner) })
	return states
}
