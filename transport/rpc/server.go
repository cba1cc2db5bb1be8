package rpc

import (
	"context"
	"expvar"
	"net"
	"runtime/debug"
	"strings"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
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

// unknownCall begins the error that a VM returns for a call for which it has no handler.
const unknownCall = "unknown call"

// IsUnknownCall reports whether a call failed because the peer, which may be of an earlier build, has no handler for it.
func IsUnknownCall(err error) bool {
	return err != nil && strings.Contains(err.Error(), unknownCall+" /")
}

// HandleRPC runs the handler that is registered for a name. It fails if there is none, or if the handler panics.
func (m *Mux) HandleRPC(stream drpc.Stream, name string) (err error) {
	handle, ok := m.handlers[name]
	if !ok {
		return errors.Errorf("%s %s", unknownCall, name)
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

// The buffers of a connection. Each VM has connections to all others, most of which transfer messages of some 100 bytes only.
const (
	// writeBufferBytes is the size of the buffer that a connection begins with for writes. The library's default is 4 KiB.
	writeBufferBytes = 512
	// frameBytes is the size of the frames of larger messages. Both ends of a connection keep buffers of the size of the largest
	// frame so far: with the library's default of 64 KiB, one large message made them hold 64 and 128 KiB from then on.
	frameBytes = 8 << 10
	// maxKeptBufferBytes is the size above which the buffer of an encoded message is not kept after the message. The default is to
	// keep a buffer of any size.
	maxKeptBufferBytes = 16 << 10
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writeBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:           drpcstream.Options{SplitSize: frameBytes, MaximumBufferSize: maxKeptBufferBytes},
	}
}
