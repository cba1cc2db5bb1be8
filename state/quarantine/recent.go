package quarantine

import "time"

// maxCompleted is the number of completed requests that are remembered at least, if they are not older than
// SuspicionTTL.
const maxCompleted = 16 << 10

// recentSet holds the times of the fingerprints that were added last: at least size of them, and at most twice as many.
type recentSet struct {
	size            int
	current, former map[Fingerprint]time.Time
}

func newRecentSet(size int) recentSet {
	return recentSet{size: size, current: make(map[Fingerprint]time.Time)}
}

// add adds a fingerprint with a time, unless it has a later one.
func (r *recentSet) add(f Fingerprint, at time.Time) {
	if known, ok := r.current[f]; ok && known.After(at) {
		return
	}
	if len(r.current) >= r.size {
		r.former, r.current = r.current, make(map[Fingerprint]time.Time)
	}
	r.current[f] = at
}

// get returns the time of a fingerprint, unless it is older than SuspicionTTL.
func (r *recentSet) get(now time.Time, f Fingerprint) (time.Time, bool) {
	at, ok := r.current[f]
	if !ok {
		at, ok = r.former[f]
	}
	return at, ok && now.Sub(at) < SuspicionTTL
}
