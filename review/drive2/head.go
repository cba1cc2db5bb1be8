//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func engineConfiguration(version int, timeoutMS int) map[string]any {
	model := map[string]any{
		"name": "large", "weights_mb": 42700, "load_s": 1.2, "warm_s": 0.44, "disk_s": 0.57, "adapters": 42, "adapter_mb": 66,
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "draft", "host": host, "prefix": "/draft/", "kind": "streaming", "timeout_ms": timeoutMS,
				"target_latency_ms": 800, "priority": 1, "service": "models", "max_attempts": 1, "gap_aim_ms": 600,
			},
			map[string]any{
				"name": "book", "host": host, "prefix": "/book/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 300,
				"priority": 2, "service": "booking", "max_attempts": 1,
			},
			map[string]any{
				"name": "look", "host": host, "prefix": "/look/", "kind": "safe", "timeout_ms": 3000, "target_latency_ms": 300,
				"priority": 2, "service": "booking", "max_attempts": 2,
			},
		},
		"services": []any{
			map[string]any{"name": "models", "health_path": "/health", "max_connections": 370, "engine": map[string]any{
				"slots": 64, "kv_capacity": 281907, "models": []any{model}, "weights_mb": 200000, "adapter_slots": 8, "loads_per_s": 1.4,
			}},
			map[string]any{"name": "booking", "health_path": "/health", "max_connections": 2000},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 30000,
		},
	}
}

const (
	// usualTimeout and shortTimeout are the route's timeout before and after the change of the configuration, in milliseconds.
	usualTimeout = 6000
	shortTimeout = 1000
	// firstEvent is the time to the first event of a stream, which no runner exceeds or falls short of.
	firstEvent = 1300 * time.Millisecond
	keepers    = 8
	// maxClosed is the number of channels that the rule lets a machine close without an answer.
	maxClosed = 3
)

// playHead changes the timeout of a route while clients ask for streams on kept channels. The head of an answer comes at once, and
// the first event after the new timeout.
func playHead(d *deployment, trouble bool) ([]string, error) {
	d.store.put("op/config", engineConfiguration(1, usualTimeout))
	for i := range 3 {
		r := &runner{
			id: fmt.Sprintf("i-%d", i), service: "models", zone: "a", slots: 64, work: firstEvent, pause: 50 * time.Millisecond,
			events: 5, models: []loadedModel{{"large", 1, []string{}}},
		}
		r.ran = func(id, attempt, path string) {
			d.record.line("%s runs %s %s and sends the head of its answer", id, attempt, path)
		}
		r.start(d)
	}
	g := d.addGateway("front-1", "a")
	if !d.awaitReady(10 * time.Second) {
		return nil, errors.New("not ready")
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	closed, served := 0, 0
	channels := make([]*channel, keepers)
	phase := func(name string, requests int) {
		var all sync.WaitGroup
		for i, c := range channels {
			all.Go(func() {
				for n := range requests {
					a := sendDraft(d, c, i, fmt.Sprintf("%s-%d-%d", name, i, n))
					mu.Lock()
					if a.bytes == 0 && a.err != nil {
						closed++
					}
					if a.status == 200 && a.complete {
						served++
					}
					mu.Unlock()
					if a.err != nil {
						return
					}
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		all.Wait()
	}
	for i := range channels {
		c, err := dial(g.callers)
		if err != nil {
			return nil, err
		}
		defer c.close()
		channels[i] = c
	}
	phase("before", 2)
	if served < 2*keepers {
		return nil, fmt.Errorf("only %d of %d requests were served before the change", served, 2*keepers)
	}
	if trouble {
		d.record.line("the operator writes version 2: the timeout of the route is %d ms in place of %d ms", shortTimeout, usualTimeout)
		d.store.put("op/config", engineConfiguration(2, shortTimeout))
	}
	// The configuration must be in force after config_apply_ms, and its change counts as planned work for a second more.
	time.Sleep(4 * time.Second)
	phase("after", 1)
	if closed > maxClosed {
		return []string{fmt.Sprintf(
			"LOST: the machine passed %d requests from kept channels on to sound runners and closed the channels without an answer", closed,
		)}, nil
	}
	return nil, nil
}

func sendDraft(d *deployment, c *channel, client int, attempt string) answer {
	q := request{
		attempt: attempt, method: "POST", path: "/draft/x", model: "large", body: "{}", budget: 6 * time.Second,
		tokens: "900,20", prompt: fmt.Sprintf("a1:200,%x:700", client+1),
	}
	d.record.line("client %d sends %s on its channel", client, attempt)
	sent := time.Now()
	a := c.send(q)
	d.record.line("client %d gets for %s after %.3f s: %s", client, attempt, time.Since(sent).Seconds(), a)
	return a
}
