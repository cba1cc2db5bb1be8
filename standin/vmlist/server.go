package vmlist

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/protocol/platform"
	"github.com/zinniaroute/zinniaroute/standin/fault"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

const (
	statusOK         = 200
	statusBadRequest = 400
)

// Server serves the VM list that Set or a PUT call has last stored.
type Server struct {
	Faults fault.Injector
	mu     sync.Mutex
	list   []platform.TargetGroup
}

// NewServer returns a server with an empty list.
func NewServer() *Server { return &Server{} }

// Set replaces the VM list.
func (s *Server) Set(list []platform.TargetGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

// Start serves on the listener in the group.
func (s *Server) Start(g *group.Group, listener net.Listener) {
	server := httpserve.NewServer(listener, httpserve.DefaultBounds(), false)
	server.Use(s.Faults.Handle)
	server.GET(platform.VMListPath, s.get)
	server.PUT(platform.VMListPath, s.put)
	server.PUT(fault.Path, func(context.Context, *app.RequestContext) {})
	server.Start(g, "VM list stand-in")
}

func (s *Server) get(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		s.list = []platform.TargetGroup{}
	}
	c.JSON(statusOK, s.list)
}

func (s *Server) put(_ context.Context, c *app.RequestContext) {
	body, _ := c.Body()
	var list []platform.TargetGroup
	if err := json.Unmarshal(body, &list); err != nil {
		c.String(statusBadRequest, err.Error())
		return
	}
	s.Set(list)
}
