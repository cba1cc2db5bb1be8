package httpserve

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/common/tracer/stats"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/transport/framing"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// Bounds limit the size of a request in bytes and the time to read it.
type Bounds struct {
	HeaderBytes int
	BodyBytes   int
	ReadTimeout time.Duration
}

// DefaultBounds returns the bounds that suit the requests of operators and of callers.
func DefaultBounds() Bounds {
	return Bounds{
		HeaderBytes: 32 << 10,
		BodyBytes:   8 << 20,
		ReadTimeout: 15 * time.Second,
	}
}

const (
	idleTimeout   = 60 * time.Second
	shutdownGrace = 2 * time.Second
)

// Server is an HTTP server on one listener. The caller registers the routes on the embedded Hertz.
type Server struct {
	*server.Hertz
	listener net.Listener
	requests *requestCounter
	// Panicked, if set, is told of panics in handlers and in the reading of requests. It must be set before Start.
	Panicked func(cause error, stack []byte)
}

const (
	statusBadRequest    = 400
	statusInternalError = 500
)

// handlerPanics counts the requests whose handlers panicked, and ambiguousRequests those that other recipients could
// read differently.
var (
	handlerPanics     = expvar.NewInt("handlerPanics")
	ambiguousRequests = expvar.NewInt("ambiguousRequests")
)

// DisableLibraryLog disables the log of the HTTP library in the whole process, except for fatal errors. It must be
// called before the first server starts.
func DisableLibraryLog() { hlog.SetLevel(hlog.LevelFatal) }

// Listen opens a TCP listener on an address of the form HOST:PORT.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// NewServer returns a server on an open listener. With streaming, handlers read the request body themselves, as it
// arrives.
func NewServer(listener net.Listener, bounds Bounds, streaming bool) *Server {
	requests := &requestCounter{}
	s := &Server{listener: listener, requests: requests}
	s.Hertz = server.New(
		server.WithTracer(requests),
		server.WithTraceLevel(stats.LevelDisabled),
		server.WithListener(listener),
		server.WithTransport(newTransporter(s.recordPanic)),
		server.WithSenseClientDisconnection(true),
		server.WithStreamBody(streaming),
		server.WithMaxRequestBodySize(bounds.BodyBytes),
		server.WithMaxHeaderBytes(bounds.HeaderBytes),
		server.WithReadTimeout(bounds.ReadTimeout),
		server.WithOnConnect(func(ctx context.Context, conn network.Conn) context.Context {
			// The read timeout of the server does not cover the first request of a connection.
			_ = conn.SetReadTimeout(bounds.ReadTimeout)
			return ctx
		}),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisableDefaultContentType(true),
		server.WithRedirectTrailingSlash(false),
	)
	s.Use(requests.begin, recovery.Recovery(recovery.WithRecoveryHandler(s.recover)), rejectAmbiguous)
	return s
}

// rejectAmbiguous rejects a request that other recipients could read differently, and closes its connection, because
// what follows may be a part of the request.
func rejectAmbiguous(_ context.Context, c *app.RequestContext) {
	if err := framing.CheckRequest(&c.Request.Header); err != nil {
		ambiguousRequests.Add(1)
		c.AbortWithMsg(err.Error(), statusBadRequest)
		c.SetConnectionClose()
	}
}

func (s *Server) recordPanic(cause error, stack []byte) {
	handlerPanics.Add(1)
	if s.Panicked != nil {
		s.Panicked(cause, stack)
	}
}

// recover ends the request whose handler panicked. A response that has begun must not look complete.
func (s *Server) recover(_ context.Context, c *app.RequestContext, cause any, stack []byte) {
	s.recordPanic(errors.Errorf("panic: %v", cause), stack)
	if c.Response.GetHijackWriter() != nil {
		// The server ends its read of the connection itself only if the response was written.
		if detector, ok := c.GetConn().(closeDetector); ok && !c.Request.IsBodyStream() {
			detector.AbortBlockingRead()
		}
		c.Response.HijackWriter(brokenWriter{})
		return
	}
	c.SetConnectionClose()
	c.AbortWithStatus(statusInternalError)
}

// Address returns the address on which the server listens.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Start runs the server as a task of the group until the context of the group ends. Requests in progress then have
// shutdownGrace to end.
func (s *Server) Start(g *group.Group, name string) {
	g.Start(name, func(ctx context.Context) error {
		context.AfterFunc(ctx, s.stop)
		err := s.Engine.Run()
		if ctx.Err() != nil {
			return nil
		}
		return errors.Wrap(err, "serve HTTP")
	})
}

func (s *Server) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	_ = s.Engine.Shutdown(ctx)
	_ = s.listener.Close()
}

var errBrokenOff = errors.New("the response is broken off")

// brokenWriter makes the server close the connection in place of ending the response.
type brokenWriter struct{}

// Write always fails.
func (brokenWriter) Write([]byte) (int, error) { return 0, errBrokenOff }

// Flush always fails.
func (brokenWriter) Flush() error { return errBrokenOff }

// Finalize always fails.
func (brokenWriter) Finalize() error { return errBrokenOff }

type closeDetector interface {
	DetectConnectionClose()
	AbortBlockingRead()
}

// WatchCaller cancels the context of the handler when the caller disconnects, until the returned function is called.
// The handler must have read the request body to its end.
func WatchCaller(c *app.RequestContext) (stop func()) {
	detector, ok := c.GetConn().(closeDetector)
	if !ok || !c.Request.IsBodyStream() {
		return func() {}
	}
	detector.DetectConnectionClose()
	return detector.AbortBlockingRead
}

// ListenAll opens a TCP listener on each address. If one of them fails, it closes the others and returns the error.
func ListenAll(addresses []netip.AddrPort) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		listener, err := Listen(address.String())
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}
