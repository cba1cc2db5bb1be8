package gateway

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/state/reach"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

const (
	// pathTickInterval is the interval at which the path to the runners is considered.
	pathTickInterval = 50 * time.Millisecond
	// pathCheckTimeout bounds a check of the path. A healthy runner answers in a few milliseconds.
	pathCheckTimeout = 400 * time.Millisecond
	// silenceTime is the time without the begin of any answer, while one is awaited for so long, that raises a doubt about the
	// path.
	silenceTime = 800 * time.Millisecond
)

// recordPathFailure records that a connection to a runner failed before an answer began.
func (g *Gateway) recordPathFailure() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.doubtPath()
}

// doubtPath causes a check of the path. The caller must hold the lock.
func (g *Gateway) doubtPath() {
	g.path.RecordFailure()
	select {
	case g.pathDoubted <- struct{}{}:
	default:
	}
}

func (g *Gateway) pathLost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.path.Lost()
}

// awaitCheck waits for the end of a check of the path that a failure has caused.
func (g *Gateway) awaitCheck(ctx context.Context) {
	now := clock.Now()
	g.mu.Lock()
	pending, checked := g.path.Checking() || g.path.CheckDue(now), g.pathChecked
	g.mu.Unlock()
	if pending {
		pause(ctx, checked, pathCheckTimeout+pathTickInterval)
	}
}

// watchPath checks the path to the runners whenever it is in doubt or lost.
func (g *Gateway) watchPath(ctx context.Context) error {
	ticker := time.NewTicker(pathTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-g.pathDoubted:
		}
		if targets, due := g.pathCheckDue(clock.Now()); due {
			g.checkPath(ctx, targets)
		}
	}
}

// pathTarget is a runner that a check of the path asks.
type pathTarget struct {
	id      string
	address netip.AddrPort
	// healthPath is the path of the health check of a plain service, or empty for a model runner.
	healthPath string
}

// pathCheckDue begins a check if one is due, and returns the runners that it asks.
func (g *Gateway) pathCheckDue(now time.Time) ([]pathTarget, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.scheduler.Silent(now, silenceTime) {
		g.path.RecordFailure()
	}
	if !g.path.CheckDue(now) {
		return nil, false
	}
	g.path.BeginCheck(now)
	endpoints, byID := g.checkableRunners(now)
	var targets []pathTarget
	for _, id := range reach.Sample(endpoints, g.random) {
		if g.scheduler.TakeProbe(now, id) {
			targets = append(targets, byID[id])
		}
	}
	return targets, true
}

// checkableRunners returns the runners that a check of the path may ask: model runners, whose reports need no slot, or those of
// plain services if there are none. Brittle ones are asked only if there are no others. The caller must hold the lock.
func (g *Gateway) checkableRunners(now time.Time) ([]reach.Endpoint, map[string]pathTarget) {
	var engines, plain []reach.Endpoint
	byID := make(map[string]pathTarget)
	table := g.table.Load()
	if table == nil {
		return nil, nil
	}
	for _, r := range g.directory.All() {
		service := table.Services[r.Service]
		if service == nil || r.Draining || g.scheduler.Resting(now, r.ID) {
			continue
		}
		target := pathTarget{id: r.ID, address: r.Address}
		if service.Engine != nil {
			engines = append(engines, reach.Endpoint{ID: r.ID, Domain: r.Domain})
		} else {
			target.healthPath = service.HealthPath
			plain = append(plain, reach.Endpoint{ID: r.ID, Domain: r.Domain})
		}
		byID[r.ID] = target
	}
	if len(engines) > 0 {
		return engines, byID
	}
	brittle := func(e reach.Endpoint) bool { return g.scheduler.IsBrittle(e.ID) }
	if sound := slices.DeleteFunc(slices.Clone(plain), brittle); len(sound) > 0 {
		return sound, byID
	}
	return plain, byID
}

// checkPath asks runners and records whether one answers.
func (g *Gateway) checkPath(ctx context.Context, targets []pathTarget) {
	ctx, cancel := context.WithTimeout(ctx, pathCheckTimeout)
	defer cancel()
	answers := make(chan bool, len(targets))
	for _, t := range targets {
		g.tasks.Run("check path", func(context.Context) {
			answers <- g.runnerClient.Answers(ctx, t.id, t.address, t.healthPath, pathCheckTimeout)
		})
	}
	answered := 0
	for range targets {
		if <-answers {
			answered = 1
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	lostSince := g.path.LostSince()
	if g.path.EndCheck(len(targets), answered) {
		lasted := time.Duration(0)
		if !lostSince.IsZero() {
			lasted = clock.Now().Sub(lostSince)
		}
		g.log.Emit(eventlog.PathChanged, g.path.Lost(), len(targets), lasted.Milliseconds())
	}
	g.settleHeldCrashes(clock.Now())
	close(g.pathChecked)
	g.pathChecked = make(chan struct{})
}
