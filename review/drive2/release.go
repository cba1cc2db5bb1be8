//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// waveUsers keep a channel open each and ask once a wave, all at the same time.
	waveUsers = 900
	wave      = 2 * time.Second
	fleetSize = 6
	// releases is the number of times that half of the runners are replaced, one after the other.
	releases = 8
	// releaseGap is the time from one replacement to the next, and drainTime how long a runner serves after it has said that it leaves.
	releaseGap = time.Second
	drainTime  = 2 * time.Second
)

// fleet is the runners of the plain service.
type fleet struct {
	d       *deployment
	mu      sync.Mutex
	runners []*runner
	started int
	ran     *runs
}

func (f *fleet) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &runner{
		id: fmt.Sprintf("i-%03d", f.started), service: "booking", zone: "a", slots: 64, work: 400 * time.Millisecond, ran: f.ran.start,
	}
	f.started++
	r.start(f.d)
	f.runners = append(f.runners, r)
}

// replace starts a new runner and lets the oldest one drain and end.
func (f *fleet) replace() {
	f.add()
	f.mu.Lock()
	old := f.runners[0]
	f.runners = f.runners[1:]
	f.mu.Unlock()
	f.d.record.line("runner %s drains", old.id)
	old.drain(f.d.store)
	time.AfterFunc(drainTime+time.Second, func() {
		f.d.record.line("runner %s ends", old.id)
		old.end(f.d.store)
	})
}

// playRelease replaces runners one after the other while users come in waves.
func playRelease(d *deployment, trouble bool) ([]string, error) {
	d.maxFiles = maxFiles
	d.store.put("op/config", engineConfiguration(1, usualTimeout))
	f := &fleet{d: d, ran: newRuns(d)}
	for range fleetSize {
		f.add()
	}
	g := d.addGateway("front-1", "a")
	if !d.awaitReady(10 * time.Second) {
		return nil, errors.New("not ready")
	}
	time.Sleep(3 * time.Second)
	var served, failed atomic.Int64
	var stopping atomic.Bool
	defer stopping.Store(true)
	d.run("ask whether ready", func() { g.askReady(&stopping) })
	f.ran.book(g, &stopping)
	begun := time.Now()
	for i := range waveUsers {
		d.run("user", func() {
			c, err := dial(g.callers)
			for n := 1; err == nil && !stopping.Load(); n++ {
				time.Sleep(time.Until(begun.Add(2*time.Second + time.Duration(n)*wave)))
				attempt := fmt.Sprintf("user-%d-%d", i, n)
				a := c.send(request{attempt: attempt, method: "POST", path: "/book/x", body: "{}", budget: 3 * time.Second})
				if a.status == 200 && a.complete {
					served.Add(1)
					continue
				}
				failed.Add(1)
				if a.bytes == 0 && n > 1 && !stopping.Load() {
					f.ran.unanswered(attempt, a)
				}
				if a.err != nil {
					return
				}
			}
		})
	}
	report := func(when string) {
		d.record.line("%s: served %d, failed %d, descriptors of the process %d", when, served.Load(), failed.Load(), g.files())
	}
	time.Sleep(9 * time.Second)
	report("before the releases")
	for i := 0; i < releases && !g.ended(); i++ {
		for range fleetSize / 2 {
			if trouble {
				f.replace()
			}
			time.Sleep(releaseGap)
		}
		time.Sleep(3 * time.Second)
		report(fmt.Sprintf("after release %d", i+1))
	}
	time.Sleep(4 * time.Second)
	return f.ran.judge(g), nil
}
