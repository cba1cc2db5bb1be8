package pacing

import (
	"strconv"
	"strings"
	"time"
)

const (
	// Prefix begins the keys of places.
	Prefix = "loads/"
	// Validity is the time from asking for a place in which its load must begin; a place and an order take the store
	// and the runner some tens of milliseconds each.
	Validity = 1500 * time.Millisecond
	// allowance is the number of loads in a window beyond the rate; the platform allows three, one is kept back.
	allowance = 2
)

// Places are the places that are taken, as far as this VM has heard.
type Places struct{ taken map[string]bool }

// NewPlaces returns places of which none is known to be taken.
func NewPlaces() *Places { return &Places{taken: make(map[string]bool)} }

// Count returns the number of places for a rate of loads a second, counted in a window, with the platform's overage.
func Count(perSecond float64, window time.Duration, overage float64) int {
	return int(perSecond*window.Seconds()*overage) + allowance
}

// Lifetime returns how long a place must live after it was asked for, so that it outlasts the window of its load.
func Lifetime(window time.Duration) time.Duration { return window + Validity }

// Note takes in that a key of a place exists or not.
func (p *Places) Note(key string, exists bool) {
	if exists {
		p.taken[key] = true
		return
	}
	delete(p.taken, key)
}

// KeepListed forgets the places that a listing of the store does not have.
func (p *Places) KeepListed(listed map[string]bool) {
	for key := range p.taken {
		if !listed[key] {
			delete(p.taken, key)
		}
	}
}

// Free returns the key of a place that is not known to be taken, searched from a start so that VMs ask for different
// ones.
func (p *Places) Free(service string, count, start int) (string, bool) {
	for i := range count {
		key := strings.Join([]string{Prefix + service, strconv.Itoa((start + i) % count)}, "/")
		if !p.taken[key] {
			return key, true
		}
	}
	return "", false
}
