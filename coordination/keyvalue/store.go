package keyvalue

import "context"

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Store is the part of the service that the coordination packages use. CompareAndSwap with an expected index of
// zero creates the key: it conflicts if the key exists.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64) (Outcome, error)
	Delete(ctx context.Context, key string, expected uint64) (Outcome, error)
}

// Entry is a key's value with the index of its last change. Index zero means that the key does not exist.
type Entry struct {
	Value []byte
	Index uint64
	// WaitIndex is the index after which the next watch of the key continues.
	WaitIndex uint64
}

// Outcome is the result of a compare-and-swap or a delete.
type Outcome int

// The outcomes of a compare-and-swap.
const (
	// Applied means that the write took effect.
	Applied Outcome = iota + 1
	// Conflict means that the key's index differed from the expected one, and nothing was written.
	Conflict
	// NotSent means that the request did not reach the service, and nothing was written.
	NotSent
	// Unknown means that the answer was lost or unreadable, and the write may have taken effect.
	Unknown
)

// String returns the outcome's name in lower camel case.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case Conflict:
		return "conflict"
	case NotSent:
		return "notSent"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}
