package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minPartCrashes is the number of crashes from which requests with a part of a prompt are refused.
	minPartCrashes = 4
	// minFirstPartCrashes and minFirstPartTime, the time from the first to the last crash, apply to the first part of
	// prompts. Many requests share it, so most crashes of any cause end a run with it, and refusing it refuses all of them.
	// If another request with it is answered within that time, it is cleared.
	minFirstPartCrashes = 5
	minFirstPartTime    = 2 * time.Second
	// commonCauseWindow is the time between crashes of several endpoints within which they count as one. A lost failure
	// domain, or a link that resets connections, ends many runs at once.
	commonCauseWindow = 100 * time.Millisecond
)

// decide finds the quarantined parts and returns those that were not before. A crash has one cause: crashes that a
// quarantined part explains do not count for others.
func (t *PartTracker) decide() []PartSuspicion {
	unexplained := slices.Clone(t.outages)
	slices.SortFunc(unexplained, func(a, b *outage) int { return a.at.Compare(b.at) })
	quarantined := make(map[uint64]PartSuspicion)
	for {
		likely := t.likeliest(unexplained)
		if len(likely) == 0 {
			break
		}
		for _, s := range likely {
			quarantined[s.Part] = s
		}
		unexplained = slices.DeleteFunc(unexplained, func(o *outage) bool {
			return slices.ContainsFunc(likely, func(s PartSuspicion) bool { return t.suspects(o, s.Part) })
		})
	}
	var added []PartSuspicion
	for part, s := range quarantined {
		if _, known := t.quarantined[part]; !known {
			added = append(added, s)
		}
	}
	t.quarantined = quarantined
	return added
}

// suspects reports whether a part may have caused an outage.
func (t *PartTracker) suspects(o *outage, part uint64) bool {
	return o.at.After(t.cleared[part]) && o.depth(part) >= 0
}

// likeliest returns the part with the most crashes, if they suffice. Of several it takes the one that is deepest in
// prompts, since fewer requests share it. It returns none while several parts are equally likely, and all of them once
// the crashes suffice for a first part.
func (t *PartTracker) likeliest(outages []*outage) []PartSuspicion {
	type candidate struct {
		PartSuspicion
		depth        int
		firstCrashAt time.Time
	}
	candidates := make(map[uint64]*candidate)
	for _, o := range outages {
		for _, part := range o.parts() {
			if !t.suspects(o, part) {
				continue
			}
			c := candidates[part]
			if c == nil {
				c = &candidate{PartSuspicion: PartSuspicion{Part: part}, depth: o.depth(part), firstCrashAt: o.at}
				candidates[part] = c
			}
			if c.Crashes == 0 || o.at.Sub(c.LastCrashAt) >= commonCauseWindow {
				c.Crashes++
			}
			c.LastCrashAt = o.at
			c.Endpoints = append(c.Endpoints, o.runs[0].Endpoint)
		}
	}
	var likely []*candidate
	for _, c := range candidates {
		enough := c.Crashes >= minPartCrashes
		if c.depth == 0 {
			enough = c.Crashes >= minFirstPartCrashes && c.LastCrashAt.Sub(c.firstCrashAt) >= minFirstPartTime
		}
		if enough {
			likely = append(likely, c)
		}
	}
	if len(likely) == 0 {
		return nil
	}
	// A first part is the cause only if no other one is.
	slices.SortFunc(likely, func(a, b *candidate) int {
		return cmp.Or(
			cmp.Compare(min(b.depth, 1), min(a.depth, 1)), cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(b.depth, a.depth),
		)
	})
	best := likely[0]
	var tied []PartSuspicion
	for _, c := range likely {
		if c.Crashes == best.Crashes && c.depth == best.depth {
			tied = append(tied, c.PartSuspicion)
		}
	}
	if len(tied) > 1 && best.Crashes < minFirstPartCrashes {
		return nil
	}
	return tied
}

// parts returns the parts of the runs that an outage ended, each once.
func (o *outage) parts() []uint64 {
	var parts []uint64
	for _, r := range o.runs {
		parts = append(parts, r.Parts...)
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}
