package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/ledger"
)

// placeAdapters adds to each replica the adapters of its unit, the most used first, while memory allows.
func (d *draft) placeAdapters() {
	byBase := make(map[string][]*catalog.Adapter)
	for i := range d.in.Index.Set.Adapters {
		adapter := &d.in.Index.Set.Adapters[i]
		if unit, ok := d.in.Index.Unit(adapter.Base); ok {
			byBase[unit.Name] = append(byBase[unit.Name], adapter)
		}
	}
	for _, adapters := range byBase {
		slices.SortFunc(adapters, func(a, b *catalog.Adapter) int {
			if order := cmp.Compare(d.inFlight[b.Name], d.inFlight[a.Name]); order != 0 {
				return order
			}
			return strings.Compare(a.Name, b.Name)
		})
	}
	for _, r := range d.runners {
		for _, replica := range r.replicas {
			d.placeAdaptersOn(r, replica, byBase[replica.unit.Name])
		}
	}
}

func (d *draft) placeAdaptersOn(r *runnerDraft, replica *replicaDraft, adapters []*catalog.Adapter) {
	for _, adapter := range adapters {
		if r.hasItem(adapter.Name) {
			r.adapters = append(r.adapters, desiredAdapter(adapter, replica))
			continue
		}
		if !replica.serving || d.in.AdapterBudget <= 0 || !r.fitsAdapter(replica, adapter.MemoryMiB) {
			continue
		}
		d.in.AdapterBudget--
		for _, accelerator := range replica.accelerators {
			r.freeMiB[accelerator] -= adapter.MemoryMiB
		}
		r.adapters = append(r.adapters, desiredAdapter(adapter, replica))
	}
}

func (r *runnerDraft) hasItem(item string) bool {
	return slices.ContainsFunc(r.view.Items, func(held ledger.Item) bool { return held.Name == item })
}

func (r *runnerDraft) fitsAdapter(replica *replicaDraft, memoryMiB int) bool {
	for _, accelerator := range replica.accelerators {
		if r.freeMiB[accelerator] < memoryMiB {
			return false
		}
	}
	return true
}

func desiredAdapter(adapter *catalog.Adapter, replica *replicaDraft) ledger.DesiredItem {
	return ledger.DesiredItem{
		Name:      adapter.Name,
		Kind:      ledger.ItemAdapter,
		Base:      replica.unit.Name,
		Weights:   adapter.Name,
		MemoryMiB: adapter.MemoryMiB,
	}
}
