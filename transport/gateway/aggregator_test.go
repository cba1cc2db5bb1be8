package gateway

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/platform"
)

// joinVMs lets VMs of three domains join. The first two of each have a faster link.
func joinVMs(t *testing.T, now time.Time, g *Gateway) (domainOf map[string]string, fast []string) {
	t.Helper()
	domainOf = make(map[string]string)
	for _, domain := range []string{"a", "b", "c"} {
		for i := range 22 {
			name := fmt.Sprintf("front-%s-%d", domain, i+1)
			domainOf[name] = domain
			value := memberValue{Address: netipAddress(len(domainOf)), Domain: domain, LinkMbps: 10}
			if i < 2 {
				value.LinkMbps = 200
				fast = append(fast, name)
			}
			data, err := json.Marshal(value)
			assert.NilError(t, err)
			g.applyItems(now, fromListing, []platform.Item{{Key: membersPrefix + name, Value: data, Revision: 1}})
		}
	}
	return domainOf, fast
}

func TestVMsCutOffFromADomainFindNoAggregator(t *testing.T) {
	for _, cut := range []string{"a", "b", "c"} {
		t.Run(cut, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			v := &simulatedVM{name: "front-z-9"}
			v.start(now)
			g := v.gateway
			domainOf, _ := joinVMs(t, now, g)
			for range 3 {
				name := g.aggregator(now)
				if domainOf[name] != cut {
					return
				}
				now = now.Add(aggregationInterval + aggregationTimeout)
				g.peers.setBackoff(name, now.Add(peerBackoff))
			}
			t.Errorf("still asks %s", g.aggregator(now))
		})
	}
}

func TestVMWithASlowLinkBecomesTheAggregatorBesideOnesWithAFastLink(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	v := &simulatedVM{name: "front-z-9"}
	v.start(now)
	g := v.gateway
	_, fast := joinVMs(t, now, g)
	for range fast {
		name := g.aggregator(now)
		assert.Assert(t, slices.Contains(fast, name), name)
		g.peers.setBackoff(name, now.Add(time.Hour))
	}
	assert.Assert(t, !slices.Contains(fast, g.aggregator(now)))
}
