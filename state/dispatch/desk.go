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
	// runningCost is what each running request adds to the time to the first token of another.
	runningCost = 400 * time.Microsecond
	// adapterCost is the time of an order and of the load of an absent adapter; source: the sheets (5 to 10 ms), and
	// the price of an order.
	adapterCost = 60 * time.Millisecond
	// crossDomain is the cost of leaving the failure domain: a round trip and the price of the bytes.
	crossDomain = 25 * time.Millisecond
	// failureCost is what a certain failure weighs as time.
	failureCost = 4 * time.Second
	// plainWork is the time that a plain endpoint is assumed to work on a request; source: the sheets (30 to 60 ms).
	plainWork = 50 * time.Millisecond
	// cacheMemory is the time for which a sent prompt is taken to be kept by its runner.
	cacheMemory = 20 * time.Second
	// fullPause is how long an endpoint without room is left alone.
	fullPause = 100 * time.Millisecond
	// silentPause is how long an endpoint that was not reached, or did not begin to answer, is left alone, doubled with
	// each miss up to silentMax.
	silentPause = 250 * time.Millisecond
	silentMax   = 2 * time.Second
	maxCached   = 4096
	// cutWindow is the time within which two runners of a failure domain that are not reached show that it is cut off, and
	// cutPause the time for which it is then avoided.
	cutWindow = time.Second
	cutPause  = time.Second
	// leastPaceTokens is the size of a prompt from which its time shows the pace of its model.
	leastPaceTokens = 1500
	// paceWeight is the weight of one measurement in a model's pace, and leastPace and mostPace bound it.
	paceWeight = 0.1
	leastPace  = 0.1
	mostPace   = 4
	// unorderedPause is how long a runner is not asked for absent adapters after its owner could not help.
	unorderedPause = 250 * time.Millisecond
)

// Desk predicts the time at which endpoints begin to answer, from this VM's own sends and what others tell.
type Desk struct {
	domain string
	loads  map[string]*load
	// silences are the failure domains whose runners were not reached.
	silences map[string]silence
	// paces are the logarithms of the measured paces of models.
	paces map[string]float64
	// cached is when a chain of parts was last sent to a runner.
	cached map[chainKey]time.Time
}

type chainKey struct {
	runner string
	chain  uint64
}

// NewDesk returns the desk of a VM in a failure domain.
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
	// Wait is the predicted time to the first byte.
	Wait time.Duration
	// Duty is the part of the runner's time that reading prompts uses up.
	Duty float64
	// Backlog is the number of prompt tokens that the runner has been sent and has not read.
	Backlog int
	// Unread is the number of the request's prompt tokens that the runner must read.
	Unread int
	// Absent tells that the runner holds the model but not the adapter that is asked for.
	Absent bool
}

// Prospect returns what is predicted for the request on the endpoint.
func (c Choice) Prospect() admission.Prospect {
	return admission.Prospect{Wait: c.Wait, Duty: c.Duty, Unread: c.Unread, Backlog: c.Backlog}
}

// Choose returns the endpoint that begins to answer first, or false when none can.
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

// wait predicts the time to the first byte of a request on a runner that must read some of its prompt.
func (d *Desk) wait(now time.Time, r *fleet.Request, runner *fleet.Runner, l *load, unread int) time.Duration {
	running := l.running + l.others.Running
	if r.Unit.Model == "" {
		waiting := max(0, running+1-max(1, runner.Slots))
		work := plainWork + plainWork*time.Duration(waiting)/time.Duration(max(1, runner.Slots))
		return time.Duration(float64(work)*l.slow(now)) + time.Duration(running)*time.Millisecond
	}
	wait := fleet.DecodeStepTime + reading(l.ahead(rankOf(r.Priority))) + time.Duration(running)*runningCost
	own := float64(reading(unread)) * d.Pace(r.Unit.Model)
	return time.Duration((float64(wait) + own) * l.slow(now))
}

// reading returns the time in which a runner reads prompt tokens for a model of the usual pace.
func reading(tokens int) time.Duration {
	return time.Duration(tokens) * time.Second / fleet.PrefillRate
}

// Pace returns how many times longer than usual a model takes, as measured on prompts that nothing was ahead of.
func (d *Desk) Pace(model string) float64 {
	pace, ok := d.paces[model]
	if !ok {
		return 1
	}
	return math.Exp(pace)
}

// measurePace takes in the time that a runner took for a prompt that nothing was ahead of.
func (d *Desk) measurePace(model string, unread int, measured time.Duration) {
	ratio := float64(max(measured-fleet.DecodeStepTime, time.Millisecond)) / float64(reading(unread))
	ratio = math.Log(min(max(ratio, leastPace), mostPace))
	before := d.paces[model]
	d.paces[model] = before + paceWeight*(ratio-before)
}

// unread returns the prompt tokens of a request, with the chains of its shared parts, that a runner is thought not to
// keep.
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

// chains returns a hash for each prefix of the shared parts, which a runner keeps by model and adapter.
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

// home returns the runner on which all VMs expect a request's shared parts, by rendezvous hashing.
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

// Ticket is a request that was sent to an endpoint.
type Ticket struct {
	Runner string
	unread int
	rank   int
	// work is the unread tokens at the model's pace, and clean tells that nothing was ahead of them.
	work  int
	clean bool
	model string
	// domain is the runner's failure domain.
	domain string
	sent   time.Time
	// wait is the predicted time to the first byte, without the runner's slowness.
	wait    time.Duration
	begun   bool
	stopped bool
}

// Sent notes that a request goes to a runner.
func (d *Desk) Sent(now time.Time, r *fleet.Request, choice Choice) *Ticket {
	runner := choice.Runner.ID
	l := d.load(runner)
	parts := chains(r)
	t := &Ticket{
		Runner: runner, unread: d.unread(now, r, parts, runner), rank: rankOf(r.Priority), sent: now,
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

// Began notes that an answer's first byte has come.
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

// Ended notes what became of a request.
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

// Unreached notes that no connection to an endpoint could be had.
func (d *Desk) Unreached(now time.Time, t *Ticket) {
	d.Ended(now, t, Dropped)
	d.load(t.Runner).noteSilent(now)
	d.noteSilent(now, t)
}

// Unordered notes that the owner of a runner could not have an adapter loaded there.
func (d *Desk) Unordered(now time.Time, runner string) {
	d.load(runner).unorderedUntil = now.Add(unorderedPause)
}

// silence is the last runner of a failure domain that was not reached, and until when the domain is avoided.
type silence struct {
	runner string
	at     time.Time
	until  time.Time
}

// noteSilent avoids another failure domain for a while once two of its runners were not reached: it is cut off.
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

// SetOthers takes in what the other VMs have sent to an endpoint.
func (d *Desk) SetOthers(runner string, share Share) { d.load(runner).others = share }

// Shares returns what this VM has sent to each endpoint and not seen finished.
func (d *Desk) Shares(now time.Time) map[string]Share {
	shares := make(map[string]Share)
	for id, l := range d.loads {
		if reading := l.reading(now); l.running > 0 || reading > 1 {
			shares[id] = Share{Running: l.running, Pending: l.pending, Reading: reading}
		}
	}
	return shares
}

// Drop forgets an endpoint that is gone.
func (d *Desk) Drop(runner string) {
	if l := d.loads[runner]; l != nil && l.running == 0 {
		delete(d.loads, runner)
	}
}
