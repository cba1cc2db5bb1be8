package control

import "sync"

// observers allows at most one observation of a runner at a time and counts consecutive failures.
type observers struct {
	mu       sync.Mutex
	busy     map[string]bool
	failures map[string]int
}

func newObservers() *observers {
	return &observers{busy: make(map[string]bool), failures: make(map[string]int)}
}

// begin reports whether an observation of a runner may start, and records its start.
func (o *observers) begin(runner string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy[runner] {
		return false
	}
	o.busy[runner] = true
	return true
}

// end records the end of an observation and returns the number of consecutive failures.
func (o *observers) end(runner string, failed bool) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.busy[runner] = false
	if !failed {
		o.failures[runner] = 0
		return 0
	}
	o.failures[runner]++
	return o.failures[runner]
}
