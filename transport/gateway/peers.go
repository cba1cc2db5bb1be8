package gateway

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/transport/rpc"
)

// needClients is the number of connections for concurrent calls to one peer.
const needClients = 4

// peer is another VM, with the connections to its gateway.
type peer struct {
	address netip.AddrPort
	digests *rpc.Client
	needs   chan *rpc.Client
	// silentUntil is the end of the backoff after the peer did not answer.
	silentUntil time.Time
}

// peers holds the other VMs. It is safe for concurrent use.
type peers struct {
	mu  sync.Mutex
	all map[string]*peer
}

func newPeers() *peers { return &peers{all: make(map[string]*peer)} }

// set sets a peer's address and reports whether it changed.
func (p *peers) set(name string, address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.all[name]
	if old != nil && old.address == address {
		return false
	}
	fresh := &peer{address: address, digests: rpc.NewClient(address, nil), needs: make(chan *rpc.Client, needClients)}
	for range needClients {
		fresh.needs <- rpc.NewClient(address, nil)
	}
	p.all[name] = fresh
	return true
}

func (p *peers) get(name string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.all[name]
}

// silent reports whether a peer is unknown, or in backoff after it did not answer.
func (p *peers) silent(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.all[name]
	return peer == nil || now.Before(peer.silentUntil)
}

// silence sets the end of the backoff of a peer that did not answer.
func (p *peers) silence(name string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.all[name]; peer != nil {
		peer.silentUntil = until
	}
}

var errNoPeer = errors.New("the VM is not a known peer")

// callNeed calls a peer over one of its connections for concurrent calls, and waits for a free one.
func callNeed[Q, A any](ctx context.Context, p *peers, name, call string, q *Q, timeout time.Duration) (*A, error) {
	peer := p.get(name)
	if peer == nil {
		return nil, errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case client := <-peer.needs:
		defer func() { peer.needs <- client }()
		return rpc.Call[Q, A](ctx, client, call, q, timeout)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
