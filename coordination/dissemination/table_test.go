package dissemination

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.SetFlags()

type numbered struct{ id, version int }

func (n numbered) Key() string { return fmt.Sprint(n.id) }

func (n numbered) Version() uint64 { return uint64(n.version) }

// A peer that gets a few records at a time must end with all of them, while others are stored, and get those that are stored
// meanwhile first.
func TestPeerMissesRecordsThatWereSentInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		table := NewTable[numbered]()
		put := func(count int) {
			for range count {
				table.Put(now, numbered{rapid.IntRange(0, 30).Draw(t, "id"), rapid.IntRange(1, 3).Draw(t, "version")})
			}
		}
		put(rapid.IntRange(0, 60).Draw(t, "before"))
		atMost := rapid.IntRange(1, 8).Draw(t, "atMost")
		peer, known := make(map[string]uint64), Range{}
		if rapid.Bool().Draw(t, "latestFirst") {
			known = table.NoneOf()
		}
		for range rapid.IntRange(0, 10).Draw(t, "rounds") {
			put(rapid.IntRange(0, 5).Draw(t, "meanwhile"))
			known = receive(t, table, peer, known, atMost)
		}
		for range 70 {
			known = receive(t, table, peer, known, atMost)
		}
		want := make(map[string]uint64)
		for _, r := range table.Records() {
			want[r.Key()] = r.Version()
		}
		assert.DeepEqual(t, peer, want)
		assert.Equal(t, known, Range{UpTo: table.changes})
	})
}

func receive(t *rapid.T, table *Table[numbered], peer map[string]uint64, known Range, atMost int) Range {
	records, after := table.Missing(known, atMost)
	assert.Assert(t, len(records) <= atMost)
	for _, r := range records {
		peer[r.Key()] = max(peer[r.Key()], r.Version())
	}
	return after
}

func TestRecordWaitsBehindThoseThatThePeerMayHave(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := NewTable[numbered]()
	for i := range 100 {
		table.Put(now, numbered{i, 1})
	}
	known := table.NoneOf()
	records, known := table.Missing(known, 10)
	assert.Equal(t, records[0], numbered{99, 1}, "the latest come first")
	table.Put(now, numbered{100, 1})
	records, known = table.Missing(known, 10)
	assert.Equal(t, records[0], numbered{100, 1})
	assert.Equal(t, records[1], numbered{89, 1})
	assert.Equal(t, known, Range{After: 81, UpTo: 101})
}
