package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
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
	// socketBufferBytes is the size of the buffers for data to the target, so that a caller's write waits for a target that does not
	// read.
	socketBufferBytes  = 64 << 10
	freezePollInterval = 10 * time.Millisecond
	statusOK           = 200
	statusBadRequest   = 400
)

// Faults describes the faults to inject into connections. The zero value injects none.
type Faults struct {
	// Disconnect closes all open connections and each new one.
	Disconnect bool `json:"cut,omitempty"`
	// Freeze holds back all data while it is set. FreezeUp does so only for data to the target, and FreezeDown only for
	// data from it.
	Freeze     bool `json:"freeze,omitempty"`
	FreezeUp   bool `json:"freezeUp,omitempty"`
	FreezeDown bool `json:"freezeDown,omitempty"`
	// Resend is the time from the end of a freeze until the data arrive that it held back, as TCP sends them again after ever
	// longer pauses.
	Resend document.Duration `json:"resend,omitzero"`
	// Delay delays each chunk of data.
	Delay document.Duration `json:"delay,omitzero"`
	// BytesPerSecond limits the rate of answers; zero means no limit.
	BytesPerSecond int `json:"bytesPerSecond,omitempty"`
	// DropAnswers is the number of connections to close when the target starts to answer.
	DropAnswers int `json:"dropAnswers,omitempty"`
	// Duplicate sends the data of each connection to the target a second time, after the connection has ended.
	Duplicate bool `json:"duplicate,omitempty"`
	// DuplicateDelay is the delay of a duplicate.
	DuplicateDelay document.Duration `json:"late,omitzero"`
	// RefuseNew resets each new connection and leaves the open ones alone.
	RefuseNew bool `json:"refuseNew,omitempty"`
	// Only holds the names of the callers to whose connections the faults are limited, as Identify returns them. An empty
	// one means all connections.
	Only []string `json:"-"`
}

// of returns the faults of a connection.
func (f Faults) of(l *link) Faults {
	if len(f.Only) == 0 || slices.Contains(f.Only, l.name()) {
		return f
	}
	return Faults{}
}

// link is a connection of a caller, and the one to the target.
type link struct {
	caller, target net.Conn
	// name returns the name of the caller.
	name func() string
	// writing is held during a write to the target, and guards targetFailed, which means that one failed.
	writing      sync.Mutex
	targetFailed bool
}

// writeToTarget writes data to the target.
func (l *link) writeToTarget(data []byte) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	_, err := l.target.Write(data)
	l.targetFailed = l.targetFailed || failed(err)
	return err
}

// failed reports whether an error is one of the connection, not of the proxy's own doing.
func failed(err error) bool {
	return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// closeCaller closes the connection to the caller, when a read from the target has ended with an error or nil. It resets it if the
// target's was reset, which a write may have met instead of the read.
func (l *link) closeCaller(readError error) {
	_ = l.target.SetWriteDeadline(time.Now())
	l.writing.Lock()
	defer l.writing.Unlock()
	if l.targetFailed || failed(readError) {
		reset(l.caller)
		return
	}
	_ = l.caller.Close()
}

// Proxy forwards connections to one target.
type Proxy struct {
	target netip.AddrPort
	group  *group.Group
	// Identify returns the name of the caller that has opened a connection between two addresses. It is nil if callers have
	// no names, and must be set before Start.
	Identify func(caller, proxy netip.AddrPort) string
	mu       sync.Mutex
	faults   Faults
	links    map[*link]bool
	// held holds the data for the target that the proxy holds back.
	held map[*link]string
}

// New returns a proxy without faults.
func New(target netip.AddrPort) *Proxy {
	return &Proxy{target: target, links: make(map[*link]bool), held: make(map[*link]string)}
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
		c.String(statusBadRequest, err.Error())
		return
	}
	p.Set(faults)
	c.SetStatusCode(statusOK)
}

// Set replaces the faults. Disconnect also closes the open connections.
func (p *Proxy) Set(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	if !faults.Disconnect {
		return
	}
	for l := range p.links {
		if faults.of(l).Disconnect {
			_ = l.caller.Close()
			_ = l.target.Close()
		}
	}
}

// current returns the faults of a connection.
func (p *Proxy) current(l *link) Faults {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	return faults.of(l)
}

func (p *Proxy) track(l *link, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.links[l] = true
		return
	}
	delete(p.links, l)
}

// CallerBehind returns the name of the caller whose data come from an address of the proxy, as the target sees it, or "".
func (p *Proxy) CallerBehind(address netip.AddrPort) string {
	p.mu.Lock()
	var found *link
	for l := range p.links {
		if local, ok := l.target.LocalAddr().(*net.TCPAddr); ok && local.Port == int(address.Port()) {
			found = l
		}
	}
	p.mu.Unlock()
	if found == nil {
		return ""
	}
	return found.name()
}

func (p *Proxy) newLink(caller net.Conn) *link {
	return &link{caller: caller, name: sync.OnceValue(func() string {
		remote, isTCP := caller.RemoteAddr().(*net.TCPAddr)
		local, _ := caller.LocalAddr().(*net.TCPAddr)
		if !isTCP || p.Identify == nil {
			return ""
		}
		return p.Identify(remote.AddrPort(), local.AddrPort())
	})}
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
		l := p.newLink(conn)
		switch faults := p.current(l); {
		case faults.Disconnect:
			_ = conn.Close()
			continue
		case faults.RefuseNew:
			reset(conn)
			continue
		}
		p.group.Run("proxy connection", func(ctx context.Context) { p.serve(ctx, l) })
	}
}

// limitBuffers limits the data for the target that the kernel holds.
func limitBuffers(caller, target net.Conn) {
	if tcp, ok := caller.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBufferBytes)
	}
	if tcp, ok := target.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(socketBufferBytes)
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *Proxy) serve(ctx context.Context, l *link) {
	callerConn := l.caller
	defer func() { _ = callerConn.Close() }()
	targetConn, err := net.DialTimeout("tcp", p.target.String(), dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = targetConn.Close() }()
	limitBuffers(callerConn, targetConn)
	l.target = targetConn
	p.track(l, true)
	defer p.track(l, false)
	stop := context.AfterFunc(ctx, func() {
		_ = callerConn.Close()
		_ = targetConn.Close()
	})
	defer stop()
	done := make(chan struct{})
	p.group.Run("proxy to target", func(ctx context.Context) {
		defer close(done)
		p.forwardToTarget(ctx, l)
		// Closing the connection shows the target that the caller has disconnected.
		_ = targetConn.Close()
	})
	l.closeCaller(p.forwardToCaller(ctx, l))
	_ = targetConn.Close()
	<-done
}

// forwardToTarget forwards the data of a caller to the target and sends it a second time if Duplicate is set.
func (p *Proxy) forwardToTarget(ctx context.Context, l *link) {
	var sent []byte
	// An error of the target is kept in the link, and one of the caller ends the connection to the target all the same.
	_ = p.forward(ctx, l, l.caller, l.writeToTarget, func(f Faults, data []byte) bool {
		if f.Duplicate {
			sent = append(sent, data...)
		}
		return p.holdCallerData(ctx, l, data)
	})
	if len(sent) > 0 {
		p.sendDuplicate(ctx, l, sent)
	}
}

// sendDuplicate sends data to the target again, on a new connection, and discards the answer.
func (p *Proxy) sendDuplicate(ctx context.Context, l *link, data []byte) {
	group.Sleep(ctx, p.current(l).DuplicateDelay.Duration)
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

// forwardToCaller forwards the data of the target to the caller. It stops when the answer is to be dropped, and returns the error of
// a read from the target.
func (p *Proxy) forwardToCaller(ctx context.Context, l *link) error {
	write := func(data []byte) error {
		_, err := l.caller.Write(data)
		return err
	}
	return p.forward(ctx, l, l.target, write, func(f Faults, data []byte) bool {
		if f.DropAnswers > 0 && p.consumeDrop() {
			return false
		}
		p.waitWhileFrozen(ctx, l, func(f Faults) bool { return f.Freeze || f.FreezeDown })
		if f.BytesPerSecond > 0 {
			group.Sleep(ctx, time.Duration(len(data))*time.Second/time.Duration(f.BytesPerSecond))
		}
		return true
	})
}

func (p *Proxy) consumeDrop() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.DropAnswers == 0 {
		return false
	}
	p.faults.DropAnswers--
	return true
}

// forward copies data of a link until a connection or the filter ends it. It returns the error of a read.
func (p *Proxy) forward(
	ctx context.Context, l *link, from net.Conn, write func(data []byte) error, filter func(f Faults, data []byte) bool,
) error {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			faults := p.current(l)
			group.Sleep(ctx, faults.Delay.Duration)
			if !filter(faults, buffer[:n]) {
				return nil
			}
			if write(buffer[:n]) != nil {
				return nil
			}
		}
		if err != nil {
			return err
		}
	}
}

// holdCallerData waits while the direction to the target is frozen, and for Resend after that. It returns false if the caller
// resets the connection meanwhile: its kernel drops the data. After a close, or the end of the caller's process, the kernel goes
// on sending them. It also returns false if the caller sends more data during a freeze, which closes the connection.
func (p *Proxy) holdCallerData(ctx context.Context, l *link, data []byte) bool {
	f := p.current(l)
	if !f.Freeze && !f.FreezeUp {
		return true
	}
	p.setHeld(l, string(data))
	defer p.setHeld(l, "")
	resend, closed := f.Resend.Duration, false
	wait := func() bool {
		if closed {
			group.Sleep(ctx, freezePollInterval)
			return true
		}
		_ = l.caller.SetReadDeadline(time.Now().Add(freezePollInterval))
		_, err := l.caller.Read(make([]byte, 1))
		closed = errors.Is(err, io.EOF)
		var timeout net.Error
		return closed || errors.As(err, &timeout) && timeout.Timeout()
	}
	for ; (f.Freeze || f.FreezeUp) && ctx.Err() == nil; f = p.current(l) {
		if !wait() {
			return false
		}
	}
	for endedAt := time.Now(); time.Since(endedAt) < resend && ctx.Err() == nil; {
		if !wait() {
			return false
		}
	}
	_ = l.caller.SetReadDeadline(time.Time{})
	return true
}

func (p *Proxy) setHeld(l *link, data string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if data == "" {
		delete(p.held, l)
		return
	}
	p.held[l] = data
}

// Holds reports whether the proxy holds back data for the target that begin with a prefix.
func (p *Proxy) Holds(prefix string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, data := range p.held {
		if strings.HasPrefix(data, prefix) {
			return true
		}
	}
	return false
}

// waitWhileFrozen waits while frozen returns true for the current faults.
func (p *Proxy) waitWhileFrozen(ctx context.Context, l *link, frozen func(f Faults) bool) {
	for frozen(p.current(l)) && ctx.Err() == nil {
		group.Sleep(ctx, freezePollInterval)
	}
}
