package ledger

// FenceName is the item that a fence order unloads. No engine holds such an item, so the order changes only the fence.
const FenceName = "zinnia-fence"

// ReportedState is the state of an item in an engine's index.
type ReportedState string

// The states that an engine's index uses.
const (
	ReportedReady     ReportedState = "READY"
	ReportedLoading   ReportedState = "LOADING"
	ReportedUnloading ReportedState = "UNLOADING"
)

// ItemKind is the kind of an item: the weights of a base model, or an adapter.
type ItemKind string

// The kinds of items that an engine holds.
const (
	ItemBase    ItemKind = "base"
	ItemAdapter ItemKind = "adapter"
)

// Reported is one item of an engine's index, as the engine writes it in JSON.
type Reported struct {
	Name         string        `json:"name"`
	State        ReportedState `json:"state"`
	Kind         ItemKind      `json:"kind"`
	Base         string        `json:"base,omitempty"`
	MemoryMiB    int           `json:"memoryMiB"`
	Accelerators []int         `json:"accelerators"`
}
