package rpc

import (
	"context"
	"expvar"
	"net"
	"runtime/debug"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/zinniaroute/zinniaroute/transport/group"
)

// handler answers one call.
type handler func(stream drpc.Stream) error

// Mux dispatches calls to handlers by name.
type Mux struct {
	handlers map[string]handler
	// Panicked, if set, is told of handlers that panicked. It must be set before Start.
	Panicked func(cause error)
}

// NewMux returns a mux without handlers. Handle and HandleStream register them, before Start.
func NewMux() *Mux { return &Mux{handlers: make(map[string]handler)} }

// HandleRPC runs the handler that is registered for a name. It fails if there is none, or if the handler panics.
func (m *Mux) HandleRPC(stream drpc.Stream, name string) (err error) {
	handle, ok := m.handlers[name]
	if !ok {
		return errors.Errorf("unknown call %s", name)
	}
	defer func() {
		if cause := recover(); cause != nil {
			callPanics.Add(1)
			err = errors.Errorf("call %s: panic: %v", name, cause)
			if m.Panicked != nil {
				m.Panicked(errors.WithMessage(err, string(debug.Stack())))
			}
		}
	}()
	return handle(stream)
}

// callPanics counts the calls whose handlers panicked.
var callPanics = expvar.NewInt("callPanics")

// Handle registers the handler of a call that has one request and one response.
func Handle[Q, A any](m *Mux, name string, answer func(ctx context.Context, request *Q) (*A, error)) {
	m.handlers[name] = func(stream drpc.Stream) error {
		var request Q
		if err := stream.MsgRecv(&request, encoding{}); err != nil {
			return err
		}
		response, err := answer(stream.Context(), &request)
		if err != nil {
			return err
		}
		return stream.MsgSend(response, encoding{})
	}
}

// HandleStream registers the handler of a call that has one request and many responses.
func HandleStream[Q, A any](
	m *Mux,
	name string,
	answer func(ctx context.Context, request *Q, send func(*A) error) error,
) {
	m.handlers[name] = func(stream drpc.Stream) error {
		var request Q
		if err := stream.MsgRecv(&request, encoding{}); err != nil {
			return err
		}
		send := func(response *A) error { return stream.MsgSend(response, encoding{}) }
		return answer(stream.Context(), &request, send)
	}
}

// Start serves calls on a listener in a goroutine of the group, until the group stops.
func (m *Mux) Start(g *group.Group, listener net.Listener) {
	options := drpcserver.Options{Manager: managerOptions()}
	server := drpcserver.NewWithOptions(m, options)
	g.Start("drpc server", func(ctx context.Context) error {
		return errors.Wrap(server.Serve(ctx, listener), "serve drpc")
	})
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}
}
