package dispatch

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaroute/zinniaroute/state/admission"
	"github.com/zinniaroute/zinniaroute/state/capacity"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// runningRequestDelay is the time that each running request adds to the time to first token of another request.
	runningRequestDelay = 400 * time.Microsecond
	// adapterLoadDelay is the time to load an adapter that is not loaded. The load itself takes 5 to 10 ms; the rest
	// is the cost of the order to the runner.
	adapterLoadDelay = 60 * time.Millisecond
	// permitDelay is the time to get a permit for a request to an endpoint that has named a limit.
	permitDelay = 5 * time.Millisecond
	// probeBonus is subtracted from the cost of an endpoint that has named a limit and has not answered for some time.
	probeBonus = 100 * time.Millisecond
	// crossDomainPenalty is the penalty for an endpoint in another failure domain: a round trip and the cost of the
	// traffic.
	crossDomainPenalty = 25 * time.Millisecond
	// certainFailurePenalty is the penalty, as time, for an endpoint at which every request fails.
	certainFailurePenalty = 4 * time.Second
	// plainServiceTime is the assumed service time of a request at a plain endpoint. Such endpoints take 30 to 60 ms.
	plainServiceTime = 50 * time.Millisecond
	// prefixCacheTTL is how long a runner is assumed to keep a prompt prefix in its cache after the prompt was sent.
	prefixCacheTTL = 20 * time.Second
	// capacityBackoff is the backoff after an endpoint declines a request for lack of capacity.
	capacityBackoff = 100 * time.Millisecond
	// timeoutBackoff is the first backoff after an endpoint was unreachable or did not begin to answer in time. It doubles
	// with each consecutive timeout, up to maxTimeoutBackoff.
	timeoutBackoff    = 250 * time.Millisecond
	maxTimeoutBackoff = 2 * time.Second
	// maxPrefixEntries is the number of prefix entries above which expired ones are deleted.
	maxPrefixEntries = 4096
	// outageWindow is the window within which two unreachable runners of a failure domain mark the domain as partitioned.
	// outageBackoff is the backoff for the domain after that.
	outageWindow  = time.Second
	outageBackoff = time.Second
	// minSlowdownSampleTokens is the smallest prefill, in tokens, whose time is a sample of a model's slowdown factor. The
	// time of a smaller one says little about it.
	minSlowdownSampleTokens = 1500
	// slowdownWeight is the weight of one sample in the moving average of a model's slowdown factor. minSlowdown and
	// maxSlowdown bound a sample.
	slowdownWeight = 0.1
	minSlowdown    = 0.1
	maxSlowdown    = 4
	// occupancyWeight is the weight of one sample in the moving average of the time for which a request takes a place.
	occupancyWeight = 0.2
	// adapterLoadBackoff is the backoff for requests whose adapter is not loaded on a runner, after the runner's owner
	// failed to load one.
	adapterLoadBackoff = 250 * time.Millisecond
)

// Scheduler chooses the endpoint for each request. It predicts the time to first byte on each endpoint from the
// requests that this VM sent and from the load that other VMs report.
type Scheduler struct {
	// domain is this VM's failure domain.
	domain string
	// members is the number of VMs that share the places of brittle endpoints.
	members int
	// endpoints holds the state of each endpoint, by runner ID.
	endpoints map[string]*endpointState
	// outages holds the failure domains with unreachable runners, by domain.
	outages map[string]domainOutage
	// logSlowdowns holds the logarithms of the slowdown factors, by model.
	logSlowdowns map[string]float64
	// serviceTimes holds the moving averages of the times that plain endpoints take for a request, by service.
	serviceTimes map[string]time.Duration
	// lastFirstByteAt is the time at which any endpoint last began an answer.
	lastFirstByteAt time.Time
	// prefixSentAt holds the time at which a prompt prefix was last sent to a runner.
	prefixSentAt map[prefixKey]time.Time
	// capacity holds what all VMs measured of the endpoints' speeds.
	capacity *capacity.Estimator
	// ignoreSpeeds means that choices take all endpoints for alike.
	ignoreSpeeds bool
}

type prefixKey struct {
	runner string
	prefix uint64
}

// NewScheduler returns a scheduler without load data for a VM in the failure domain.
func NewScheduler(domain string) *Scheduler {
	return &Scheduler{
		domain:       domain,
		members:      1,
		endpoints:    make(map[string]*endpointState),
		prefixSentAt: make(map[prefixKey]time.Time),
		logSlowdowns: make(map[string]float64),
		capacity:     capacity.NewEstimator(),
		serviceTimes: make(map[string]time.Duration),

		outages: make(map[string]domainOutage),
	}
}

func (s *Scheduler) endpoint(runner string) *endpointState {
	l := s.endpoints[runner]
	if l == nil {
		l = &endpointState{}
		s.endpoints[runner] = l
	}
	l.removed = false
	return l
}

// Choice is the endpoint chosen for a request.
type Choice struct {
	Runner *fleet.Runner
	// Wait is the predicted time to first byte.
	Wait time.Duration
	// PrefillUtilization is the fraction of the runner's time that prefill takes for requests that are not less urgent.
	PrefillUtilization float64 `json:"Duty"`
	// Backlog is the number of prompt tokens that all VMs have sent to the runner and that are prefilled before the request.
	Backlog int
	// PrefillTokens is the number of the request's prompt tokens that need prefill, because the runner has not cached
	// them.
	PrefillTokens int `json:"Unread"`
	// AdapterNotLoaded reports that the runner holds the model but not the requested adapter.
	AdapterNotLoaded bool `json:"Absent"`
	// Limited reports that the request needs a permit, because the runner has named a limit. PermitWait is the part of Wait
	// until the next permit.
	Limited    bool          `json:",omitempty"`
	PermitWait time.Duration `json:",omitempty"`
	// RoomWait is the part of Wait until a plain endpoint that reports its load is expected to have room for the request.
	RoomWait time.Duration `json:",omitempty"`
}

// Prediction returns the prediction for the request on the endpoint, as admission control needs it.
func (c Choice) Prediction() admission.Prediction {
	return admission.Prediction{
		Wait: c.Wait, PrefillUtilization: c.PrefillUtilization, PrefillTokens: c.PrefillTokens, Backlog: c.Backlog,
		PermitWait: c.PermitWait, RoomWait: c.RoomWait,
	}
}

// Choose returns one of the endpoints whose costs are nearly the lowest, or false when no endpoint can take the request. VMs with
// the same reports would all choose the lowest until the next reports. Draw is a uniform random number from [0, 1); at zero the
// endpoint with the lowest cost is chosen.
func (s *Scheduler) Choose(
	now time.Time, r *fleet.Request, runners []*fleet.Runner, excluded []string, draw float64,
) (Choice, bool) {
	return drawChoice(s.Contenders(now, r, runners, excluded), draw)
}

// drawChoice returns one of the candidates, or false when there are none.
func drawChoice(candidates []Candidate, draw float64) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	return candidates[min(len(candidates)-1, int(draw*float64(len(candidates))))].Choice, true
}

// Contenders returns the endpoints among which Choose draws, or none when no endpoint can take the request.
func (s *Scheduler) Contenders(now time.Time, r *fleet.Request, runners []*fleet.Runner, excluded []string) []Candidate {
	return s.contenders(now, r, runners, s.choices(now, r, runners, excluded))
}

// contenders returns the candidates of nearly the lowest cost.
func (s *Scheduler) contenders(now time.Time, r *fleet.Request, runners []*fleet.Runner, candidates []Candidate) []Candidate {
	switch {
	case len(candidates) == 0:
		return nil
	case r.Unit.Model == "" && s.anyReportsLoad(runners):
		s.explore(candidates)
		s.awaitPeers(now, candidates)
		return nearlyBest(candidates)
	default:
		return nearlyLowest(r, candidates)
	}
}

// predictWait predicts the time to first byte of a request on a runner that must prefill the given number of tokens.
func (s *Scheduler) predictWait(
	now time.Time, r *fleet.Request, runner *fleet.Runner, l *endpointState, speed capacity.Speed, prefillTokens int,
) time.Duration {
	running, ratio := l.running+l.others.Running, l.unexplainedRatio(now, r, speed)
	if r.Unit.Model == "" {
		waiting := max(0, running+1-max(1, runner.Slots))
		work := plainServiceTime + plainServiceTime*time.Duration(waiting)/time.Duration(max(1, runner.Slots))
		work = delayed(time.Duration(float64(work)*speed.Plain*speed.PlainLevel), speed.Busy)
		return time.Duration(float64(work)*ratio) + time.Duration(running)*time.Millisecond
	}
	decode := float64(fleet.DecodeStepTime+time.Duration(running)*runningRequestDelay) * speed.Decode
	own := float64(prefillTime(prefillTokens)) * s.Slowdown(r.Unit.Model)
	prefill := (float64(prefillTime(l.tokensAhead(priorityLevel(r.Priority)))) + own) * speed.Prefill
	return time.Duration(float64(delayed(time.Duration(decode+prefill), speed.Busy)) * ratio)
}

// prefillTime returns the prefill time of prompt tokens for a model with a slowdown factor of 1.
func prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Second / fleet.PrefillRate
}

// Slowdown returns the slowdown factor of a model: its prefill time divided by the time at the default prefill rate.
// Samples are requests that did not queue behind others.
func (s *Scheduler) Slowdown(model string) float64 {
	logSlowdown, ok := s.logSlowdowns[model]
	if !ok {
		return 1
	}
	return math.Exp(logSlowdown)
}

// recordSlowdown adds a sample of a model's slowdown factor, from a request that did not queue behind others.
func (s *Scheduler) recordSlowdown(model string, prefillTokens int, measured time.Duration, speed capacity.Speed) {
	ratio := float64(max(measured-fleet.DecodeStepTime, time.Millisecond)) / float64(prefillTime(prefillTokens))
	// What is known of the runner says nothing about the model.
	ratio /= speed.Prefill * speed.Busy
	ratio = math.Log(min(max(ratio, minSlowdown), maxSlowdown))
	before := s.logSlowdowns[model]
	s.logSlowdowns[model] = before + slowdownWeight*(ratio-before)
}

// prefillTokens returns the number of a request's prompt tokens that need prefill on a runner, given the hashes of its
// shared prefixes.
func (s *Scheduler) prefillTokens(now time.Time, r *fleet.Request, prefixes []uint64, runner string) int {
	cached := 0
	for i, prefix := range prefixes {
		if at, ok := s.prefixSentAt[prefixKey{runner, prefix}]; !ok || now.Sub(at) > prefixCacheTTL {
			break
		}
		cached += r.Parts[i].Tokens
	}
	return max(0, r.PromptTokens-cached)
}

// prefixHashes returns a hash for each prefix of the request's shared parts. The hash covers the unit, since a runner
// caches prefixes by model and adapter.
func prefixHashes(r *fleet.Request) []uint64 {
	if len(r.Parts) < 2 {
		return nil
	}
	hash := xxhash.Sum64String(r.Unit.String())
	all := make([]uint64, 0, len(r.Parts)-1)
	for _, part := range r.Parts[:len(r.Parts)-1] {
		hash = hashPair(hash, part.ID)
		all = append(all, hash)
	}
	return all
}

func hashPair(a, b uint64) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], a)
	binary.LittleEndian.PutUint64(data[8:], b)
	return xxhash.Sum64(data[:])
}

// homeRunner returns the runner on which all VMs expect the request's shared prefix to be cached, by rendezvous
// hashing. Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
func (s *Scheduler) homeRunner(r *fleet.Request, prefixes []uint64, runners []*fleet.Runner) string {
	key := xxhash.Sum64String(r.Unit.String())
	if len(prefixes) > 0 && r.Unit.Adapter == "" {
		key = prefixes[len(prefixes)-1]
	}
	best, bestWeight := "", uint64(0)
	for _, runner := range runners {
		if weight := hashPair(key, xxhash.Sum64String(runner.ID)); best == "" || weight > bestWeight {
			best, bestWeight = runner.ID, weight
		}
	}
	return best
}

// InFlight is a request that was sent to an endpoint and has no outcome yet.
type InFlight struct {
	Runner        string
	prefillTokens int
	priority      int
	// scaledTokens is the number of tokens to prefill, multiplied by the model's slowdown factor.
	scaledTokens int
	// unqueued reports that no prefill was pending on the runner when the request was sent.
	unqueued bool
	model    string
	service  string
	// domain is the runner's failure domain.
	domain string
	sentAt time.Time
	// predictedWait is the predicted time to first byte, without the runner's latency ratio.
	predictedWait time.Duration
	// incarnation is the runner's start, and slots the number of its places. running is the number of other requests in flight
	// there when the request was sent.
	incarnation int64
	slots       int
	running     int
	answering   bool
	ended       bool
}

// RecordSent records that this VM sends a request to the chosen endpoint.
func (s *Scheduler) RecordSent(now time.Time, r *fleet.Request, choice Choice) *InFlight {
	runner := choice.Runner.ID
	l := s.endpoint(runner)
	prefixes := prefixHashes(r)
	t := &InFlight{
		Runner: runner, prefillTokens: s.prefillTokens(now, r, prefixes, runner),
		priority: priorityLevel(r.Priority), sentAt: now,
		predictedWait: time.Duration(float64(choice.Wait) / l.unexplainedRatio(now, r, s.Speed(now, runner))),
		model:         r.Unit.Model, service: choice.Runner.Service, unqueued: l.backlog() == 0,
		incarnation: choice.Runner.Incarnation, slots: choice.Runner.Slots, running: l.running + l.others.Running,
	}
	t.scaledTokens = int(float64(t.prefillTokens) * s.Slowdown(t.model))
	t.domain = choice.Runner.Domain
	l.awaitingFirstByte = append(l.awaitingFirstByte, t)
	l.running++
	s.useTurn(now, choice.Runner)
	l.recordPrefill(now, t.priority, t.scaledTokens)
	l.pending[t.priority] += t.scaledTokens
	if len(s.prefixSentAt) > maxPrefixEntries {
		s.dropExpiredPrefixes(now)
	}
	for _, prefix := range prefixes {
		s.prefixSentAt[prefixKey{runner, prefix}] = now
	}
	return t
}

func (s *Scheduler) dropExpiredPrefixes(now time.Time) {
	for key, at := range s.prefixSentAt {
		if now.Sub(at) > prefixCacheTTL {
			delete(s.prefixSentAt, key)
		}
	}
}

// RecordFirstByte records that the first byte of the answer arrived.
func (s *Scheduler) RecordFirstByte(now time.Time, t *InFlight) {
	if t.answering || t.ended {
		return
	}
	t.answering = true
	l := s.endpoint(t.Runner)
	l.awaitingFirstByte = slices.DeleteFunc(l.awaitingFirstByte, func(w *InFlight) bool { return w == t })
	l.pending[t.priority] -= t.scaledTokens
	l.timeouts, l.lastFirstByteAt, s.lastFirstByteAt = 0, now, now
	l.returning = l.returning && now.Before(l.restUntil)
	l.brittle.Returning = l.brittle.Returning && now.Before(l.brittle.PausedUntil)
	l.recordLatency(now, now.Sub(t.sentAt), t.predictedWait)
	s.recordPrefillTime(now, t)
	if t.unqueued && t.prefillTokens >= minSlowdownSampleTokens {
		s.recordSlowdown(t.model, t.prefillTokens, now.Sub(t.sentAt), s.Speed(now, t.Runner))
	}
}

// RecordOutcome records the outcome of a request. Calls after the first have no effect.
func (s *Scheduler) RecordOutcome(now time.Time, t *InFlight, outcome Outcome) {
	if t.ended {
		return
	}
	l := s.endpoint(t.Runner)
	if !t.answering {
		l.pending[t.priority] -= t.scaledTokens
	}
	t.ended = true
	l.awaitingFirstByte = slices.DeleteFunc(l.awaitingFirstByte, func(w *InFlight) bool { return w == t })
	l.running--
	switch outcome {
	case Served:
		l.recordOutcome(now, false)
		l.recordOccupancy(now.Sub(t.sentAt))
		s.recordServiceTime(now, t)
		if t.model == "" {
			s.recordService(now, t)
		}
	case Failed:
		l.recordOutcome(now, true)
	case Declined:
		if l.plain.Slots == 0 {
			l.atCapacityUntil = now.Add(capacityBackoff)
		}
	case Cancelled:
		if !t.answering && t.overdue(now) && l.lastFirstByteAt.Before(t.sentAt) {
			l.recordTimeout(now)
		}
	}
}

// RecordUnreachable records that the connection to the endpoint failed.
func (s *Scheduler) RecordUnreachable(now time.Time, t *InFlight) {
	s.RecordOutcome(now, t, Cancelled)
	s.endpoint(t.Runner).recordTimeout(now)
	s.recordOutage(now, t)
}

// RecordAdapterLoadFailure records that the owner of a runner failed to load an adapter there.
func (s *Scheduler) RecordAdapterLoadFailure(now time.Time, runner string) {
	s.endpoint(runner).adapterBackoffUntil = now.Add(adapterLoadBackoff)
}

// SetLimit records whether and when requests get a permit for an endpoint.
func (s *Scheduler) SetLimit(runner string, limit Limit) { s.endpoint(runner).limit = limit }

// domainOutage holds the last unreachable runner of a failure domain and the end of the domain's backoff.
type domainOutage struct {
	runner string
	at     time.Time
	until  time.Time
}

// recordOutage starts the backoff for another failure domain when two of its runners are unreachable within
// outageWindow: the domain is partitioned from this VM.
func (s *Scheduler) recordOutage(now time.Time, t *InFlight) {
	if t.domain == s.domain {
		return
	}
	o := s.outages[t.domain]
	if o.runner != "" && o.runner != t.Runner && now.Sub(o.at) < outageWindow {
		o.until = now.Add(outageBackoff)
	}
	o.runner, o.at = t.Runner, now
	s.outages[t.domain] = o
}

func (s *Scheduler) isPartitioned(now time.Time, domain string) bool {
	return domain != s.domain && now.Before(s.outages[domain].until)
}

// SetOtherLoad replaces the load that the other VMs report for an endpoint, in answer to a report that was sent at reportedAt.
// Tokens that the endpoint's owner has told after that are kept.
func (s *Scheduler) SetOtherLoad(reportedAt time.Time, runner string, load EndpointLoad) {
	l := s.endpoint(runner)
	l.reportedPending = load.PendingPrefillTokens
	if l.observedAt.After(reportedAt) {
		load.PendingPrefillTokens = l.others.PendingPrefillTokens
	}
	l.others = load
	l.plain.recordOthers(load.Running)
}

// EndpointLoads returns the load that this VM causes on each endpoint, by runner ID.
func (s *Scheduler) EndpointLoads(now time.Time) map[string]EndpointLoad {
	loads := make(map[string]EndpointLoad)
	for id, l := range s.endpoints {
		load := EndpointLoad{Running: l.running, PendingPrefillTokens: l.pending}
		for i, rate := range l.prefillRates(now) {
			load.PrefillRate += rate
			load.PrefillRates[i] = int(rate)
		}
		if load.Running > 0 || load.PrefillRate > 1 {
			loads[id] = load
		}
	}
	return loads
}

// Silent reports whether an answer has been awaited for a time in which none has begun at any endpoint.
func (s *Scheduler) Silent(now time.Time, duration time.Duration) bool {
	if now.Sub(s.lastFirstByteAt) < duration {
		return false
	}
	for _, l := range s.endpoints {
		if slices.ContainsFunc(l.awaitingFirstByte, func(t *InFlight) bool { return now.Sub(t.sentAt) >= duration }) {
			return true
		}
	}
	return false
}

// Remove deletes the state of a removed endpoint, unless requests to it are still running. Of an endpoint that rests it keeps the
// rest until that is over: the endpoint may be listed again, and may run on meanwhile.
func (s *Scheduler) Remove(now time.Time, runner string) {
	for id, l := range s.endpoints {
		if l.removed && !now.Before(l.restUntil) {
			delete(s.endpoints, id)
		}
	}
	l := s.endpoints[runner]
	if l == nil || l.running > 0 {
		return
	}
	delete(s.endpoints, runner)
	s.capacity.Remove(runner)
	if now.Before(l.restUntil) {
		s.endpoints[runner] = &endpointState{
			restUntil: l.restUntil, returning: l.returning, restAskedAt: l.restAskedAt, removed: true,
		}
	}
}
