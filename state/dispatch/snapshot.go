package dispatch

import (
	"maps"
	"time"

	"github.com/zinniaroute/zinniaroute/state/capacity"
	"github.com/zinniaroute/zinniaroute/state/decay"
)

// Snapshot is the state of a scheduler, from which its choices can be repeated. It leaves out which prompt prefixes
// each runner has cached, so a restored scheduler expects a prefix only on its home runner.
type Snapshot struct {
	Domain string    `json:"domain"`
	At     time.Time `json:"at"`
	// Endpoints holds the state of each endpoint, by runner ID.
	Endpoints map[string]EndpointSnapshot `json:"loads"`
	// DomainOutages holds the failure domains with unreachable runners, by domain.
	DomainOutages map[string]DomainOutageSnapshot `json:"silences,omitempty"`
	// Members is the number of VMs that share the places of brittle endpoints.
	Members int `json:"members,omitempty"`
	// LogSlowdowns holds the logarithms of the slowdown factors, by model.
	LogSlowdowns map[string]float64 `json:"paces,omitempty"`
	// Capacities holds what is known of the endpoints' speeds, by runner ID.
	Capacities map[string]capacity.State `json:"capacities,omitempty"`
	// ServiceTimes holds the times that plain endpoints take for a request, by service.
	ServiceTimes map[string]time.Duration `json:"serviceNs,omitempty"`
	// IgnoresSpeeds means that choices take all endpoints for alike.
	IgnoresSpeeds bool `json:"ignoresSpeeds,omitempty"`
}

// EndpointSnapshot is the state of an endpoint. Averages and decayed sums are as of the time of the snapshot.
type EndpointSnapshot struct {
	Running int                 `json:"running"`
	Pending [priorityLevels]int `json:"pending"`
	Others  EndpointLoad        `json:"others"`
	// PrefillSums holds the prompt tokens that were sent for prefill, by priority level.
	PrefillSums         [priorityLevels]float64 `json:"readTokensByLevel"`
	FailureRate         float64                 `json:"failures"`
	LogLatencyRatio     float64                 `json:"slowness"`
	AtCapacityUntil     time.Time               `json:"fullUntil,omitzero"`
	BackoffUntil        time.Time               `json:"silentUntil,omitzero"`
	Timeouts            int                     `json:"misses,omitempty"`
	LastFirstByteAt     time.Time               `json:"began,omitzero"`
	AdapterBackoffUntil time.Time               `json:"unorderedUntil,omitzero"`
	Limit               Limit                   `json:"limit,omitzero"`
	Brittle             Brittle                 `json:"brittle,omitzero"`
	Failure             Failure                 `json:"failure,omitzero"`
	OthersFailure       Failure                 `json:"othersFailure,omitzero"`
	Plain               PlainLoad               `json:"plain,omitzero"`
	Occupancy           time.Duration           `json:"occupancyNs,omitempty"`
	RestUntil           time.Time               `json:"restUntil,omitzero"`
	Returning           bool                    `json:"returning,omitempty"`
	RestAskedAt         time.Time               `json:"restAskedAt,omitzero"`
	AwaitingFirstByte   []InFlightSnapshot      `json:"waiting,omitempty"`
}

// InFlightSnapshot is a request in flight whose answer has not begun.
type InFlightSnapshot struct {
	SentAt        time.Time     `json:"sent"`
	PredictedWait time.Duration `json:"waitNs"`
}

// DomainOutageSnapshot is a failure domain with an unreachable runner.
type DomainOutageSnapshot struct {
	Runner string    `json:"runner"`
	At     time.Time `json:"at"`
	Until  time.Time `json:"until,omitzero"`
}

// Snapshot returns the state of the scheduler as of now.
func (s *Scheduler) Snapshot(now time.Time) Snapshot {
	saved := Snapshot{
		Domain: s.domain, At: now, Members: s.members, Endpoints: make(map[string]EndpointSnapshot, len(s.endpoints)),
		DomainOutages: make(map[string]DomainOutageSnapshot, len(s.outages)), LogSlowdowns: maps.Clone(s.logSlowdowns),
		Capacities:   s.capacity.States(now),
		ServiceTimes: maps.Clone(s.serviceTimes), IgnoresSpeeds: s.ignoreSpeeds,
	}
	for id, l := range s.endpoints {
		saved.Endpoints[id] = l.snapshot(now)
	}
	for domain, outage := range s.outages {
		saved.DomainOutages[domain] = DomainOutageSnapshot{Runner: outage.runner, At: outage.at, Until: outage.until}
	}
	return saved
}

func (l *endpointState) snapshot(now time.Time) EndpointSnapshot {
	s := EndpointSnapshot{
		Running: l.running, Pending: l.pending, Others: l.others,
		PrefillSums:     l.decayedPrefill(now),
		FailureRate:     l.failureRate(now),
		LogLatencyRatio: decay.After(l.logLatencyRatio, now.Sub(l.logLatencyRatioAt), latencyRatioHalfLife),
		AtCapacityUntil: l.atCapacityUntil, BackoffUntil: l.backoffUntil, Timeouts: l.timeouts,
		LastFirstByteAt: l.lastFirstByteAt, AdapterBackoffUntil: l.adapterBackoffUntil,
		Limit: l.limit, Brittle: l.brittle, Plain: l.plain, Failure: l.failure, OthersFailure: l.othersFailure, Occupancy: l.occupancy, RestUntil: l.restUntil, Returning: l.returning,
		RestAskedAt: l.restAskedAt,
	}
	for _, t := range l.awaitingFirstByte {
		s.AwaitingFirstByte = append(s.AwaitingFirstByte, InFlightSnapshot{SentAt: t.sentAt, PredictedWait: t.predictedWait})
	}
	return s
}

// Restore returns a scheduler with the state of a snapshot.
func Restore(snapshot Snapshot) *Scheduler {
	s := NewScheduler(snapshot.Domain)
	s.SetMembers(snapshot.Members)
	maps.Copy(s.logSlowdowns, snapshot.LogSlowdowns)
	s.capacity = capacity.Restore(snapshot.At, snapshot.Capacities)
	maps.Copy(s.serviceTimes, snapshot.ServiceTimes)
	s.ignoreSpeeds = snapshot.IgnoresSpeeds
	for id, state := range snapshot.Endpoints {
		s.endpoints[id] = state.restore(snapshot.At)
	}
	for domain, state := range snapshot.DomainOutages {
		s.outages[domain] = domainOutage{runner: state.Runner, at: state.At, until: state.Until}
	}
	return s
}

func (s EndpointSnapshot) restore(at time.Time) *endpointState {
	l := &endpointState{
		running: s.Running, pending: s.Pending, others: s.Others, prefillSums: s.PrefillSums, prefillSumAt: at,
		failureAverage: s.FailureRate, failureAverageAt: at, logLatencyRatio: s.LogLatencyRatio, logLatencyRatioAt: at,
		atCapacityUntil: s.AtCapacityUntil, backoffUntil: s.BackoffUntil, timeouts: s.Timeouts,
		lastFirstByteAt: s.LastFirstByteAt, adapterBackoffUntil: s.AdapterBackoffUntil,
		limit: s.Limit, brittle: s.Brittle, plain: s.Plain, failure: s.Failure, othersFailure: s.OthersFailure, occupancy: s.Occupancy, restUntil: s.RestUntil, returning: s.Returning,
		restAskedAt: s.RestAskedAt,
	}
	for _, t := range s.AwaitingFirstByte {
		l.awaitingFirstByte = append(l.awaitingFirstByte, &InFlight{sentAt: t.SentAt, predictedWait: t.PredictedWait})
	}
	return l
}
