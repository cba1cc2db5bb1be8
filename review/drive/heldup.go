//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["heldup"] = heldUp }

const (
	// partitionTime is how long the machine is cut off from the runners, and restartTime the time until the platform starts
	// a killed process again.
	partitionTime = 4 * time.Second
	restartTime   = 500 * time.Millisecond
)

// heldUp cuts a machine off from its runners and kills its process while an order is on its way.
func heldUp(d *deployment, trouble bool) []string {
	d.configure(1)
	runners := make([]*engineRunner, 2)
	links := make([]*link, 2)
	for i := range runners {
		runners[i], links[i] = d.addEngineRunner(fmt.Sprintf("i-%d", i+1))
	}
	n := d.addGateway("front-a-1")
	d.awaitReady(n)
	clients := &adapterClients{d: d, nodes: []*node{n}}
	stop := clients.start()
	time.Sleep(2 * contactTime)
	var cutEnds time.Time
	if trouble {
		d.note("%s is cut off from the runners", n.name)
		for _, l := range links {
			l.cut(true)
		}
		cutEnds = time.Now().Add(partitionTime)
		select {
		case <-links[0].heldOrder:
		case <-links[1].heldOrder:
		case <-time.After(partitionTime):
			panic("no order was on its way")
		}
	}
	d.note("the process of %s is killed", n.name)
	n.kill()
	time.Sleep(restartTime)
	n.start(d.directory)
	d.note("the process of %s is started again", n.name)
	if trouble {
		time.Sleep(time.Until(cutEnds))
		for _, l := range links {
			l.cut(false)
		}
		d.note("%s reaches the runners again", n.name)
	}
	time.Sleep(2*resendTime + contactTime)
	stop()
	var broken []string
	for _, r := range runners {
		broken = append(broken, judgeFences(d, r)...)
	}
	return broken
}

// judgeFences returns the orders with a lower fence than one before.
func judgeFences(d *deployment, r *engineRunner) []string {
	var broken []string
	highest := arrival{}
	for _, a := range r.allArrivals() {
		switch {
		case a.fence > highest.fence:
			d.note("runner %s: orders of %s with fence %d from %.3f s on", r.id, a.holder, a.fence, a.at.Sub(d.startedAt).Seconds())
			highest = a
		case a.fence < highest.fence:
			broken = append(broken, fmt.Sprintf(
				"runner %s got an order of %s with fence %d at %.3f s (answered %d), after one with fence %d at %.3f s", r.id, a.holder,
				a.fence, a.at.Sub(d.startedAt).Seconds(), a.status, highest.fence, highest.at.Sub(d.startedAt).Seconds(),
			))
		}
	}
	d.note("%d orders reached runner %s", len(r.allArrivals()), r.id)
	return broken
}
