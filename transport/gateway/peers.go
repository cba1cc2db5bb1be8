package gateway

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/rpc"
)

const (
	// poolSize is the number of connections for concurrent calls to one peer.
	poolSize = 4
	// idleConnectionTimeout is the time after which a connection that calls have not needed is closed.
	idleConnectionTimeout = 15 * time.Second
)

// peer is another VM, with the connections to its gateway.
type peer struct {
	address      netip.AddrPort
	reportClient *rpc.Client
	pool         *clientPool
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
	p.byName[name] = &peer{address: address, reportClient: rpc.NewClient(address, nil), pool: newClientPool(address)}
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
	client, err := peer.pool.take(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { peer.pool.put(clock.Now(), client) }()
	return rpc.Call[Q, A](ctx, client, call, q, timeout)
}

// clientPool holds the clients for concurrent calls to one peer, which connect on first use. The one used last is taken first, so
// that one connection is usual: each takes some 60 KB at both ends together, and a VM may have 379 peers.
type clientPool struct {
	// free has a place for each client that is not in use.
	free chan struct{}
	mu   sync.Mutex
	// clients holds those not in use, the one used last at the end.
	clients []pooledClient
}

type pooledClient struct {
	*rpc.Client
	usedAt time.Time
}

func newClientPool(address netip.AddrPort) *clientPool {
	p := &clientPool{free: make(chan struct{}, poolSize)}
	for range poolSize {
		p.clients = append(p.clients, pooledClient{Client: rpc.NewClient(address, nil)})
		p.free <- struct{}{}
	}
	return p
}

// take waits for a free client.
func (p *clientPool) take(ctx context.Context) (*rpc.Client, error) {
	select {
	case <-p.free:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.clients) - 1
	client := p.clients[last].Client
	p.clients = p.clients[:last]
	return client, nil
}

// put returns a client, and closes the connections of those that have not been needed for some time.
func (p *clientPool) put(now time.Time, client *rpc.Client) {
	p.mu.Lock()
	for i, c := range p.clients {
		if !c.usedAt.IsZero() && now.Sub(c.usedAt) > idleConnectionTimeout {
			c.Close()
			p.clients[i].usedAt = time.Time{}
		}
	}
	p.clients = append(p.clients, pooledClient{client, now})
	p.mu.Unlock()
	p.free <- struct{}{}
}
