package gateway

import (
	"context"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// restartedRunner returns a runner that may have begun streams of a model and has started again since its entry in the store
// was written, perhaps with another version of its software. A runner that does not answer counts as not started again:
// the streams that it broke off could otherwise not go on. The caller must have the place to read versions.
func (g *Gateway) restartedRunner(ctx context.Context, e *evidence, service, model string) (string, bool) {
	if model == "" {
		// The runners of plain services have no report.
		return "", false
	}
	// Others that wait share the answers, also if this caller leaves.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	type answer struct {
		id        string
		restarted bool
	}
	var unknown []fleet.Runner
	candidates := g.possibleOrigins(e, service, model)
	for _, runner := range candidates {
		if _, known := e.restarted[runner.ID]; !known {
			unknown = append(unknown, runner)
		}
	}
	answers := make(chan answer, len(unknown))
	for _, runner := range unknown {
		g.tasks.Run("check entry", func(context.Context) {
			report, err := g.runnerClient.Report(ctx, runner.ID, runner.Address)
			answers <- answer{runner.ID, err == nil && report.Incarnation > runner.Incarnation}
		})
	}
	for range unknown {
		select {
		case a := <-answers:
			e.restarted[a.id] = a.restarted
		case <-ctx.Done():
		}
	}
	for _, runner := range candidates {
		if e.restarted[runner.ID] {
			return runner.ID, true
		}
	}
	return "", false
}

// possibleOrigins returns the runners of a service with entries that hold a model, by their entries or by what this VM knows.
func (g *Gateway) possibleOrigins(e *evidence, service, model string) []fleet.Runner {
	unit := fleet.Unit{Model: model}
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []fleet.Runner
	for id, entry := range e.entries {
		known := g.directory.Get(id)
		if entry.Service == service && (entry.Holdings.Has(unit) || known != nil && known.Holdings.Has(unit)) {
			found = append(found, entry)
		}
	}
	return found
}
