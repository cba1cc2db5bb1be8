package engine

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/zinniaroute/zinniaroute/protocol/engine"
	"github.com/zinniaroute/zinniaroute/state/ledger"
)

// memory tracks the items resident on the accelerators and the memory that each one uses. An item is a base model or an
// adapter.
type memory struct {
	mu           sync.Mutex
	accelerators int
	capacityMiB  int
	fenced       bool
	fence        uint64
	items        map[string]ledger.IndexEntry
	done         map[string]bool
	overcommits  int
	orders       int
}

func newMemory(accelerators, capacityMiB int, fenced bool) *memory {
	return &memory{
		accelerators: accelerators,
		capacityMiB:  capacityMiB,
		fenced:       fenced,
		items:        make(map[string]ledger.IndexEntry),
		done:         make(map[string]bool),
	}
}

type refusal struct {
	status int
	reason string
}

func (m *memory) acceptOrder(p engine.OrderParameters) *refusal {
	m.orders++
	if !m.fenced {
		return nil
	}
	if p.Fence < m.fence {
		return &refusal{engine.StatusStaleFence, fmt.Sprintf("fence %d is older than %d", p.Fence, m.fence)}
	}
	m.fence = p.Fence
	return nil
}

// beginLoad reserves the memory for an item or returns why it refuses the order. resident is true if the item is
// already loading or loaded.
func (m *memory) beginLoad(name string, p engine.OrderParameters) (resident bool, refused *refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if refused := m.acceptOrder(p); refused != nil {
		return false, refused
	}
	accelerators, err := parseAccelerators(p.Accelerators, m.accelerators)
	if err != nil {
		return false, &refusal{engine.StatusBadOrder, err.Error()}
	}
	if _, resident := m.items[name]; resident {
		return true, nil
	}
	if p.Kind == ledger.ItemAdapter && m.items[p.Base].State != ledger.IndexReady {
		return false, &refusal{engine.StatusNotFound, "the base is not loaded"}
	}
	entry := ledger.IndexEntry{
		Name:         name,
		State:        ledger.IndexLoading,
		Kind:         p.Kind,
		Base:         p.Base,
		MemoryMiB:    p.MemoryMiB,
		Accelerators: accelerators,
	}
	if !m.fits(entry) {
		m.overcommits++
		return false, &refusal{engine.StatusNoMemory, "not enough accelerator memory"}
	}
	m.items[name] = entry
	return false, nil
}

func parseAccelerators(text string, count int) ([]int, error) {
	var accelerators []int
	for _, field := range strings.Split(text, ",") {
		number, err := strconv.Atoi(field)
		if err != nil || number < 0 || number >= count || slices.Contains(accelerators, number) {
			return nil, fmt.Errorf("bad accelerator %q", field)
		}
		accelerators = append(accelerators, number)
	}
	return accelerators, nil
}

func (m *memory) fits(entry ledger.IndexEntry) bool {
	for _, accelerator := range entry.Accelerators {
		if m.usedMiB(accelerator)+entry.MemoryMiB > m.capacityMiB {
			return false
		}
	}
	return true
}

func (m *memory) usedMiB(accelerator int) int {
	total := 0
	for _, item := range m.items {
		if slices.Contains(item.Accelerators, accelerator) {
			total += item.MemoryMiB
		}
	}
	return total
}

func (m *memory) finishLoad(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, resident := m.items[name]
	if resident && entry.State == ledger.IndexLoading {
		entry.State = ledger.IndexReady
		m.items[name] = entry
	}
}

// unload removes an item and the adapters that are based on it.
func (m *memory) unload(name string, p engine.OrderParameters) *refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	if refused := m.acceptOrder(p); refused != nil {
		return refused
	}
	delete(m.items, name)
	for other, item := range m.items {
		if item.Base == name {
			delete(m.items, other)
		}
	}
	return nil
}

func (m *memory) index() []ledger.IndexEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := make([]ledger.IndexEntry, 0, len(m.items))
	for _, item := range m.items {
		entries = append(entries, item)
	}
	slices.SortFunc(entries, func(a, b ledger.IndexEntry) int { return strings.Compare(a.Name, b.Name) })
	return entries
}

func (m *memory) isReady(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.items[name].State == ledger.IndexReady
}

func (m *memory) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.items = make(map[string]ledger.IndexEntry)
}
