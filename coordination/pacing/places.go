package pacing

import (
	"strconv"
	"strings"
	"time"
)

const (
	// Prefix starts the keys of load permits in the platform's store.
	Prefix = "loads/"
	// Validity is the longest time from the request for a permit until its load begins. The store and the runner take
	// some tens of milliseconds each to grant a permit and to accept an order.
	Validity = 1500 * time.Millisecond
	// allowance is the number of loads in a window beyond the rate. The platform tolerates three; one is kept in reserve.
	allowance = 2
)

// Places are the load permits that are taken, as of this VM's last sync with the store.
type Places struct{ taken map[string]bool }

// NewPlaces returns permits of which none is known to be taken.
func NewPlaces() *Places { return &Places{taken: make(map[string]bool)} }

// Count returns the number of permits for a limit of perSecond loads a second, counted over a window. The platform
// tolerates overage times the limit.
func Count(perSecond float64, window time.Duration, overage float64) int {
	return int(perSecond*window.Seconds()*overage) + allowance
}

// Lifetime returns how long a permit must live from its request, so that it outlives the window in which its load counts.
func Lifetime(window time.Duration) time.Duration { return window + Validity }

// Note records whether the key of a permit exists.
func (p *Places) Note(key string, exists bool) {
	if exists {
		p.taken[key] = true
		return
	}
	delete(p.taken, key)
}

// KeepListed removes the permits that a complete listing of the store lacks.
func (p *Places) KeepListed(listed map[string]bool) {
	for key := range p.taken {
		if !listed[key] {
			delete(p.taken, key)
		}
	}
}

// Free returns the key of the first permit that is not known to be taken, or false. The search begins at start: with
// random starts, VMs rarely request the same permit.
func (p *Places) Free(service string, count, start int) (string, bool) {
	for i := range count {
		key := strings.Join([]string{Prefix + service, strconv.Itoa((start + i) % count)}, "/")
		if !p.taken[key] {
			return key, true
		}
	}
	return "", false
}
