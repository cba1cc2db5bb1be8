package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/state/allowance"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/workspaces"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

// firstSummaryTimeout is how long a request waits for the first summary after a start, which takes a quarter of a second.
const firstSummaryTimeout = 400 * time.Millisecond

// allowances is the spending of workspaces at this VM, and the reports of all VMs if it is the aggregator.
type allowances struct {
	ledger    *allowance.Ledger
	gathering *allowance.Gathering
	// firstSummary is closed when the first summary that tells what most of the VMs have spent arrives.
	firstSummary chan struct{}
	// sent is the last report.
	sent *allowance.Report
	// uninformed means that the last summary did not tell what most of the VMs have spent.
	uninformed bool
	// lost and truncated are what the last events have said.
	lost, truncated bool
}

// takenAllowance is what a request has taken of the allowance of a workspace.
type takenAllowance struct {
	workspace string
	taken     allowance.Taken
}

func allowanceBounds(b settings.Bounds) allowance.Bounds {
	return allowance.Bounds{Window: b.AllowanceWindow.Duration, Overage: b.AllowanceOverage, Slack: b.AllowanceSlack}
}

func newAllowances(now time.Time, b settings.Bounds) allowances {
	bounds := allowanceBounds(b)
	return allowances{
		ledger:       allowance.NewLedger(bounds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		gathering:    allowance.NewGathering(now, bounds.Window),
		firstSummary: make(chan struct{}),
	}
}

// requestCost returns what a request takes of the allowance.
func requestCost(r *fleet.Request, limit workspaces.Limit) float64 {
	switch {
	case !limit.Tokens:
		return 1
	case !r.HasTokens:
		return float64(limit.PlainTokens)
	default:
		return float64(r.PromptTokens) + float64(r.OutputTokens)
	}
}

// takeAllowance takes the cost of a request from the allowance of its workspace, which is nil if it has none. If the allowance
// is used up it answers the request and reports false. The VM that the caller asked takes it, not the one to which the
// request is forwarded.
func (g *Gateway) takeAllowance(ctx context.Context, x *exchange, w *workspaces.Workspace) (admitted bool) {
	if w == nil || x.forwarded {
		return true
	}
	cost := requestCost(&x.request, w.Limit)
	d, firstSummary := g.take(x, w, cost)
	if d.Uncertain {
		pause(ctx, firstSummary, firstSummaryTimeout)
		d, _ = g.take(x, w, cost)
	}
	if d.Admitted {
		allowanceRecords.Add(string(d.Rule), 1)
		return true
	}
	allowanceRecords.Add("refused", 1)
	g.log.Emit(
		eventlog.AllowanceExceeded, x.request.ID, w.Name, cost, int64(d.Level), w.Limit.PerSecond, w.Limit.Burst, string(d.Rule),
		d.RetryAfter.Milliseconds(),
	)
	g.writeStatus(x.context, x.request.ID, statusTooManyRequests, d.RetryAfter)
	return false
}

// take takes the cost of a request once. It also returns the channel that the first summary closes.
func (g *Gateway) take(x *exchange, w *workspaces.Workspace, cost float64) (allowance.Decision, <-chan struct{}) {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.allowances.sent == nil {
		// The equal share must be right from the first request on.
		g.allowances.ledger.SetMembers(g.members(), g.reportInterval())
	}
	d := g.allowances.ledger.Take(now, w, cost)
	x.taken = takenAllowance{workspace: w.Name, taken: d.Taken}
	if d.Exceeded {
		g.log.Emit(eventlog.AllowanceBoundExceeded, w.Name, d.Spent, w.Limit.PerSecond, w.Limit.Burst)
	}
	return d, g.allowances.firstSummary
}

// refundAllowance returns the cost of a request that ends without having been sent.
func (x *exchange) refundAllowance(now time.Time) {
	if x.reachedRunner || x.taken == (takenAllowance{}) {
		return
	}
	g := x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.allowances.ledger.Refund(now, x.taken.workspace, x.taken.taken) {
		allowanceRecords.Add("refunded", 1)
	}
	x.taken = takenAllowance{}
}

// reportInterval returns the interval at which VMs report. The caller must hold the lock.
func (g *Gateway) reportInterval() time.Duration { return aggregationInterval + g.reportDelay() }

// uninformedReportInterval returns the time between reports of a VM that does not know yet what most VMs have spent. Requests wait
// for that. The caller must hold the lock.
func (g *Gateway) uninformedReportInterval() time.Duration {
	if g.reportDelay() == 0 {
		return earlyReportInterval
	}
	return aggregationInterval / 2
}

// allowanceReport returns what this VM has spent. The caller must hold the lock.
func (g *Gateway) allowanceReport(now time.Time) *allowance.Report {
	a := &g.allowances
	a.ledger.SetMembers(g.members(), g.reportInterval())
	a.sent = a.ledger.Report(now, g.incarnation)
	if lost := a.ledger.Used() && a.ledger.Stale(now); lost != a.lost {
		a.lost = lost
		g.log.Emit(eventlog.AllowanceSummaryLost, lost, a.ledger.SummaryAge(now).Milliseconds(), g.members())
	}
	return a.sent
}

// exchangeAllowances adds up the spending that a VM reports, and adds what the others have spent to its summary. The caller
// must hold the lock.
func (g *Gateway) exchangeAllowances(now time.Time, received *vm.Report, s *vm.Summary) {
	a := &g.allowances
	a.gathering.Put(now, g.reportInterval(), received.VM, received.Allowances)
	if received.Allowances != nil {
		s.Allowances = a.gathering.Summary(now, g.reportInterval(), received.VM, received.Allowances.Incarnation)
	}
}

// applyAllowances applies what the other VMs have spent. A summary of an aggregator of an earlier build has nothing of it. The
// caller must hold the lock.
func (g *Gateway) applyAllowances(askedAt, now time.Time, s *vm.Summary) {
	a := &g.allowances
	if s.Allowances == nil {
		return
	}
	if s.Aggregator != g.incarnation && a.sent != nil {
		a.gathering.SetFloor(now, s.Allowances, a.sent)
	}
	a.ledger.Apply(askedAt, now, s.Allowances)
	if a.uninformed = a.ledger.Uninformed(); a.uninformed {
		select {
		case g.reportNow <- struct{}{}:
		default:
		}
	}
	select {
	case <-a.firstSummary:
	default:
		if !a.ledger.Uninformed() {
			close(a.firstSummary)
		}
	}
	if s.Allowances.Truncated != a.truncated {
		a.truncated = s.Allowances.Truncated
		g.log.Emit(eventlog.AllowancesTruncated, a.truncated, len(s.Allowances.Workspaces))
	}
}
