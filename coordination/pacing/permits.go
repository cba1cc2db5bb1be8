package pacing

import (
	"strconv"
	"strings"
	"time"
)

const (
	// Prefix starts the keys of load permits in the platform's store.
	Prefix = "loads/"
	// LoadStartTimeout is the longest time from the request for a permit until its load begins. The store and the runner
	// take some tens of milliseconds each to grant a permit and to accept an order.
	LoadStartTimeout = 1500 * time.Millisecond
	// extraLoads is the number of loads in a window beyond the rate. The platform tolerates three; one is kept in reserve.
	extraLoads = 2
)

// Permits are the load permits that are taken, as of this VM's last sync with the store.
type Permits struct{ taken map[string]bool }

// NewPermits returns permits of which none is known to be taken.
func NewPermits() *Permits { return &Permits{taken: make(map[string]bool)} }

// PermitCount returns the number of permits for a limit of perSecond loads a second, counted over a window. The
// platform tolerates overage times the limit.
func PermitCount(perSecond float64, window time.Duration, overage float64) int {
	return int(perSecond*window.Seconds()*overage) + extraLoads
}

// PermitLifetime returns how long a permit must live from its request, so that it outlives the window in which its load
// counts.
func PermitLifetime(window time.Duration) time.Duration { return window + LoadStartTimeout }

// SetTaken records whether the key of a permit exists.
func (p *Permits) SetTaken(key string, exists bool) {
	if exists {
		p.taken[key] = true
		return
	}
	delete(p.taken, key)
}

// ApplyListing removes the permits that a complete listing of the store lacks.
func (p *Permits) ApplyListing(listed map[string]bool) {
	for key := range p.taken {
		if !listed[key] {
			delete(p.taken, key)
		}
	}
}

// Free returns the key of the first permit that is not known to be taken, or false. The search begins at start: with
// random starts, VMs rarely request the same permit.
func (p *Permits) Free(service string, count, start int) (string, bool) {
	for i := range count {
		key := strings.Join([]string{Prefix + service, strconv.Itoa((start + i) % count)}, "/")
		if !p.taken[key] {
			return key, true
		}
	}
	return "", false
}
