package metadata

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or an event of its history, in the JSON form of the platform.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create_rev,omitempty"`
	Lease     uint64 `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

type putOperation struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease uint64 `json:"lease"`
}

type transaction struct {
	Conditions []condition    `json:"precondition"`
	Puts       []putOperation `json:"puts"`
	Remove     []string       `json:"remove"`
}

type leaseState struct {
	ttl       time.Duration
	expiresAt time.Time
}

// store holds the items, the leases and the history of changes.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// oldestWatchRevision is the oldest revision from which a watch can start. Earlier events are compacted.
	oldestWatchRevision uint64
	leases              map[uint64]leaseState
	lastLease           uint64
	changed             chan struct{}
	// era rises by one each time the store returns from a copy. Zero means that the store names none.
	era uint64
}

// Copy is the content of the store at one time.
type Copy struct {
	revision  uint64
	items     map[string]item
	history   []item
	leases    map[uint64]leaseState
	lastLease uint64
}

func (s *store) copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history), leases: maps.Clone(s.leases),
		lastLease: s.lastLease,
	}
}

// returnFrom replaces the content by a copy. Keys for which writtenAgain returns true get the value that was lost,
// since their writers write them again.
func (s *store) returnFrom(c Copy, writtenAgain func(key string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.items
	s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
	s.leases, s.lastLease = maps.Clone(c.leases), c.lastLease
	s.era++
	for key, i := range lost {
		if writtenAgain(key) && !slices.Equal(s.items[key].Value, i.Value) {
			s.revision++
			s.put(putOperation{Key: key, Value: i.Value})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), leases: make(map[uint64]leaseState), changed: make(chan struct{}), era: 1}
}

func (s *store) recordEvent(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(w putOperation) {
	i := item{Key: w.Key, Value: w.Value, Revision: s.revision, CreateRev: s.revision, Lease: w.Lease}
	if previous, ok := s.items[w.Key]; ok {
		i.CreateRev = previous.CreateRev
	}
	s.items[w.Key] = i
	s.recordEvent(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.recordEvent(item{Key: key, Revision: s.revision, Deleted: true})
}

// expire revokes all expired leases. The caller must hold the lock.
func (s *store) expire(now time.Time) {
	for id, g := range s.leases {
		if now.After(g.expiresAt) {
			s.revoke(id)
		}
	}
}

func (s *store) revoke(lease uint64) {
	delete(s.leases, lease)
	for _, key := range s.keys("") {
		if s.items[key].Lease == lease {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *store) keys(prefix string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

const (
	statusOK       = 200
	statusNotFound = 404
	statusGone     = 410
	statusConflict = 412
)

// commit applies a transaction if all its conditions hold. It returns the status, the revision and the items that
// failed a condition.
func (s *store) commit(now time.Time, t transaction) (status int, revision uint64, mismatched []item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for _, c := range t.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			mismatched = append(mismatched, s.items[c.Key])
		}
	}
	if len(mismatched) > 0 {
		return statusConflict, s.revision, mismatched
	}
	for _, w := range t.Puts {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return statusNotFound, s.revision, nil
		}
	}
	s.revision++
	for _, w := range t.Puts {
		s.put(w)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return statusOK, s.revision, nil
}

func (s *store) list(now time.Time, prefix, after string, limit int) (items []item, hasMore bool, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	bytes := 0
	for _, key := range s.keys(prefix) {
		if key <= after && after != "" {
			continue
		}
		if len(items) == limit || bytes >= maxPageBytes {
			return items, true, s.revision
		}
		items = append(items, s.items[key])
		bytes += len(s.items[key].Value)
	}
	return items, false, s.revision
}

// watch waits for changes to keys with a prefix after a revision. It returns false if the history from that revision is
// compacted, and no events if the context ends first.
func (s *store) watch(ctx context.Context, now func() time.Time, prefix string, after uint64) ([]item, uint64, bool) {
	for {
		s.mu.Lock()
		s.expire(now())
		if after < s.oldestWatchRevision || after > s.revision {
			s.mu.Unlock()
			return nil, 0, false
		}
		var events []item
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return events, revision, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, revision, true
		}
	}
}

func (s *store) grant(now time.Time, ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = leaseState{ttl: ttl, expiresAt: now.Add(ttl)}
	return s.lastLease
}

func (s *store) renew(now time.Time, lease uint64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	g, ok := s.leases[lease]
	if ok {
		s.leases[lease] = leaseState{ttl: g.ttl, expiresAt: now.Add(g.ttl)}
	}
	return g.ttl, ok
}
