package control

import "sync"

// observations allows at most one observation of a runner at a time and counts consecutive failures.
type observations struct {
	mu       sync.Mutex
	inFlight map[string]bool
	failures map[string]int
}

func newObservations() *observations {
	return &observations{inFlight: make(map[string]bool), failures: make(map[string]int)}
}

// begin reports whether an observation of a runner may start, and records its start.
func (o *observations) begin(runner string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight[runner] {
		return false
	}
	o.inFlight[runner] = true
	return true
}

// end records the end of an observation and returns the number of consecutive failures.
func (o *observations) end(runner string, failed bool) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight[runner] = false
	if !failed {
		o.failures[runner] = 0
		return 0
	}
	o.failures[runner]++
	return o.failures[runner]
}
