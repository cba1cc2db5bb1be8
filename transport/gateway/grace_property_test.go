package gateway

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// The platform's bounds: a VM in touch sends nothing to a runner graceDrainTime after the store acknowledged that it left. A
// VM is in touch contactTime after its last disruption.
const (
	graceDrainTime = 2 * time.Second
	graceTick      = 250 * time.Millisecond
	entryInterval  = 1200 * time.Millisecond
	entryTTL       = 3 * entryInterval
	maxEntryReturn = 2 * time.Second
)

// storedEntry is the entry of a runner in the simulated store.
type storedEntry struct {
	writtenAt time.Time
	revision  uint64
}

// graceVM is a VM with its links to the store and to the other VMs.
type graceVM struct {
	*simulatedVM
	storeCutUntil, peersCutUntil time.Time
	// callTime is how long calls to the store that began during a cut take to fail after its end.
	callTime     time.Duration
	backoffUntil map[string]time.Time
	failures     int
	// mustList means that the store has dropped its history when the VM reads it again.
	mustList bool
}

func (v *graceVM) inTouch(now time.Time) bool {
	return now.Sub(v.storeCutUntil) >= contactTime && now.Sub(v.peersCutUntil) >= contactTime
}

// graceFleet is a store, the runners that write their entries to it, and VMs, of which one reads the store for all.
type graceFleet struct {
	now            time.Time
	revision       uint64
	storeDownUntil time.Time
	entries        map[string]storedEntry
	// history holds all changes.
	history []platform.Item
	// alive holds the living runners, each with the delay of its first write after an outage.
	alive map[string]time.Duration
	// leftAt is when a runner's entry was removed, if the store was stable then.
	leftAt map[string]time.Time
	vms    []*graceVM
	value  []byte
}

func newGraceFleet(vms, runners int) *graceFleet {
	f := &graceFleet{
		now: time.Unix(1_000_000, 0), revision: 10, entries: make(map[string]storedEntry), alive: make(map[string]time.Duration),
		leftAt: make(map[string]time.Time), value: []byte(`{"service": "plain", "address": "10.0.0.9:8000", "zone": "a", "version": 1,
			"slots": 6, "state": "ready", "sequence": 0}`),
	}
	for i := range runners {
		id := fmt.Sprint("r", i)
		f.alive[id] = maxEntryReturn * time.Duration(i) / time.Duration(runners-1)
		f.write(id, f.now.Add(-time.Duration(i)*entryInterval/time.Duration(runners)))
	}
	for i := range vms {
		v := &graceVM{simulatedVM: &simulatedVM{name: fmt.Sprint("vm-", i)}, backoffUntil: make(map[string]time.Time)}
		v.start(f.now)
		f.vms = append(f.vms, v)
	}
	return f
}

func (f *graceFleet) storeUp() bool { return !f.now.Before(f.storeDownUntil) }

func (f *graceFleet) storeStable() bool { return f.now.Sub(f.storeDownUntil) >= contactTime }

// entriesBack reports whether the runners have had the time to write their entries again after an outage.
func (f *graceFleet) entriesBack() bool { return f.now.Sub(f.storeDownUntil) >= maxEntryReturn }

func (f *graceFleet) write(id string, at time.Time) {
	f.revision++
	f.entries[id] = storedEntry{at, f.revision}
	f.history = append(f.history, platform.Item{
		Key: platform.RunnersPrefix + id, Value: f.value, Revision: fleet.NewRevision(0, f.revision),
	})
}

// expire removes an entry.
func (f *graceFleet) expire(id string) {
	f.revision++
	delete(f.entries, id)
	f.history = append(f.history, platform.Item{
		Key: platform.RunnersPrefix + id, Deleted: true, Revision: fleet.NewRevision(0, f.revision),
	})
}

// leave removes the entry of a runner that goes on serving.
func (f *graceFleet) leave(id string) {
	f.expire(id)
	delete(f.alive, id)
	if f.storeStable() {
		f.leftAt[id] = f.now
	}
}

// tick lets the runners write their entries, and each VM exchange reports and read the store if it must.
func (f *graceFleet) tick() {
	f.now = f.now.Add(graceTick)
	for _, id := range slices.Sorted(maps.Keys(f.alive)) {
		entry, exists := f.entries[id]
		if exists && f.now.Sub(entry.writtenAt) >= entryTTL {
			f.expire(id)
			exists = false
		}
		due := f.now.Sub(entry.writtenAt) >= entryInterval
		if !exists {
			due = f.now.Sub(f.storeDownUntil) >= f.alive[id]
		}
		if f.storeUp() && due {
			f.write(id, f.now)
		}
	}
	for _, v := range f.vms {
		aggregator := f.exchange(v)
		if aggregator == v || !v.gateway.hasRecentView(f.now) {
			f.read(v)
		}
	}
}

// exchange sends the VM's report to the first VM that answers, and returns it.
func (f *graceFleet) exchange(v *graceVM) *graceVM {
	g := v.gateway
	for _, peer := range f.vms {
		if f.now.Before(v.backoffUntil[peer.name]) {
			continue
		}
		if peer != v && (f.now.Before(v.peersCutUntil) || f.now.Before(peer.peersCutUntil) || !peer.gateway.hasContent()) {
			v.backoffUntil[peer.name] = f.now.Add(peerBackoff)
			g.lastViewAt = time.Time{}
			return nil
		}
		g.mu.Lock()
		report := g.report(f.now)
		g.mu.Unlock()
		g.applySummary(f.now, f.now, peer.gateway.mergeReport(f.now, report))
		return peer
	}
	return nil
}

var errStoreAway = errors.New("the store is away")

func (f *graceFleet) read(v *graceVM) {
	g := v.gateway
	if !f.storeUp() || f.now.Before(v.storeCutUntil.Add(v.callTime)) {
		v.failures++
		g.recordStoreFailure(f.now, errStoreAway, v.failures)
		return
	}
	v.failures = 0
	revision := fleet.NewRevision(0, f.revision)
	if g.knownRevision > 0 && !v.mustList {
		var events []platform.Item
		for _, item := range f.history {
			if item.Revision > g.knownRevision {
				events = append(events, item)
			}
		}
		g.applyEvents(f.now, f.now, events, revision)
		return
	}
	if err := g.applyStoreListing(f.now, f.now, f.items(), revision); err != nil {
		panic(err)
	}
	v.mustList = false
}

func (f *graceFleet) items() []platform.Item {
	items := make([]platform.Item, 0, len(f.entries))
	for id, entry := range f.entries {
		items = append(items, platform.Item{
			Key: platform.RunnersPrefix + id, Value: f.value, Revision: fleet.NewRevision(0, entry.revision),
		})
	}
	return items
}

// lists reports whether a VM would send requests to a runner.
func (f *graceFleet) lists(v *graceVM, id string) bool { return v.gateway.directory.Get(id) != nil }

// The reader of the store, which was cut off from it alone, learns from the others' reports that entries cannot have expired.
func TestReaderKeepsARunnerThatLeftDuringItsCut(t *testing.T) {
	f := newGraceFleet(3, 8)
	for range 8 {
		f.tick()
	}
	f.vms[0].storeCutUntil = f.now.Add(4 * time.Second)
	for f.now.Add(graceTick).Before(f.vms[0].storeCutUntil) {
		f.tick()
	}
	f.leave("r0")
	f.tick()
	f.tick()
	for _, v := range f.vms {
		assert.Check(t, !f.lists(v, "r0"), v.name)
	}
}

// Runners leave while VMs are cut off from the store or the other VMs, and while the store is away.
func TestRunnerThatLeftIsUsedAfterACutOrALivingOneIsDropped(t *testing.T) {
	const runners = 8
	rapid.Check(t, func(t *rapid.T) {
		f := newGraceFleet(rapid.IntRange(1, 4).Draw(t, "vms"), runners)
		for range 8 {
			f.tick()
		}
		for left := range runners / 2 {
			v := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")]
			v.mustList = rapid.Bool().Draw(t, "mustList")
			v.callTime = time.Duration(rapid.IntRange(0, 700).Draw(t, "callTime")) * time.Millisecond
			end := f.now.Add(time.Duration(rapid.IntRange(250, 9000).Draw(t, "length")) * time.Millisecond)
			switch disruption := rapid.IntRange(0, 5).Draw(t, "disruption"); {
			case disruption <= 2:
				v.storeCutUntil = end
			case disruption == 3:
				v.storeCutUntil, v.peersCutUntil = end, end
			case disruption == 4 && f.entriesBack():
				f.storeDownUntil = end
			}
			// Most runners leave about the end of the disruption.
			leavesAt := end.Add(time.Duration(rapid.IntRange(-1000, 500).Draw(t, "leaves")) * time.Millisecond)
			next := leavesAt.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			for f.now.Before(next) {
				id := fmt.Sprint("r", left)
				if _, isAlive := f.alive[id]; isAlive && f.storeUp() && !f.now.Before(leavesAt) {
					f.leave(id)
				}
				f.tick()
				f.check(t)
			}
		}
	})
}

func (f *graceFleet) check(t *rapid.T) {
	for _, v := range f.vms {
		for id, at := range f.leftAt {
			if f.now.Sub(at) >= graceDrainTime && v.inTouch(f.now) && f.storeStable() {
				assert.Assert(t, !f.lists(v, id), "%s uses %s, which left %v ago", v.name, id, f.now.Sub(at))
			}
		}
		for id := range f.alive {
			assert.Assert(t, f.lists(v, id), "%s has dropped %s, which is alive", v.name, id)
		}
	}
}
