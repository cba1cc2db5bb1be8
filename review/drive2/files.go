//go:build review

package main

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// usualUsers is the number of users that keep a channel open, and burstFactor how many times as many come at once.
	usualUsers  = 2400
	burstFactor = 1.7
	// usualGap and burstGap are the times between two users. The burst lasts less than 3 s.
	usualGap = 4 * time.Millisecond
	burstGap = 1700 * time.Microsecond
)

// playFiles lets many users come at once, each with one channel on which it asks for a status now and then.
func playFiles(d *deployment, trouble bool) ([]string, error) {
	d.maxFiles = maxFiles
	d.store.put("op/config", engineConfiguration(1, usualTimeout))
	ran := newRuns(d)
	for i := range 3 {
		r := &runner{id: fmt.Sprintf("i-%d", i), service: "booking", zone: "a", slots: 64, work: 60 * time.Millisecond, ran: ran.start}
		r.start(d)
	}
	g := d.addGateway("front-1", "a")
	if !d.awaitReady(10 * time.Second) {
		return nil, errors.New("not ready")
	}
	time.Sleep(3 * time.Second)
	var served, refused, failed atomic.Int64
	var stopping atomic.Bool
	defer stopping.Store(true)
	d.run("ask whether ready", func() { g.askReady(&stopping) })
	ran.book(g, &stopping)
	look := func(c *channel, attempt string) bool {
		a := c.send(request{attempt: attempt, method: "GET", path: "/look/x", budget: 3 * time.Second})
		switch {
		case a.status == 200 && a.complete:
			served.Add(1)
		case a.status != 0:
			refused.Add(1)
		default:
			failed.Add(1)
		}
		return a.err == nil
	}
	users := func(name string, count int, gap time.Duration) {
		d.record.line("%d users of %s open a channel each and ask for a status", count, name)
		begun := time.Now()
		for i := range count {
			d.run("user", func() {
				c, err := dial(g.callers)
				for n := 0; err == nil && !stopping.Load() && look(c, fmt.Sprintf("%s-%d-%d", name, i, n)); n++ {
					time.Sleep(10 * time.Second)
				}
			})
			time.Sleep(time.Until(begun.Add(time.Duration(i+1) * gap)))
		}
	}
	report := func() {
		d.record.line("served %d, refused %d, failed %d; descriptors of the process: %d; it has ended: %v",
			served.Load(), refused.Load(), failed.Load(), g.files(), g.ended())
	}
	users("usual", usualUsers, usualGap)
	time.Sleep(2 * time.Second)
	report()
	if failed.Load() > 0 || served.Load() < usualUsers {
		return nil, fmt.Errorf("%d of %d usual users were served", served.Load(), usualUsers)
	}
	if trouble {
		d.record.line("many users come at once")
		users("burst", int((burstFactor-1)*usualUsers), burstGap)
	}
	time.Sleep(3 * time.Second)
	report()
	return ran.judge(g), nil
}
