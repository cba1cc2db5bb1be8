package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

const benchItems = 24

// settledRunner returns the settled ledger of a runner that holds benchItems items.
func settledRunner(now time.Time) *Ledger {
	l := New(Config{Name: "r", Accelerators: 8, MemoryMiB: 80_000, Fenced: true})
	contents := IndexRead{Incarnation: "1", RequestedAt: now}
	for i := range benchItems {
		contents.Entries = append(contents.Entries, IndexEntry{
			Name: fmt.Sprint("m", i), State: IndexReady, Kind: ItemBase, MemoryMiB: 10_000, Accelerators: []int{i % 8},
		})
	}
	order := l.Step(now, AuthorityChanged{Authority{Term: 1, Full: true}})[0].(SendOrder).Order
	l.Step(now, OrderAnswered{OrderID: order.ID, Result: Confirmed})
	l.Step(now, contents)
	desired := make([]DesiredItem, 0, benchItems)
	for _, entry := range contents.Entries {
		desired = append(desired, DesiredItem{Name: entry.Name, Kind: ItemBase, MemoryMiB: entry.MemoryMiB})
	}
	l.Step(now, DesiredChanged{Items: desired})
	return l
}

// BenchmarkTick measures an event that changes nothing. Each runner gets four such events a second.
func BenchmarkTick(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	l := settledRunner(now)
	b.ReportAllocs()
	for b.Loop() {
		l.Step(now, Tick{})
	}
}

// BenchmarkInstance measures the heap memory of one settled ledger.
func BenchmarkInstance(b *testing.B) {
	const count = 1000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ledgers := make([]*Ledger, count)
	for i := range ledgers {
		ledgers[i] = settledRunner(time.Unix(1_000_000, 0))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/ledger")
	runtime.KeepAlive(ledgers)
}
