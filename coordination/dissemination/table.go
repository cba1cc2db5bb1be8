package dissemination

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record is a versioned value. A higher version replaces a lower one with the same key.
type Record interface {
	Key() string
	Version() uint64
}

// Table holds the newest version of each record.
type Table[R Record] struct {
	rows map[string]row[R]
	// changes counts the records that were stored.
	changes uint64
}

type row[R Record] struct {
	record R
	// changeNumber is the table's change counter after the record was stored.
	changeNumber uint64
	storedAt     time.Time
}

// NewTable returns an empty table.
func NewTable[R Record]() *Table[R] {
	return &Table[R]{rows: make(map[string]row[R])}
}

// Put stores a record if its version is higher than the stored one, and reports whether it did.
func (t *Table[R]) Put(now time.Time, record R) bool {
	held, ok := t.rows[record.Key()]
	if ok && held.record.Version() >= record.Version() {
		return false
	}
	t.changes++
	t.rows[record.Key()] = row[R]{record: record, changeNumber: t.changes, storedAt: now}
	return true
}

// Get returns a record and the time at which its version was stored.
func (t *Table[R]) Get(key string) (record R, storedAt time.Time, ok bool) {
	held, ok := t.rows[key]
	return held.record, held.storedAt, ok
}

// Delete removes a record. It can be stored again with any version.
func (t *Table[R]) Delete(key string) { delete(t.rows, key) }

// Records returns all records sorted by key.
func (t *Table[R]) Records() []R {
	records, _ := t.ChangedSince(0)
	return records
}

// ChangedSince returns the records stored after a value of the change counter, sorted by key, and its present value.
func (t *Table[R]) ChangedSince(since uint64) ([]R, uint64) {
	if since == t.changes {
		return nil, t.changes
	}
	var records []R
	for _, held := range t.rows {
		if held.changeNumber > since {
			records = append(records, held.record)
		}
	}
	slices.SortFunc(records, func(a, b R) int { return strings.Compare(a.Key(), b.Key()) })
	return records, t.changes
}

// Range is the part of a table's changes that a peer has: those after After, up to UpTo.
type Range struct{ After, UpTo uint64 }

// NoneOf returns the range of a peer that has nothing of the table. The peer gets the latest records first.
func (t *Table[R]) NoneOf() Range { return Range{After: t.changes, UpTo: t.changes} }

// Missing returns records that a peer lacks, a number of them at most, and the range that the peer has with them. Those stored after
// the range come first, in order, then those stored before it, the latest first.
func (t *Table[R]) Missing(known Range, atMost int) ([]R, Range) {
	if known.After == 0 && known.UpTo == t.changes {
		return nil, known
	}
	var later, earlier []row[R]
	for _, held := range t.rows {
		switch {
		case held.changeNumber > known.UpTo:
			later = append(later, held)
		case held.changeNumber <= known.After:
			earlier = append(earlier, held)
		}
	}
	slices.SortFunc(later, func(a, b row[R]) int { return cmp.Compare(a.changeNumber, b.changeNumber) })
	slices.SortFunc(earlier, func(a, b row[R]) int { return cmp.Compare(b.changeNumber, a.changeNumber) })
	records := make([]R, 0, min(atMost, len(later)+len(earlier)))
	for _, held := range later[:min(len(later), atMost)] {
		records, known.UpTo = append(records, held.record), held.changeNumber
	}
	if len(later) <= atMost {
		known.UpTo = t.changes
	}
	room := atMost - len(records)
	for _, held := range earlier[:min(len(earlier), room)] {
		records, known.After = append(records, held.record), held.changeNumber-1
	}
	if len(earlier) <= room {
		known.After = 0
	}
	return records, known
}

// Expire removes the records whose version was stored before a time.
func (t *Table[R]) Expire(before time.Time) {
	for key, held := range t.rows {
		if held.storedAt.Before(before) {
			delete(t.rows, key)
		}
	}
}

// Digests returns the digest of each record, sorted by key hash.
func (t *Table[R]) Digests() []Digest {
	digests := make([]Digest, 0, len(t.rows))
	for key, held := range t.rows {
		digests = append(digests, Digest{KeyHash: keyHash(key), Version: held.record.Version()})
	}
	slices.SortFunc(digests, func(a, b Digest) int { return int(int64(a.KeyHash) - int64(b.KeyHash)) })
	return digests
}

func keyHash(key string) uint32 { return uint32(xxhash.Sum64String(key)) }

// NewerThan returns the records, sorted by key, that a peer with the given digests lacks or has in a lower version.
func (t *Table[R]) NewerThan(digests []Digest) []R {
	known := make(map[uint32]uint64, len(digests))
	for _, digest := range digests {
		known[digest.KeyHash] = digest.Version
	}
	var newer []R
	for key, held := range t.rows {
		if held.record.Version() > known[keyHash(key)] {
			newer = append(newer, held.record)
		}
	}
	slices.SortFunc(newer, func(a, b R) int { return strings.Compare(a.Key(), b.Key()) })
	return newer
}
