package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/membership"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/peer"
	"github.com/zinniaroute/zinniaroute/protocol/platform"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
	"github.com/zinniaroute/zinniaroute/transport/rpc"
)

const (
	gossipInterval  = time.Second
	exchangeTimeout = time.Second
	catalogTimeout  = 5 * time.Second
	// localPeersPerRound is the number of peers of the VM's own failure domain with which it exchanges records in each
	// round.
	localPeersPerRound = 2
	// remoteExchangeRounds is the mean number of rounds between two exchanges with a peer of another failure domain.
	remoteExchangeRounds = 3
	vmListInterval       = 3 * time.Second
	vmListTimeout        = 2 * time.Second
	maxVMListBytes       = 4 << 20
	// demandTTL is the age at which the demand that a VM published expires.
	demandTTL = 15 * time.Second
)

// gossip asks a few peers in each round for the records that this VM lacks.
func (c *Control) gossip(ctx context.Context) error {
	return group.Every(ctx, gossipInterval, func(now time.Time) {
		c.advanceHeartbeat(now)
		for _, address := range c.choosePeers(now) {
			c.group.Run("exchange", func(ctx context.Context) { c.exchange(ctx, address) })
		}
	})
}

func (c *Control) advanceHeartbeat(now time.Time) {
	revision := c.shared.revision()
	term := c.term.Load()
	c.shared.withLock(func() {
		c.shared.view.AdvanceHeartbeat(now, func(self *membership.Member) {
			self.Revision = revision
			self.EntryRevision = c.entryRevision.Load()
			self.Leaving = c.stopping.Load()
			self.Term = term
		})
		c.shared.demands.Expire(now.Add(-demandTTL))
		c.shared.crashes.Expire(now.Add(-quarantine.SuspicionTTL))
	})
}

// choosePeers returns random peers for a round: localPeersPerRound members of the VM's own failure domain,
// one listed or seeded peer that is not a live member, and sometimes a member of another failure domain. The last is
// always included while no other member of the own failure domain is known.
func (c *Control) choosePeers(now time.Time) []netip.AddrPort {
	var local, remote []netip.AddrPort
	c.shared.withLock(func() {
		for _, member := range c.shared.view.Members.Records() {
			if member.Name == c.settings.Process.Name || c.shared.view.State(now, member.Name) == membership.Dead {
				continue
			}
			if member.Domain == c.settings.Process.Domain {
				local = append(local, member.Address)
			} else {
				remote = append(remote, member.Address)
			}
		}
	})
	unknown := pickRandom(c.unknownPeers(slices.Concat(local, remote)), 1)
	chosen := append(pickRandom(local, localPeersPerRound), unknown...)
	if len(local) == 0 || rand.IntN(remoteExchangeRounds) == 0 {
		chosen = append(chosen, pickRandom(remote, 1)...)
	}
	return chosen
}

// unknownPeers returns listed or seeded peers that are not known as live members.
func (c *Control) unknownPeers(known []netip.AddrPort) []netip.AddrPort {
	addresses := slices.Clone(c.settings.Seeds)
	if listed := c.listedPeers.Load(); listed != nil {
		addresses = append(addresses, *listed...)
	}
	return slices.DeleteFunc(addresses, func(address netip.AddrPort) bool {
		return address == c.settings.Advertise || slices.Contains(known, address)
	})
}

func pickRandom(addresses []netip.AddrPort, count int) []netip.AddrPort {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

func (c *Control) exchange(ctx context.Context, address netip.AddrPort) {
	request := &peer.ExchangeRequest{}
	c.shared.withLock(func() {
		request.Sender = c.shared.view.Self()
		request.Members = c.shared.view.Members.Digests()
		request.Runners = c.shared.runners.Digests()
		request.Demands = c.shared.demands.Digests()
		request.Crashes = c.shared.crashes.Digests()
	})
	client := c.peerClient(address)
	response, err := rpc.Call[peer.ExchangeRequest, peer.ExchangeResponse](
		ctx, client, peer.CallExchange, request, exchangeTimeout)
	if err != nil {
		c.recordPeerResult(address, err)
		return
	}
	c.recordPeerResult(address, nil)
	c.mergeRecords(time.Now(), response)
	if response.Revision > c.shared.revision() {
		c.fetchCatalog(ctx, client)
	}
}

func (c *Control) mergeRecords(now time.Time, response *peer.ExchangeResponse) {
	c.shared.withLock(func() {
		for _, member := range response.Members {
			c.shared.view.Merge(now, member)
		}
		changed := false
		for _, state := range response.Runners {
			changed = c.shared.runners.Put(now, state) || changed
		}
		for _, demand := range response.Demands {
			c.shared.demands.Put(now, demand)
		}
		for _, crash := range response.Crashes {
			changed = c.shared.crashes.Put(now, crash) || changed
		}
		if changed {
			c.shared.notify()
		}
	})
}

func (c *Control) fetchCatalog(ctx context.Context, client *rpc.Client) {
	request := &peer.CatalogRequest{KnownDigests: c.shared.knownDigests()}
	response, err := rpc.Call[peer.CatalogRequest, peer.CatalogResponse](
		ctx, client, peer.CallCatalog, request, catalogTimeout)
	if err == nil {
		err = c.applyCatalog(time.Now(), response.Head, response.Chunks, "peer")
	}
	if err != nil {
		c.recordCatalogError(err)
	}
}

func (c *Control) peerClient(address netip.AddrPort) *rpc.Client {
	c.clientsMu.Lock()
	defer c.clientsMu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = rpc.NewClient(address, &c.meter)
		c.clients[address] = client
	}
	return client
}

// recordPeerResult records whether a peer answered, and logs when it stops answering.
func (c *Control) recordPeerResult(address netip.AddrPort, err error) {
	c.clientsMu.Lock()
	defer c.clientsMu.Unlock()
	if err != nil && !c.unreachablePeers[address] {
		c.log.Emit(eventlog.PeerUnreachable, address.String(), err)
	}
	c.unreachablePeers[address] = err != nil
}

// handleExchange returns the records that a peer lacks. Demand is shared only within a failure domain.
func (c *Control) handleExchange(_ context.Context, request *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	now := time.Now()
	response := &peer.ExchangeResponse{Revision: c.shared.revision()}
	c.shared.withLock(func() {
		c.shared.view.Merge(now, request.Sender)
		response.Members = c.shared.view.Members.NewerThan(request.Members)
		response.Runners = c.shared.runners.NewerThan(request.Runners)
		response.Crashes = c.shared.crashes.NewerThan(request.Crashes)
		if request.Sender.Domain == c.settings.Process.Domain {
			response.Demands = c.shared.demands.NewerThan(request.Demands)
		}
	})
	return response, nil
}

func (c *Control) handleCatalog(_ context.Context, request *peer.CatalogRequest) (*peer.CatalogResponse, error) {
	return c.shared.catalogFor(request.KnownDigests), nil
}

// pollVMList polls the platform's VM list for the addresses of controls and for draining runners. A runner that the
// list reports as leaving counts as draining, whatever the runner itself reports.
func (c *Control) pollVMList(ctx context.Context) error {
	client := httpcall.NewClient(vmListTimeout)
	defer client.Close()
	return group.Every(ctx, vmListInterval, func(time.Time) {
		groups, err := c.readVMList(ctx, client)
		if err != nil {
			return
		}
		c.applyVMList(groups)
	})
}

func (c *Control) readVMList(ctx context.Context, client *httpcall.Client) ([]platform.TargetGroup, error) {
	address := c.settings.VMList
	request := httpcall.NewRequest("GET", address, platform.VMListPath, nil)
	result, err := client.Fetch(ctx, address, request, vmListTimeout, maxVMListBytes)
	if err != nil {
		return nil, err
	}
	var groups []platform.TargetGroup
	err = json.Unmarshal(result.Body, &groups)
	return groups, err
}

func (c *Control) applyVMList(groups []platform.TargetGroup) {
	draining := make(map[string]bool)
	var peers []netip.AddrPort
	for _, group := range groups {
		if group.Labels.Role == platform.RoleEndpoint {
			draining[group.Labels.Name] = group.Labels.State == platform.StateLeaving
			continue
		}
		for _, target := range group.Targets {
			if address, err := netip.ParseAddrPort(target); err == nil {
				peers = append(peers, address)
			}
		}
	}
	c.listedPeers.Store(&peers)
	c.shared.withLock(func() { c.shared.drainingRunners = draining })
}
