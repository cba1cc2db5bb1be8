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
			if order := cmp.Compare(d.busy[b.Name], d.busy[a.Name]); order != 0 {
				return order
			}
			return strings.Compare(a.Name, b.Name)
		})
	}
	for _, r := range d.runners {
		for _, base := range r.bases {
			d.adaptersOn(r, base, byBase[base.unit.Name])
		}
	}
}

func (d *draft) adaptersOn(r *runnerDraft, base *baseDraft, adapters []*catalog.Adapter) {
	for _, adapter := range adapters {
		if r.holds(adapter.Name) {
			r.adapters = append(r.adapters, adapterWant(adapter, base))
			continue
		}
		if !base.serving || d.in.AdapterBudget <= 0 || !r.fitsAdapter(base, adapter.MemoryMiB) {
			continue
		}
		d.in.AdapterBudget--
		for _, accelerator := range base.accelerators {
			r.free[accelerator] -= adapter.MemoryMiB
		}
		r.adapters = append(r.adapters, adapterWant(adapter, base))
	}
}

func (r *runnerDraft) holds(item string) bool {
	return slices.ContainsFunc(r.view.Items, func(held ledger.Item) bool { return held.Name == item })
}

func (r *runnerDraft) fitsAdapter(base *baseDraft, memoryMiB int) bool {
	for _, accelerator := range base.accelerators {
		if r.free[accelerator] < memoryMiB {
			return false
		}
	}
	return true
}

func adapterWant(adapter *catalog.Adapter, base *baseDraft) ledger.Want {
	return ledger.Want{
		Name:      adapter.Name,
		Kind:      ledger.ItemAdapter,
		Base:      base.unit.Name,
		Weights:   adapter.Name,
		MemoryMiB: adapter.MemoryMiB,
	}
}
