package allowance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/workspaces"
)

// previewDraws is the number of draws by which a preview estimates the chance of a request that the VM's share decides on.
const previewDraws = 100

// Preview is what Take would decide on a request.
type Preview struct {
	// Decision is the most likely one. It has nothing to refund.
	Decision Decision
	// Chance is the part of such requests that would be admitted.
	Chance float64
}

// Preview returns what Take would decide, with the given number of VMs and interval of their reports. It changes nothing and draws
// no random number of the ledger.
func (l *Ledger) Preview(now time.Time, w *workspaces.Workspace, cost float64, members int, interval time.Duration) Preview {
	var admitted, refused Decision
	count := 0
	for i := range uint64(previewDraws) {
		view := l.view(w.Name, rand.New(rand.NewPCG(i, 0)))
		view.SetMembers(members, interval)
		if d := view.Take(now, w, cost); d.Admitted {
			count++
			admitted = d
		} else {
			refused = d
		}
	}
	p := Preview{Decision: refused, Chance: float64(count) / previewDraws}
	if 2*count >= previewDraws {
		p.Decision = admitted
	}
	p.Decision.Taken = Taken{}
	return p
}

// view returns a copy of the ledger with the account of one workspace.
func (l *Ledger) view(workspace string, random *rand.Rand) *Ledger {
	view := *l
	view.random, view.parts, view.accounts = random, slices.Clone(l.parts), make(map[string]*account)
	if a := l.accounts[workspace]; a != nil {
		copied := *a
		copied.own.amounts, copied.others.amounts = slices.Clone(a.own.amounts), slices.Clone(a.others.amounts)
		view.accounts[workspace] = &copied
	}
	return &view
}
