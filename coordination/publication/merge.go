package publication

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/state/catalog"
)

// Request is a change that an operator submits.
type Request struct {
	// ID identifies the change, so that a retry takes effect only once.
	ID      string           `json:"id"`
	Author  string           `json:"author"`
	Summary string           `json:"summary,omitempty"`
	Put     []catalog.Object `json:"put,omitempty"`
	Delete  []catalog.Key    `json:"delete,omitempty"`
	// Base is the revision on which the operator based the change. Zero means the revision at the first attempt.
	Base uint64 `json:"base,omitempty"`
	// DryRun only checks the change and does not publish it.
	DryRun bool `json:"dryRun,omitempty"`
}

// Difference lists the keys of the objects that a change adds, changes and deletes.
type Difference struct {
	Added   []catalog.Key `json:"added,omitempty"`
	Changed []catalog.Key `json:"changed,omitempty"`
	Deleted []catalog.Key `json:"deleted,omitempty"`
}

// Empty reports whether the difference lists no objects.
func (d Difference) Empty() bool {
	return len(d.Added)+len(d.Changed)+len(d.Deleted) == 0
}

// String returns the numbers of added, changed and deleted objects.
func (d Difference) String() string {
	return fmt.Sprintf("%d added, %d changed, %d deleted", len(d.Added), len(d.Changed), len(d.Deleted))
}

// MergeResult is the result of applying a change to a catalog.
type MergeResult struct {
	Objects    []catalog.Object
	Difference Difference
	// Conflicts name the objects that another change modified after the base revision. They keep their published state.
	Conflicts document.Findings
}

// Merge applies a change to the published objects and gives the objects that it modifies the revision next. An object
// with a revision above base is a conflict, unless its content already equals the change.
func Merge(current []catalog.Object, request Request, base, next uint64) MergeResult {
	m := merger{
		objects: make(map[catalog.Key]catalog.Object, len(current)),
		base:    base,
		next:    next,
	}
	for _, object := range current {
		m.objects[object.Key] = object
	}
	for _, object := range request.Put {
		m.put(object)
	}
	for _, key := range request.Delete {
		m.remove(key)
	}
	m.merged.Objects = make([]catalog.Object, 0, len(m.objects))
	for _, object := range m.objects {
		m.merged.Objects = append(m.merged.Objects, object)
	}
	catalog.SortObjects(m.merged.Objects)
	return m.merged
}

type merger struct {
	objects map[catalog.Key]catalog.Object
	base    uint64
	next    uint64
	merged  MergeResult
}

func (m *merger) put(object catalog.Object) {
	current, exists := m.objects[object.Key]
	if exists && bytes.Equal(current.Spec, object.Spec) {
		return
	}
	if exists && current.Revision > m.base {
		m.addConflict(object.Key, current.Revision)
		return
	}
	object.Revision = m.next
	m.objects[object.Key] = object
	if exists {
		m.merged.Difference.Changed = append(m.merged.Difference.Changed, object.Key)
	} else {
		m.merged.Difference.Added = append(m.merged.Difference.Added, object.Key)
	}
}

func (m *merger) remove(key catalog.Key) {
	current, exists := m.objects[key]
	if !exists {
		return
	}
	if current.Revision > m.base {
		m.addConflict(key, current.Revision)
		return
	}
	delete(m.objects, key)
	m.merged.Difference.Deleted = append(m.merged.Difference.Deleted, key)
}

func (m *merger) addConflict(key catalog.Key, revision uint64) {
	m.merged.Conflicts = append(m.merged.Conflicts, document.Finding{
		Object:  key.String(),
		Message: fmt.Sprintf("conflict: changed in revision %d, after revision %d on which this change is based", revision, m.base),
	})
}

// changedBuckets returns the buckets whose objects a difference lists, in ascending order.
func changedBuckets(difference Difference) []int {
	var buckets []int
	for _, key := range slices.Concat(difference.Added, difference.Changed, difference.Deleted) {
		if bucket := bucketOf(key); !slices.Contains(buckets, bucket) {
			buckets = append(buckets, bucket)
		}
	}
	slices.Sort(buckets)
	return buckets
}
