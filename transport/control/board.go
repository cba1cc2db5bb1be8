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

// inForce is the catalog revision that the VM uses, with the index and the assignment that are derived from it.
type inForce struct {
	snapshot   publication.Snapshot
	stored     peer.CatalogResponse
	index      *catalog.Index
	assignment *placement.Assignment
	since      time.Time
}

// board is the state that the goroutines of a control share.
type board struct {
	mu         sync.Mutex
	view       *membership.View
	runners    *dissemination.Table[residency.RunnerState]
	demands    *dissemination.Table[residency.Demand]
	suspicions *dissemination.Table[quarantine.Suspicion]
	catalog    *inForce
	// raw holds the stored form of the catalog's chunks by digest.
	raw map[string][]byte
	// changed is closed when a runner, a suspicion or the catalog changes.
	changed chan struct{}
	// leaving holds the names of the runners that the VM list reports as leaving.
	leaving map[string]bool
}

func newBoard(now time.Time, self membership.Member) *board {
	return &board{
		view:       membership.NewView(now, self, membership.DefaultTimeouts()),
		runners:    dissemination.NewTable[residency.RunnerState](),
		demands:    dissemination.NewTable[residency.Demand](),
		suspicions: dissemination.NewTable[quarantine.Suspicion](),
		catalog:    &inForce{index: catalog.NewIndex(&catalog.Set{}), assignment: &placement.Assignment{}},
		raw:        make(map[string][]byte),
		changed:    make(chan struct{}),
		leaving:    make(map[string]bool),
	}
}

// with runs a function while it holds the lock.
func (b *board) with(use func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	use()
}

// notify wakes the goroutines that wait for changes. The caller holds the lock.
func (b *board) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *board) current() *inForce {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.catalog
}

func (b *board) revision() uint64 { return b.current().snapshot.Head.Revision }

// putRunner stores an observation and wakes the followers if it is newer than the stored one.
func (b *board) putRunner(now time.Time, state residency.RunnerState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runners.Put(now, state) {
		b.notify()
	}
}

// isLeaving reports whether the VM list reports a runner as leaving.
func (b *board) isLeaving(runner string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving[runner]
}
