//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// memoryMB is the memory of a machine of the small deployment, in MiB.
	memoryMB = 284
	// draftBytes is the size of the largest requests of the site file, and draftUsers the number of users that keep a channel.
	draftBytes = 110_000
	draftUsers = 1300
	// draftGap is the time between two users of the burst, which lasts less than 3 s.
	draftGap = 3 * time.Millisecond
)

// playMemory lets many users come at once. Each sends one long request, one after the other, and keeps the channel.
func playMemory(d *deployment, trouble bool) ([]string, error) {
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
	var stopping atomic.Bool
	defer stopping.Store(true)
	d.run("ask whether ready", func() { g.askReady(&stopping) })
	d.run("limit memory", func() { d.limitMemory(g, &stopping) })
	ran.book(g, &stopping)
	body := strings.Repeat("x", draftBytes)
	var served atomic.Int64
	var kept []*channel
	users := func(name string, count int, gap time.Duration) {
		begun := time.Now()
		for i := 0; i < count && !g.ended(); i++ {
			c, err := dial(g.callers)
			if err != nil {
				break
			}
			kept = append(kept, c)
			d.run("user", func() {
				a := c.send(request{
					attempt: fmt.Sprintf("%s-%d", name, i), method: "POST", path: "/look/x", body: body, budget: 3 * time.Second,
				})
				if a.status == 200 && a.complete {
					served.Add(1)
				}
			})
			time.Sleep(time.Until(begun.Add(time.Duration(i+1) * gap)))
		}
		time.Sleep(2 * time.Second)
		d.record.line("%d channels are open, %d requests of %d bytes served, memory of the process %d MiB", len(kept), served.Load(), draftBytes, g.memoryMB())
	}
	users("usual", draftUsers, 3*usualGap)
	if served.Load() < draftUsers {
		return nil, fmt.Errorf("%d of %d usual users were served", served.Load(), draftUsers)
	}
	if trouble {
		d.record.line("many users come at once")
		users("burst", int((burstFactor-1)*draftUsers), draftGap)
	}
	time.Sleep(5 * time.Second)
	d.record.line("memory of the process %d MiB, with %d requests under way", g.memoryMB(), busyUsers)
	for _, c := range kept {
		c.close()
	}
	return ran.judge(g), nil
}

// memoryMB returns the resident memory of the process in MiB.
func (g *gateway) memoryMB() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.process.Process.Pid))
	for line := range strings.Lines(string(data)) {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes >> 10
		}
	}
	return 0
}

// limitMemory kills the process when it exceeds its memory, as the platform does.
func (d *deployment) limitMemory(g *gateway, stopping *atomic.Bool) {
	for !stopping.Load() && !g.ended() {
		if used := g.memoryMB(); used > memoryMB {
			d.record.line("the process has %d MiB, more than %d: the platform kills it", used, memoryMB)
			_ = g.process.Process.Kill()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
