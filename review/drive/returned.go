//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
)

func init() { cases["returned"] = returned }

const (
	// awayTime is how long the store is away before it returns from a copy.
	awayTime = 1700 * time.Millisecond
	// joinTime is the time from the copy until the store goes away. New runners join in it.
	joinTime = 4 * time.Second
	// afterTime is how long the orders are watched after the return.
	afterTime = 14 * time.Second
	// adapterInterval is the time between two requests for an adapter.
	adapterInterval = 12 * time.Millisecond
	adapterCount    = 74
)

// returned lets the store come back from a copy that lacks the claims of new runners, while a machine is added.
func returned(d *deployment, trouble bool) []string {
	d.countErasFromZero()
	d.configure(1)
	for i := range 2 {
		d.addModelRunner(fmt.Sprintf("i-old-%d", i+1), 2, 20*time.Millisecond)
	}
	nodes := []*node{d.addGateway("front-a-1"), d.addGateway("front-a-2")}
	for _, n := range nodes {
		d.awaitReady(n)
	}
	clients := &adapterClients{d: d, nodes: nodes}
	stop := clients.start()
	time.Sleep(2 * contactTime)
	earlier := d.store.Copy()
	d.note("the store is copied")
	var joined []*modelRunner
	for i := range 4 {
		joined = append(joined, d.addModelRunner(fmt.Sprintf("i-new-%d", i+1), 2, 20*time.Millisecond))
	}
	time.Sleep(joinTime)
	var healedAt time.Time
	if trouble {
		d.note("the store is away")
		for _, n := range nodes {
			n.storeLink.Set(proxy.Faults{Disconnect: true})
		}
		time.Sleep(awayTime)
		d.store.ReturnFrom(earlier)
		d.note("the store is back from the copy")
		for _, n := range nodes {
			n.storeLink.Set(proxy.Faults{})
		}
		healedAt = time.Now()
	}
	added := d.addGateway("front-a-3")
	d.awaitReady(added)
	clients.add(added)
	time.Sleep(afterTime)
	stop()
	var broken []string
	for _, r := range joined {
		broken = append(broken, judgeOrders(d, r, healedAt)...)
	}
	return broken
}

// judgeOrders returns the orders of two holders that came within leaseTime. Orders within thawTime after the links have
// healed don't count.
func judgeOrders(d *deployment, r *modelRunner, healedAt time.Time) []string {
	var broken []string
	var last modelrunner.Order
	for _, o := range r.Orders() {
		if !healedAt.IsZero() && !o.At.Before(healedAt) && o.At.Before(healedAt.Add(thawTime)) {
			continue
		}
		if last.Holder != "" && o.Holder != last.Holder {
			d.note("runner %s: last order of %s at %.3f s", r.id, last.Holder, last.At.Sub(d.startedAt).Seconds())
		}
		if o.Holder != last.Holder {
			d.note("runner %s: orders of %s with fence %d from %.3f s on", r.id, o.Holder, o.Fence, o.At.Sub(d.startedAt).Seconds())
		}
		if last.Holder != "" && o.Holder != last.Holder && o.At.Sub(last.At) < leaseTime {
			broken = append(broken, fmt.Sprintf(
				"runner %s got an order of %s (fence %d) at %.3f s, %d ms after one of %s (fence %d)", r.id, o.Holder, o.Fence,
				o.At.Sub(d.startedAt).Seconds(), o.At.Sub(last.At).Milliseconds(), last.Holder, last.Fence,
			))
		}
		last = o
	}
	d.note("runner %s accepted %d orders", r.id, len(r.Orders()))
	return broken
}

// adapterClients send requests for many adapters, so that runners get orders all the time.
type adapterClients struct {
	d     *deployment
	mu    sync.Mutex
	nodes []*node
	open  sync.WaitGroup
}

func (c *adapterClients) add(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = append(c.nodes, n)
}

// start sends requests until the returned function is called, which waits for their answers.
func (c *adapterClients) start() (stop func()) {
	stopped := make(chan struct{})
	c.open.Add(1)
	go func() {
		defer c.open.Done()
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-time.After(adapterInterval):
			}
			c.mu.Lock()
			n := c.nodes[i%len(c.nodes)]
			c.mu.Unlock()
			c.open.Add(1)
			go c.send(fmt.Sprintf("attempt-%d", i+1), fmt.Sprintf("large/a%d", 1+rand.IntN(adapterCount)), n)
		}
	}()
	return func() {
		close(stopped)
		c.open.Wait()
	}
}

func (c *adapterClients) send(id, model string, n *node) {
	defer c.open.Done()
	request, err := caller.NewRequest(context.Background(), n.callers, caller.Request{
		Attempt: id, Host: host, Path: modelPath, Model: model, Body: []byte("{}"),
	})
	if err != nil {
		panic(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.d.note("%s for %s to %s: %v", id, model, n.name, err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	c.d.note("%s for %s to %s: %d", id, model, n.name, response.StatusCode)
}
