//go:build review

package main

import (
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// heartbeatInterval is the interval at which a runner writes its entry.
const heartbeatInterval = 1200 * time.Millisecond

// modelRunner is a model runner behind a link that ends with it.
type modelRunner struct {
	*modelrunner.Runner
	id         string
	link       *proxy.Proxy
	d          *deployment
	stopBeats  context.CancelFunc
	beatsEnded chan struct{}
}

// addModelRunner starts a runner that holds the model and writes its entry to the store.
func (d *deployment) addModelRunner(id string, events int, pause time.Duration) *modelRunner {
	listener := listen()
	link := proxy.New(addressOf(listener))
	outside := listen()
	link.Start(d.tasks, outside, listen())
	runner := modelrunner.New(modelrunner.Options{
		ID: id, Service: modelService, Domain: "kumamoto-a", MemoryMB: 200_000, ModelMB: 72_700, AdapterSlots: 8,
		LoadTime: 1200 * time.Millisecond, StreamEvents: events, Pause: pause, Address: addressOf(outside),
		Models: []modelrunner.Model{{Name: "large", Version: 1, Adapters: []string{}}},
	})
	runner.Start(d.tasks, listener)
	ctx, cancel := context.WithCancel(d.tasks.Context())
	r := &modelRunner{Runner: runner, id: id, link: link, d: d, stopBeats: cancel, beatsEnded: make(chan struct{})}
	d.tasks.Run("heartbeat", func(context.Context) {
		defer close(r.beatsEnded)
		_ = group.Every(ctx, heartbeatInterval, func(time.Time) { d.store.Put(caller.RunnerKeys+id, runner.Entry()) })
	})
	return r
}

// leave removes the runner's entry, and returns when the store has done so. The runner serves on.
func (r *modelRunner) leave() time.Time {
	r.stopBeats()
	<-r.beatsEnded
	r.d.store.Remove(caller.RunnerKeys + r.id)
	return time.Now()
}

// exit ends all channels of the runner and refuses new ones.
func (r *modelRunner) exit() { r.link.Set(proxy.Faults{Disconnect: true}) }
