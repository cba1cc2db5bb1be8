package metadata

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/standin/fault"
	"github.com/zinniaroute/zinniaroute/standin/recorder"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

const (
	maxPageItems = 500
	// maxPageBytes is the size of the values from which a page ends.
	maxPageBytes    = 1 << 20
	maxWatchTimeout = 30 * time.Second
)

// Server implements the HTTP API of the metadata store: ranges, watches, transactions and leases.
type Server struct {
	Faults fault.Injector
	// Commits injects faults into transactions only.
	Commits fault.Injector
	// Received records the headers of all requests.
	Received recorder.Headers

	store *store
}

// NewServer returns a server with an empty store.
func NewServer() *Server { return &Server{store: newStore()} }

// Start serves on the listener in the group.
func (s *Server) Start(g *group.Group, listener net.Listener) {
	server := httpserve.NewServer(listener, httpserve.DefaultBounds(), false)
	server.Use(s.Received.Handle, s.nameEra)
	server.Use(s.Faults.Handle)
	server.GET("/zinniaroute/kv-key", s.get)
	server.GET("/zinniaroute/kv-range", s.list)
	server.GET("/zinniaroute/kv-watch", s.watch)
	server.POST("/zinniaroute/kv-txn", s.Commits.Handle, s.commit)
	server.POST("/zinniaroute/kv-lease", s.grant)
	server.POST("/zinniaroute/kv-keep/:lease", s.renew)
	server.DELETE("/zinniaroute/kv-lease-end/:lease", s.revoke)
	server.GET(recorder.Path, func(context.Context, *app.RequestContext) {})
	server.PUT(fault.Path, func(context.Context, *app.RequestContext) {})
	server.Start(g, "metadata stand-in")
}

// nameEra adds the header with the store's era to each answer.
func (s *Server) nameEra(ctx context.Context, c *app.RequestContext) {
	c.Next(ctx)
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	c.Header("Store-Era", strconv.FormatUint(s.store.era, 10))
}

// SetEra sets the number of the present era, which is 1 at the start.
func (s *Server) SetEra(era uint64) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.era = era
}

// Copy returns the present content, from which the store can return later.
func (s *Server) Copy() Copy { return s.store.copy() }

// ReturnFrom replaces the content by an earlier copy. What was written since is lost, leases too, and revisions are
// given out again. The operator and the runners write again what they had written: the keys with their prefixes.
func (s *Server) ReturnFrom(c Copy) {
	s.store.returnFrom(c, func(key string) bool {
		return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
	})
}

// Put writes a key without a lease and returns the new revision.
func (s *Server) Put(key string, value []byte) uint64 {
	_, revision, _ := s.store.commit(time.Now(), transaction{Puts: []putOperation{{Key: key, Value: value}}})
	return revision
}

// Remove deletes a key, as the store does for a runner that is unresponsive.
func (s *Server) Remove(key string) {
	s.store.commit(time.Now(), transaction{Remove: []string{key}})
}

// Value returns the value of a key, or nil if the key does not exist.
func (s *Server) Value(key string) []byte {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return s.store.items[key].Value
}

// CompactHistory compacts the history up to the current revision. Watches from that revision or earlier fail with
// status 410.
func (s *Server) CompactHistory() {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.history = nil
	s.store.oldestWatchRevision = s.store.revision + 1
	close(s.store.changed)
	s.store.changed = make(chan struct{})
}

func (s *Server) list(_ context.Context, c *app.RequestContext) {
	items, hasMore, revision := s.store.list(time.Now(), c.Query("prefix"), c.Query("after"), maxPageItems)
	c.JSON(statusOK, map[string]any{"items": items, "has_more": hasMore, "store_revision": revision})
}

func (s *Server) get(_ context.Context, c *app.RequestContext) {
	items, _, revision := s.store.list(time.Now(), c.Query("key"), "", 1)
	if len(items) == 0 || items[0].Key != c.Query("key") {
		c.SetStatusCode(statusNotFound)
		return
	}
	c.JSON(statusOK, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{items[0], revision})
}

func (s *Server) watch(ctx context.Context, c *app.RequestContext) {
	wait := min(time.Duration(parseUint(c.Query("wait_ms")))*time.Millisecond, maxWatchTimeout)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	events, revision, ok := s.store.watch(ctx, time.Now, c.Query("prefix"), parseUint(c.Query("after")))
	if !ok {
		c.SetStatusCode(statusGone)
		return
	}
	c.JSON(statusOK, map[string]any{"events": events, "store_revision": revision})
}

// parseUint parses a decimal number and returns zero for any other text.
func parseUint(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *Server) commit(_ context.Context, c *app.RequestContext) {
	var t transaction
	if err := json.Unmarshal(c.Request.Body(), &t); err != nil {
		c.String(400, err.Error())
		return
	}
	status, revision, mismatched := s.store.commit(time.Now(), t)
	c.JSON(status, map[string]any{"revision": revision, "items": mismatched})
}

func (s *Server) grant(_ context.Context, c *app.RequestContext) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.Unmarshal(c.Request.Body(), &request); err != nil {
		c.String(400, err.Error())
		return
	}
	lease := s.store.grant(time.Now(), time.Duration(request.TTL)*time.Millisecond)
	c.JSON(statusOK, map[string]any{"lease": lease, "ttl_ms": request.TTL})
}

func (s *Server) renew(_ context.Context, c *app.RequestContext) {
	ttl, ok := s.store.renew(time.Now(), parseUint(c.Param("lease")))
	if !ok {
		c.SetStatusCode(statusNotFound)
		return
	}
	c.JSON(statusOK, map[string]any{"ttl_ms": ttl.Milliseconds()})
}

func (s *Server) revoke(_ context.Context, c *app.RequestContext) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.revoke(parseUint(c.Param("lease")))
}
