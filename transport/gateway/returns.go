package gateway

import (
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/state/admission"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
)

// noPlaceInTime follows the reason of a refusal whose caller finds no place in the time for which it waits.
const noPlaceInTime = "; no place is expected while the caller waits"

// scheduleReturn returns the refusal of a request for a reason. The first place for it is expected after a time, and its caller is
// told the time of its own place.
func (g *Gateway) scheduleReturn(now time.Time, x *exchange, reason string, retryAfter time.Duration) *lifecycle.NoEndpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	told := g.returns.Refuse(now, g.refusal(now, x, retryAfter), g.random.Float64())
	return toldRefusal(reason, told)
}

func toldRefusal(reason string, told admission.Return) *lifecycle.NoEndpoint {
	if told.NoPlace {
		reason += noPlaceInTime
	}
	return &lifecycle.NoEndpoint{Reason: reason, RetryAfter: told.RetryAfter}
}

// refusal describes a refused request, with this VM's part of the rate at which places are expected. The caller must hold the
// lock.
func (g *Gateway) refusal(now time.Time, x *exchange, retryAfter time.Duration) admission.Refusal {
	r := x.describeReturn()
	runners := x.endpoints(g.directory.OfService(x.service), "")
	r.RetryAfter = retryAfter
	r.PlacesPerSecond = g.scheduler.PlacesPerSecond(now, &x.request, runners, g.limits.PerSecond) / float64(g.members())
	return r
}

// describeReturn returns what a refusal says of the request alone.
func (x *exchange) describeReturn() admission.Refusal {
	return admission.Refusal{
		Group:    admission.ReturnGroup{Service: x.service, Model: x.request.Unit.Model},
		Priority: x.request.Priority, Fingerprint: x.request.Fingerprint, Deadline: x.request.Deadline,
	}
}

// refuseEarly refuses a request that repeats one before the time that its caller was told, while others wait for theirs. It returns
// nil for other requests, and for those that wait already.
func (w *wait) refuseEarly(now time.Time) *lifecycle.NoEndpoint {
	g, x := w.gateway, w.exchange
	if w.queued || !w.options.ok || x.machine.MayHaveRun() || g.refusing.Load() {
		return nil
	}
	g.mu.Lock()
	told, early := g.returns.Early(now, x.describeReturn())
	g.mu.Unlock()
	if !early {
		return nil
	}
	refusal := toldRefusal("the request was repeated before the time in Retry-After", told)
	g.log.Emit(eventlog.NoEndpoint, x.request.ID, refusal.Reason, w.options.runners, w.options.syncAge.Milliseconds())
	return refusal
}
