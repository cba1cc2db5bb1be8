package httpserve

import (
	"context"
	"net"
	"runtime/debug"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
)

// guardedTransporter ends only the connection whose handling panics. The HTTP library reads a request before it calls a
// handler, and panics at some malformed ones.
type guardedTransporter struct {
	network.Transporter
	panicked func(cause error, stack []byte)
}

// newTransporter returns a function that makes transporters of the standard library's network.
func newTransporter(panicked func(cause error, stack []byte)) func(*config.Options) network.Transporter {
	return func(options *config.Options) network.Transporter {
		return &guardedTransporter{Transporter: standard.NewTransporter(options), panicked: panicked}
	}
}

// ListenAndServe serves connections until the transporter is shut down.
func (g *guardedTransporter) ListenAndServe(serve network.OnData) error {
	return g.Transporter.ListenAndServe(func(ctx context.Context, conn any) (err error) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			err = errors.Errorf("panic: %v", cause)
			g.panicked(err, debug.Stack())
			if c, ok := conn.(net.Conn); ok {
				_ = c.Close()
			}
		}()
		return serve(ctx, conn)
	})
}
