package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Unit is a model, or an adapter of it when Adapter is not empty.
type Unit struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
}

// String returns the unit's name.
func (u Unit) String() string {
	if u.Adapter == "" {
		return u.Model
	}
	return u.Model + "/" + u.Adapter
}

// Held is a model that a runner holds.
type Held struct {
	Model    string   `cbor:"1,keyasint"`
	Version  int      `cbor:"2,keyasint,omitempty"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
}

// Holdings is what a runner holds in one incarnation.
type Holdings struct {
	Models []Held `cbor:"1,keyasint,omitempty"`
	// Coming are adapters on their way to the runner.
	Coming []Unit `cbor:"2,keyasint,omitempty"`
	// Busy tells that an order on weights is under way.
	Busy bool `cbor:"3,keyasint,omitempty"`
}

// Has reports whether the holdings include a unit.
func (h Holdings) Has(unit Unit) bool {
	for _, held := range h.Models {
		if held.Model != unit.Model {
			continue
		}
		if unit.Adapter == "" {
			return true
		}
		for _, adapter := range held.Adapters {
			if adapter == unit.Adapter {
				return true
			}
		}
	}
	return false
}

// Without returns the holdings without a unit; a model goes with its adapters.
func (h Holdings) Without(unit Unit) Holdings {
	models := make([]Held, 0, len(h.Models))
	for _, held := range h.Models {
		if held.Model == unit.Model {
			if unit.Adapter == "" {
				continue
			}
			held.Adapters = slices.DeleteFunc(slices.Clone(held.Adapters), func(a string) bool { return a == unit.Adapter })
		}
		models = append(models, held)
	}
	h.Models = models
	return h
}

// AdapterCount returns the number of adapter places that are taken.
func (h Holdings) AdapterCount() int {
	count := len(h.Coming)
	for _, held := range h.Models {
		count += len(held.Adapters)
	}
	return count
}

// Runner is an endpoint as it last described itself.
type Runner struct {
	ID      string
	Service string
	Address netip.AddrPort
	Domain  string
	Slots   int
	// Leaving runners take no new work.
	Leaving bool
	// Incarnation identifies the runner's start: the Unix millisecond of it.
	Incarnation int64
	Holdings    Holdings
	// AsOf is a time at which the runner held what Holdings says.
	AsOf time.Time
	// InMemory and OnDisk name the models whose weights the runner's VM has copies of.
	InMemory []string
	OnDisk   []string
	// Seen is when the latest entry arrived.
	Seen time.Time
	// Revision is the store's revision of the latest entry.
	Revision uint64
}
