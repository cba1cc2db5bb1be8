package publication

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/keyvalue"
	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/state/catalog"
)

// Status is the outcome of a change.
type Status string

// The outcomes of a change.
const (
	// StatusPublished means that the change is in the catalog.
	StatusPublished Status = "published"
	// StatusUnchanged means that the catalog already equals the result of the change.
	StatusUnchanged Status = "unchanged"
	// StatusChecked means that the change is valid and, as a dry run, was not published.
	StatusChecked Status = "checked"
	// StatusInvalid means that the catalog with the change would not be valid.
	StatusInvalid Status = "invalid"
	// StatusConflict means that another change modified the same objects after the base revision.
	StatusConflict Status = "conflict"
	// StatusUnknown means that the change may or may not be in the catalog. A retry with the same ID is safe.
	StatusUnknown Status = "unknown"
	// StatusUnavailable means that the change is not in the catalog, because the key-value service does not answer or
	// other changes won every attempt.
	StatusUnavailable Status = "unavailable"
)

// Result is the outcome of a change with its details.
type Result struct {
	Status     Status            `json:"status"`
	Revision   uint64            `json:"revision,omitempty"`
	Difference Difference        `json:"difference,omitzero"`
	Findings   document.Findings `json:"findings,omitempty"`
	Message    string            `json:"message,omitempty"`
}

const (
	maxAttempts = 16
	// RetryDelay is the time between two attempts to publish a change.
	RetryDelay   = 50 * time.Millisecond
	maxHeadBytes = keyvalue.MaxValueBytes
)

// Load reads the published catalog and the store's index of its head. Before the first change both are zero.
func Load(ctx context.Context, store keyvalue.Store) (Snapshot, uint64, error) {
	entry, err := store.Get(ctx, HeadKey)
	if err != nil {
		return Snapshot{}, 0, errors.Wrap(err, "read catalog head")
	}
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return Snapshot{}, 0, err
	}
	snapshot, err := Assemble(head, func(ref Chunk) ([]byte, error) {
		chunk, err := store.Get(ctx, ref.Key)
		return chunk.Value, err
	})
	return snapshot, entry.Index, err
}

// Assemble builds the snapshot of a head. It calls find for the stored value of each chunk.
func Assemble(head Head, find func(ref Chunk) ([]byte, error)) (Snapshot, error) {
	snapshot := Snapshot{Head: head}
	for _, ref := range head.Chunks {
		if ref.Key == "" {
			continue
		}
		value, err := find(ref)
		if err != nil {
			return Snapshot{}, errors.Wrap(err, "read catalog chunk")
		}
		objects, err := DecodeChunk(ref, value)
		if err != nil {
			return Snapshot{}, err
		}
		snapshot.Objects = append(snapshot.Objects, objects...)
	}
	catalog.SortObjects(snapshot.Objects)
	return snapshot, nil
}

// Publish applies a change to the catalog in the key-value service. If another change wins the race or a call fails, it
// tries again after retryDelay, up to maxAttempts times.
func Publish(
	ctx context.Context,
	now time.Time,
	store keyvalue.Store,
	request Request,
	retryDelay time.Duration,
) Result {
	p := publisher{
		store:     store,
		request:   request,
		now:       now,
		base:      request.Base,
		baseKnown: request.Base != 0,
	}
	for range maxAttempts {
		result, retry := p.attempt(ctx)
		if !retry {
			return result
		}
		if !wait(ctx, retryDelay) {
			break
		}
	}
	if p.inDoubt {
		return Result{Status: StatusUnknown, Message: "the answer of the key-value service was lost; send the same change again"}
	}
	if p.lastErr != nil {
		return Result{Status: StatusUnavailable, Message: p.lastErr.Error()}
	}
	return Result{Status: StatusUnavailable, Message: "the catalog is changing too fast"}
}

func wait(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}

type publisher struct {
	store   keyvalue.Store
	request Request
	now     time.Time
	base    uint64
	// baseKnown is false until the first attempt reads the catalog, if the request names no base revision.
	baseKnown bool
	// inDoubt reports that a swap of the head may have taken effect, because its answer was lost.
	inDoubt bool
	lastErr error
}

func (p *publisher) attempt(ctx context.Context) (result Result, retry bool) {
	snapshot, index, err := Load(ctx, p.store)
	if err != nil {
		return p.recordFailure(err)
	}
	if change, ok := snapshot.Head.Find(p.request.ID); ok {
		return Result{Status: StatusPublished, Revision: change.Revision}, false
	}
	if !p.baseKnown {
		p.base = snapshot.Head.Revision
		p.baseKnown = true
	}
	next := snapshot.Head.Revision + 1
	merged := Merge(snapshot.Objects, p.request, p.base, next)
	if result, decided := p.check(snapshot.Head, merged); decided {
		return result, false
	}
	return p.swap(ctx, snapshot.Head, index, merged)
}

// recordFailure records why a call to the key-value service failed and requests another attempt.
func (p *publisher) recordFailure(err error) (Result, bool) {
	p.lastErr = err
	return Result{}, true
}

func (p *publisher) check(head Head, merged MergeResult) (Result, bool) {
	if len(merged.Conflicts) > 0 {
		return Result{Status: StatusConflict, Findings: merged.Conflicts}, true
	}
	findings, err := CheckObjects(merged.Objects)
	if err != nil {
		return Result{Status: StatusInvalid, Message: err.Error()}, true
	}
	if len(findings) > 0 {
		return Result{Status: StatusInvalid, Findings: findings, Difference: merged.Difference}, true
	}
	if merged.Difference.Empty() {
		return Result{Status: StatusUnchanged, Revision: head.Revision}, true
	}
	if p.request.DryRun {
		return Result{Status: StatusChecked, Revision: head.Revision, Difference: merged.Difference}, true
	}
	return Result{}, false
}

// CheckObjects validates a catalog that consists of the given objects.
func CheckObjects(objects []catalog.Object) (document.Findings, error) {
	set, err := catalog.NewSet(objects)
	if err != nil {
		return nil, err
	}
	return catalog.Validate(set, catalog.NewLocator()), nil
}

func (p *publisher) swap(ctx context.Context, old Head, index uint64, merged MergeResult) (Result, bool) {
	head, err := p.writeChunks(ctx, old, merged)
	if err != nil {
		return p.recordFailure(err)
	}
	value, err := json.Marshal(head)
	if err != nil {
		return Result{Status: StatusInvalid, Message: err.Error()}, false
	}
	if len(value) > maxHeadBytes {
		return Result{Status: StatusInvalid, Message: "the catalog head is larger than the key-value service allows"}, false
	}
	outcome, err := p.store.CompareAndSwap(ctx, HeadKey, value, index)
	switch outcome {
	case keyvalue.Applied:
		p.deleteUnusedChunks(ctx, old, head)
		return Result{Status: StatusPublished, Revision: head.Revision, Difference: merged.Difference}, false
	case keyvalue.Unknown:
		p.inDoubt = true
		return Result{}, true
	case keyvalue.NotSent:
		return p.recordFailure(err)
	default:
		return Result{}, true
	}
}

func (p *publisher) writeChunks(ctx context.Context, old Head, merged MergeResult) (Head, error) {
	head := Head{Revision: old.Revision + 1, Chunks: old.Chunks}
	for _, bucket := range changedBuckets(merged.Difference) {
		encoded, err := encodeChunk(objectsInBucket(merged.Objects, bucket), p.request.ID, bucket)
		if err != nil {
			return Head{}, err
		}
		if len(encoded.value) > keyvalue.MaxValueBytes {
			return Head{}, errors.Errorf("a chunk of the catalog takes %d bytes, more than a value may", len(encoded.value))
		}
		if err := p.writeChunk(ctx, encoded); err != nil {
			return Head{}, err
		}
		head.Chunks[bucket] = encoded.ref
	}
	change := Change{
		Revision: head.Revision,
		ID:       p.request.ID,
		Author:   p.request.Author,
		At:       p.now.UTC(),
		Put:      len(merged.Difference.Added) + len(merged.Difference.Changed),
		Deleted:  len(merged.Difference.Deleted),
		Summary:  p.request.Summary,
	}
	kept := old.History[:min(len(old.History), HistoryLength-1)]
	head.History = append([]Change{change}, kept...)
	return head, nil
}

// writeChunk stores a chunk under its own key. A conflict means that an earlier attempt has stored it.
func (p *publisher) writeChunk(ctx context.Context, encoded chunk) error {
	outcome, err := p.store.CompareAndSwap(ctx, encoded.ref.Key, encoded.value, 0)
	if outcome == keyvalue.Applied || outcome == keyvalue.Conflict {
		return nil
	}
	entry, readErr := p.store.Get(ctx, encoded.ref.Key)
	if readErr == nil && digestOf(entry.Value) == encoded.ref.Digest {
		return nil
	}
	return errors.Wrap(err, "write catalog chunk")
}

func objectsInBucket(objects []catalog.Object, bucket int) []catalog.Object {
	var found []catalog.Object
	for _, object := range objects {
		if bucketOf(object.Key) == bucket {
			found = append(found, object)
		}
	}
	return found
}

// deleteUnusedChunks deletes the chunks to which the new head does not refer. A reader that misses a chunk of the old
// head reads the new head.
func (p *publisher) deleteUnusedChunks(ctx context.Context, old, head Head) {
	for _, ref := range old.Chunks {
		if ref.Key == "" || slices.Contains(head.Chunks[:], ref) {
			continue
		}
		entry, err := p.store.Get(ctx, ref.Key)
		if err != nil || entry.Index == 0 {
			continue
		}
		_, _ = p.store.Delete(ctx, ref.Key, entry.Index)
	}
}
