package ledger

import (
	"time"
)

// applyIndex applies an engine's index. Listed items take memory as reported. For an item that is not listed, the
// outcome depends on the item's state.
func (l *Ledger) applyIndex(now time.Time, index IndexRead) {
	l.readInFlight = false
	l.nextReadAt = now.Add(readInterval)
	if index.RequestedAt.Before(l.phaseStartedAt) {
		return
	}
	if index.Incarnation != l.incarnation {
		l.applyRestart(now, index)
		return
	}
	if l.phase != phaseReading && l.phase != phaseSettled {
		return
	}
	listed := make(map[string]bool, len(index.Entries))
	foreign := false
	for _, entry := range index.Entries {
		listed[entry.Name] = true
		foreign = foreign || l.items[entry.Name] == nil
		l.applyEntry(now, entry)
	}
	for name, item := range l.items {
		if !listed[name] {
			l.handleUnlisted(now, item, index.RequestedAt)
		}
	}
	switch {
	case l.phase == phaseReading:
		l.phase = phaseSettled
	case foreign:
		// Another process sent an order to the runner. The answer to a new fence shows whether it holds a later lease.
		l.restartTakeover(now)
	}
}

// applyRestart handles a restart of the engine. The engine may have lost its fence, so the takeover begins again.
func (l *Ledger) applyRestart(now time.Time, index IndexRead) {
	first := l.incarnation == ""
	l.incarnation = index.Incarnation
	if first && l.phase == phaseReading {
		l.applyIndex(now, index)
		return
	}
	for _, item := range l.items {
		if item.State == Resident {
			l.setState(now, item, InDoubt)
		}
	}
	if l.phase == phaseSettled || l.phase == phaseReading {
		l.restartTakeover(now)
	}
}

func (l *Ledger) applyEntry(now time.Time, entry IndexEntry) {
	item := l.items[entry.Name]
	if item == nil {
		item = &Item{Name: entry.Name, StateChangedAt: now}
		l.items[entry.Name] = item
		l.setState(now, item, Resident)
		l.extendLinger(now, item)
	}
	item.Kind = kindOf(entry)
	item.Base = entry.Base
	item.MemoryMiB = max(item.MemoryMiB, entry.MemoryMiB)
	item.Accelerators = entry.Accelerators
	if l.hasPending(item.Name) {
		return
	}
	ready := entry.State == IndexReady
	if item.State == InDoubt || item.State == Lingering {
		if entry.State == IndexUnloading {
			return
		}
		l.setState(now, item, Resident)
	}
	if item.State == Resident {
		item.Serving = ready
	}
}

func (l *Ledger) hasPending(name string) bool {
	for _, order := range l.pending {
		if order.Item.Name == name && order.Verb != VerbFence {
			return true
		}
	}
	return false
}

// handleUnlisted updates an item that is not listed on an index requested at the given time.
func (l *Ledger) handleUnlisted(now time.Time, item *Item, requestedAt time.Time) {
	if l.hasPending(item.Name) || !requestedAt.After(item.StateChangedAt) {
		return
	}
	switch item.State {
	case Resident:
		l.remove(now, item)
	case InDoubt, Lingering:
		l.removeInDoubt(item, requestedAt)
	case Loading, Unloading:
	}
}

// removeInDoubt removes an item whose order in doubt can no longer take effect. On a fenced runner a later fence was
// confirmed before the index was read. On a runner without fencing OrderLingerWindow had passed by then.
func (l *Ledger) removeInDoubt(item *Item, requestedAt time.Time) {
	if l.config.Fenced || !requestedAt.Before(item.LingerUntil) {
		delete(l.items, item.Name)
	}
}
