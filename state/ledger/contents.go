package ledger

import (
	"time"
)

// contents applies an engine's index. Listed items take memory as reported. For an item that is not listed, the outcome
// depends on the item's state.
func (r *Runner) contents(now time.Time, c Contents) {
	r.reading = false
	r.readAt = now.Add(readInterval)
	if c.RequestedAt.Before(r.phaseFrom) {
		return
	}
	if c.Incarnation != r.incarnation {
		r.newIncarnation(now, c)
		return
	}
	if r.phase != phaseReading && r.phase != phaseSettled {
		return
	}
	shown := make(map[string]bool, len(c.Entries))
	foreign := false
	for _, entry := range c.Entries {
		shown[entry.Name] = true
		foreign = foreign || r.items[entry.Name] == nil
		r.shown(now, entry)
	}
	for name, item := range r.items {
		if !shown[name] {
			r.missing(now, item, c.RequestedAt)
		}
	}
	switch {
	case r.phase == phaseReading:
		r.phase = phaseSettled
	case foreign:
		// Another process sent an order to the runner. The answer to a new fence shows whether it holds a later lease.
		r.restart(now)
	}
}

// newIncarnation handles a restart of the engine. The engine may have lost its fence, so the takeover begins again.
func (r *Runner) newIncarnation(now time.Time, c Contents) {
	first := r.incarnation == ""
	r.incarnation = c.Incarnation
	if first && r.phase == phaseReading {
		r.contents(now, c)
		return
	}
	for _, item := range r.items {
		if item.State == Resident {
			r.setState(now, item, InDoubt)
		}
	}
	if r.phase == phaseSettled || r.phase == phaseReading {
		r.restart(now)
	}
}

func (r *Runner) shown(now time.Time, entry Reported) {
	item := r.items[entry.Name]
	if item == nil {
		item = &Item{Name: entry.Name, Since: now}
		r.items[entry.Name] = item
		r.setState(now, item, Resident)
		r.linger(now, item)
	}
	item.Kind = kindOf(entry)
	item.Base = entry.Base
	item.MemoryMiB = max(item.MemoryMiB, entry.MemoryMiB)
	item.Accelerators = entry.Accelerators
	if r.hasPending(item.Name) {
		return
	}
	ready := entry.State == ReportedReady
	if item.State == InDoubt || item.State == Lingering {
		if entry.State == ReportedUnloading {
			return
		}
		r.setState(now, item, Resident)
	}
	if item.State == Resident {
		item.Serving = ready
	}
}

func (r *Runner) hasPending(name string) bool {
	for _, order := range r.pending {
		if order.Item.Name == name && order.Verb != VerbFence {
			return true
		}
	}
	return false
}

// missing handles an item that is not listed on an index requested at the given time.
func (r *Runner) missing(now time.Time, item *Item, requestedAt time.Time) {
	if r.hasPending(item.Name) || !requestedAt.After(item.Since) {
		return
	}
	switch item.State {
	case Resident:
		r.freeOne(now, item)
	case InDoubt, Lingering:
		r.missingDoubtful(item, requestedAt)
	case Loading, Unloading:
	}
}

// missingDoubtful removes an item whose order in doubt can no longer take effect. On a fenced runner a later fence was
// confirmed before the index was read. On a runner without fencing OrderLinger had passed by then.
func (r *Runner) missingDoubtful(item *Item, requestedAt time.Time) {
	if r.config.Fenced || !requestedAt.Before(item.LingerUntil) {
		delete(r.items, item.Name)
	}
}
