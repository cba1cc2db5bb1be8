package gateway

import (
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/capacity"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

// recordMachineLoad records the load of the runner and of its machine that the head of an answer reports.
func (x *exchange) recordMachineLoad(head platform.ResponseHead) {
	status := x.call.Response.StatusCode()
	served := x.request.Unit.Model == "" && !head.NotRun && head.Sealed && status >= statusOK && status < statusMultipleChoices
	if head.Load.TimePercent == 0 && (!served || head.Load.Slots == 0) {
		return
	}
	now, g := clock.Now(), x.gateway
	peer := capacity.Peer{Runner: x.choice.Runner.ID, Incarnation: x.choice.Runner.Incarnation}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Capacity().RecordBusy(now, peer, head.Load.TimePercent)
	if served {
		g.scheduler.Capacity().RecordService(now, peer, now.Sub(x.sentAt), head.Load.Running+head.Load.Waiting, head.Load.Slots)
	}
}

// recordEventTime records the usual time between two events of the stream that is relayed.
func (x *exchange) recordEventTime(usual time.Duration) {
	now, g := clock.Now(), x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.RecordEventTime(now, x.inFlight, usual)
}

// applyCapacities applies what the other VMs measured of the runners' speeds. Only the aggregator logs the judgements, which are
// nearly the same at all VMs. The caller must hold the lock.
func (g *Gateway) applyCapacities(now time.Time, others map[string]capacity.Evidence) {
	services := make(map[string][]capacity.Peer)
	for _, runner := range g.directory.All() {
		services[runner.Service] = append(services[runner.Service], capacity.Peer{Runner: runner.ID, Incarnation: runner.Incarnation})
	}
	for _, peers := range services {
		for _, judged := range g.scheduler.Capacity().Apply(now, peers, others) {
			if e := judged.Estimate; !g.aggregatorSince.IsZero() {
				g.log.Emit(
					eventlog.CapacityChanged, judged.Runner, e.Prefill, e.Decode, e.Plain, e.PrefillWeight, e.DecodeWeight,
					e.PlainWeight, e.Agreement,
				)
			}
		}
	}
}
