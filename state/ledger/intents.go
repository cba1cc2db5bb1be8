package ledger

import "slices"

// intentLog tracks the loads that are announced in the key-value service. A load is announced before it is sent.
type intentLog struct {
	sequence uint64
	writing  bool
	pending  []Item
	stored   []Item
}

func (l *intentLog) isWriting() bool { return l.writing }

// covers reports whether the key-value service stores an intent for each load.
func (l *intentLog) covers(loads []Item) bool {
	for _, load := range loads {
		announced := slices.ContainsFunc(l.stored, func(item Item) bool { return sameReservation(item, load) })
		if !announced {
			return false
		}
	}
	return true
}

func (l *intentLog) startWrite(items []Item) WriteIntents {
	l.sequence++
	l.writing = true
	l.pending = items
	return WriteIntents{Sequence: l.sequence, Items: items}
}

// finishWrite applies the outcome of a write. After a failed write no load counts as announced.
func (l *intentLog) finishWrite(e IntentsStored) {
	if e.Sequence != l.sequence {
		return
	}
	l.writing = false
	l.stored = nil
	if e.Stored {
		l.stored = l.pending
	}
}

func sameReservation(a, b Item) bool {
	return a.Name == b.Name && a.MemoryMiB == b.MemoryMiB && slices.Equal(a.Accelerators, b.Accelerators)
}
