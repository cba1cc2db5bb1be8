package gateway

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/transport/rpc"
)

// poolSize is the number of connections for concurrent calls to one peer.
const poolSize = 4

// peer is another VM, with the connections to its gateway.
type peer struct {
	address      netip.AddrPort
	reportClient *rpc.Client
	pool         chan *rpc.Client
	// backoffUntil is the end of the backoff after the peer did not answer.
	backoffUntil time.Time
}

// peers holds the other VMs. It is safe for concurrent use.
type peers struct {
	mu     sync.Mutex
	byName map[string]*peer
}

func newPeers() *peers { return &peers{byName: make(map[string]*peer)} }

// setAddress sets a peer's address and reports whether it changed.
func (p *peers) setAddress(name string, address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byName[name]
	if old != nil && old.address == address {
		return false
	}
	added := &peer{address: address, reportClient: rpc.NewClient(address, nil), pool: make(chan *rpc.Client, poolSize)}
	for range poolSize {
		added.pool <- rpc.NewClient(address, nil)
	}
	p.byName[name] = added
	return true
}

func (p *peers) get(name string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name]
}

// unresponsive reports whether a peer is unknown, or in backoff after it did not answer.
func (p *peers) unresponsive(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.byName[name]
	return peer == nil || now.Before(peer.backoffUntil)
}

// setBackoff sets the end of the backoff of a peer that did not answer.
func (p *peers) setBackoff(name string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.byName[name]; peer != nil {
		peer.backoffUntil = until
	}
}

var errNoPeer = errors.New("the VM is not a known peer")

// callPooled calls a peer over one of its connections for concurrent calls, and waits for a free one.
func callPooled[Q, A any](ctx context.Context, p *peers, name, call string, q *Q, timeout time.Duration) (*A, error) {
	peer := p.get(name)
	if peer == nil {
		return nil, errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case client := <-peer.pool:
		defer func() { peer.pool <- client }()
		return rpc.Call[Q, A](ctx, client, call, q, timeout)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
