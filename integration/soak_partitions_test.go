package integration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/zinniaroute/zinniaroute/standin/proxy"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// partitionAtTimes cuts random gateways off from all runners, again and again, until the context ends.
func (s *soak) partitionAtTimes(ctx context.Context, vms []string, random *rand.Rand) {
	kinds := []proxy.Faults{{Freeze: true}, {Disconnect: true}, {RefuseNew: true}, {FreezeDown: true}}
	for group.Sleep(ctx, time.Duration(500+random.IntN(4000))*time.Millisecond) {
		var cut []string
		for _, i := range random.Perm(len(vms))[:1+random.IntN(len(vms))] {
			cut = append(cut, vms[i])
		}
		s.partitionGateways(kinds[random.IntN(len(kinds))], cut...)
		group.Sleep(ctx, time.Duration(300+random.IntN(4000))*time.Millisecond)
		s.partitionGateways(proxy.Faults{})
	}
}
