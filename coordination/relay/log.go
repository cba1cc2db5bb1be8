package relay

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Item is a key of the store as it was last changed, or its removal.
type Item struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}

// View is what one VM hands on to another.
type View struct {
	// Revision is the store's revision up to which the items tell everything.
	Revision uint64 `cbor:"1,keyasint"`
	// Full tells that keys without an item do not exist.
	Full  bool   `cbor:"2,keyasint,omitempty"`
	Items []Item `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the store was asked.
	Age time.Duration `cbor:"4,keyasint"`
}

// removalMemory is the number of removals that are remembered.
const removalMemory = 4096

// Log is what a VM knows of the store, ready to be handed on.
type Log struct {
	items    map[string]Item
	removals []Item
	// floor is the revision from which the log misses nothing.
	floor    uint64
	revision uint64
	heard    time.Time
}

// NewLog returns an empty log, which hands on nothing.
func NewLog() *Log { return &Log{items: make(map[string]Item)} }

// Put takes in a change, and reports whether it is news.
func (l *Log) Put(item Item) bool {
	if known, ok := l.items[item.Key]; ok && known.Revision >= item.Revision {
		return false
	}
	if !item.Deleted {
		l.items[item.Key] = item
		return true
	}
	delete(l.items, item.Key)
	l.removals = append(l.removals, item)
	if len(l.removals) > removalMemory {
		l.floor = max(l.floor, l.removals[0].Revision)
		l.removals = l.removals[1:]
	}
	return true
}

// Touch replaces the value of a key that changed in nothing that others need to know.
func (l *Log) Touch(item Item) {
	if known, ok := l.items[item.Key]; ok {
		known.Value = item.Value
		l.items[item.Key] = known
	}
}

// Listed notes a complete listing at a revision. Keys may have come and gone before it unseen, so that others who know
// less need everything.
func (l *Log) Listed(present map[string]bool, revision uint64) {
	for key := range l.items {
		if !present[key] {
			delete(l.items, key)
		}
	}
	l.removals = nil
	l.floor = max(l.floor, revision)
}

// Heard notes that everything up to a revision is known, as asked for at a time.
func (l *Log) Heard(asked time.Time, revision uint64) {
	l.revision = max(l.revision, revision)
	if asked.After(l.heard) {
		l.heard = asked
	}
}

// Lost notes that the store does not answer, so that nothing is handed on until it is heard again.
func (l *Log) Lost() { l.heard = time.Time{} }

// Since returns what has changed after a revision, or everything when that is not known, and false when this VM has not
// heard the store for longer than maxAge.
func (l *Log) Since(now time.Time, known uint64, maxAge time.Duration) (View, bool) {
	age := now.Sub(l.heard)
	if l.floor == 0 || age > maxAge {
		return View{}, false
	}
	v := View{Revision: l.revision, Age: age, Full: known < l.floor}
	if v.Full {
		known = 0
	}
	for _, item := range l.items {
		if item.Revision > known {
			v.Items = append(v.Items, item)
		}
	}
	if !v.Full {
		for _, item := range l.removals {
			if item.Revision > known {
				v.Items = append(v.Items, item)
			}
		}
	}
	slices.SortFunc(v.Items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), strings.Compare(a.Key, b.Key))
	})
	return v, true
}
