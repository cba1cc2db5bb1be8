//go:build review

package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or an event of its history.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create_rev,omitempty"`
	Lease     uint64 `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type transaction struct {
	Conditions []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

type leaseState struct {
	ttl       time.Duration
	expiresAt time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]leaseState
	last     uint64
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[uint64]leaseState{}, changed: make(chan struct{})}
}

// endLeases ends leases in time for as long as the program runs.
func (s *store) endLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
	}
}

// expire removes the keys of the leases that have ended. The caller must hold the lock.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.revision++
				s.drop(key)
			}
		}
	}
}

func (s *store) event(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.event(item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) set(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Revision: s.revision, CreateRev: s.revision, Lease: lease}
	if before, ok := s.items[key]; ok {
		i.CreateRev = before.CreateRev
	}
	s.items[key] = i
	s.event(i)
}

// put writes a key as the operator or a runner does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
}

// remove deletes a key as the platform does for a runner that has left.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
}

// commit applies a transaction and returns its status and the revision.
func (s *store) commit(t transaction) (int, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range t.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			return http.StatusPreconditionFailed, s.revision
		}
	}
	for _, w := range t.Puts {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return http.StatusNotFound, s.revision
		}
	}
	s.revision++
	for _, w := range t.Puts {
		s.set(w.Key, w.Value, w.Lease)
	}
	for _, key := range t.Remove {
		s.drop(key)
	}
	return http.StatusOK, s.revision
}

func (s *store) list(prefix, after string) ([]item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	return found, s.revision
}

func (s *store) watch(ctx context.Context, prefix string, after uint64) ([]item, uint64) {
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return events, revision
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return events, revision
		}
	}
}

// ServeHTTP answers a call of a gateway.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, answer := s.serve(r)
	writeJSON(w, status, answer)
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

func (s *store) serve(r *http.Request) (int, any) {
	q, path := r.URL.Query(), r.URL.Path
	id := number(path[strings.LastIndex(path, "/")+1:])
	switch {
	case path == "/zinniaroute/kv-key":
		found, revision := s.list(q.Get("key"), "")
		if len(found) == 0 || found[0].Key != q.Get("key") {
			return http.StatusNotFound, map[string]any{}
		}
		return http.StatusOK, struct {
			item
			StoreRevision uint64 `json:"store_revision"`
		}{found[0], revision}
	case path == "/zinniaroute/kv-range":
		found, revision := s.list(q.Get("prefix"), q.Get("after"))
		return http.StatusOK, map[string]any{"items": found, "has_more": false, "store_revision": revision}
	case path == "/zinniaroute/kv-watch":
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(number(q.Get("wait_ms")))*time.Millisecond)
		defer cancel()
		events, revision := s.watch(ctx, q.Get("prefix"), number(q.Get("after")))
		return http.StatusOK, map[string]any{"events": events, "store_revision": revision}
	case path == "/zinniaroute/kv-txn":
		var t transaction
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			return http.StatusBadRequest, map[string]any{}
		}
		status, revision := s.commit(t)
		return status, map[string]any{"revision": revision, "items": []item{}}
	case path == "/zinniaroute/kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			return http.StatusBadRequest, map[string]any{}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.last++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.last] = leaseState{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.last, "ttl_ms": body.TTL}
	case strings.HasPrefix(path, "/zinniaroute/kv-keep/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		l, ok := s.leases[id]
		if !ok {
			return http.StatusNotFound, map[string]any{}
		}
		s.leases[id] = leaseState{l.ttl, time.Now().Add(l.ttl)}
		return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
	case strings.HasPrefix(path, "/zinniaroute/kv-lease-end/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		if l, ok := s.leases[id]; ok {
			l.expiresAt = time.Now()
			s.leases[id] = l
			s.expire()
		}
		return http.StatusOK, map[string]any{}
	}
	return http.StatusNotFound, map[string]any{}
}
