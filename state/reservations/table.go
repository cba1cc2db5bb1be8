package reservations

import (
	"maps"
	"time"
)

const (
	// Lifetime is the time after which a reservation ends that was not released. Its VM may have ended, or the release was lost.
	Lifetime = 3 * time.Second
	// maxPerRunner is the largest number of reservations of one runner. A runner prefills some 13 long prompts within Lifetime,
	// and each prompt is reserved at up to 5 runners, so that several hundred VMs with a few prompts each have room.
	maxPerRunner = 2048
	// maxTokens bounds what one reservation counts, so that a faulty VM does not keep all others from a runner.
	maxTokens = 1 << 20
	// maxLevels is the number of priority levels that are told apart. Less urgent requests count as the last level.
	maxLevels = 16
)

// Key identifies a request over all VMs and their processes.
type Key struct {
	VM string
	// Incarnation is the process of the VM. The IDs of each process begin anew.
	Incarnation string
	ID          uint64
}

// Reservation is the prompt of a request that awaits prefill, or will if its VM chooses the runner.
type Reservation struct {
	Key   Key
	Level int
	// Tokens is the number of prompt tokens to prefill, multiplied by the model's slowdown factor.
	Tokens int
}

// entry is a reservation, or the record of a release, which keeps a reservation that arrives after it from being counted.
type entry struct {
	level, tokens int
	released      bool
	endsAt        time.Time
}

// Table holds the reservations at the runners that one VM owns.
type Table struct {
	byRunner map[string]map[Key]entry
}

// NewTable returns a table without reservations.
func NewTable() *Table { return &Table{byRunner: make(map[string]map[Key]entry)} }

// Reserve records a reservation, and returns the tokens of all other VMs that await prefill at the runner, by priority level
// without the empty levels at the end. A repetition replaces the reservation with the same key, and one that has been released
// stays so. A runner with too many reservations takes no further ones, but the answer is the same.
func (t *Table) Reserve(now time.Time, runner string, r Reservation) []int {
	entries := t.current(now, runner)
	pending := make([]int, maxLevels)
	levels := 0
	for key, e := range entries {
		if key.VM == r.Key.VM && key.Incarnation == r.Key.Incarnation || e.tokens == 0 {
			continue
		}
		pending[e.level] += e.tokens
		levels = max(levels, e.level+1)
	}
	before, known := entries[r.Key]
	if before.released || !known && len(entries) >= maxPerRunner {
		return pending[:levels]
	}
	t.put(runner, r.Key, entry{
		level: min(max(r.Level, 0), maxLevels-1), tokens: min(max(r.Tokens, 0), maxTokens), endsAt: now.Add(Lifetime),
	})
	return pending[:levels]
}

// Release ends a reservation. If none is known, one that arrives within Lifetime is not counted: the VM has given up waiting for
// the answer, and the two messages went over different connections.
func (t *Table) Release(now time.Time, runner string, key Key) {
	entries := t.current(now, runner)
	if _, known := entries[key]; !known && len(entries) >= maxPerRunner {
		return
	}
	t.put(runner, key, entry{released: true, endsAt: now.Add(Lifetime)})
}

func (t *Table) put(runner string, key Key, e entry) {
	if t.byRunner[runner] == nil {
		t.byRunner[runner] = make(map[Key]entry)
	}
	t.byRunner[runner][key] = e
}

// Forget drops what is known of a runner that the VM does not own any more.
func (t *Table) Forget(runner string) { delete(t.byRunner, runner) }

// Len returns the number of reservations at a runner that have been neither released nor dropped.
func (t *Table) Len(now time.Time, runner string) int {
	count := 0
	for _, e := range t.current(now, runner) {
		if !e.released {
			count++
		}
	}
	return count
}

// current drops the entries of a runner that have ended, and returns the others.
func (t *Table) current(now time.Time, runner string) map[Key]entry {
	entries := t.byRunner[runner]
	maps.DeleteFunc(entries, func(_ Key, e entry) bool { return !now.Before(e.endsAt) })
	if len(entries) == 0 {
		delete(t.byRunner, runner)
	}
	return entries
}
