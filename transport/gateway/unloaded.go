package gateway

import (
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/admission"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// unloadedModel returns since when no runner holds the model of a request, and how long a load takes, or false if one holds
// it or if it is not known when it will be loaded. The caller must hold the lock.
func (g *Gateway) unloadedModel(now time.Time, x *exchange, runners []*fleet.Runner) (admission.Unloaded, bool) {
	model := x.request.Unit.Model
	key := serviceModel{x.service, model}
	held, onDisk, inMemory := false, false, false
	for _, r := range runners {
		held = held || !r.Draining && r.Holdings.Has(fleet.Unit{Model: model})
		onDisk = onDisk || !r.Draining && slices.Contains(r.OnDisk, model)
		inMemory = inMemory || !r.Draining && slices.Contains(r.InMemory, model)
	}
	if held || model == "" || len(runners) == 0 {
		delete(g.unloadedSince, key)
		return admission.Unloaded{}, false
	}
	engine := g.engineOf(runners[0])
	if engine == nil || engine.engine.Model(model) == nil {
		return admission.Unloaded{}, false
	}
	missing := g.unloadedSince[key]
	if now.Sub(missing.noticedAt) > missingGap {
		missing.since = now
	}
	missing.noticedAt = now
	g.unloadedSince[key] = missing
	known := engine.engine.Model(model)
	u := admission.Unloaded{Since: missing.since, LoadTime: known.LoadTime}
	switch {
	case inMemory:
		u.LoadTime = known.HostLoadTime
	case onDisk:
		u.LoadTime = known.DiskLoadTime
	}
	return u, true
}

// serviceModel is a model of a service.
type serviceModel struct{ service, model string }

// missingModel is a model for which requests arrive and which no runner holds.
type missingModel struct{ since, noticedAt time.Time }

// missingGap is the time without requests for a missing model after which it may have been loaded unnoticed.
const missingGap = 5 * time.Second
