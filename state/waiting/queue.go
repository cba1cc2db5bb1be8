package waiting

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/decay"
)

const (
	// shareHalfLife is the half-life of the tokens that count as served for a workspace.
	shareHalfLife = 10 * time.Second
	// drainHalfLife is the half-life of the number of requests that left the queue for an endpoint.
	drainHalfLife = 2 * time.Second
	// patientPart is the part of the time until a request is late for which more urgent requests come before it. A class that
	// has used it up is old.
	patientPart = 0.75
	// oldShare is the number of requests of which one is old, if there are old ones: no class and no workspace is served less
	// than a quarter as often as all requests.
	oldShare = 4
	// maxTurnTime is the time after which a turn that was not passed on counts as lost. A decision takes much less, but on a busy
	// VM 50 ms did not suffice.
	maxTurnTime = 250 * time.Millisecond
	// minDrainRate keeps the expected wait of a queue that hardly moves within a few seconds.
	minDrainRate = 1.0
	// maxDeferrals is the number of requests of a group that wait on in a pass before it leaves out the others, which are likely
	// to find no room either. Hundreds may wait for a model that is being loaded, on a VM with a fifth of a core.
	maxDeferrals = 4
)

// Group is the endpoints that requests compete for.
type Group struct{ Service, Model string }

// Entry is a request that waits. The caller sets the exported fields, which must not change while it is in the queue.
type Entry struct {
	Group Group
	// Priority is the rank of the request, 0 for the most urgent, and Workspace the caller's workspace, or "".
	Priority  int
	Workspace string
	ArrivedAt time.Time
	// LateAt is when the request becomes late.
	LateAt time.Time
	// Bytes is the size of its body.
	Bytes int
	// Turn gives the request its turn. It must not block.
	Turn func()

	sequence uint64
	evicted  bool
	// share is what the workspace was served, as of the last weighing.
	share float64
	// ready means that the request found room but had to wait for its turn.
	ready bool
}

// Evicted reports whether the entry had to leave a queue that was full.
func (e *Entry) Evicted() bool { return e.evicted }

// Limits bounds a queue by the number of requests and by the bytes of their bodies.
type Limits struct{ Requests, Bytes int }

// share is the decayed number of tokens that a workspace was served, as of at.
type share struct {
	tokens float64
	at     time.Time
}

// Queue holds the requests of a VM that wait.
type Queue struct {
	limits   Limits
	entries  []*Entry
	bytes    int
	sequence uint64
	// shares holds what the workspaces were served.
	shares map[string]share
	// drained is the decayed number of requests that left for an endpoint, as of drainedAt. sinceOld counts them since the
	// last old one.
	drained   float64
	drainedAt time.Time
	sinceOld  int
	// preferred is the old request with which the present pass began, or nil.
	preferred *Entry
	// pass holds the requests that have yet to get their turn, and holder the one that has it, since heldAt. again means that
	// something has changed since the pass began.
	pass   []*Entry
	holder *Entry
	heldAt time.Time
	again  bool
	// deferrals counts the requests of the present pass that wait on.
	deferrals map[Group]int
}

// New returns an empty queue.
func New(limits Limits) *Queue { return &Queue{limits: limits, shares: make(map[string]share)} }

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.entries) }

// Bytes returns the size of the bodies of the requests that wait.
func (q *Queue) Bytes() int { return q.bytes }

// Add puts a request into the queue. While the queue exceeds its limits, the request that comes last leaves it, which may be
// the new one; its turn tells it.
func (q *Queue) Add(now time.Time, e *Entry) {
	q.sequence++
	e.sequence = q.sequence
	q.lift(now, e.Workspace)
	q.entries = append(q.entries, e)
	q.bytes += e.Bytes
	for len(q.entries) > q.limits.Requests || q.bytes > q.limits.Bytes {
		q.weigh(now, q.entries)
		last := slices.MaxFunc(q.entries, compare)
		q.remove(last)
		last.evicted = true
		last.Turn()
	}
}

// lift raises the tokens of a workspace that had no request in the queue to the least of those that have one, so that it cannot
// save up service. Source: Sheng and others, "Fairness in Serving Large Language Models", 2024.
func (q *Queue) lift(now time.Time, workspace string) {
	least := math.Inf(1)
	for _, e := range q.entries {
		if e.Workspace == workspace {
			return
		}
		least = min(least, q.served(now, e.Workspace))
	}
	if !math.IsInf(least, 1) && q.served(now, workspace) < least {
		q.shares[workspace] = share{least, now}
	}
}

// Charge records that a workspace is served a number of tokens.
func (q *Queue) Charge(now time.Time, workspace string, tokens int) {
	q.shares[workspace] = share{q.served(now, workspace) + float64(tokens), now}
	if len(q.shares) > maxShares {
		for name := range q.shares {
			if q.served(now, name) < 1 {
				delete(q.shares, name)
			}
		}
	}
}

// maxShares is the number of workspaces above which those that were served nothing of late are forgotten.
const maxShares = 1024

func (q *Queue) served(now time.Time, workspace string) float64 {
	s := q.shares[workspace]
	return decay.After(s.tokens, now.Sub(s.at), shareHalfLife)
}

// Leave removes a request from the queue. Sent means that it goes to an endpoint. It has no effect on a request that has left.
func (q *Queue) Leave(now time.Time, e *Entry, sent bool) {
	if !q.remove(e) || !sent {
		return
	}
	q.drained, q.drainedAt = decay.After(q.drained, now.Sub(q.drainedAt), drainHalfLife)+1, now
	q.sinceOld++
	if e == q.preferred {
		q.sinceOld = 0
	}
}

func (q *Queue) remove(e *Entry) bool {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	q.bytes -= e.Bytes
	return true
}

// RetryAfter returns the time in which the queue serves the requests that it holds, by the rate at which it has of late.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	rate := decay.Rate(decay.After(q.drained, now.Sub(q.drainedAt), drainHalfLife), drainHalfLife)
	return time.Duration(float64(len(q.entries)) / max(rate, minDrainRate) * float64(time.Second))
}

// old reports whether the request has waited so long that one in four requests must be like it.
func (e *Entry) old(now time.Time) bool {
	return float64(now.Sub(e.ArrivedAt)) >= patientPart*float64(e.LateAt.Sub(e.ArrivedAt))
}

// compare orders requests by priority, then by what their workspaces were served, then by when they become late.
func compare(a, b *Entry) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.share, b.share), a.LateAt.Compare(b.LateAt),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// weigh sets what the workspaces of requests were served, before these are compared.
func (q *Queue) weigh(now time.Time, entries []*Entry) {
	shares := make(map[string]float64)
	for _, e := range entries {
		served, ok := shares[e.Workspace]
		if !ok {
			served = q.served(now, e.Workspace)
			shares[e.Workspace] = served
		}
		e.share = served
	}
}

// MustWait reports whether a request, which need not be in the queue, has to let others of its group decide before it.
func (q *Queue) MustWait(now time.Time, e *Entry) bool { return q.holder != e && q.Ahead(now, e) > 0 }

// Ahead returns the number of requests of its group that come before a request, which need not be in the queue.
func (q *Queue) Ahead(now time.Time, e *Entry) int {
	ahead, own := 0, *e
	own.share = q.served(now, e.Workspace)
	for _, o := range q.entries {
		if o == e || o.Group != e.Group {
			continue
		}
		other := *o
		if other.share = q.served(now, o.Workspace); compare(&other, &own) < 0 {
			ahead++
		}
	}
	return ahead
}

// order returns the requests in the order of their turns. Three in four times it begins with the most urgent request, and
// otherwise with the old one of another class that becomes late first.
func (q *Queue) order(now time.Time) []*Entry {
	ordered := slices.Clone(q.entries)
	q.weigh(now, ordered)
	slices.SortFunc(ordered, compare)
	q.preferred = nil
	if q.sinceOld < oldShare-1 {
		return ordered
	}
	for _, e := range ordered {
		sameClass := e.Priority == ordered[0].Priority && e.Workspace == ordered[0].Workspace
		if !sameClass && e.old(now) && (q.preferred == nil || e.LateAt.Before(q.preferred.LateAt)) {
			q.preferred = e
		}
	}
	if q.preferred == nil {
		return ordered
	}
	i := slices.Index(ordered, q.preferred)
	return slices.Insert(slices.Delete(ordered, i, i+1), 0, q.preferred)
}

// Changed gives the requests their turns, one after another, since something has changed that may let one be sent.
func (q *Queue) Changed(now time.Time) {
	if q.holder != nil && now.Sub(q.heldAt) < maxTurnTime {
		q.again = true
		return
	}
	q.begin(now)
}

// begin begins a pass.
func (q *Queue) begin(now time.Time) {
	q.again, q.pass, q.deferrals = false, q.order(now), make(map[Group]int)
	q.next(now)
}

// AwaitTurn records that a request has found room although MustWait, and gives the requests their turns.
func (q *Queue) AwaitTurn(now time.Time, e *Entry) {
	e.ready = true
	q.Changed(now)
}

// Pass ends the turn of a request, if it has it: the request waits on, was sent, or has left.
func (q *Queue) Pass(now time.Time, e *Entry) {
	if q.holder != e {
		return
	}
	e.ready = false
	if slices.Contains(q.entries, e) {
		q.deferrals[e.Group]++
	}
	q.next(now)
}

// next gives the next request its turn.
func (q *Queue) next(now time.Time) {
	q.holder = nil
	for len(q.pass) > 0 {
		e := q.pass[0]
		q.pass = q.pass[1:]
		if slices.Contains(q.entries, e) && (e.ready || q.deferrals[e.Group] < maxDeferrals) {
			q.holder, q.heldAt = e, now
			e.Turn()
			return
		}
	}
	if q.again && len(q.entries) > 0 {
		q.begin(now)
	}
}
