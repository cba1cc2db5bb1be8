package gateway

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// aggregator returns the aggregator: the first candidate that is this VM or a peer without backoff. It returns "" if
// there is none.
func (g *Gateway) aggregator(now time.Time) string {
	g.mu.Lock()
	candidates := g.candidates()
	g.mu.Unlock()
	for _, name := range candidates {
		if name == g.settings.Name || !g.peers.unresponsive(now, name) {
			return name
		}
	}
	return ""
}

// candidates returns the VMs in the order in which they become the aggregator. The caller must hold the lock.
func (g *Gateway) candidates() []string {
	if g.aggregators == nil {
		g.aggregators = aggregatorCandidates(g.memberValues)
	}
	return g.aggregators
}

// aggregatorCandidates returns the VMs in the order in which they become the aggregator. It takes the VM with the
// fastest link of each failure domain, then the second of each, so that VMs that are cut off from a domain do not wait for
// all VMs of it in turn.
func aggregatorCandidates(members map[string]memberValue) []string {
	type candidate struct {
		name string
		rank int
	}
	byDomain := make(map[string][]string)
	for name, m := range members {
		byDomain[m.Domain] = append(byDomain[m.Domain], name)
	}
	var candidates []candidate
	for _, names := range byDomain {
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(members[b].LinkMbps, members[a].LinkMbps), strings.Compare(a, b))
		})
		for rank, name := range names {
			candidates = append(candidates, candidate{name, rank})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.name, b.name))
	})
	names := make([]string, 0, len(candidates))
	for _, c := range candidates {
		names = append(names, c.name)
	}
	return names
}

// addMember records the value of a VM's key. The caller must hold the lock.
func (g *Gateway) addMember(name string, value memberValue) {
	g.owners.AddMember(name)
	if g.memberValues[name] != value {
		g.memberValues[name] = value
		g.aggregators = nil
	}
}

// removeMember records that a VM's key is gone. The caller must hold the lock.
func (g *Gateway) removeMember(now time.Time, name string) {
	g.owners.RemoveMember(now, name)
	delete(g.offeredAt, name)
	delete(g.slowPeers, name)
	g.reservations.backoffs.Remove(name)
	delete(g.memberValues, name)
	g.aggregators = nil
}
