package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

// FaultsPath is where the proxy takes its faults, as JSON by PUT on its own address for that.
const FaultsPath = "/standin/faults"

const (
	bufferBytes = 16 << 10
	dialTimeout = time.Second
	freezePoll  = 10 * time.Millisecond
	statusOK    = 200
	statusBad   = 400
)

// Faults are what the proxy does to connections.
type Faults struct {
	// Cut closes every connection and refuses new ones.
	Cut bool `json:"cut,omitempty"`
	// Freeze holds all bytes back until it is lifted, and FreezeUp and FreezeDown those of one direction.
	Freeze     bool `json:"freeze,omitempty"`
	FreezeUp   bool `json:"freezeUp,omitempty"`
	FreezeDown bool `json:"freezeDown,omitempty"`
	// Delay is added to each piece of data.
	Delay document.Duration `json:"delay,omitzero"`
	// BytesPerSecond slows answers down; zero means no bound.
	BytesPerSecond int `json:"bytesPerSecond,omitempty"`
	// DropAnswers is the number of connections that are closed when their answer begins.
	DropAnswers int `json:"dropAnswers,omitempty"`
	// Duplicate sends the bytes of each new connection to the target a second time, late.
	Duplicate bool `json:"duplicate,omitempty"`
	// Late is the time by which a duplicate comes late.
	Late document.Duration `json:"late,omitzero"`
}

// Proxy passes connections on to one target.
type Proxy struct {
	target netip.AddrPort
	group  *group.Group
	mu     sync.Mutex
	faults Faults
	conns  map[net.Conn]bool
}

// New returns a proxy without faults.
func New(target netip.AddrPort) *Proxy {
	return &Proxy{target: target, conns: make(map[net.Conn]bool)}
}

// Start passes on what comes on a listener, and takes faults on another, as duties of the group.
func (p *Proxy) Start(g *group.Group, listener, admin net.Listener) {
	p.group = g
	g.Start("proxy", func(ctx context.Context) error {
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		return p.accept(ctx, listener)
	})
	server := httpserve.NewServer(admin, httpserve.DefaultBounds(), false)
	server.PUT(FaultsPath, p.configure)
	server.Start(g, "proxy faults")
}

func (p *Proxy) configure(_ context.Context, c *app.RequestContext) {
	body, _ := c.Body()
	var faults Faults
	if err := json.Unmarshal(body, &faults); err != nil {
		c.String(statusBad, err.Error())
		return
	}
	p.Set(faults)
	c.SetStatusCode(statusOK)
}

// Set replaces the faults; a cut takes effect on open connections too.
func (p *Proxy) Set(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	if !faults.Cut {
		return
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
}

func (p *Proxy) current() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
		return
	}
	delete(p.conns, conn)
}

func (p *Proxy) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if p.current().Cut {
			_ = conn.Close()
			continue
		}
		p.group.Run("proxy connection", func(ctx context.Context) { p.serve(ctx, conn) })
	}
}

func (p *Proxy) serve(ctx context.Context, down net.Conn) {
	defer func() { _ = down.Close() }()
	up, err := net.DialTimeout("tcp", p.target.String(), dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	for _, conn := range []net.Conn{down, up} {
		p.track(conn, true)
		defer p.track(conn, false)
	}
	stop := context.AfterFunc(ctx, func() {
		_ = down.Close()
		_ = up.Close()
	})
	defer stop()
	done := make(chan struct{})
	p.group.Run("proxy upward", func(ctx context.Context) {
		defer close(done)
		p.upward(ctx, down, up)
		// The target sees that the caller has left.
		_ = up.Close()
	})
	p.downward(ctx, up, down)
	_ = down.Close()
	_ = up.Close()
	<-done
}

// upward passes a caller's bytes on, and perhaps a second time.
func (p *Proxy) upward(ctx context.Context, from, to net.Conn) {
	var sent []byte
	p.pipe(ctx, from, to, func(f Faults, data []byte) bool {
		if f.Duplicate {
			sent = append(sent, data...)
		}
		return p.holdCaller(ctx, from)
	})
	if len(sent) > 0 {
		p.duplicate(ctx, sent)
	}
}

// duplicate sends bytes to the target once more on a connection of their own.
func (p *Proxy) duplicate(ctx context.Context, data []byte) {
	group.Sleep(ctx, p.current().Late.Duration)
	conn, err := net.DialTimeout("tcp", p.target.String(), dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(data); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(dialTimeout))
	_, _ = io.Copy(io.Discard, conn)
}

// downward passes a target's bytes back, or closes the connection in their place.
func (p *Proxy) downward(ctx context.Context, from, to net.Conn) {
	p.pipe(ctx, from, to, func(f Faults, data []byte) bool {
		if f.DropAnswers > 0 && p.takeDrop() {
			return false
		}
		p.hold(ctx, func(f Faults) bool { return f.Freeze || f.FreezeDown })
		if f.BytesPerSecond > 0 {
			group.Sleep(ctx, time.Duration(len(data))*time.Second/time.Duration(f.BytesPerSecond))
		}
		return true
	})
}

func (p *Proxy) takeDrop() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.DropAnswers == 0 {
		return false
	}
	p.faults.DropAnswers--
	return true
}

func (p *Proxy) pipe(ctx context.Context, from, to net.Conn, pass func(f Faults, data []byte) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			faults := p.current()
			group.Sleep(ctx, faults.Delay.Duration)
			if !pass(faults, buffer[:n]) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// holdCaller waits while the way up is frozen, and reports false when the caller resets its connection meanwhile: what
// it sent is then dropped, as a kernel drops what was not acknowledged. A caller that sends more in a freeze is cut off.
func (p *Proxy) holdCaller(ctx context.Context, from net.Conn) bool {
	one := make([]byte, 1)
	for f := p.current(); (f.Freeze || f.FreezeUp) && ctx.Err() == nil; f = p.current() {
		_ = from.SetReadDeadline(time.Now().Add(freezePoll))
		_, err := from.Read(one)
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return false
		}
	}
	_ = from.SetReadDeadline(time.Time{})
	return true
}

// hold waits while a freeze lasts.
func (p *Proxy) hold(ctx context.Context, frozen func(f Faults) bool) {
	for frozen(p.current()) && ctx.Err() == nil {
		group.Sleep(ctx, freezePoll)
	}
}
