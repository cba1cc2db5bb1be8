package control

import (
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/dissemination"
	"github.com/zinniaroute/zinniaroute/coordination/membership"
	"github.com/zinniaroute/zinniaroute/coordination/publication"
	"github.com/zinniaroute/zinniaroute/protocol/peer"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/placement"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/state/residency"
)

// activeCatalog is the catalog revision that the VM uses, with the index and the assignment that are derived from it.
type activeCatalog struct {
	snapshot   publication.Snapshot
	stored     peer.CatalogResponse
	index      *catalog.Index
	assignment *placement.Assignment
	appliedAt  time.Time
}

// sharedState is the state that the goroutines of a control share.
type sharedState struct {
	mu      sync.Mutex
	view    *membership.View
	runners *dissemination.Table[residency.RunnerState]
	demands *dissemination.Table[residency.Demand]
	crashes *dissemination.Table[quarantine.Crash]
	catalog *activeCatalog
	// storedChunks holds the stored form of the catalog's chunks by digest.
	storedChunks map[string][]byte
	// changed is closed when a runner, a crash record or the catalog changes.
	changed chan struct{}
	// drainingRunners holds the names of the runners that the VM list reports as leaving.
	drainingRunners map[string]bool
}

func newSharedState(now time.Time, self membership.Member) *sharedState {
	return &sharedState{
		view:            membership.NewView(now, self, membership.DefaultTimeouts()),
		runners:         dissemination.NewTable[residency.RunnerState](),
		demands:         dissemination.NewTable[residency.Demand](),
		crashes:         dissemination.NewTable[quarantine.Crash](),
		catalog:         &activeCatalog{index: catalog.NewIndex(&catalog.Set{}), assignment: &placement.Assignment{}},
		storedChunks:    make(map[string][]byte),
		changed:         make(chan struct{}),
		drainingRunners: make(map[string]bool),
	}
}

// withLock runs a function while it holds the lock.
func (s *sharedState) withLock(use func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use()
}

// notify wakes the goroutines that wait for changes. The caller holds the lock.
func (s *sharedState) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sharedState) activeCatalog() *activeCatalog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog
}

func (s *sharedState) revision() uint64 { return s.activeCatalog().snapshot.Head.Revision }

// putRunner stores an observation and wakes the followers if it is newer than the stored one.
func (s *sharedState) putRunner(now time.Time, state residency.RunnerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runners.Put(now, state) {
		s.notify()
	}
}

// isDraining reports whether the VM list reports a runner as leaving.
func (s *sharedState) isDraining(runner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainingRunners[runner]
}
