package ledger

// FenceItemName is the item that a fence order unloads. No engine holds such an item, so the order
// changes only the fence.
const FenceItemName = "zinnia-fence"

// IndexState is the state of an item in an engine's index.
type IndexState string

// The states that an engine's index uses.
const (
	IndexReady     IndexState = "READY"
	IndexLoading   IndexState = "LOADING"
	IndexUnloading IndexState = "UNLOADING"
)

// ItemKind is the kind of an item: the weights of a base model, or an adapter.
type ItemKind string

// The kinds of items that an engine holds.
const (
	ItemBase    ItemKind = "base"
	ItemAdapter ItemKind = "adapter"
)

// IndexEntry is one item of an engine's index, as the engine writes it in JSON.
type IndexEntry struct {
	Name         string     `json:"name"`
	State        IndexState `json:"state"`
	Kind         ItemKind   `json:"kind"`
	Base         string     `json:"base,omitempty"`
	MemoryMiB    int        `json:"memoryMiB"`
	Accelerators []int      `json:"accelerators"`
}
