package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// A crash adds earlyCrashScore or lateCrashScore to the score of each request on the endpoint. A crash before the
	// request made progress counts more, since the request is more likely its cause.
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
	// SuspicionTTL is the time after the latest crash at which a score expires and a quarantined request is allowed again.
	SuspicionTTL = 10 * time.Minute
	// sameCrashWindow is the time after a request's latest crash in which a crash of an endpoint that is already listed
	// counts as the same crash.
	sameCrashWindow = 5 * time.Second
)

// Fingerprint is a hash of the content of a request, equal for its retries.
type Fingerprint uint64

// Suspicion is the crash record of one request.
type Suspicion struct {
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Score       int         `cbor:"2,keyasint" json:"score"`
	// LastCrashAt is the time of the latest crash.
	LastCrashAt time.Time `cbor:"3,keyasint" json:"at"`
	// Endpoints lists the endpoints that crashed while they ran the request, the latest last.
	Endpoints []string `cbor:"4,keyasint,omitempty" json:"endpoints,omitempty"`
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	const base = 16
	return strconv.FormatUint(uint64(f), base)
}

// Key returns the fingerprint in hexadecimal.
func (s Suspicion) Key() string { return s.Fingerprint.String() }

// Version returns a number that grows with each crash: the time of the latest crash in nanoseconds.
func (s Suspicion) Version() uint64 { return uint64(s.LastCrashAt.UnixNano()) }

// Tracker holds the suspicions that one entry or gateway knows. It is not safe for concurrent use.
type Tracker struct {
	suspicions map[Fingerprint]Suspicion
	// probation maps an endpoint to the suspect that runs on it and may still crash it.
	probation map[string]Fingerprint
	// unreported holds the suspicions that changed here and have not been sent to the peers.
	unreported map[Fingerprint]bool
}

// NewTracker returns a tracker without suspicions.
func NewTracker() *Tracker {
	return &Tracker{
		suspicions: make(map[Fingerprint]Suspicion),
		probation:  make(map[string]Fingerprint),
		unreported: make(map[Fingerprint]bool),
	}
}

// RetryAfter returns the time until the quarantine of a request ends, or zero when the request is not quarantined.
func (t *Tracker) RetryAfter(now time.Time, f Fingerprint) time.Duration {
	s := t.unexpired(now, f)
	if !s.Quarantined() {
		return 0
	}
	return s.LastCrashAt.Add(SuspicionTTL).Sub(now)
}

func (t *Tracker) unexpired(now time.Time, f Fingerprint) Suspicion {
	s, ok := t.suspicions[f]
	if ok && now.Sub(s.LastCrashAt) >= SuspicionTTL {
		delete(t.suspicions, f)
		return Suspicion{}
	}
	return s
}

// IsSuspect reports whether a request has a crash on record. Two such requests must not run on one endpoint
// at the same time.
func (t *Tracker) IsSuspect(now time.Time, f Fingerprint) bool { return t.unexpired(now, f).Score > 0 }

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

// RecordCompleted records a complete response, which removes the suspicion unless the request is quarantined. It reports
// whether it removed one.
func (t *Tracker) RecordCompleted(f Fingerprint, endpoint string) bool {
	t.EndProbation(f, endpoint)
	s, ok := t.suspicions[f]
	if !ok || s.Quarantined() {
		return false
	}
	delete(t.suspicions, f)
	delete(t.unreported, f)
	return true
}

// RecordCrash records that an endpoint crashed while it ran a request; early means before the request made progress. It
// returns the request's suspicion.
func (t *Tracker) RecordCrash(now time.Time, f Fingerprint, endpoint string, early bool) Suspicion {
	t.EndProbation(f, endpoint)
	s := t.unexpired(now, f)
	if slices.Contains(s.Endpoints, endpoint) && now.Sub(s.LastCrashAt) < sameCrashWindow {
		return s
	}
	added := lateCrashScore
	if early {
		added = earlyCrashScore
	}
	s = Suspicion{
		Fingerprint: f,
		Score:       s.Score + added,
		LastCrashAt: now,
		Endpoints:   append(slices.Clone(s.Endpoints), endpoint),
	}
	t.store(s)
	t.unreported[f] = true
	return s
}

// Quarantined reports whether the request is refused.
func (s Suspicion) Quarantined() bool {
	return s.Score >= quarantineScore || len(s.Endpoints) >= maxCrashes
}

// store replaces the suspicion of a request. If the request is quarantined, store removes each suspicion with a score
// below delayScore whose crashes it explains.
func (t *Tracker) store(s Suspicion) {
	t.suspicions[s.Fingerprint] = s
	if !s.Quarantined() {
		return
	}
	for f, other := range t.suspicions {
		if other.Score < delayScore && s.explains(other) {
			delete(t.suspicions, f)
			delete(t.unreported, f)
		}
	}
}

// explains reports whether s lists every endpoint of the other suspicion.
func (s Suspicion) explains(other Suspicion) bool {
	for _, endpoint := range other.Endpoints {
		if !slices.Contains(s.Endpoints, endpoint) {
			return false
		}
	}
	return true
}

// NeedsRandomDelay reports whether a request must be delayed by a random time before it runs.
func (t *Tracker) NeedsRandomDelay(now time.Time, f Fingerprint) bool {
	return t.unexpired(now, f).Score >= delayScore
}

// TakeUnreported returns the suspicions that crashes seen here changed since the last call, sorted by fingerprint.
func (t *Tracker) TakeUnreported() []Suspicion {
	unreported := make([]Suspicion, 0, len(t.unreported))
	for f := range t.unreported {
		unreported = append(unreported, t.suspicions[f])
	}
	clear(t.unreported)
	slices.SortFunc(unreported, compare)
	return unreported
}

// Merge merges the suspicions of peers. For each request it keeps the higher score; it ignores expired ones. It returns
// the suspicions that are quarantined because of it.
func (t *Tracker) Merge(now time.Time, suspicions []Suspicion) []Suspicion {
	var quarantined []Suspicion
	for _, s := range suspicions {
		known := t.unexpired(now, s.Fingerprint)
		if now.Sub(s.LastCrashAt) >= SuspicionTTL || s.Score <= known.Score {
			continue
		}
		t.store(s)
		if s.Quarantined() && !known.Quarantined() {
			quarantined = append(quarantined, s)
		}
	}
	return quarantined
}

// Recent returns the suspicions whose latest crash is not older than age, sorted by fingerprint.
func (t *Tracker) Recent(now time.Time, age time.Duration) []Suspicion {
	var recent []Suspicion
	for _, s := range t.suspicions {
		if now.Sub(s.LastCrashAt) <= age {
			recent = append(recent, s)
		}
	}
	slices.SortFunc(recent, compare)
	return recent
}

// All returns the suspicions sorted by fingerprint.
func (t *Tracker) All() []Suspicion {
	all := make([]Suspicion, 0, len(t.suspicions))
	for _, s := range t.suspicions {
		all = append(all, s)
	}
	slices.SortFunc(all, compare)
	return all
}

func compare(a, b Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }
