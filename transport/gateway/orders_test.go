package gateway

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/coordination/pacing"
	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/standin/fault"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/orders"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

// The answers to the calls that take a load permit arrive late. The window of the load counts from the first call.
func TestLateLoadPermitAllowsALoadAfterItsWindow(t *testing.T) {
	tests := []struct {
		answerDelay time.Duration
		allowed     bool
	}{{0, true}, {pacing.LoadStartTimeout/2 + 50*time.Millisecond, false}}
	for _, test := range tests {
		s := startStoreVM(t)
		now := clock.Now()
		engine := &routes.Engine{MemoryMB: 100, LoadsPerSecond: 1, Models: []routes.Model{{Name: "large", MemoryMB: 10}}}
		s.table.Store(&routes.Table{Services: map[string]*routes.Service{"models": {Name: "models", Engine: engine}}})
		s.directory.Put(now, fleet.Runner{ID: "r2", Service: "models", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1})
		pending := s.owners.PendingClaims(s.now, []string{"r2"})
		s.claimRunner(t.Context(), s.knownRevision.Era(), pending[0])
		o := &ownedRunner{ledger: orders.New("r2", engine), reportReadAt: now.Add(time.Minute), ledgerChanged: make(chan struct{})}
		assert.Assert(t, o.ledger.ApplyReport(fleet.Report{Incarnation: 1}))
		o.ledger.SetMove(orders.Move{Load: "large"})
		bounds := s.bounds()
		bounds.LoadWindow = document.NewDuration(10 * time.Second)
		s.SetBounds(bounds)
		s.store.Faults.Set(fault.Faults{AnswerDelay: document.NewDuration(test.answerDelay)})
		assert.Equal(t, o.ledger.ColdLoad(clock.Now()), "large")
		_, isOwner := s.stepOrders(t.Context(), "r2", o)
		assert.Assert(t, isOwner)
		assert.Equal(t, o.ledger.ColdLoad(clock.Now()) == "", test.allowed, "answers after %v", test.answerDelay)
	}
}
