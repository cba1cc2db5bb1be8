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

// FaultsPath is the HTTP path at which the proxy accepts Faults as JSON by PUT, on its admin listener.
const FaultsPath = "/standin/faults"

const (
	bufferBytes = 16 << 10
	dialTimeout = time.Second
	freezePoll  = 10 * time.Millisecond
	statusOK    = 200
	statusBad   = 400
)

// Faults describes the faults to inject into connections. The zero value injects none.
type Faults struct {
	// Cut closes all open connections and each new one.
	Cut bool `json:"cut,omitempty"`
	// Freeze holds back all data while it is set. FreezeUp does so only for data to the target, and FreezeDown only for
	// data from it.
	Freeze     bool `json:"freeze,omitempty"`
	FreezeUp   bool `json:"freezeUp,omitempty"`
	FreezeDown bool `json:"freezeDown,omitempty"`
	// Delay delays each chunk of data.
	Delay document.Duration `json:"delay,omitzero"`
	// BytesPerSecond limits the rate of answers; zero means no limit.
	BytesPerSecond int `json:"bytesPerSecond,omitempty"`
	// DropAnswers is the number of connections to close when the target starts to answer.
	DropAnswers int `json:"dropAnswers,omitempty"`
	// Duplicate sends the data of each connection to the target a second time, after the connection has ended.
	Duplicate bool `json:"duplicate,omitempty"`
	// Late is the delay of a duplicate.
	Late document.Duration `json:"late,omitzero"`
}

// Proxy forwards connections to one target.
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

// Start forwards the connections of a listener and serves FaultsPath on the admin listener, in the group.
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

// Set replaces the faults. Cut also closes the open connections.
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
		// Closing the connection shows the target that the caller has disconnected.
		_ = up.Close()
	})
	p.downward(ctx, up, down)
	_ = down.Close()
	_ = up.Close()
	<-done
}

// upward forwards the data of a caller to the target and sends it a second time if Duplicate is set.
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

// duplicate sends data to the target again, on a new connection, and discards the answer.
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

// downward forwards the data of the target to the caller. It stops when the answer is to be dropped.
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

// holdCaller waits while the direction to the target is frozen. It returns false if the caller closes or resets the
// connection meanwhile. The data that the caller has sent is then dropped, as a kernel drops unacknowledged data. It
// also returns false if the caller sends more data during a freeze, which closes the connection.
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

// hold waits while frozen returns true for the current faults.
func (p *Proxy) hold(ctx context.Context, frozen func(f Faults) bool) {
	for frozen(p.current()) && ctx.Err() == nil {
		group.Sleep(ctx, freezePoll)
	}
}
