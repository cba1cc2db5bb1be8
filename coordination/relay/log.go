package relay

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// Item is the last change of a key in the store: its value, or its removal.
type Item struct {
	Key      string         `cbor:"1,keyasint"`
	Value    []byte         `cbor:"2,keyasint,omitempty"`
	Revision fleet.Revision `cbor:"3,keyasint"`
	Deleted  bool           `cbor:"4,keyasint,omitempty"`
	// Packed means that the value is compressed.
	Packed bool `cbor:"5,keyasint,omitempty"`
}

// View is the part of the store's content that one VM forwards to another.
type View struct {
	// Revision is the store's revision up to which the view is complete.
	Revision fleet.Revision `cbor:"1,keyasint"`
	// Full reports that Items holds the whole content: keys without an item do not exist.
	Full  bool   `cbor:"2,keyasint,omitempty"`
	Items []Item `cbor:"3,keyasint,omitempty"`
	// Age is the time since the request to the store that the view reflects.
	Age time.Duration `cbor:"4,keyasint"`
	// HeldBack means that a later view brings a large value. Items may then be later than Revision.
	HeldBack bool `cbor:"5,keyasint,omitempty"`
}

// maxTombstones is the number of removals that the log keeps. A VM that lacks older ones gets the whole content.
const maxTombstones = 4096

// Log is a VM's copy of the store's content, with the latest tombstones, from which it forwards views.
type Log struct {
	items      map[string]Item
	tombstones []Item
	// packed holds the items that Pack has compressed.
	packed map[string]Item
	// floor is the revision after which the log holds all changes. Zero means that nothing was listed yet.
	floor    fleet.Revision
	revision fleet.Revision
	// syncedAt is when the last request that the store answered was sent. suspended means that later ones failed.
	syncedAt  time.Time
	suspended bool
}

// NewLog returns an empty log, which forwards nothing before its first listing.
func NewLog() *Log { return &Log{items: make(map[string]Item), packed: make(map[string]Item)} }

// Put applies a change unless a later one of the key is known, and reports whether it did.
func (l *Log) Put(item Item) bool {
	if known, ok := l.items[item.Key]; ok && known.Revision >= item.Revision {
		return false
	}
	delete(l.packed, item.Key)
	if !item.Deleted {
		l.items[item.Key] = item
		return true
	}
	delete(l.items, item.Key)
	l.tombstones = append(l.tombstones, item)
	if len(l.tombstones) > maxTombstones {
		l.floor = max(l.floor, l.tombstones[0].Revision)
		l.tombstones = l.tombstones[1:]
	}
	return true
}

// UpdateValue replaces the value of a key after a change that other VMs do not need. It keeps the revision, so that VMs
// that have the key do not get it again. It reports false if the log does not have the key, so that other VMs need it.
func (l *Log) UpdateValue(item Item) bool {
	known, ok := l.items[item.Key]
	if !ok {
		return false
	}
	known.Value = item.Value
	l.items[item.Key] = known
	delete(l.packed, item.Key)
	return true
}

// ApplyListing applies a complete listing at a revision: it removes the keys that are not present. Some removals before
// the listing may be unknown, so VMs that are behind its revision get the whole content.
func (l *Log) ApplyListing(present map[string]bool, revision fleet.Revision) {
	for key := range l.items {
		if !present[key] {
			delete(l.items, key)
			delete(l.packed, key)
		}
	}
	l.tombstones = nil
	l.floor = max(l.floor, revision)
}

// RecordSync records that the log is complete up to a revision, as of a request sent at requestedAt.
func (l *Log) RecordSync(requestedAt time.Time, revision fleet.Revision) {
	l.revision = max(l.revision, revision)
	if requestedAt.After(l.syncedAt) {
		l.syncedAt, l.suspended = requestedAt, false
	}
}

// Suspend records that the store does not answer. The log forwards nothing until the next RecordSync.
func (l *Log) Suspend() { l.suspended = true }

// Content returns the whole content, also while the log is suspended. It returns false if the last sync is older than maxAge.
func (l *Log) Content(now time.Time, maxAge time.Duration) (View, bool) {
	age := now.Sub(l.syncedAt)
	if l.floor == 0 || age > maxAge {
		return View{}, false
	}
	v := View{Revision: l.revision, Age: age, Full: true}
	for _, item := range l.items {
		v.Items = append(v.Items, item)
	}
	sortItems(v.Items)
	return v, true
}

func sortItems(items []Item) {
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), strings.Compare(a.Key, b.Key))
	})
}

// Pack compresses the large values of a view that Since has returned.
func (l *Log) Pack(v *View) {
	for i, item := range v.Items {
		if !item.isLarge() {
			continue
		}
		packed, ok := l.packed[item.Key]
		if !ok {
			packed = item.pack()
			l.packed[item.Key] = packed
		}
		v.Items[i] = packed
	}
}

// Since returns the changes after a known revision, or the whole content if changes after it are missing from the log.
// It returns false if the last sync is older than maxAge, or is of an earlier era of the store than the known revision.
func (l *Log) Since(now time.Time, known fleet.Revision, maxAge time.Duration) (View, bool) {
	age := now.Sub(l.syncedAt)
	if l.suspended || l.floor == 0 || age > maxAge || known.Era() > l.revision.Era() {
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
		for _, item := range l.tombstones {
			if item.Revision > known {
				v.Items = append(v.Items, item)
			}
		}
	}
	sortItems(v.Items)
	return v, true
}
