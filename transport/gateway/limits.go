package gateway

import (
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/limits"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

// recordLimit records the limit that the head of an answer shows.
func (x *exchange) recordLimit(head platform.ResponseHead) {
	if !head.LimitKnown {
		return
	}
	g, runner := x.gateway, x.choice.Runner.ID
	g.mu.Lock()
	before := g.limits.PerSecond(runner)
	changed := g.limits.Record(clock.Now(), runner, head.Limit, x.sentAt)
	after := g.limits.PerSecond(runner)
	g.mu.Unlock()
	if before != limits.Unlimited {
		limitRecords.Add("sent", 1)
	}
	if changed {
		limitRecords.Add("changed", 1)
		g.log.Emit(eventlog.LimitChanged, x.request.ID, runner, limits.Text(after), limits.Text(before))
	}
}
