package gateway

import (
	"context"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/origins"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

const (
	// softwarePrefix starts the keys in the store of the versions of software at which streams may have begun. The rest is
	// the service and the version, each escaped as a part of a path.
	softwarePrefix = "software/"
	// maxKeyBytes is the longest key that the store takes.
	maxKeyBytes = 200
	// recordDelay is the time after which a VM records a version that the VM which reads the store has not recorded.
	recordDelay = time.Second
	// maxOriginPeers is the number of peers that are asked for the origin of a stream while the store is away, and
	// originPeerTimeout bounds the wait for their answers.
	maxOriginPeers    = 8
	originPeerTimeout = 400 * time.Millisecond
)

var errOriginUnknown = errors.New("the version of the software that began the stream is not known")

func softwareKey(service, software string) string {
	return softwarePrefix + url.PathEscape(service) + "/" + url.PathEscape(software)
}

// parseSoftwareKey returns the service and the version of a key, or false if it has another form.
func parseSoftwareKey(key string) (service, software string, ok bool) {
	first, second, found := strings.Cut(strings.TrimPrefix(key, softwarePrefix), "/")
	service, serviceErr := url.PathUnescape(first)
	software, softwareErr := url.PathUnescape(second)
	return service, software, found && serviceErr == nil && softwareErr == nil && service != "" && software != ""
}

// applySoftware applies a change of the record of a version. The caller must hold the lock.
func (g *Gateway) applySoftware(item platform.Item) {
	service, software, ok := parseSoftwareKey(item.Key)
	switch {
	case !ok:
	case item.Deleted:
		g.versions.Remove(service, software)
	default:
		g.addVersion(service, software)
	}
}

// addVersion adds a recorded version. If it is not the service's first, the streams under way must each be bound to theirs.
// The caller must hold the lock.
func (g *Gateway) addVersion(service, software string) {
	if g.versions.Has(service, software) {
		return
	}
	g.versions.Add(service, software)
	if !g.versions.HasSeveral(service) {
		return
	}
	for _, s := range g.unboundStreams {
		if s.service == service {
			g.tasks.Run("confirm software", func(ctx context.Context) { g.bindStream(ctx, s) })
		}
	}
}

// unrecordedVersions returns the versions of listed runners at which no resumable stream may begin yet. The caller must
// hold the lock.
func (g *Gateway) unrecordedVersions() []origins.Origin {
	table := g.table.Load()
	if table == nil {
		return nil
	}
	resumable := make(map[string]bool)
	table.Each(func(route *routes.Route) {
		for _, split := range route.TrafficSplit {
			resumable[split.Service] = resumable[split.Service] || route.Resumable
		}
	})
	var unrecorded []origins.Origin
	seen := make(map[origins.Origin]bool)
	for _, runner := range g.directory.All() {
		origin := origins.Origin{Service: runner.Service, Software: runner.Software}
		if resumable[runner.Service] && runner.Software != "" && !seen[origin] && !g.versions.Has(runner.Service, runner.Software) {
			seen[origin] = true
			unrecorded = append(unrecorded, origin)
		}
	}
	return unrecorded
}

// recordVersions records the versions of listed runners. The VMs that read the store do so at once, and others if those do
// not.
func (g *Gateway) recordVersions(ctx context.Context) {
	now := clock.Now()
	readsStore := !g.hasRecentView(now)
	g.mu.Lock()
	unrecorded := g.unrecordedVersions()
	if len(unrecorded) == 0 {
		g.unrecordedSince = time.Time{}
	} else if g.unrecordedSince.IsZero() {
		g.unrecordedSince = now
	}
	due := readsStore || now.Sub(g.unrecordedSince) >= recordDelay
	era := g.knownRevision.Era()
	g.mu.Unlock()
	if !due {
		return
	}
	for _, origin := range unrecorded {
		g.recordVersion(ctx, era, origin)
	}
}

func (g *Gateway) recordVersion(ctx context.Context, era uint64, origin origins.Origin) {
	key := softwareKey(origin.Service, origin.Software)
	if len(key) > maxKeyBytes {
		return
	}
	_, err := g.store.Commit(ctx, platform.Transaction{
		Era: era, Conditions: []platform.Condition{{Key: key}}, Writes: []platform.Write{{Key: key, Value: []byte("{}")}},
	})
	if errors.Is(err, platform.ErrConflict) && g.store.Era() == era {
		// Another VM has recorded it.
		err = nil
	}
	if err != nil {
		g.log.Emit(eventlog.VersionNotRecorded, origin.Service, origin.Software, err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.knownRevision.Era() == era {
		g.addVersion(origin.Service, origin.Software)
	}
}

// evidence is what a VM has read in the store of the versions of services, as of a call sent at a time.
type evidence struct {
	askedAt   time.Time
	byService map[string]origins.Evidence
	// entries holds the entries of the listed runners, and restarted whether those that were asked since have started again
	// after their entries were written.
	entries   map[string]fleet.Runner
	restarted map[string]bool
	err       error
}

// soleVersion returns the version at which every stream of a service and a model has begun that began before a time, or an
// error if it is not known. What it reads is asked for after that time, so that a VM that was frozen or cut off does not
// take what it knew for all that there is. Take-ups that wait share one reading.
func (g *Gateway) soleVersion(ctx context.Context, service, model string, since time.Time) (string, error) {
	select {
	case g.readingVersions <- struct{}{}:
		defer func() { <-g.readingVersions }()
	case <-ctx.Done():
		return "", ctx.Err()
	}
	if g.versionEvidence.askedAt.Before(since) {
		g.versionEvidence = g.readEvidence(ctx)
	}
	if g.versionEvidence.err != nil {
		return "", g.versionEvidence.err
	}
	software, ok := g.versionEvidence.byService[service].Sole()
	if !ok {
		return "", errOriginUnknown
	}
	if id, found := g.restartedRunner(ctx, &g.versionEvidence, service, model); found {
		return "", errors.Wrapf(errOriginUnknown, "runner %s has started again since its entry was written", id)
	}
	return software, nil
}

// readEvidence reads the recorded versions and the runners' entries. The evidence has an error in an era of the store in
// which what other VMs have written may not be there again.
func (g *Gateway) readEvidence(ctx context.Context) evidence {
	ctx, cancel := context.WithTimeout(ctx, originReadTimeout)
	defer cancel()
	read := evidence{
		askedAt: clock.Now(), byService: make(map[string]origins.Evidence), entries: make(map[string]fleet.Runner),
		restarted: make(map[string]bool),
	}
	recorded, revision, err := g.store.List(ctx, softwarePrefix)
	if err != nil {
		read.err = err
		return read
	}
	entries, entriesRevision, err := g.store.List(ctx, platform.RunnersPrefix)
	if err != nil {
		read.err = err
		return read
	}
	g.mu.Lock()
	settled := revision.Era() == 0 || revision.Era() == g.settledEra
	g.mu.Unlock()
	if !settled || entriesRevision.Era() != revision.Era() {
		read.err = errors.Wrapf(errOriginUnknown, "era %d of the store is not settled", revision.Era())
		return read
	}
	for _, item := range recorded {
		if service, software, ok := parseSoftwareKey(item.Key); ok {
			e := read.byService[service]
			e.Recorded = append(e.Recorded, software)
			read.byService[service] = e
		}
	}
	for _, item := range entries {
		if runner, err := platform.DecodeRunner(item.Key, item.Value, item.Revision); err == nil {
			e := read.byService[runner.Service]
			e.Listed = append(e.Listed, runner.Software)
			read.byService[runner.Service] = e
			read.entries[runner.ID] = runner
		}
	}
	return read
}

// askPeers asks other VMs where a stream began. It returns false if none knows.
func (g *Gateway) askPeers(ctx context.Context, q vm.OriginRequest) (origins.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, originPeerTimeout)
	defer cancel()
	now := clock.Now()
	g.mu.Lock()
	candidates := g.candidates()
	g.mu.Unlock()
	answers := make(chan *vm.OriginResponse, maxOriginPeers)
	asked := 0
	for _, name := range candidates {
		if name == g.settings.Name || g.peers.unresponsive(now, name) || asked == maxOriginPeers {
			continue
		}
		asked++
		g.tasks.Run("ask for origin", func(context.Context) {
			answer, err := callPooled[vm.OriginRequest, vm.OriginResponse](
				ctx, g.peers, name, vm.CallFindOrigin, &q, originPeerTimeout,
			)
			if err != nil {
				answer = &vm.OriginResponse{}
			}
			answers <- answer
		})
	}
	for range asked {
		if answer := <-answers; answer.Known {
			return origins.Origin{Service: answer.Service, Software: answer.Software}, true
		}
	}
	return origins.Origin{}, false
}

// serveOrigin answers a VM that cannot read the store.
func (g *Gateway) serveOrigin(ctx context.Context, q *vm.OriginRequest) *vm.OriginResponse {
	now := clock.Now()
	origin, ok := g.ownOrigin(ctx, now, q.Attempt)
	if !ok && q.Service != "" {
		software, err := g.soleVersion(ctx, q.Service, q.Model, now)
		origin, ok = origins.Origin{Service: q.Service, Software: software}, err == nil
	}
	return &vm.OriginResponse{Known: ok, Service: origin.Service, Software: origin.Software}
}

// mayBeginAt reports whether a resumable stream may begin at a runner: its version is recorded, or its entry names none, so
// that the stream cannot go on elsewhere. The caller must hold the lock.
func (g *Gateway) mayBeginAt(runner *fleet.Runner) bool {
	return runner.Software == "" || g.versions.Has(runner.Service, runner.Software)
}
