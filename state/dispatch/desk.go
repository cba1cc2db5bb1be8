package dispatch

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaroute/zinniaroute/state/admission"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// runningCost is the time that each running request adds to the time to first token of another request.
	runningCost = 400 * time.Microsecond
	// adapterCost is the time to load an adapter that is not loaded. The load itself takes 5 to 10 ms; the rest
	// is the cost of the order to the runner.
	adapterCost = 60 * time.Millisecond
	// crossDomain is the penalty for an endpoint in another failure domain: a round trip and the cost of the traffic.
	crossDomain = 25 * time.Millisecond
	// failureCost is the penalty, as time, for an endpoint at which every request fails.
	failureCost = 4 * time.Second
	// plainWork is the assumed service time of a request at a plain endpoint. Such endpoints take 30 to 60 ms.
	plainWork = 50 * time.Millisecond
	// cacheMemory is how long a runner is assumed to keep a prompt prefix in its cache after the prompt was sent.
	cacheMemory = 20 * time.Second
	// fullPause is the backoff after an endpoint declines a request for lack of capacity.
	fullPause = 100 * time.Millisecond
	// silentPause is the first backoff after an endpoint was unreachable or did not begin to answer in time. It doubles
	// with each consecutive timeout, up to silentMax.
	silentPause = 250 * time.Millisecond
	silentMax   = 2 * time.Second
	// maxCached is the number of prefix entries above which expired ones are deleted.
	maxCached = 4096
	// cutWindow is the window within which two unreachable runners of a failure domain mark the domain as partitioned.
	// cutPause is the backoff for the domain after that.
	cutWindow = time.Second
	cutPause  = time.Second
	// leastPaceTokens is the smallest prefill, in tokens, whose time is a sample of a model's slowdown factor. The time of
	// a smaller one says little about it.
	leastPaceTokens = 1500
	// paceWeight is the weight of one sample in the moving average of a model's slowdown factor. leastPace and mostPace
	// bound a sample.
	paceWeight = 0.1
	leastPace  = 0.1
	mostPace   = 4
	// unorderedPause is the backoff for requests whose adapter is not loaded on a runner, after the runner's owner
	// failed to load one.
	unorderedPause = 250 * time.Millisecond
)

// Desk chooses the endpoint for each request. It predicts the time to first byte on each endpoint from the requests
// that this VM sent and from the load that other VMs report.
type Desk struct {
	domain string
	loads  map[string]*load
	// silences holds the failure domains with unreachable runners, by domain.
	silences map[string]silence
	// paces holds the logarithms of the slowdown factors, by model.
	paces map[string]float64
	// cached holds the time at which a prompt prefix was last sent to a runner.
	cached map[chainKey]time.Time
}

type chainKey struct {
	runner string
	chain  uint64
}

// NewDesk returns a scheduler without load data for a VM in the failure domain.
func NewDesk(domain string) *Desk {
	return &Desk{
		domain: domain,
		loads:  make(map[string]*load),
		cached: make(map[chainKey]time.Time),
		paces:  make(map[string]float64),

		silences: make(map[string]silence),
	}
}

func (d *Desk) load(runner string) *load {
	l := d.loads[runner]
	if l == nil {
		l = &load{}
		d.loads[runner] = l
	}
	return l
}

// Choice is the endpoint chosen for a request.
type Choice struct {
	Runner *fleet.Runner
	// Wait is the predicted time to first byte.
	Wait time.Duration
	// Duty is the fraction of the runner's time that prefill takes.
	Duty float64
	// Backlog is the number of prompt tokens that all VMs have sent to the runner and that await prefill.
	Backlog int
	// Unread is the number of the request's prompt tokens that need prefill, because the runner has not cached them.
	Unread int
	// Absent reports that the runner holds the model but not the requested adapter.
	Absent bool
}

// Prospect returns the prediction for the request on the endpoint, as admission control needs it.
func (c Choice) Prospect() admission.Prospect {
	return admission.Prospect{Wait: c.Wait, Duty: c.Duty, Unread: c.Unread, Backlog: c.Backlog}
}

// Choose returns the endpoint with the lowest cost, or false when no endpoint can take the request.
func (d *Desk) Choose(now time.Time, r *fleet.Request, runners []*fleet.Runner, excluded []string) (Choice, bool) {
	usable := d.usable(now, r, runners, excluded)
	scale := d.scale(now, r, usable)
	var best Weighed
	for i, runner := range usable {
		if w := d.weigh(now, r, runner, scale); i == 0 || w.Cost < best.Cost {
			best = w
		}
	}
	return best.Choice, best.Runner != nil
}

// wait predicts the time to first byte of a request on a runner that must prefill the given number of tokens.
func (d *Desk) wait(now time.Time, r *fleet.Request, runner *fleet.Runner, l *load, unread int) time.Duration {
	running := l.running + l.others.Running
	if r.Unit.Model == "" {
		waiting := max(0, running+1-max(1, runner.Slots))
		work := plainWork + plainWork*time.Duration(waiting)/time.Duration(max(1, runner.Slots))
		return time.Duration(float64(work)*l.slow(now)) + time.Duration(running)*time.Millisecond
	}
	wait := fleet.StepTime + reading(l.ahead(rankOf(r.Rank))) + time.Duration(running)*runningCost
	own := float64(reading(unread)) * d.Pace(r.Unit.Model)
	return time.Duration((float64(wait) + own) * l.slow(now))
}

// reading returns the prefill time of prompt tokens for a model with a slowdown factor of 1.
func reading(tokens int) time.Duration { return time.Duration(tokens) * time.Second / fleet.ReadRate }

// Pace returns the slowdown factor of a model: its prefill time divided by the time at the default prefill rate.
// Samples are requests that did not queue behind others.
func (d *Desk) Pace(model string) float64 {
	pace, ok := d.paces[model]
	if !ok {
		return 1
	}
	return math.Exp(pace)
}

// measurePace adds a sample of a model's slowdown factor, from a request that did not queue behind others.
func (d *Desk) measurePace(model string, unread int, measured time.Duration) {
	ratio := float64(max(measured-fleet.StepTime, time.Millisecond)) / float64(reading(unread))
	ratio = math.Log(min(max(ratio, leastPace), mostPace))
	before := d.paces[model]
	d.paces[model] = before + paceWeight*(ratio-before)
}

// unread returns the number of a request's prompt tokens that need prefill on a runner, given the hashes of its shared
// prefixes.
func (d *Desk) unread(now time.Time, r *fleet.Request, chains []uint64, runner string) int {
	kept := 0
	for i, chain := range chains {
		if at, ok := d.cached[chainKey{runner, chain}]; !ok || now.Sub(at) > cacheMemory {
			break
		}
		kept += r.Parts[i].Tokens
	}
	return max(0, r.PromptTokens-kept)
}

// chains returns a hash for each prefix of the request's shared parts. The hash covers the unit, since a runner caches
// prefixes by model and adapter.
func chains(r *fleet.Request) []uint64 {
	if len(r.Parts) < 2 {
		return nil
	}
	hash := xxhash.Sum64String(r.Unit.String())
	all := make([]uint64, 0, len(r.Parts)-1)
	for _, part := range r.Parts[:len(r.Parts)-1] {
		hash = mix(hash, part.ID)
		all = append(all, hash)
	}
	return all
}

func mix(a, b uint64) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], a)
	binary.LittleEndian.PutUint64(data[8:], b)
	return xxhash.Sum64(data[:])
}

// home returns the runner on which all VMs expect the request's shared prefix to be cached, by rendezvous hashing.
// Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
func (d *Desk) home(r *fleet.Request, chains []uint64, runners []*fleet.Runner) string {
	key := xxhash.Sum64String(r.Unit.String())
	if len(chains) > 0 && r.Unit.Adapter == "" {
		key = chains[len(chains)-1]
	}
	best, bestWeight := "", uint64(0)
	for _, runner := range runners {
		if weight := mix(key, xxhash.Sum64String(runner.ID)); best == "" || weight > bestWeight {
			best, bestWeight = runner.ID, weight
		}
	}
	return best
}

// Ticket is a request that was sent to an endpoint and has no outcome yet.
type Ticket struct {
	Runner string
	unread int
	rank   int
	// work is the number of tokens to prefill, multiplied by the model's slowdown factor.
	work int
	// clean reports that no prefill was pending on the runner when the request was sent.
	clean bool
	model string
	// domain is the runner's failure domain.
	domain string
	sent   time.Time
	// wait is the predicted time to first byte, without the runner's latency ratio.
	wait    time.Duration
	begun   bool
	stopped bool
}

// Sent records that this VM sends a request to the chosen endpoint.
func (d *Desk) Sent(now time.Time, r *fleet.Request, choice Choice) *Ticket {
	runner := choice.Runner.ID
	l := d.load(runner)
	parts := chains(r)
	t := &Ticket{
		Runner: runner, unread: d.unread(now, r, parts, runner), rank: rankOf(r.Rank), sent: now,
		wait:  time.Duration(float64(choice.Wait) / l.slow(now)),
		model: r.Unit.Model, clean: l.backlog() == 0,
	}
	t.work = int(float64(t.unread) * d.Pace(t.model))
	t.domain = choice.Runner.Domain
	l.waiting = append(l.waiting, t)
	l.running++
	l.addRead(now, t.work)
	l.pending[t.rank] += t.work
	if len(d.cached) > maxCached {
		d.forget(now)
	}
	for _, chain := range parts {
		d.cached[chainKey{runner, chain}] = now
	}
	return t
}

func (d *Desk) forget(now time.Time) {
	for key, at := range d.cached {
		if now.Sub(at) > cacheMemory {
			delete(d.cached, key)
		}
	}
}

// Began records that the first byte of the answer arrived.
func (d *Desk) Began(now time.Time, t *Ticket) {
	if t.begun || t.stopped {
		return
	}
	t.begun = true
	l := d.load(t.Runner)
	l.waiting = slices.DeleteFunc(l.waiting, func(w *Ticket) bool { return w == t })
	l.pending[t.rank] -= t.work
	l.misses, l.began = 0, now
	l.measure(now, now.Sub(t.sent), t.wait)
	if t.clean && t.unread >= leastPaceTokens {
		d.measurePace(t.model, t.unread, now.Sub(t.sent))
	}
}

// Ended records the outcome of a request. Calls after the first have no effect.
func (d *Desk) Ended(now time.Time, t *Ticket, outcome Outcome) {
	if t.stopped {
		return
	}
	l := d.load(t.Runner)
	if !t.begun {
		l.pending[t.rank] -= t.work
	}
	t.stopped = true
	l.waiting = slices.DeleteFunc(l.waiting, func(w *Ticket) bool { return w == t })
	l.running--
	switch outcome {
	case Served:
		l.note(now, false)
	case Failed:
		l.note(now, true)
	case Declined:
		l.fullUntil = now.Add(fullPause)
	case Dropped:
		if !t.begun && t.overdue(now) && l.began.Before(t.sent) {
			l.noteSilent(now)
		}
	}
}

// Unreached records that the connection to the endpoint failed.
func (d *Desk) Unreached(now time.Time, t *Ticket) {
	d.Ended(now, t, Dropped)
	d.load(t.Runner).noteSilent(now)
	d.noteSilent(now, t)
}

// Unordered records that the owner of a runner failed to load an adapter there.
func (d *Desk) Unordered(now time.Time, runner string) {
	d.load(runner).unorderedUntil = now.Add(unorderedPause)
}

// silence holds the last unreachable runner of a failure domain and the end of the domain's backoff.
type silence struct {
	runner string
	at     time.Time
	until  time.Time
}

// noteSilent starts the backoff for another failure domain when two of its runners are unreachable within cutWindow:
// the domain is partitioned from this VM.
func (d *Desk) noteSilent(now time.Time, t *Ticket) {
	if t.domain == d.domain {
		return
	}
	s := d.silences[t.domain]
	if s.runner != "" && s.runner != t.Runner && now.Sub(s.at) < cutWindow {
		s.until = now.Add(cutPause)
	}
	s.runner, s.at = t.Runner, now
	d.silences[t.domain] = s
}

func (d *Desk) cutOff(now time.Time, domain string) bool {
	return domain != d.domain && now.Before(d.silences[domain].until)
}

// SetOthers replaces the load that the other VMs report for an endpoint.
func (d *Desk) SetOthers(runner string, share Share) { d.load(runner).others = share }

// Shares returns the load that this VM causes on each endpoint, by endpoint.
func (d *Desk) Shares(now time.Time) map[string]Share {
	shares := make(map[string]Share)
	for id, l := range d.loads {
		if reading := l.reading(now); l.running > 0 || reading > 1 {
			shares[id] = Share{Running: l.running, Pending: l.pending, Reading: reading}
		}
	}
	return shares
}

// Drop deletes the state of a removed endpoint, unless requests to it are still running.
func (d *Desk) Drop(runner string) {
	if l := d.loads[runner]; l != nil && l.running == 0 {
		delete(d.loads, runner)
	}
}
