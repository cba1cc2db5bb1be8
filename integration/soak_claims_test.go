package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/standin/fault"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// memberKeys is the prefix of the keys in the store by which gateways are members.
const memberKeys = "vms/"

// disturbClaims cuts a random gateway off from the store, which loses its key, so that its runners change owners, while transactions
// are carried out late, or their answers are lost or late, again and again until the context ends. Meanwhile requests need new adapters,
// so that owners send orders.
func (s *soak) disturbClaims(ctx context.Context, vms []string, random *rand.Rand) {
	for group.Sleep(ctx, time.Duration(500+random.IntN(2500))*time.Millisecond) {
		delay := document.NewDuration(time.Duration(random.IntN(1500)) * time.Millisecond)
		faults := []fault.Faults{
			{DropShare: 0.35 + 0.65*random.Float64()},
			{AnswerDelay: delay},
			{Delay: delay},
			{DropShare: 0.35, Delay: delay},
		}
		s.store.Commits.Set(faults[random.IntN(len(faults))])
		cut := vms[random.IntN(len(vms))]
		s.storeLinks[cut].Set(proxy.Faults{Disconnect: true})
		s.store.Remove(memberKeys + cut)
		for until := time.Now().Add(time.Duration(2000+random.IntN(4000)) * time.Millisecond); time.Now().Before(until); {
			vm, unit := vms[random.IntN(len(vms))], fmt.Sprint("large/c", random.IntN(200))
			s.sendRequest(vm, unit, newRequest(context.Background(), s.gateways[vm], modelPath, unit, []byte("{}")))
			group.Sleep(ctx, time.Duration(random.IntN(50))*time.Millisecond)
		}
		s.storeLinks[cut].Set(proxy.Faults{})
		s.store.Commits.Set(fault.Faults{})
	}
}
