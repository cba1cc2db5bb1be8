package kvstore

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/coordination/keyvalue"
	"github.com/zinniaroute/zinniaroute/protocol/platform"
	"github.com/zinniaroute/zinniaroute/standin/fault"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

const (
	defaultWaitTimeout = 30 * time.Second
	statusOK           = 200
	statusBadRequest   = 400
	statusNotFound     = 404
	statusTooLarge     = 413
)

// Server implements the part of the key-value HTTP API that the control uses.
type Server struct {
	Faults fault.Injector
	store  *store
	calls  atomic.Uint64
}

// NewServer returns a server with an empty store.
func NewServer() *Server {
	return &Server{store: newStore()}
}

// Calls returns the number of key-value calls received so far.
func (s *Server) Calls() uint64 { return s.calls.Load() }

// Start serves on the listener in the group.
func (s *Server) Start(g *group.Group, listener net.Listener) {
	bounds := httpserve.DefaultBounds()
	server := httpserve.NewServer(listener, bounds, false)
	server.Use(s.Faults.Handle)
	server.GET(platform.KVPath+"*key", s.read)
	server.PUT(platform.KVPath+"*key", s.write)
	server.DELETE(platform.KVPath+"*key", s.write)
	server.PUT(fault.Path, func(context.Context, *app.RequestContext) {})
	server.Start(g, "key-value stand-in")
}

func requestKey(c *app.RequestContext) string { return strings.TrimPrefix(c.Param("key"), "/") }

func (s *Server) read(ctx context.Context, c *app.RequestContext) {
	s.calls.Add(1)
	key := requestKey(c)
	if _, ok := c.GetQuery(platform.ParamRecurse); ok {
		s.writePairs(c, s.store.list(key))
		return
	}
	if after, err := strconv.ParseUint(c.Query(platform.ParamIndex), 10, 64); err == nil {
		ctx, cancel := context.WithTimeout(ctx, waitTimeout(c))
		defer cancel()
		s.store.waitForChange(ctx, key, after)
	}
	pair, found, index := s.store.get(key)
	c.Header(platform.IndexHeader, strconv.FormatUint(index, 10))
	if !found {
		c.SetStatusCode(statusNotFound)
		return
	}
	s.writePairs(c, []platform.Pair{pair})
}

func (s *Server) writePairs(c *app.RequestContext, pairs []platform.Pair) {
	if len(pairs) == 0 {
		c.SetStatusCode(statusNotFound)
		return
	}
	c.JSON(statusOK, pairs)
}

func waitTimeout(c *app.RequestContext) time.Duration {
	wait, err := time.ParseDuration(c.Query(platform.ParamWait))
	if err != nil {
		return defaultWaitTimeout
	}
	return wait
}

func (s *Server) write(_ context.Context, c *app.RequestContext) {
	s.calls.Add(1)
	expected, err := strconv.ParseUint(c.Query(platform.ParamCAS), 10, 64)
	if err != nil {
		c.String(statusBadRequest, "the parameter cas is missing or not a number")
		return
	}
	var value []byte
	if string(c.Method()) != "DELETE" {
		body, _ := c.Body()
		if len(body) > keyvalue.MaxValueBytes {
			c.String(statusTooLarge, "value too large")
			return
		}
		value = append([]byte{}, body...)
	}
	c.JSON(statusOK, s.store.compareAndSwap(requestKey(c), value, expected))
}
