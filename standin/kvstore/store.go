package kvstore

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/zinniaroute/zinniaroute/protocol/platform"
)

type store struct {
	mu      sync.Mutex
	index   uint64
	pairs   map[string]platform.Pair
	changed chan struct{}
}

func newStore() *store {
	return &store{index: 1, pairs: make(map[string]platform.Pair), changed: make(chan struct{})}
}

func (s *store) get(key string) (pair platform.Pair, found bool, index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pair, found = s.pairs[key]
	if found {
		return pair, true, pair.ModifyIndex
	}
	return pair, false, s.index
}

func (s *store) list(prefix string) []platform.Pair {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []platform.Pair
	for key, pair := range s.pairs {
		if strings.HasPrefix(key, prefix) {
			found = append(found, pair)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// waitForChange returns when the index of the key exceeds the given one, or when the context ends. If the given index
// is zero, it also returns while the key is missing.
func (s *store) waitForChange(ctx context.Context, key string, after uint64) {
	for {
		s.mu.Lock()
		pair, found := s.pairs[key]
		changed := s.changed
		differs := found && pair.ModifyIndex > after || !found && after == 0
		s.mu.Unlock()
		if differs {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// compareAndSwap writes the value, or deletes the key if the value is nil. It does so only if the key's index is the
// expected one, where zero means that the key must not exist, and reports whether it did.
func (s *store) compareAndSwap(key string, value []byte, expected uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pair, found := s.pairs[key]
	if found != (expected != 0) || found && pair.ModifyIndex != expected {
		return false
	}
	s.index++
	if value == nil {
		delete(s.pairs, key)
	} else {
		s.put(key, value, pair.CreateIndex)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

func (s *store) put(key string, value []byte, created uint64) {
	if created == 0 {
		created = s.index
	}
	s.pairs[key] = platform.Pair{Key: key, Value: value, CreateIndex: created, ModifyIndex: s.index}
}
