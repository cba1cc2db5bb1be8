package origins

import "time"

// maxSyncGap is the longest time between two syncs with the store over which a history has no gap. No version comes, serves
// and leaves in it unseen: its runners drain for some seconds.
const maxSyncGap = 3 * time.Second

// History holds which versions of each service's software had runners of late, as one VM saw it.
type History struct {
	// seenAt holds when a runner of a version was last listed, by service and version.
	seenAt map[string]map[string]time.Time
	// syncedAt is the time of the last sync with the store, and since when the syncs before it have no gap.
	syncedAt, since time.Time
}

// NewHistory returns a history that has seen nothing.
func NewHistory() *History { return &History{seenAt: make(map[string]map[string]time.Time)} }

// RecordSync records that the list of runners is complete as of a time.
func (h *History) RecordSync(at time.Time) {
	if !at.After(h.syncedAt) {
		return
	}
	if at.Sub(h.syncedAt) > maxSyncGap {
		h.since = at
	}
	h.syncedAt = at
}

// Record records that a runner of a version is listed, or of an unknown version if it is "".
func (h *History) Record(now time.Time, service, software string) {
	versions := h.seenAt[service]
	if versions == nil {
		versions = make(map[string]time.Time)
		h.seenAt[service] = versions
	}
	if now.After(versions[software]) {
		versions[software] = now
	}
}

// Only returns the version that alone had runners in the period before now, or false if there were others, or if this VM
// was not in sync with the store all the while.
func (h *History) Only(now time.Time, service string, period time.Duration) (string, bool) {
	if now.Sub(h.syncedAt) > maxSyncGap || now.Sub(h.since) < period {
		return "", false
	}
	only := ""
	for software, at := range h.seenAt[service] {
		switch {
		case now.Sub(at) > period+maxSyncGap:
			delete(h.seenAt[service], software)
		case software == "" || only != "":
			return "", false
		default:
			only = software
		}
	}
	return only, only != ""
}
