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
)

const (
	// adapterInterval is the time between two requests for an adapter.
	adapterInterval = 12 * time.Millisecond
	adapterCount    = 74
)

// adapterClients send requests for many adapters, so that runners get orders all the time.
type adapterClients struct {
	d     *deployment
	mu    sync.Mutex
	nodes []*node
	open  sync.WaitGroup
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
