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

// String formats the unit as MODEL or MODEL/ADAPTER.
func (u Unit) String() string {
	if u.Adapter == "" {
		return u.Model
	}
	return u.Model + "/" + u.Adapter
}

// LoadedModel is a model that is loaded on a runner, with its loaded adapters.
type LoadedModel struct {
	Model    string   `cbor:"1,keyasint"`
	Version  int      `cbor:"2,keyasint,omitempty"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
}

// Holdings are the units that are resident on a runner in one incarnation.
type Holdings struct {
	Models []LoadedModel `cbor:"1,keyasint,omitempty"`
	// LoadingAdapters occupy adapter slots but cannot serve requests yet.
	LoadingAdapters []Unit `cbor:"2,keyasint,omitempty" json:"Coming"`
	// Busy is true while a model is loading or unloading.
	Busy bool `cbor:"3,keyasint,omitempty"`
}

// Has reports whether a unit is loaded. An adapter that is still loading is not.
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

// Without returns a copy of the holdings without a unit; a model is removed with its adapters.
func (h Holdings) Without(unit Unit) Holdings {
	models := make([]LoadedModel, 0, len(h.Models))
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

// AdapterCount returns the number of adapter slots in use, by loaded and loading adapters.
func (h Holdings) AdapterCount() int {
	count := len(h.LoadingAdapters)
	for _, held := range h.Models {
		count += len(held.Adapters)
	}
	return count
}

// Runner is an endpoint as its latest entry in the store describes it, with the newest known holdings.
type Runner struct {
	ID      string
	Service string
	Address netip.AddrPort
	Domain  string
	// Software is the version of the endpoint's software, or "" if it is not known. It is not the version of the weights.
	Software string
	// Slots is the number of requests that the endpoint serves at once.
	Slots int
	// Draining runners take no new requests.
	Draining bool `json:"Leaving"`
	// Incarnation identifies the runner's start by its time in Unix milliseconds.
	Incarnation int64
	Holdings    Holdings
	// HoldingsAt is a time at which Holdings was correct.
	HoldingsAt time.Time `json:"AsOf"`
	// InMemory and OnDisk name the models of whose weights the runner's VM has copies.
	InMemory []string
	OnDisk   []string
	// LastSeen is the time at which the latest entry arrived.
	LastSeen time.Time `json:"Seen"`
	// Revision is the store's revision of the latest entry.
	Revision Revision
}
