package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/decay"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// othersWeight is the weight of one summary in the moving average of the requests of other VMs. A summary is older than
	// most plain requests last, so that one alone says little about the present.
	othersWeight = 0.2
	// nearlyEqual is the part of the best cost by which plain endpoints may cost more and still share the requests. VMs with
	// the same summaries otherwise all choose the same endpoint until the next ones.
	nearlyEqual = 0.5
	// maxNearlyEqual bounds that difference, so that an endpoint in another failure domain gets requests only if it is better.
	maxNearlyEqual = crossDomainPenalty * 9 / 10
	// maxRoomBackoff is the longest time for which an endpoint gets no request after it has turned several away in a row.
	maxRoomBackoff = 200 * time.Millisecond
	// serviceTimeHalfLife is the half-life of what the service time of an endpoint differs by from the usual one of its service.
	// An endpoint that seemed slow gets requests again, which show whether it still is.
	serviceTimeHalfLife = time.Second
	// defaultPlainTarget is the target latency of plain requests whose routes set none.
	defaultPlainTarget = time.Second
)

// PlainLoad is what this VM knows of the load on a plain endpoint that reports it in its answers.
type PlainLoad struct {
	// Slots is the number of requests that the endpoint serves at once, by its own count. Zero means that it reports no load.
	Slots int `json:"slots,omitempty"`
	// Others is the number of requests of other VMs that the endpoint had at At.
	Others float64   `json:"others,omitempty"`
	At     time.Time `json:"at,omitzero"`
	// Places is the number of requests that the endpoint had when it last turned one away, or zero.
	Places int `json:"places,omitempty"`
	// Refusals is the number of consecutive requests of this VM that the endpoint turned away, and FullUntil the end of the
	// backoff after the last.
	Refusals  int       `json:"refusals,omitempty"`
	FullUntil time.Time `json:"fullUntil,omitzero"`
	// OthersAverage is the moving average of the requests of other VMs, by the summaries.
	OthersAverage float64 `json:"othersAverage,omitempty"`
	// Service is the moving average of the time that the endpoint takes for a request, as of ServiceAt, or zero.
	Service   time.Duration `json:"serviceNs,omitempty"`
	ServiceAt time.Time     `json:"serviceAt,omitzero"`
}

// ReportedLoad is the load that an endpoint reports in an answer.
type ReportedLoad struct {
	Running, Waiting, Slots int
}

// recordOthers adds a summary to the moving average of the requests of other VMs.
func (p *PlainLoad) recordOthers(running int) {
	p.OthersAverage += othersWeight * (float64(running) - p.OthersAverage)
}

// RecordLoad records the load that a plain endpoint reports in its answer to a request that it ran.
func (s *Scheduler) RecordLoad(now time.Time, t *InFlight, load ReportedLoad) {
	l := s.endpoint(t.Runner)
	if t.model != "" || load.Slots <= 0 {
		return
	}
	p := &l.plain
	p.Slots, p.At, p.Refusals, p.FullUntil = load.Slots, now, 0, time.Time{}
	p.Others = max(0, float64(load.Running+load.Waiting-l.running))
	if p.Places > 0 {
		p.Places = max(p.Places, load.Running+load.Waiting)
	}
}

// RecordFull records that a plain endpoint that reports its load had no room for a request, before the request's
// outcome is recorded. It reports false if the endpoint reports no load, or one with room, or is brittle. The draw, from 0 to 1, makes VMs that were turned away together come back apart.
func (s *Scheduler) RecordFull(now time.Time, t *InFlight, load ReportedLoad, draw float64) bool {
	l := s.endpoint(t.Runner)
	p := &l.plain
	total := load.Running + load.Waiting
	if t.model != "" || l.brittle.PerSecond > 0 || p.Slots == 0 && load.Slots <= 0 || load.Slots > 0 && total < load.Slots {
		return false
	}
	if load.Slots > 0 {
		p.Slots, p.Places = load.Slots, total
	}
	total = max(total, p.Slots)
	p.Others, p.At = max(0, float64(total-l.running+1)), now
	p.Refusals++
	backoff := float64(l.serviceTime(now, s.usualService(t.service))) / float64(p.Slots) * math.Exp2(float64(min(p.Refusals, 8)))
	p.FullUntil = now.Add(min(maxRoomBackoff, time.Duration(backoff*(0.5+draw))))
	return true
}

// recordService adds a sample of the service time of a plain endpoint.
func (s *Scheduler) recordService(now time.Time, t *InFlight) {
	l, sample := s.endpoint(t.Runner), now.Sub(t.sentAt)
	usual := cmp.Or(s.serviceTimes[t.service], sample)
	s.serviceTimes[t.service] = usual + time.Duration(occupancyWeight/2*float64(sample-usual))
	before := l.serviceTime(now, usual)
	l.plain.Service, l.plain.ServiceAt = before+time.Duration(occupancyWeight*float64(sample-before)), now
}

// usualService returns the time that endpoints of a plain service take for a request, as far as it is known.
func (s *Scheduler) usualService(service string) time.Duration {
	return cmp.Or(s.serviceTimes[service], plainServiceTime)
}

// serviceTime returns the time that the endpoint takes for a plain request, if those of its service usually take a time.
func (l *endpointState) serviceTime(now time.Time, usual time.Duration) time.Duration {
	if l.plain.Service == 0 {
		return usual
	}
	differs := decay.After(float64(l.plain.Service-usual), now.Sub(l.plain.ServiceAt), serviceTimeHalfLife)
	return max(time.Millisecond, usual+time.Duration(differs))
}

// presentLoad estimates the number of requests that a plain endpoint has now. The requests of other VMs that an answer showed
// end within about the service time, so that the estimate returns to their average.
func (l *endpointState) presentLoad(now time.Time, service time.Duration) float64 {
	p := &l.plain
	current := math.Exp(-float64(now.Sub(p.At)) / float64(service))
	return float64(l.running) + p.OthersAverage + current*(p.Others-p.OthersAverage)
}

// room returns the number of requests that a plain endpoint may have so that one more is answered in time: its slots, and a
// queue as long as the target allows, but no more than it has turned requests away with.
func (l *endpointState) room(r *fleet.Request, service time.Duration) float64 {
	target := cmp.Or(r.TargetLatency, defaultPlainTarget)
	spare := max(0, float64(target)/float64(service)-1)
	room := math.Floor(float64(l.plain.Slots) * (1 + min(1, spare)))
	if l.plain.Places > 0 {
		room = min(room, float64(max(l.plain.Places, l.plain.Slots)))
	}
	return room
}

// predictPlain predicts for a plain endpoint that reports its load the time until it has room for a request, the time to its
// answer, and the part of the cost by which requests spread over equal endpoints. Only a fresh answer or refusal says that
// there is no room now: summaries are so old that all VMs would stop and start together.
func (l *endpointState) predictPlain(now time.Time, r *fleet.Request, service time.Duration) (roomWait, wait, spread time.Duration) {
	p, slots := &l.plain, float64(l.plain.Slots)
	perRequest := float64(service) / slots
	if excess := p.Others + float64(l.running) + 1 - l.room(r, service); excess > 0 {
		roomWait = time.Duration(excess*perRequest) - now.Sub(p.At)
	}
	roomWait = max(0, min(roomWait, service), p.FullUntil.Sub(now))
	load := l.presentLoad(now, service)
	queue := time.Duration(max(0, load+1-slots) * perRequest)
	return roomWait, roomWait + service + max(0, queue-roomWait), time.Duration(load * perRequest)
}

// anyReportsLoad reports whether one of the endpoints reports its load.
func (s *Scheduler) anyReportsLoad(runners []*fleet.Runner) bool {
	return slices.ContainsFunc(runners, func(r *fleet.Runner) bool { return s.endpoint(r.ID).plain.Slots > 0 })
}

// explore gives endpoints that have not told their load, at which no request has failed, the cost of the best ones. Otherwise
// what a service usually takes was never learned from them: at 15 ms a request, one of four equal runners got half of all.
func (s *Scheduler) explore(candidates []Candidate) {
	best := slices.MinFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
	for i := range candidates {
		c := &candidates[i]
		if s.endpoint(c.Runner.ID).plain.Slots == 0 && c.FailurePenalty == 0 && !c.Limited && c.CrossDomainPenalty == 0 {
			c.Cost = best.Cost
		}
	}
}

// awaitPeers lets a request wait for endpoints that are busy on average, as long as the backoff of another lasts that has just
// turned a request away. They are likely to be as full, and a refusal would use up another retry.
func (s *Scheduler) awaitPeers(now time.Time, candidates []Candidate) {
	backoff := time.Duration(0)
	for _, c := range candidates {
		if until := s.endpoint(c.Runner.ID).plain.FullUntil.Sub(now); until > 0 && (backoff == 0 || until < backoff) {
			backoff = until
		}
	}
	for i := range candidates {
		c := &candidates[i]
		l := s.endpoint(c.Runner.ID)
		busy := l.presentLoad(now, l.serviceTime(now, s.usualService(c.Runner.Service))) >= float64(l.plain.Slots)
		if more := backoff - c.RoomWait; more > 0 && l.plain.Slots > 0 && busy {
			c.RoomWait, c.Wait, c.Cost = backoff, c.Wait+more, c.Cost+more
		}
	}
}

// nearlyBest returns the candidates whose cost is nearly the lowest one. Of these it returns only
// those that have room first.
func nearlyBest(candidates []Candidate) []Candidate {
	best := slices.MinFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
	limit := best.Cost + min(maxNearlyEqual, time.Duration(nearlyEqual*float64(best.Wait)))
	near := slices.DeleteFunc(candidates, func(c Candidate) bool { return c.Cost > limit })
	first := slices.MinFunc(near, func(a, b Candidate) int { return cmp.Compare(a.RoomWait, b.RoomWait) }).RoomWait
	return slices.DeleteFunc(near, func(c Candidate) bool { return c.RoomWait > first })
}
