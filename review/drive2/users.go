//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxFiles is the number of descriptors of a machine of the small deployment.
	maxFiles = 4100
	// busyUsers send one request after another, each on a channel of its own.
	busyUsers = 24
	// readyInterval is the time between two questions of the platform whether a machine is ready.
	readyInterval = time.Second
)

// runs holds which runner ran which request, and the requests that got no answer on a kept channel.
type runs struct {
	d    *deployment
	mu   sync.Mutex
	ran  map[string]string
	lost []string
}

func newRuns(d *deployment) *runs { return &runs{d: d, ran: map[string]string{}} }

// start is the callback of runners.
func (r *runs) start(id, attempt, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[attempt] = id
}

// unanswered records a request whose channel was closed without an answer, if a runner ran it.
func (r *runs) unanswered(attempt string, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id := r.ran[attempt]; id != "" {
		r.lost = append(r.lost, attempt)
		r.d.record.line("client gets for %s, which %s runs: %s", attempt, id, a)
	}
}

// book lets busy users send unsafe requests until they are stopped or their channels are closed.
func (r *runs) book(g *gateway, stopping *atomic.Bool) {
	for i := range busyUsers {
		r.d.run("busy user", func() {
			c, err := dial(g.callers)
			for n := 0; err == nil && !stopping.Load(); n++ {
				attempt := fmt.Sprintf("busy-%d-%d", i, n)
				a := c.send(request{attempt: attempt, method: "POST", path: "/book/x", body: "{}", budget: 3 * time.Second})
				if a.bytes == 0 && !stopping.Load() {
					if n > 0 {
						r.unanswered(attempt, a)
					}
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

// askReady asks once a second whether the machine is ready, as the platform does.
func (g *gateway) askReady(stopping *atomic.Bool) {
	for !stopping.Load() && !g.ended() {
		g.ready()
		time.Sleep(readyInterval)
	}
}

// judge returns what broke the rule if the process has ended by itself.
func (r *runs) judge(g *gateway) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !g.ended() || len(r.lost) <= maxClosed {
		return nil
	}
	return []string{fmt.Sprintf("LOST: the process ended by itself, and %d requests that runners ran on kept channels got no answer", len(r.lost))}
}
