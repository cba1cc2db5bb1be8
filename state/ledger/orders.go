package ledger

import (
	"slices"
	"strings"
	"time"

	"github.com/zinniaroute/zinniaroute/state/catalog"
)

// dueActions returns the orders and reads that are due. Without authority there are none.
func (l *Ledger) dueActions(now time.Time) []Action {
	if !l.isAuthorized() {
		return nil
	}
	var actions []Action
	switch l.phase {
	case phaseIdle:
		actions = l.startTakeover(now)
	case phaseFencing, phaseIntents:
	case phaseReading:
		actions = l.startRead(now)
	case phaseSettled:
		actions = append(l.startOrders(now), l.startRead(now)...)
	}
	return actions
}

func (l *Ledger) startTakeover(now time.Time) []Action {
	if now.Before(l.nextOrderAt) {
		return nil
	}
	if !l.config.Fenced {
		l.phase = phaseIntents
		return []Action{ReadIntents{}}
	}
	l.phase = phaseFencing
	return []Action{SendOrder{Order: l.addOrder(VerbFence, Item{Name: FenceItemName})}}
}

// reserveIntents reserves memory for the orders that earlier lease holders may have sent to a runner without fencing.
func (l *Ledger) reserveIntents(now time.Time, items []Item) {
	if l.phase != phaseIntents {
		return
	}
	for _, item := range items {
		if l.items[item.Name] == nil {
			reserved := item
			l.items[item.Name] = &reserved
			l.setState(now, &reserved, InDoubt)
			reserved.LingerUntil = now.Add(OrderLingerWindow)
		}
	}
	l.phase = phaseReading
	l.phaseStartedAt = now
	l.nextReadAt = now
}

func (l *Ledger) startRead(now time.Time) []Action {
	if l.readInFlight || now.Before(l.nextReadAt) {
		return nil
	}
	l.readInFlight = true
	return []Action{ReadIndex{}}
}

func (l *Ledger) startOrders(now time.Time) []Action {
	if now.Before(l.nextOrderAt) || l.intents.isWriting() {
		return nil
	}
	desiredNames := make(map[string]bool, len(l.desired))
	for _, desired := range l.desired {
		desiredNames[desired.Name] = true
	}
	actions := l.startUnloads(now, desiredNames)
	return append(actions, l.startLoads(now)...)
}

func (l *Ledger) startUnloads(now time.Time, desiredNames map[string]bool) []Action {
	var actions []Action
	for _, item := range l.sortedItems() {
		if item.State != Resident || desiredNames[item.Name] || l.adapterInFlight(item.Name) || l.hasPending(item.Name) {
			continue
		}
		l.setState(now, item, Unloading)
		actions = append(actions, SendOrder{Order: l.addOrder(VerbUnload, *item)})
	}
	return actions
}

func (l *Ledger) sortedItems() []*Item {
	items := make([]*Item, 0, len(l.items))
	for _, item := range l.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *Item) int { return strings.Compare(a.Name, b.Name) })
	return items
}

// adapterInFlight reports whether an adapter on a base has an order without a known outcome.
func (l *Ledger) adapterInFlight(base string) bool {
	for _, item := range l.items {
		if item.Base == base && item.State != Resident && item.State != Lingering {
			return true
		}
	}
	return false
}

func (l *Ledger) startLoads(now time.Time) []Action {
	var loads []Item
	for _, desired := range l.desired {
		if item := l.items[desired.Name]; item != nil {
			if l.isRetryable(item) {
				loads = append(loads, *item)
			}
			continue
		}
		if item, ok := l.allocate(desired); ok {
			l.items[desired.Name] = &item
			loads = append(loads, item)
		}
	}
	if len(loads) == 0 {
		return nil
	}
	if !l.config.Fenced && !l.intents.covers(loads) {
		l.dropReservations(loads)
		return []Action{l.intents.startWrite(l.openIntents(loads))}
	}
	return l.sendLoads(now, loads)
}

// isRetryable reports whether a load in doubt may be sent again. Its memory is reserved already.
func (l *Ledger) isRetryable(item *Item) bool {
	return !l.config.Fenced && item.State == InDoubt && !l.hasPending(item.Name)
}

func (l *Ledger) sendLoads(now time.Time, loads []Item) []Action {
	actions := make([]Action, 0, len(loads))
	for _, load := range loads {
		item := l.items[load.Name]
		l.setState(now, item, Loading)
		actions = append(actions, SendOrder{Order: l.addOrder(VerbLoad, *item)})
	}
	return actions
}

// dropReservations removes the reservations of new loads, whose intents are not stored yet. A new load has no state. A
// load that is sent again keeps its reservation.
func (l *Ledger) dropReservations(loads []Item) {
	for _, load := range loads {
		if load.State == "" {
			delete(l.items, load.Name)
		}
	}
}

// openIntents returns the loads to announce and each item that an earlier order may still load.
func (l *Ledger) openIntents(loads []Item) []Item {
	open := slices.Clone(loads)
	for _, item := range l.sortedItems() {
		announced := slices.ContainsFunc(loads, func(load Item) bool { return load.Name == item.Name })
		if !announced && (item.State != Resident || !item.LingerUntil.IsZero()) {
			open = append(open, *item)
		}
	}
	return open
}

// allocate chooses the accelerators for an item, or reports that no accelerators have enough free memory yet.
func (l *Ledger) allocate(desired DesiredItem) (Item, bool) {
	item := Item{
		Name:      desired.Name,
		Kind:      desired.Kind,
		Base:      desired.Base,
		Weights:   desired.Weights,
		MemoryMiB: desired.MemoryMiB,
	}
	if desired.Kind == ItemAdapter {
		return l.allocateAdapter(item)
	}
	if len(desired.PreferredAccelerators) > 0 && l.hasRoom(desired.PreferredAccelerators, desired.MemoryMiB) {
		item.Accelerators = slices.Clone(desired.PreferredAccelerators)
		return item, true
	}
	item.Accelerators = catalog.FitAccelerators(l.freeMiB(), max(1, desired.Accelerators), desired.MemoryMiB)
	return item, item.Accelerators != nil
}

// hasRoom reports whether each accelerator has at least memoryMiB free.
func (l *Ledger) hasRoom(accelerators []int, memoryMiB int) bool {
	free := l.freeMiB()
	for _, accelerator := range accelerators {
		if accelerator < 0 || accelerator >= len(free) || free[accelerator] < memoryMiB {
			return false
		}
	}
	return true
}

func (l *Ledger) allocateAdapter(item Item) (Item, bool) {
	base := l.items[item.Base]
	if base == nil || base.State != Resident || !base.Serving {
		return item, false
	}
	item.Accelerators = slices.Clone(base.Accelerators)
	return item, l.hasRoom(base.Accelerators, item.MemoryMiB)
}
