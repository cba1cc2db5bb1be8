package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// A crash adds earlyCrashScore or lateCrashScore to the score of each request that the endpoint ran.
	earlyCrashScore = 2
	lateCrashScore  = 1
	// delayScore is the score from which a request is delayed by a random time before it runs again. The delay keeps it
	// from running beside another request, possibly of another entry, that may be the cause of the crashes.
	delayScore = 4
	// quarantineScore is the score from which a request is refused: three early crashes.
	quarantineScore = 6
	// maxCrashes is the number of crashes from which a request is refused at any score. A request that only ran beside the
	// cause of three crashes, and had made progress each time, is not refused.
	maxCrashes = 4
	// maxRecordsPerRequest bounds the records of one request. It exceeds maxCrashes by the runs of concurrent retries.
	maxRecordsPerRequest = 32
	// completedGrace is the time from the crash that would quarantine a request until it is refused if endpoints have
	// completed the request within SuspicionTTL. Several callers may send such a request alike, and a completion of it
	// that begins within this time shows that another request caused the crashes.
	completedGrace = 1500 * time.Millisecond
	// trialInterval is the time from the latest crash until a quarantined request that endpoints had completed before is
	// tried once, and maxTrialCrashes the number of crashes from which it no longer is.
	trialInterval   = 5 * time.Second
	maxTrialCrashes = 5
	// SuspicionTTL is the time after the latest crash at which its record expires and a quarantined request is allowed
	// again.
	SuspicionTTL = 10 * time.Minute
)

// Suspicion sums up the crashes of one request.
type Suspicion struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Score       int         `json:"score"`
	// LastCrashAt is the time of the latest crash.
	LastCrashAt time.Time `json:"at"`
	// Endpoints lists the endpoints that crashed while they ran the request, in the order of the crashes.
	Endpoints   []string `json:"endpoints,omitempty"`
	quarantined bool
}

// Quarantined reports whether the request is refused at the time of the summary.
func (s Suspicion) Quarantined() bool { return s.quarantined }

func (s Suspicion) hasEnoughCrashes() bool {
	return s.Score >= quarantineScore || len(s.Endpoints) >= maxCrashes
}

// Tracker holds the crashes that one entry or gateway knows. It is not safe for concurrent use.
type Tracker struct {
	crashes map[Fingerprint][]Crash
	// probation maps an endpoint to the suspect that runs on it and may still crash it.
	probation map[string]Fingerprint
	// unreported holds the records that were made here and have not reached a peer, by key.
	unreported map[string]Crash
	// completed holds when the last completed runs of requests were sent.
	completed recentSet
	// observedAt holds the time of the latest crash of a request that this VM observed, and triedAt that of its last trial.
	observedAt, triedAt map[Fingerprint]time.Time
}

// NewTracker returns a tracker without crashes.
func NewTracker() *Tracker {
	return &Tracker{
		crashes:    make(map[Fingerprint][]Crash),
		probation:  make(map[string]Fingerprint),
		unreported: make(map[string]Crash),
		completed:  newRecentSet(maxCompleted),
		observedAt: make(map[Fingerprint]time.Time),
		triedAt:    make(map[Fingerprint]time.Time),
	}
}

// RetryAfter returns the time until the quarantine of a request ends, or zero when the request is not quarantined.
func (t *Tracker) RetryAfter(now time.Time, f Fingerprint) time.Duration {
	s := t.Suspicion(now, f)
	if !s.Quarantined() {
		return 0
	}
	return s.LastCrashAt.Add(SuspicionTTL).Sub(now)
}

// Admit returns the time until the quarantine of a request ends, or zero when the request may run. Trial reports that a
// quarantined request runs once, to find out whether another one caused its crashes.
func (t *Tracker) Admit(now time.Time, f Fingerprint) (wait time.Duration, trial bool) {
	wait = t.RetryAfter(now, f)
	if wait <= 0 || !t.trialDue(now, f) {
		return max(0, wait), false
	}
	t.triedAt[f] = now
	return 0, true
}

// trialDue reports whether a quarantined request is tried now. Endpoints must have completed it before, and only the VM
// that observed the latest crash tries it.
func (t *Tracker) trialDue(now time.Time, f Fingerprint) bool {
	s := t.Suspicion(now, f)
	_, completed := t.completed.get(now, f)
	if !completed || len(s.Endpoints) >= maxTrialCrashes || !t.observedAt[f].Equal(s.LastCrashAt) {
		return false
	}
	return now.Sub(s.LastCrashAt) >= trialInterval && now.Sub(t.triedAt[f]) >= trialInterval
}

// Suspicion sums up the crashes of a request that are neither expired nor cleared, each counted once.
func (t *Tracker) Suspicion(now time.Time, f Fingerprint) Suspicion {
	s := Suspicion{Fingerprint: f}
	enough, lastCrashAt := false, time.Time{}
	var counted []Crash
	for _, c := range t.crashes[f] {
		if c.Cleared || expired(now, c) || slices.ContainsFunc(counted, c.same) || slices.ContainsFunc(counted, c.sameOfLater) {
			continue
		}
		counted = append(counted, c)
		s.Endpoints = append(s.Endpoints, c.Endpoint)
		s.LastCrashAt = c.EndedAt
		s.Score += lateCrashScore
		if c.Early {
			s.Score += earlyCrashScore - lateCrashScore
		}
		if !enough && s.hasEnoughCrashes() {
			enough, lastCrashAt = true, c.EndedAt
		}
	}
	_, completed := t.completed.get(now, f)
	s.quarantined = enough && (!completed || now.Sub(lastCrashAt) >= completedGrace)
	return s
}

func expired(now time.Time, c Crash) bool { return now.Sub(c.EndedAt) >= SuspicionTTL }

// IsSuspect reports whether a request has a crash on record that no quarantined request explains. Two such requests must
// not run on one endpoint at the same time.
func (t *Tracker) IsSuspect(now time.Time, f Fingerprint) bool {
	s := t.Suspicion(now, f)
	return len(s.Endpoints) > 0 && !t.explained(now, s)
}

// explained reports whether one quarantined request ran on all endpoints that crashed under a request with few crashes.
func (t *Tracker) explained(now time.Time, s Suspicion) bool {
	if s.Score >= delayScore {
		return false
	}
	for f := range t.crashes {
		if other := t.Suspicion(now, f); f != s.Fingerprint && other.Quarantined() && other.covers(s) {
			return true
		}
	}
	return false
}

// covers reports whether s lists every endpoint of the other suspicion.
func (s Suspicion) covers(other Suspicion) bool {
	for _, endpoint := range other.Endpoints {
		if !slices.Contains(s.Endpoints, endpoint) {
			return false
		}
	}
	return true
}

// RunsSuspect reports whether an endpoint runs a suspect that is on probation.
func (t *Tracker) RunsSuspect(endpoint string) bool {
	_, busy := t.probation[endpoint]
	return busy
}

// RecordSent records that a request is sent to an endpoint, and puts a suspect on probation there.
func (t *Tracker) RecordSent(now time.Time, f Fingerprint, endpoint string) {
	if t.IsSuspect(now, f) {
		t.probation[endpoint] = f
	}
}

// EndProbation ends the probation of a request that has run without a fault for a while, or no longer runs on the
// endpoint.
func (t *Tracker) EndProbation(f Fingerprint, endpoint string) {
	if t.probation[endpoint] == f {
		delete(t.probation, endpoint)
	}
}

// RecordCompleted records the complete response to a run that was sent at a time. It clears the crashes that ended before
// that: the request does not crash each endpoint that runs it. It returns the cleared records.
func (t *Tracker) RecordCompleted(now time.Time, f Fingerprint, endpoint string, sentAt time.Time) []Crash {
	t.EndProbation(f, endpoint)
	t.completed.add(f, sentAt)
	return t.clear(now, f)
}

// clear clears the crashes of a request that ended before its last completed run was sent, and returns their records.
func (t *Tracker) clear(now time.Time, f Fingerprint) []Crash {
	completedAt, completed := t.completed.get(now, f)
	if !completed {
		return nil
	}
	var cleared []Crash
	for i, c := range t.crashes[f] {
		if c.Cleared || c.EndedAt.After(completedAt) {
			continue
		}
		c.Cleared = true
		t.crashes[f][i] = c
		t.unreported[c.Key()] = c
		cleared = append(cleared, c)
	}
	return cleared
}

// RecordCrash records a crash that this VM observed, and returns the suspicion of its request. It ignores one that ended
// before a run was sent that endpoints have completed.
func (t *Tracker) RecordCrash(now time.Time, c Crash) Suspicion {
	t.EndProbation(c.Fingerprint, c.Endpoint)
	completedAt, completed := t.completed.get(now, c.Fingerprint)
	if (!completed || c.EndedAt.After(completedAt)) && t.put(now, c) {
		t.unreported[c.Key()] = c
		t.observedAt[c.Fingerprint] = c.EndedAt
	}
	return t.Suspicion(now, c.Fingerprint)
}

// put stores a record in the order of the crashes, unless the same or a later version of it is known.
func (t *Tracker) put(now time.Time, c Crash) bool {
	if expired(now, c) {
		return false
	}
	if c.EndedAt.After(now) {
		// The clock of the VM that made the record is ahead.
		c.EndedAt = now
	}
	known := t.crashes[c.Fingerprint]
	if i := slices.IndexFunc(known, func(k Crash) bool { return k.Key() == c.Key() }); i >= 0 {
		if known[i].Version() >= c.Version() {
			return false
		}
		known[i] = c
		return true
	}
	if len(known) >= maxRecordsPerRequest {
		// A request that many callers send has many cleared crashes.
		i := slices.IndexFunc(known, func(k Crash) bool { return k.Cleared })
		if i < 0 {
			return false
		}
		known = slices.Delete(known, i, i+1)
	}
	known = append(known, c)
	slices.SortStableFunc(known, func(a, b Crash) int {
		return cmp.Or(a.EndedAt.Compare(b.EndedAt), strings.Compare(a.Key(), b.Key()))
	})
	t.crashes[c.Fingerprint] = known
	return true
}

// NeedsRandomDelay reports whether a request must be delayed by a random time before it runs.
func (t *Tracker) NeedsRandomDelay(now time.Time, f Fingerprint) bool {
	return t.Suspicion(now, f).Score >= delayScore
}

// Unreported returns the records that were made or cleared here and have not reached a peer, sorted by key.
func (t *Tracker) Unreported() []Crash {
	unreported := make([]Crash, 0, len(t.unreported))
	for _, c := range t.unreported {
		unreported = append(unreported, c)
	}
	slices.SortFunc(unreported, func(a, b Crash) int { return strings.Compare(a.Key(), b.Key()) })
	return unreported
}

// RecordReported records that a peer has received records. A record that has been cleared since stays unreported.
func (t *Tracker) RecordReported(crashes []Crash) {
	for _, c := range crashes {
		if t.unreported[c.Key()].Version() == c.Version() {
			delete(t.unreported, c.Key())
		}
	}
}

// Merge adds the records of peers, and returns the suspicions that are quarantined because of it. It also returns the
// records that it clears, because endpoints have completed their requests for this VM since.
func (t *Tracker) Merge(now time.Time, crashes []Crash) (quarantined []Suspicion, cleared []Crash) {
	for _, c := range crashes {
		before := t.Suspicion(now, c.Fingerprint).Quarantined()
		if !t.put(now, c) {
			continue
		}
		cleared = append(cleared, t.clear(now, c.Fingerprint)...)
		if s := t.Suspicion(now, c.Fingerprint); s.Quarantined() && !before {
			quarantined = append(quarantined, s)
		}
	}
	return quarantined, cleared
}

// Crashes returns the records of a request that are not cleared.
func (t *Tracker) Crashes(now time.Time, f Fingerprint) []Crash {
	return slices.DeleteFunc(slices.Clone(t.crashes[f]), func(c Crash) bool { return c.Cleared || expired(now, c) })
}

// MarkCleared returns a copy of the records in which those are cleared that this tracker has cleared, and whether it differs.
func (t *Tracker) MarkCleared(crashes []Crash) (marked []Crash, changed bool) {
	marked = slices.Clone(crashes)
	for i, c := range marked {
		cleared := slices.ContainsFunc(t.crashes[c.Fingerprint], func(k Crash) bool { return k.Cleared && k.Key() == c.Key() })
		if cleared && !c.Cleared {
			marked[i].Cleared, changed = true, true
		}
	}
	return marked, changed
}

// Expire removes the records whose time has passed.
func (t *Tracker) Expire(now time.Time) {
	for f, crashes := range t.crashes {
		crashes = slices.DeleteFunc(crashes, func(c Crash) bool { return expired(now, c) })
		t.crashes[f] = crashes
		if len(crashes) == 0 {
			delete(t.crashes, f)
			delete(t.observedAt, f)
			delete(t.triedAt, f)
		}
	}
	for key, c := range t.unreported {
		if expired(now, c) {
			delete(t.unreported, key)
		}
	}
}

// All returns the suspicions sorted by fingerprint.
func (t *Tracker) All(now time.Time) []Suspicion {
	var all []Suspicion
	for f := range t.crashes {
		if s := t.Suspicion(now, f); len(s.Endpoints) > 0 {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}
