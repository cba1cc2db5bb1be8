package gateway

import (
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/admission"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// unloadedModel returns since when no runner holds the model of a request, and how long a load takes, or false if one holds
// it or if it is not known when it will be loaded. It records that the model is missing. The caller must hold the lock.
func (g *Gateway) unloadedModel(now time.Time, x *exchange, runners []*fleet.Runner) (admission.Unloaded, bool) {
	key := serviceModel{x.service, x.request.Unit.Model}
	u, missing, held := g.findUnloaded(now, x, runners)
	switch {
	case held:
		delete(g.unloadedSince, key)
	case missing != nil:
		g.unloadedSince[key] = *missing
	}
	return u, missing != nil
}

// findUnloaded returns what unloadedModel does and what it records, or held if there is no missing model. It returns no missing
// model if it is not known when it will be loaded. It changes nothing. The caller must hold the lock.
func (g *Gateway) findUnloaded(
	now time.Time, x *exchange, runners []*fleet.Runner,
) (u admission.Unloaded, missing *missingModel, held bool) {
	model := x.request.Unit.Model
	onDisk, inMemory := false, false
	for _, r := range runners {
		held = held || !r.Draining && r.Holdings.Has(fleet.Unit{Model: model})
		onDisk = onDisk || !r.Draining && slices.Contains(r.OnDisk, model)
		inMemory = inMemory || !r.Draining && slices.Contains(r.InMemory, model)
	}
	if held || model == "" || len(runners) == 0 {
		return admission.Unloaded{}, nil, true
	}
	engine := g.engineOf(runners[0])
	if engine == nil || engine.engine.Model(model) == nil {
		return admission.Unloaded{}, nil, false
	}
	found := g.unloadedSince[serviceModel{x.service, model}]
	if now.Sub(found.noticedAt) > missingGap {
		found.since = now
	}
	found.noticedAt = now
	known := engine.engine.Model(model)
	u = admission.Unloaded{Since: found.since, LoadTime: known.LoadTime}
	switch {
	case inMemory:
		u.LoadTime = known.HostLoadTime
	case onDisk:
		u.LoadTime = known.DiskLoadTime
	}
	return u, &found, false
}

// serviceModel is a model of a service.
type serviceModel struct{ service, model string }

// missingModel is a model for which requests arrive and which no runner holds.
type missingModel struct{ since, noticedAt time.Time }

// missingGap is the time without requests for a missing model after which it may have been loaded unnoticed.
const missingGap = 5 * time.Second
