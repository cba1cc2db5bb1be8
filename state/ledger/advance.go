package ledger

import (
	"slices"
	"strings"
	"time"

	"github.com/zinniaroute/zinniaroute/state/catalog"
)

// advance returns the orders and reads that are due. Without authority there are none.
func (r *Runner) advance(now time.Time) []Action {
	if !r.mayOrder() {
		return nil
	}
	var actions []Action
	switch r.phase {
	case phaseIdle:
		actions = r.takeOver(now)
	case phaseFencing, phaseIntents:
	case phaseReading:
		actions = r.read(now)
	case phaseSettled:
		actions = append(r.orders(now), r.read(now)...)
	}
	return actions
}

func (r *Runner) takeOver(now time.Time) []Action {
	if now.Before(r.retryAt) {
		return nil
	}
	if !r.config.Fenced {
		r.phase = phaseIntents
		return []Action{ReadIntents{}}
	}
	r.phase = phaseFencing
	return []Action{SendOrder{Order: r.newOrder(VerbFence, Item{Name: FenceName})}}
}

// adopt reserves memory for the orders that earlier lease holders may have sent to a runner without fencing.
func (r *Runner) adopt(now time.Time, items []Item) {
	if r.phase != phaseIntents {
		return
	}
	for _, item := range items {
		if r.items[item.Name] == nil {
			adopted := item
			r.items[item.Name] = &adopted
			r.setState(now, &adopted, InDoubt)
			adopted.LingerUntil = now.Add(OrderLinger)
		}
	}
	r.phase = phaseReading
	r.phaseFrom = now
	r.readAt = now
}

func (r *Runner) read(now time.Time) []Action {
	if r.reading || now.Before(r.readAt) {
		return nil
	}
	r.reading = true
	return []Action{ReadContents{}}
}

func (r *Runner) orders(now time.Time) []Action {
	if now.Before(r.retryAt) || r.intents.waiting() {
		return nil
	}
	wanted := make(map[string]bool, len(r.wants))
	for _, want := range r.wants {
		wanted[want.Name] = true
	}
	actions := r.unloads(now, wanted)
	return append(actions, r.loads(now)...)
}

func (r *Runner) unloads(now time.Time, wanted map[string]bool) []Action {
	var actions []Action
	for _, item := range r.sortedItems() {
		if item.State != Resident || wanted[item.Name] || r.adapterInFlight(item.Name) || r.hasPending(item.Name) {
			continue
		}
		r.setState(now, item, Unloading)
		actions = append(actions, SendOrder{Order: r.newOrder(VerbUnload, *item)})
	}
	return actions
}

func (r *Runner) sortedItems() []*Item {
	items := make([]*Item, 0, len(r.items))
	for _, item := range r.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *Item) int { return strings.Compare(a.Name, b.Name) })
	return items
}

func (r *Runner) adapterInFlight(base string) bool {
	for _, item := range r.items {
		if item.Base == base && item.State != Resident && item.State != Lingering {
			return true
		}
	}
	return false
}

func (r *Runner) loads(now time.Time) []Action {
	var loads []Item
	for _, want := range r.wants {
		if item := r.items[want.Name]; item != nil {
			if r.repeatable(item) {
				loads = append(loads, *item)
			}
			continue
		}
		if item, ok := r.place(want); ok {
			r.items[want.Name] = &item
			loads = append(loads, item)
		}
	}
	if len(loads) == 0 {
		return nil
	}
	if !r.config.Fenced && !r.intents.covers(loads) {
		r.forget(loads)
		return []Action{r.intents.write(r.openIntents(loads))}
	}
	return r.send(now, loads)
}

// repeatable reports whether a load in doubt may be sent again. Its memory is reserved already.
func (r *Runner) repeatable(item *Item) bool {
	return !r.config.Fenced && item.State == InDoubt && !r.hasPending(item.Name)
}

func (r *Runner) send(now time.Time, loads []Item) []Action {
	actions := make([]Action, 0, len(loads))
	for _, load := range loads {
		item := r.items[load.Name]
		r.setState(now, item, Loading)
		actions = append(actions, SendOrder{Order: r.newOrder(VerbLoad, *item)})
	}
	return actions
}

// forget removes the reservations of loads whose intents are not stored yet.
func (r *Runner) forget(loads []Item) {
	for _, load := range loads {
		if load.State == "" {
			delete(r.items, load.Name)
		}
	}
}

// openIntents returns the loads to announce and each item that an earlier order may still load.
func (r *Runner) openIntents(loads []Item) []Item {
	open := slices.Clone(loads)
	for _, item := range r.sortedItems() {
		announced := slices.ContainsFunc(loads, func(load Item) bool { return load.Name == item.Name })
		if !announced && (item.State != Resident || !item.LingerUntil.IsZero()) {
			open = append(open, *item)
		}
	}
	return open
}

// place chooses the accelerators for an item, or reports that no accelerators have enough free memory yet.
func (r *Runner) place(want Want) (Item, bool) {
	item := Item{
		Name:      want.Name,
		Kind:      want.Kind,
		Base:      want.Base,
		Weights:   want.Weights,
		MemoryMiB: want.MemoryMiB,
	}
	if want.Kind == ItemAdapter {
		return r.placeAdapter(item)
	}
	if len(want.At) > 0 && r.hasRoom(want.At, want.MemoryMiB) {
		item.Accelerators = slices.Clone(want.At)
		return item, true
	}
	item.Accelerators = catalog.FitAccelerators(r.freeMiB(), max(1, want.Accelerators), want.MemoryMiB)
	return item, item.Accelerators != nil
}

// hasRoom reports whether each accelerator has at least memoryMiB free.
func (r *Runner) hasRoom(accelerators []int, memoryMiB int) bool {
	free := r.freeMiB()
	for _, accelerator := range accelerators {
		if accelerator < 0 || accelerator >= len(free) || free[accelerator] < memoryMiB {
			return false
		}
	}
	return true
}

func (r *Runner) placeAdapter(item Item) (Item, bool) {
	base := r.items[item.Base]
	if base == nil || base.State != Resident || !base.Serving {
		return item, false
	}
	item.Accelerators = slices.Clone(base.Accelerators)
	return item, r.hasRoom(base.Accelerators, item.MemoryMiB)
}
