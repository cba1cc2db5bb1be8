package gateway

import (
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

// recordLoad records the load that the head of an answer shows, unless the runner turned the request away.
func (x *exchange) recordLoad(head platform.ResponseHead) {
	if head.NotRun || head.Load.Slots == 0 {
		return
	}
	now, g := clock.Now(), x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.RecordLoad(now, x.inFlight, reportedLoad(head))
}

// recordFull records that a runner turned the request away. It reports whether it did so for want of room, so that the request
// may come back to it. A runner that leaves or wants a rest gets no other.
func (x *exchange) recordFull(head platform.ResponseHead) bool {
	if head.Misdirected || head.Leaving || head.Rest > 0 {
		return false
	}
	now, g := clock.Now(), x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	full := g.scheduler.RecordFull(now, x.inFlight, reportedLoad(head), g.random.Float64())
	if full {
		runnersFull.Add(1)
	}
	return full
}

func reportedLoad(head platform.ResponseHead) dispatch.ReportedLoad {
	return dispatch.ReportedLoad{Running: head.Load.Running, Waiting: head.Load.Waiting, Slots: head.Load.Slots}
}
