package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/membership"
	"github.com/zinniaroute/zinniaroute/coordination/publication"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/peer"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/placement"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

const (
	// watchTimeout is the longest time that the key-value service holds a watch of the head open.
	watchTimeout = 30 * time.Second
	// watchersPerDomain is the number of VMs of a failure domain that watch the head in the key-value service. The other
	// VMs get the catalog from them.
	watchersPerDomain = 3
	watchRetryDelay   = time.Second
	// headWatcherRole is the key by which the VMs are ranked for the watch of the head.
	headWatcherRole = "catalog head"
)

// followCatalog watches the catalog's head while the VM is one of the watchers of its failure domain.
func (c *Control) followCatalog(ctx context.Context) error {
	var index uint64
	for ctx.Err() == nil {
		if !c.hasRole(headWatcherRole, watchersPerDomain) {
			group.Sleep(ctx, watchRetryDelay)
			continue
		}
		next, err := c.watchHead(ctx, index)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			c.recordCatalogError(err)
			group.Sleep(ctx, watchRetryDelay)
			index = 0
			continue
		}
		index = next
	}
	return nil
}

func (c *Control) recordCatalogError(err error) {
	text := err.Error()
	if c.catalogError.Swap(&text) == nil {
		c.log.Emit(eventlog.CatalogUnreadable, c.shared.revision(), err)
	}
}

// hasRole reports whether the VM is among the first count live VMs of its failure domain in the ranking for a role.
func (c *Control) hasRole(role string, count int) bool {
	var position int
	c.shared.withLock(func() {
		live := c.shared.view.Live(time.Now(), c.settings.Process.Domain)
		position = membership.Position(role, c.settings.Process.Name, live)
	})
	return position >= 0 && position < count
}

func (c *Control) watchHead(ctx context.Context, index uint64) (uint64, error) {
	entry, err := c.store.Watch(ctx, publication.HeadKey, index, watchTimeout)
	if err != nil {
		return 0, err
	}
	head, err := publication.DecodeHead(entry.Value)
	if err != nil {
		return 0, err
	}
	if head.Revision > c.shared.revision() {
		if err := c.loadFromStore(ctx, head, entry.Value); err != nil {
			return 0, err
		}
	}
	c.catalogError.Store(nil)
	return entry.WaitIndex, nil
}

func (c *Control) loadFromStore(ctx context.Context, head publication.Head, storedHead []byte) error {
	chunks := make([]peer.CatalogChunk, 0, len(head.Chunks))
	for _, ref := range head.Chunks {
		if ref.Key == "" {
			continue
		}
		value, known := c.storedChunk(ref.Digest)
		if !known {
			entry, err := c.store.Get(ctx, ref.Key)
			if err != nil {
				return err
			}
			value = entry.Value
		}
		chunks = append(chunks, peer.CatalogChunk{Digest: ref.Digest, Value: value})
	}
	return c.applyCatalog(time.Now(), storedHead, chunks, "keyValue")
}

func (c *Control) storedChunk(digest string) ([]byte, bool) {
	c.shared.mu.Lock()
	defer c.shared.mu.Unlock()
	value, ok := c.shared.storedChunks[digest]
	return value, ok
}

// applyCatalog replaces the catalog by a newer one. It ignores an older one, so that the VM's revision never decreases.
func (c *Control) applyCatalog(now time.Time, storedHead []byte, chunks []peer.CatalogChunk, source string) error {
	head, err := publication.DecodeHead(storedHead)
	if err != nil {
		return err
	}
	values := make(map[string][]byte, len(chunks))
	for _, chunk := range chunks {
		values[chunk.Digest] = chunk.Value
	}
	active, err := c.assemble(head, storedHead, values)
	if err != nil {
		return err
	}
	active.appliedAt = now
	s := c.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	if head.Revision <= s.catalog.snapshot.Head.Revision {
		return nil
	}
	s.catalog = active
	s.storedChunks = make(map[string][]byte, len(active.stored.Chunks))
	for _, chunk := range active.stored.Chunks {
		s.storedChunks[chunk.Digest] = chunk.Value
	}
	s.notify()
	c.log.Emit(eventlog.CatalogApplied, head.Revision, source)
	return nil
}

func (c *Control) assemble(head publication.Head, storedHead []byte, values map[string][]byte) (*activeCatalog, error) {
	result := &activeCatalog{stored: peer.CatalogResponse{Head: storedHead}}
	snapshot, err := publication.Assemble(head, func(ref publication.Chunk) ([]byte, error) {
		value, ok := values[ref.Digest]
		if !ok {
			value, ok = c.storedChunk(ref.Digest)
		}
		if !ok {
			return nil, errors.Errorf("chunk %s is neither in the response nor stored locally", ref.Key)
		}
		result.stored.Chunks = append(result.stored.Chunks, peer.CatalogChunk{Digest: ref.Digest, Value: value})
		return value, nil
	})
	if err != nil {
		return nil, err
	}
	set, err := catalog.NewSet(snapshot.Objects)
	if err != nil {
		return nil, err
	}
	result.snapshot = snapshot
	result.index = catalog.NewIndex(set)
	result.assignment = placement.Assign(result.index)
	return result, nil
}

// catalogFor returns the current catalog without the chunks whose digests the peer already knows.
func (s *sharedState) catalogFor(known []string) *peer.CatalogResponse {
	has := make(map[string]bool, len(known))
	for _, digest := range known {
		has[digest] = true
	}
	active := s.activeCatalog()
	response := &peer.CatalogResponse{Head: active.stored.Head}
	for _, chunk := range active.stored.Chunks {
		if !has[chunk.Digest] {
			response.Chunks = append(response.Chunks, chunk)
		}
	}
	return response
}

func (s *sharedState) knownDigests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	digests := make([]string, 0, len(s.storedChunks))
	for digest := range s.storedChunks {
		digests = append(digests, digest)
	}
	return digests
}
