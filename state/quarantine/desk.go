package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// earlyCrash and lateCrash are what a crash adds to a request's score: an endpoint that dies soon after it took
	// a request speaks more against it than one that dies later.
	earlyCrash = 2
	lateCrash  = 1
	// cautionAt is the score at which a request is tried once more, at a moment of its own: other entries may have
	// run the one that is to blame beside it.
	cautionAt = 4
	// quarantineAt is the score at which a request is refused.
	quarantineAt = 6
	// Memory is the time for which a score is remembered, and a request refused.
	Memory = 10 * time.Minute
	// sameCrash is the time within which the loss of one endpoint counts once.
	sameCrash = 5 * time.Second
)

// Fingerprint identifies what a request asks for.
type Fingerprint uint64

// Suspicion is what is held against a request.
type Suspicion struct {
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Score       int         `cbor:"2,keyasint" json:"score"`
	// At is when the latest crash was seen.
	At time.Time `cbor:"3,keyasint" json:"at"`
	// Endpoints are those that were lost, the latest last.
	Endpoints []string `cbor:"4,keyasint,omitempty" json:"endpoints,omitempty"`
}

// Key returns the fingerprint as text.
func (s Suspicion) Key() string {
	const base = 16
	return strconv.FormatUint(uint64(s.Fingerprint), base)
}

// Version grows with each crash.
func (s Suspicion) Version() uint64 { return uint64(s.At.UnixNano()) }

// Desk keeps the suspicions that one entry knows.
type Desk struct {
	suspicions map[Fingerprint]Suspicion
	// probation is the suspect that an endpoint runs and that has not proved itself there yet.
	probation map[string]Fingerprint
	// news are suspicions of its own that have not been reported to the peers.
	news map[Fingerprint]bool
}

// NewDesk returns a desk that suspects nothing.
func NewDesk() *Desk {
	return &Desk{
		suspicions: make(map[Fingerprint]Suspicion),
		probation:  make(map[string]Fingerprint),
		news:       make(map[Fingerprint]bool),
	}
}

// Refused returns the time after which a quarantined request may come back, or zero when it is not quarantined.
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

// Suspect reports whether something is held against a request, so that it must run apart from other suspects.
func (d *Desk) Suspect(now time.Time, f Fingerprint) bool { return d.current(now, f).Score > 0 }

// Busy reports whether an endpoint runs a suspect that has not proved itself yet.
func (d *Desk) Busy(endpoint string) bool {
	_, busy := d.probation[endpoint]
	return busy
}

// Begin notes that a request is sent to an endpoint, for a suspect on probation there.
func (d *Desk) Begin(now time.Time, f Fingerprint, endpoint string) {
	if d.Suspect(now, f) {
		d.probation[endpoint] = f
	}
}

// Proved notes that a request has run well for a while, or has left its endpoint.
func (d *Desk) Proved(f Fingerprint, endpoint string) {
	if d.probation[endpoint] == f {
		delete(d.probation, endpoint)
	}
}

// Finished notes that a request has been answered whole, which clears it.
func (d *Desk) Finished(f Fingerprint, endpoint string) {
	d.Proved(f, endpoint)
	if s, ok := d.suspicions[f]; ok && s.Score < quarantineAt {
		delete(d.suspicions, f)
		delete(d.news, f)
	}
}

// Lost notes that an endpoint was lost under a request, soon after it was sent or later.
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

// put takes in a suspicion; one that comes to quarantine clears the weak ones whose every loss it explains.
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

func (s Suspicion) explains(other Suspicion) bool {
	for _, endpoint := range other.Endpoints {
		if !slices.Contains(s.Endpoints, endpoint) {
			return false
		}
	}
	return true
}

// Cautious reports whether a request must be tried at a moment of its own.
func (d *Desk) Cautious(now time.Time, f Fingerprint) bool {
	return d.current(now, f).Score >= cautionAt
}

// News returns the suspicions of its own that have come since the last call.
func (d *Desk) News() []Suspicion {
	news := make([]Suspicion, 0, len(d.news))
	for f := range d.news {
		news = append(news, d.suspicions[f])
	}
	clear(d.news)
	slices.SortFunc(news, compare)
	return news
}

// Learn takes in suspicions of peers; the higher score counts.
func (d *Desk) Learn(now time.Time, suspicions []Suspicion) {
	for _, s := range suspicions {
		if now.Sub(s.At) < Memory && s.Score > d.current(now, s.Fingerprint).Score {
			d.put(s)
		}
	}
}

// Recent returns the suspicions whose latest crash is not older than an age.
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

// All returns every suspicion sorted by fingerprint.
func (d *Desk) All() []Suspicion {
	all := make([]Suspicion, 0, len(d.suspicions))
	for _, s := range d.suspicions {
		all = append(all, s)
	}
	slices.SortFunc(all, compare)
	return all
}

func compare(a, b Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }
