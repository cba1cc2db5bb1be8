package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// A crash adds earlyCrash or lateCrash to the score of each request on the endpoint. A crash soon after the request
	// was sent counts more, since the request is more likely its cause.
	earlyCrash = 2
	lateCrash  = 1
	// cautionAt is the score from which a request is delayed by a random time before it runs again. The request that
	// causes the crashes may have been retried at the same moments, through other entries as well.
	cautionAt = 4
	// quarantineAt is the score from which a request is refused.
	quarantineAt = 6
	// Memory is the time after the latest crash at which a score expires and a quarantined request is allowed again.
	Memory = 10 * time.Minute
	// sameCrash is the time after a request's latest crash in which a crash of an endpoint that is already listed
	// counts as the same crash.
	sameCrash = 5 * time.Second
)

// Fingerprint is a hash of the content of a request, equal for its retries.
type Fingerprint uint64

// Suspicion is the crash record of one request.
type Suspicion struct {
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Score       int         `cbor:"2,keyasint" json:"score"`
	// At is the time of the latest crash.
	At time.Time `cbor:"3,keyasint" json:"at"`
	// Endpoints lists the endpoints that crashed while they ran the request, the latest last.
	Endpoints []string `cbor:"4,keyasint,omitempty" json:"endpoints,omitempty"`
}

// Key returns the fingerprint in hexadecimal.
func (s Suspicion) Key() string {
	const base = 16
	return strconv.FormatUint(uint64(s.Fingerprint), base)
}

// Version returns a number that grows with each crash: the time of the latest crash in nanoseconds.
func (s Suspicion) Version() uint64 { return uint64(s.At.UnixNano()) }

// Desk holds the suspicions that one entry or gateway knows. It is not safe for concurrent use.
type Desk struct {
	suspicions map[Fingerprint]Suspicion
	// probation maps an endpoint to the suspect that runs on it and may still crash it.
	probation map[string]Fingerprint
	// news holds the suspicions that changed here and have not been sent to the peers.
	news map[Fingerprint]bool
}

// NewDesk returns a desk without suspicions.
func NewDesk() *Desk {
	return &Desk{
		suspicions: make(map[Fingerprint]Suspicion),
		probation:  make(map[string]Fingerprint),
		news:       make(map[Fingerprint]bool),
	}
}

// Refused returns the time until the quarantine of a request ends, or zero when the request is not quarantined.
func (d *Desk) Refused(now time.Time, f Fingerprint) time.Duration {
	s := d.current(now, f)
	if s.Score < quarantineAt {
		return 0
	}
	return s.At.Add(Memory).Sub(now)
}

func (d *Desk) current(now time.Time, f Fingerprint) Suspicion {
	s, ok := d.suspicions[f]
	if ok && now.Sub(s.At) >= Memory {
		delete(d.suspicions, f)
		return Suspicion{}
	}
	return s
}

// Suspect reports whether a request has a crash on record. Two such requests must not run on one endpoint.
func (d *Desk) Suspect(now time.Time, f Fingerprint) bool { return d.current(now, f).Score > 0 }

// Busy reports whether an endpoint runs a suspect that is on probation.
func (d *Desk) Busy(endpoint string) bool {
	_, busy := d.probation[endpoint]
	return busy
}

// Begin records that a request is sent to an endpoint, and puts a suspect on probation there.
func (d *Desk) Begin(now time.Time, f Fingerprint, endpoint string) {
	if d.Suspect(now, f) {
		d.probation[endpoint] = f
	}
}

// Proved ends the probation of a request that runs without a fault or no longer runs on the endpoint.
func (d *Desk) Proved(f Fingerprint, endpoint string) {
	if d.probation[endpoint] == f {
		delete(d.probation, endpoint)
	}
}

// Finished records a complete response, which removes the suspicion unless the request is quarantined.
func (d *Desk) Finished(f Fingerprint, endpoint string) {
	d.Proved(f, endpoint)
	if s, ok := d.suspicions[f]; ok && s.Score < quarantineAt {
		delete(d.suspicions, f)
		delete(d.news, f)
	}
}

// Lost records that an endpoint crashed while it ran a request; early means soon after the request was sent.
func (d *Desk) Lost(now time.Time, f Fingerprint, endpoint string, early bool) {
	d.Proved(f, endpoint)
	s := d.current(now, f)
	if slices.Contains(s.Endpoints, endpoint) && now.Sub(s.At) < sameCrash {
		return
	}
	added := lateCrash
	if early {
		added = earlyCrash
	}
	d.put(Suspicion{
		Fingerprint: f,
		Score:       s.Score + added,
		At:          now,
		Endpoints:   append(slices.Clone(s.Endpoints), endpoint),
	})
	d.news[f] = true
}

// put stores a suspicion. A quarantined one removes each low score whose crashes all hit endpoints of its own list.
func (d *Desk) put(s Suspicion) {
	d.suspicions[s.Fingerprint] = s
	if s.Score < quarantineAt {
		return
	}
	for f, other := range d.suspicions {
		if other.Score < cautionAt && s.explains(other) {
			delete(d.suspicions, f)
			delete(d.news, f)
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

// Cautious reports whether a request must be delayed by a random time before it runs.
func (d *Desk) Cautious(now time.Time, f Fingerprint) bool {
	return d.current(now, f).Score >= cautionAt
}

// News returns the suspicions that crashes seen here changed since the last call, sorted by fingerprint.
func (d *Desk) News() []Suspicion {
	news := make([]Suspicion, 0, len(d.news))
	for f := range d.news {
		news = append(news, d.suspicions[f])
	}
	clear(d.news)
	slices.SortFunc(news, compare)
	return news
}

// Learn merges the suspicions of peers. For each request it keeps the higher score; it ignores expired ones.
func (d *Desk) Learn(now time.Time, suspicions []Suspicion) {
	for _, s := range suspicions {
		if now.Sub(s.At) < Memory && s.Score > d.current(now, s.Fingerprint).Score {
			d.put(s)
		}
	}
}

// Recent returns the suspicions whose latest crash is not older than age, sorted by fingerprint.
func (d *Desk) Recent(now time.Time, age time.Duration) []Suspicion {
	var recent []Suspicion
	for _, s := range d.suspicions {
		if now.Sub(s.At) <= age {
			recent = append(recent, s)
		}
	}
	slices.SortFunc(recent, compare)
	return recent
}

// All returns the suspicions sorted by fingerprint.
func (d *Desk) All() []Suspicion {
	all := make([]Suspicion, 0, len(d.suspicions))
	for _, s := range d.suspicions {
		all = append(all, s)
	}
	slices.SortFunc(all, compare)
	return all
}

func compare(a, b Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }
