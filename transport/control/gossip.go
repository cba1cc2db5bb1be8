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
	gossipInterval = time.Second
	exchangeLimit  = time.Second
	catalogLimit   = 5 * time.Second
	// fanOut is the number of peers of the VM's own failure domain with which it exchanges records in each round.
	fanOut = 2
	// farRounds is the mean number of rounds between two exchanges with a peer of another failure domain.
	farRounds    = 3
	listInterval = 3 * time.Second
	listTimeout  = 2 * time.Second
	maxListBytes = 4 << 20
	// demandLifetime is the age at which the demand that a VM published expires.
	demandLifetime = 15 * time.Second
)

// gossip asks a few peers in each round for the records that this VM lacks.
func (c *Control) gossip(ctx context.Context) error {
	return group.Every(ctx, gossipInterval, func(now time.Time) {
		c.beat(now)
		for _, address := range c.choosePeers(now) {
			c.group.Run("exchange", func(ctx context.Context) { c.exchange(ctx, address) })
		}
	})
}

func (c *Control) beat(now time.Time) {
	revision := c.board.revision()
	term := c.term.Load()
	c.board.with(func() {
		c.board.view.AdvanceHeartbeat(now, func(self *membership.Member) {
			self.Revision = revision
			self.EntryRevision = c.entryRevision.Load()
			self.Leaving = c.stopping.Load()
			self.Term = term
		})
		c.board.demands.Expire(now.Add(-demandLifetime))
		c.board.suspicions.Expire(now.Add(-quarantine.SuspicionTTL))
	})
}

// choosePeers returns random peers for a round: fanOut members of the VM's own failure domain, one listed or seeded
// peer that is not a live member, and sometimes a member of another failure domain. The last is always included while
// no other member of the own failure domain is known.
func (c *Control) choosePeers(now time.Time) []netip.AddrPort {
	var near, far []netip.AddrPort
	c.board.with(func() {
		for _, member := range c.board.view.Members.Records() {
			if member.Name == c.settings.Process.Name || c.board.view.State(now, member.Name) == membership.Dead {
				continue
			}
			if member.Domain == c.settings.Process.Domain {
				near = append(near, member.Address)
			} else {
				far = append(far, member.Address)
			}
		}
	})
	unknown := pick(c.unknownPeers(slices.Concat(near, far)), 1)
	chosen := append(pick(near, fanOut), unknown...)
	if len(near) == 0 || rand.IntN(farRounds) == 0 {
		chosen = append(chosen, pick(far, 1)...)
	}
	return chosen
}

// unknownPeers returns listed or seeded peers that are not known as live members.
func (c *Control) unknownPeers(known []netip.AddrPort) []netip.AddrPort {
	candidates := slices.Clone(c.settings.Seeds)
	if listed := c.listedPeers.Load(); listed != nil {
		candidates = append(candidates, *listed...)
	}
	return slices.DeleteFunc(candidates, func(address netip.AddrPort) bool {
		return address == c.settings.Advertise || slices.Contains(known, address)
	})
}

func pick(addresses []netip.AddrPort, count int) []netip.AddrPort {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

func (c *Control) exchange(ctx context.Context, address netip.AddrPort) {
	request := &peer.ExchangeRequest{}
	c.board.with(func() {
		request.Sender = c.board.view.Self()
		request.Members = c.board.view.Members.Digests()
		request.Runners = c.board.runners.Digests()
		request.Demands = c.board.demands.Digests()
		request.Suspicions = c.board.suspicions.Digests()
	})
	client := c.peerClient(address)
	response, err := rpc.Call[peer.ExchangeRequest, peer.ExchangeResponse](
		ctx, client, peer.CallExchange, request, exchangeLimit)
	if err != nil {
		c.notePeer(address, err)
		return
	}
	c.notePeer(address, nil)
	c.takeIn(time.Now(), response)
	if response.Revision > c.board.revision() {
		c.pullCatalog(ctx, client)
	}
}

func (c *Control) takeIn(now time.Time, response *peer.ExchangeResponse) {
	c.board.with(func() {
		for _, member := range response.Members {
			c.board.view.Merge(now, member)
		}
		news := false
		for _, state := range response.Runners {
			news = c.board.runners.Put(now, state) || news
		}
		for _, demand := range response.Demands {
			c.board.demands.Put(now, demand)
		}
		for _, suspicion := range response.Suspicions {
			news = c.board.suspicions.Put(now, suspicion) || news
		}
		if news {
			c.board.notify()
		}
	})
}

func (c *Control) pullCatalog(ctx context.Context, client *rpc.Client) {
	request := &peer.CatalogRequest{Known: c.board.knownDigests()}
	response, err := rpc.Call[peer.CatalogRequest, peer.CatalogResponse](
		ctx, client, peer.CallCatalog, request, catalogLimit)
	if err == nil {
		err = c.install(time.Now(), response.Head, response.Chunks, "peer")
	}
	if err != nil {
		c.noteCatalogError(err)
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

// notePeer records whether a peer answered, and logs when it stops answering.
func (c *Control) notePeer(address netip.AddrPort, err error) {
	c.clientsMu.Lock()
	defer c.clientsMu.Unlock()
	if err != nil && !c.silent[address] {
		c.log.Emit(eventlog.PeerUnreachable, address.String(), err)
	}
	c.silent[address] = err != nil
}

// answerExchange returns the records that a peer lacks. Demand is shared only within a failure domain.
func (c *Control) answerExchange(_ context.Context, request *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	now := time.Now()
	response := &peer.ExchangeResponse{Revision: c.board.revision()}
	c.board.with(func() {
		c.board.view.Merge(now, request.Sender)
		response.Members = c.board.view.Members.NewerThan(request.Members)
		response.Runners = c.board.runners.NewerThan(request.Runners)
		response.Suspicions = c.board.suspicions.NewerThan(request.Suspicions)
		if request.Sender.Domain == c.settings.Process.Domain {
			response.Demands = c.board.demands.NewerThan(request.Demands)
		}
	})
	return response, nil
}

func (c *Control) answerCatalog(_ context.Context, request *peer.CatalogRequest) (*peer.CatalogResponse, error) {
	return c.board.catalogFor(request.Known), nil
}

// followVMList polls the platform's VM list for the addresses of controls and for leaving endpoints. A runner that the
// list reports as leaving is not used, whatever the runner itself reports.
func (c *Control) followVMList(ctx context.Context) error {
	client := httpcall.NewClient(listTimeout)
	defer client.Close()
	return group.Every(ctx, listInterval, func(time.Time) {
		groups, err := c.readVMList(ctx, client)
		if err != nil {
			return
		}
		c.takeInVMList(groups)
	})
}

func (c *Control) readVMList(ctx context.Context, client *httpcall.Client) ([]platform.TargetGroup, error) {
	address := c.settings.VMList
	request := httpcall.NewRequest("GET", address, platform.VMListPath, nil)
	result, err := client.Fetch(ctx, address, request, listTimeout, maxListBytes)
	if err != nil {
		return nil, err
	}
	var groups []platform.TargetGroup
	err = json.Unmarshal(result.Body, &groups)
	return groups, err
}

func (c *Control) takeInVMList(groups []platform.TargetGroup) {
	leaving := make(map[string]bool)
	var peers []netip.AddrPort
	for _, group := range groups {
		if group.Labels.Role == platform.RoleEndpoint {
			leaving[group.Labels.Name] = group.Labels.State == platform.StateLeaving
			continue
		}
		for _, target := range group.Targets {
			if address, err := netip.ParseAddrPort(target); err == nil {
				peers = append(peers, address)
			}
		}
	}
	c.listedPeers.Store(&peers)
	c.board.with(func() { c.board.leaving = leaving })
}
