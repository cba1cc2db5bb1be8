package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	// aliveMargin is the time from the end of connections to a call that shows that the endpoint had not ended. It covers
	// differences between the clocks of VMs.
	aliveMargin = 500 * time.Millisecond
	// maxOutages bounds the crashes of endpoints that are remembered, and maxRunsPerOutage the runs of each.
	maxOutages       = 256
	maxRunsPerOutage = 256
)

// PartName returns a part of a prompt in hexadecimal, as callers name it.
func PartName(part uint64) string {
	const base = 16
	return strconv.FormatUint(part, base)
}

// PartSuspicion sums up the crashes of endpoints for which a part of a prompt is the likely cause.
type PartSuspicion struct {
	Part uint64 `json:"part"`
	// Crashes is the number of crashes, where those of a common cause count as one.
	Crashes int `json:"crashes"`
	// LastCrashAt is the time of the latest crash.
	LastCrashAt time.Time `json:"at"`
	// Endpoints lists the endpoints in the order of the crashes.
	Endpoints []string `json:"endpoints"`
}

// outage is the end of an endpoint, with the runs that it ended.
type outage struct {
	at   time.Time
	runs []Crash
	// keys holds the keys of the runs.
	keys map[string]struct{}
}

// PartTracker finds parts of prompts that crash each endpoint that begins to answer a request with them. It is not safe
// for concurrent use.
type PartTracker struct {
	outages []*outage
	// completed holds when the last answer to a request with a part began that arrived whole here. Cleared holds the same
	// for all VMs, for the parts that have crashes on record.
	completed recentSet
	cleared   map[uint64]time.Time
	// answeredAt holds when the last answered call to an incarnation of an endpoint was sent.
	answeredAt map[incarnation]time.Time
	// quarantined is decided anew when crashes or clearances change.
	quarantined map[uint64]PartSuspicion
}

// incarnation is one start of an endpoint.
type incarnation struct {
	endpoint string
	start    int64
}

func (o *outage) incarnation() incarnation {
	return incarnation{o.runs[0].Endpoint, o.runs[0].Incarnation}
}

// NewPartTracker returns a tracker without crashes.
func NewPartTracker() *PartTracker {
	return &PartTracker{
		completed: newRecentSet(maxCompleted), cleared: make(map[uint64]time.Time),
		answeredAt: make(map[incarnation]time.Time),
	}
}

// RecordCrashes records crashes, also those that other VMs observed. It returns the parts that are quarantined because of
// them, and the clearances from what this VM has seen answered since.
func (t *PartTracker) RecordCrashes(now time.Time, crashes []Crash) ([]PartSuspicion, []Clearance) {
	changed := false
	var clearances []Clearance
	for _, c := range crashes {
		if len(c.Parts) == 0 || expired(now, c) {
			continue
		}
		i := incarnation{c.Endpoint, c.Incarnation}
		if at := t.answeredAt[i]; at.Sub(c.EndedAt) >= aliveMargin {
			clearances = append(clearances, Clearance{Endpoint: i.endpoint, Incarnation: i.start, At: at})
			continue
		}
		if !t.put(now, c) {
			continue
		}
		changed = true
		for _, part := range c.Parts {
			if at, ok := t.completed.get(now, Fingerprint(part)); ok {
				clearances = append(clearances, t.clear(part, at)...)
			}
		}
	}
	if !changed {
		return nil, clearances
	}
	return t.decide(), clearances
}

// put adds a run to the outage that ended it, and reports whether it was not known.
func (t *PartTracker) put(now time.Time, c Crash) bool {
	if c.EndedAt.After(now) {
		// The clock of the VM that made the record is ahead.
		c.EndedAt = now
	}
	key := c.Key()
	for _, o := range t.outages {
		if !o.runs[0].same(c) {
			continue
		}
		if _, known := o.keys[key]; known || len(o.runs) >= maxRunsPerOutage {
			return false
		}
		o.runs = append(o.runs, c)
		o.keys[key] = struct{}{}
		if c.EndedAt.Before(o.at) {
			o.at = c.EndedAt
		}
		return true
	}
	if len(t.outages) >= maxOutages {
		t.outages = t.outages[1:]
	}
	t.outages = append(t.outages, &outage{at: c.EndedAt, runs: []Crash{c}, keys: map[string]struct{}{key: {}}})
	return true
}

// RecordCompleted records that a request with parts was answered whole, from a time on. It returns the clearances that
// other VMs need.
func (t *PartTracker) RecordCompleted(parts []uint64, begunAt time.Time) []Clearance {
	var clearances []Clearance
	for _, part := range parts {
		t.completed.add(Fingerprint(part), begunAt)
		clearances = append(clearances, t.clear(part, begunAt)...)
	}
	if len(clearances) > 0 {
		t.decide()
	}
	return clearances
}

// RecordAnswered records that an incarnation of an endpoint answered a call that was sent at a time. It returns the
// clearance that other VMs need. Incarnations that are not told apart, zero, show nothing.
func (t *PartTracker) RecordAnswered(endpoint string, start int64, sentAt time.Time) []Clearance {
	i := incarnation{endpoint, start}
	if start == 0 || !sentAt.After(t.answeredAt[i]) {
		return nil
	}
	t.answeredAt[i] = sentAt
	before := len(t.outages)
	t.outages = slices.DeleteFunc(t.outages, func(o *outage) bool {
		return o.incarnation() == i && sentAt.Sub(o.at) >= aliveMargin
	})
	if len(t.outages) == before {
		return nil
	}
	t.decide()
	return []Clearance{{Endpoint: endpoint, Incarnation: start, At: sentAt}}
}

// clear records the time of a clearance, and returns it if it clears a crash.
func (t *PartTracker) clear(part uint64, at time.Time) []Clearance {
	before := t.cleared[part]
	for _, o := range t.outages {
		if o.at.After(before) && !o.at.After(at) && o.depth(part) >= 0 {
			t.cleared[part] = at
			return []Clearance{{Part: part, At: at}}
		}
	}
	return nil
}

// Merge adds clearances of other VMs.
func (t *PartTracker) Merge(clearances []Clearance) {
	changed := false
	for _, c := range clearances {
		if c.Endpoint != "" {
			t.RecordAnswered(c.Endpoint, c.Incarnation, c.At)
			continue
		}
		if c.At.After(t.cleared[c.Part]) {
			t.cleared[c.Part] = c.At
			changed = true
		}
	}
	if changed {
		t.decide()
	}
}

// depth returns the place of a part in the prompts of the runs that an outage ended, or -1 if none had it.
func (o *outage) depth(part uint64) int {
	for _, r := range o.runs {
		if i := slices.Index(r.Parts, part); i >= 0 {
			return i
		}
	}
	return -1
}

// RetryAfter returns the time until requests with the parts are no longer refused and the part that is quarantined, or
// zero when none is.
func (t *PartTracker) RetryAfter(now time.Time, parts []uint64) (wait time.Duration, part uint64) {
	for _, p := range parts {
		s, ok := t.quarantined[p]
		if w := s.LastCrashAt.Add(SuspicionTTL).Sub(now); ok && w > wait {
			wait, part = w, p
		}
	}
	return wait, part
}

// Quarantined returns the quarantined parts, sorted.
func (t *PartTracker) Quarantined() []PartSuspicion {
	return slices.SortedFunc(maps.Values(t.quarantined), func(a, b PartSuspicion) int { return cmp.Compare(a.Part, b.Part) })
}

// Crashes returns a record of each crash that a part may have caused.
func (t *PartTracker) Crashes(part uint64) []Crash {
	var crashes []Crash
	for _, o := range t.outages {
		if !t.suspects(o, part) {
			continue
		}
		i := slices.IndexFunc(o.runs, func(r Crash) bool { return slices.Contains(r.Parts, part) })
		crashes = append(crashes, o.runs[i])
	}
	return crashes
}

// Expire removes the crashes whose time has passed.
func (t *PartTracker) Expire(now time.Time) {
	before := len(t.outages)
	maps.DeleteFunc(t.answeredAt, func(_ incarnation, at time.Time) bool { return now.Sub(at) >= SuspicionTTL })
	t.outages = slices.DeleteFunc(t.outages, func(o *outage) bool { return now.Sub(o.at) >= SuspicionTTL })
	if len(t.outages) == before {
		return
	}
	maps.DeleteFunc(t.cleared, func(_ uint64, at time.Time) bool { return now.Sub(at) >= SuspicionTTL })
	t.decide()
}
