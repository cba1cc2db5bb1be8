//go:build review

package main

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
	"time"
)

// resendTime is the time from the end of a cut until the bytes that it held up arrive. TCP sends them again after 0.2, 0.6,
// 1.4, 3.0 and 6.2 s, so those of the first moments of a cut of 4 s arrive some 2 s after its end.
const resendTime = 2 * time.Second

// link forwards channels to a runner. While it is cut, it holds back what is sent on open channels and refuses new ones.
type link struct {
	address netip.AddrPort
	target  netip.AddrPort
	d       *deployment

	mu sync.Mutex
	// healed is closed when the cut ends, and nil while there is none.
	healed chan struct{}
	// heldOrder is closed when an order is held back.
	heldOrder chan struct{}
}

func newLink(d *deployment, target netip.AddrPort) *link {
	listener := listen()
	l := &link{address: addressOf(listener), target: target, d: d, heldOrder: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l
}

// cut begins or ends a cut.
func (l *link) cut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.healed = make(chan struct{})
		return
	}
	close(l.healed)
	l.healed = nil
}

func (l *link) state() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed
}

func (l *link) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if l.state() != nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	target, err := net.Dial("tcp", l.target.String())
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	go l.copy(conn, target, false)
	l.copy(target, conn, true)
}

// copy forwards bytes. A cut holds them back; a reset by the sender discards what is held back.
func (l *link) copy(to, from net.Conn, toRunner bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if healed := l.state(); healed != nil {
			if toRunner && bytes.HasPrefix(buffer[:n], []byte("POST /zinniaroute/order")) {
				l.noteHeld()
			}
			<-healed
			time.Sleep(resendTime)
			if toRunner && wasReset(from) {
				return
			}
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// wasReset reports whether the sender has reset the channel.
func wasReset(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	_, err := conn.Read(make([]byte, 1))
	return err != nil && bytes.Contains([]byte(err.Error()), []byte("reset"))
}

func (l *link) noteHeld() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.heldOrder:
	default:
		close(l.heldOrder)
		l.d.note("an order is held up by the cut")
	}
}
