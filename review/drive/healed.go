//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
)

func init() { cases["healed"] = healed }

const (
	// cutTime is how long the first machine is cut off from the store.
	cutTime = 4 * time.Second
	// lingerTime is how long a leaving runner serves beyond drainTime.
	lingerTime = 1500 * time.Millisecond
	// requestInterval is the time between two requests.
	requestInterval = 25 * time.Millisecond
	streamEvents    = 20
	streamPause     = 60 * time.Millisecond
	rounds          = 8
	// runnerCount is the number of runners, and leavingCount the number of those that leave in a round, one each
	// leaveInterval.
	runnerCount   = 12
	leavingCount  = 3
	leaveInterval = 150 * time.Millisecond
)

// attempt is a request of a client, with its outcome.
type attempt struct {
	id, gateway, outcome string
	sentAt               time.Time
}

// healed lets runners leave just as the path of one machine to the store is whole again. The clients use the other
// machines, which are never disturbed.
func healed(d *deployment, trouble bool) []string {
	d.configure(1)
	var runners []*modelRunner
	added := 0
	addRunner := func() {
		added++
		runners = append(runners, d.addModelRunner(fmt.Sprintf("i-%d", added), streamEvents, streamPause))
	}
	for range runnerCount {
		addRunner()
	}
	var nodes []*node
	for i := range 4 {
		nodes = append(nodes, d.addGateway(fmt.Sprintf("front-a-%d", i+1)))
	}
	for _, n := range nodes {
		d.awaitReady(n)
	}
	time.Sleep(contactTime)
	clients := &streamClients{d: d, nodes: nodes[1:]}
	stop := clients.start()
	leftAt := make(map[*modelRunner]time.Time)
	var left []*modelRunner
	for range rounds {
		leaving := runners[:leavingCount]
		runners = runners[leavingCount:]
		for range leavingCount {
			addRunner()
		}
		if trouble {
			d.note("%s is cut off from the store", nodes[0].name)
			nodes[0].storeLink.Set(proxy.Faults{Freeze: true, RefuseNew: true})
		}
		time.Sleep(cutTime)
		if trouble {
			d.note("%s reaches the store again", nodes[0].name)
			nodes[0].storeLink.Set(proxy.Faults{})
		}
		for _, r := range leaving {
			leftAt[r] = r.leave()
			d.note("the store has acknowledged that runner %s is gone", r.id)
			time.Sleep(leaveInterval)
		}
		for _, r := range leaving {
			time.Sleep(time.Until(leftAt[r].Add(drainTime + lingerTime)))
			r.exit()
			d.note("runner %s has ended", r.id)
		}
		left = append(left, leaving...)
		time.Sleep(contactTime)
	}
	stop()
	return clients.judge(left, leftAt)
}

// streamClients send requests to several machines in turn.
type streamClients struct {
	d        *deployment
	nodes    []*node
	mu       sync.Mutex
	attempts map[string]*attempt
	open     sync.WaitGroup
}

// start sends requests until the returned function is called, which waits for their answers.
func (c *streamClients) start() (stop func()) {
	c.attempts = make(map[string]*attempt)
	stopped := make(chan struct{})
	c.open.Add(1)
	go func() {
		defer c.open.Done()
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-time.After(requestInterval):
			}
			a := &attempt{id: fmt.Sprintf("attempt-%d", i+1), gateway: c.nodes[i%len(c.nodes)].name, sentAt: time.Now()}
			c.mu.Lock()
			c.attempts[a.id] = a
			c.mu.Unlock()
			c.open.Add(1)
			go c.send(a, c.nodes[i%len(c.nodes)])
		}
	}()
	return func() {
		close(stopped)
		c.open.Wait()
	}
}

func (c *streamClients) send(a *attempt, n *node) {
	defer c.open.Done()
	outcome := c.exchange(a, n)
	c.mu.Lock()
	a.outcome = outcome
	c.mu.Unlock()
	c.d.note("%s to %s, sent at %.3f s: %s", a.id, a.gateway, a.sentAt.Sub(c.d.startedAt).Seconds(), outcome)
}

func (c *streamClients) exchange(a *attempt, n *node) string {
	request, err := caller.NewRequest(context.Background(), n.callers, caller.Request{
		Attempt: a.id, Host: host, Path: modelPath, Model: "large", Body: []byte("{}"),
	})
	if err != nil {
		panic(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	events := strings.Count(string(body), "id: ")
	if err != nil {
		return fmt.Sprintf("%d, cut after %d events", response.StatusCode, events)
	}
	return fmt.Sprintf("%d with %d events", response.StatusCode, events)
}

// judge returns the requests that reached a runner later than drainTime after the store had acknowledged that it is gone.
func (c *streamClients) judge(left []*modelRunner, leftAt map[*modelRunner]time.Time) []string {
	var broken []string
	for _, r := range left {
		for _, run := range r.Runs() {
			a := c.attempts[run.Attempt]
			if a == nil || !a.sentAt.After(leftAt[r].Add(drainTime)) {
				continue
			}
			broken = append(broken, fmt.Sprintf(
				"%s, sent to %s, reached runner %s %d ms after the ack that it is gone; the client got: %s",
				a.id, a.gateway, r.id, run.At.Sub(leftAt[r]).Milliseconds(), a.outcome,
			))
		}
	}
	return broken
}
