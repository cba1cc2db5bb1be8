package allowance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/decay"
	"github.com/zinniaroute/zinniaroute/state/workspaces"
)

const (
	// demandHalfLife is the half-life of the demand. Longer ones notice a burst too late to stay within the bound.
	demandHalfLife = 500 * time.Millisecond
	// expectedAge is the longest usual age of a summary. The demand of the others is taken for larger in proportion beyond it:
	// with 380 VMs, which report once a second, 7 of 60 simulated runs with faults exceeded the bound without it in the share, and
	// none with it.
	expectedAge = 500 * time.Millisecond
	// settleTime is added to the interval of reports for the time in which the share makes up for the level of the bucket.
	settleTime = 750 * time.Millisecond
	// maxCost bounds the cost of one request, so that sums cannot overflow.
	maxCost = 1e9
	// leastCapacity is the part of the bucket that remains while many members do not report. The rest makes up for what they
	// spend before both sides know that they are apart.
	leastCapacity = 0.5
	// minRetryAfter is the shortest time after which a caller may retry.
	minRetryAfter = 20 * time.Millisecond
)

// Bounds is what all VMs together may spend for a workspace: (rate x Window + burst) x (1 + Overage) + Slack in any Window.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
}

// Rule names the rule by which a request was admitted or refused.
type Rule string

// The rules.
const (
	// Unlimited means that the workspace has no limit.
	Unlimited Rule = "unlimited"
	// Pool means that the bucket of all VMs held the request.
	Pool Rule = "pool"
	// Share means that the bucket of all VMs did not hold the request, and the VM's share by demand decided.
	Share Rule = "share"
	// EqualShare means that the VM knows nothing recent of the others, and its equal share decided.
	EqualShare Rule = "equalShare"
)

// Taken is what Refund needs to return the cost of one request.
type Taken struct {
	bin, cost int64
	rule      Rule
}

// Decision says whether a request may be sent.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which a refused request may be admitted.
	RetryAfter time.Duration
	// Uncertain means that the VM has not got a summary since its start, and that the request should wait for it.
	Uncertain bool
	Rule      Rule
	// Level is the level of the bucket of all VMs, as known here.
	Level float64
	// Exceeded means that all VMs together have spent more than the bounds permit, which is Spent. It is said once a window.
	Exceeded bool
	Spent    int64
	Taken    Taken
}

// account is the state of one workspace.
type account struct {
	own, others history
	// asked is the decaying sum of the tokens asked for here.
	asked   float64
	askedAt time.Time
	// demand and unseen are those of the other VMs, as of the summary.
	demand, unseen float64
	// unreported and unknown mean that the last report or summary left the workspace out, as it had no room for it.
	unreported, unknown bool
	// share is the local bucket, which counts while the VM is alone: it knows nothing recent of the others. It grows up to the
	// largest cost refused since wantedAt.
	share    float64
	shareAt  time.Time
	alone    bool
	wanted   float64
	wantedAt time.Time
	// limit is the limit at the last request, for operators, and exceededAt when Exceeded was said last.
	limit      workspaces.Limit
	exceededAt time.Time
}

// Ledger holds what this VM and the others have spent, by workspace.
type Ledger struct {
	bounds   Bounds
	bins     int
	random   *rand.Rand
	members  int
	interval time.Duration
	accounts map[string]*account
	// summaryAt is when the VM asked for the last summary, or zero.
	summaryAt time.Time
	// truncated means that the last summary left workspaces out.
	truncated bool
	// parts holds, by bin, the part of the members that report to the same aggregator. The rate and the capacity are scaled by
	// it, since the others spend theirs.
	parts    []float64
	partsBin int64
	// informed means that a summary has told what most of the VMs have spent.
	informed bool
}

// NewLedger returns a ledger without history.
func NewLedger(bounds Bounds, random *rand.Rand) *Ledger {
	l := &Ledger{
		bounds: bounds, bins: binCount(bounds.Window), random: random, members: 1, accounts: make(map[string]*account),
	}
	l.parts = make([]float64, l.bins)
	for i := range l.parts {
		l.parts[i] = 1
	}
	return l
}

// SetMembers sets the number of VMs that share the allowances, and the interval of their reports.
func (l *Ledger) SetMembers(members int, interval time.Duration) {
	l.members, l.interval = max(1, members), interval
}

// SetBounds replaces the bounds. Another window takes effect at the next start.
func (l *Ledger) SetBounds(bounds Bounds) {
	bounds.Window = l.bounds.Window
	l.bounds = bounds
}

// part returns the part of the members that reports to this VM's aggregator.
func (l *Ledger) part() float64 { return l.parts[l.partsBin%int64(l.bins)] }

func (l *Ledger) advanceParts(bin int64) {
	part := l.part()
	if l.partsBin < bin-int64(l.bins) {
		l.partsBin = bin - int64(l.bins)
	}
	for l.partsBin < bin {
		l.partsBin++
		l.parts[l.partsBin%int64(l.bins)] = part
	}
}

// setPart sets the part of the members that reports from now on. Members that stopped did so before their reports were overdue.
func (l *Ledger) setPart(now time.Time, part float64) {
	if part < l.part() {
		for bin := binOf(now.Add(-overdueAfter(l.interval))); bin < l.partsBin; bin++ {
			p := &l.parts[bin%int64(l.bins)]
			*p = min(*p, part)
		}
	}
	l.parts[l.partsBin%int64(l.bins)] = part
}

// account returns the account of a workspace, with its rings at the present bin.
func (l *Ledger) account(now time.Time, workspace string) *account {
	a := l.accounts[workspace]
	if a == nil {
		a = &account{own: newHistory(l.bins), others: newHistory(l.bins), unknown: l.truncated}
		l.accounts[workspace] = a
	}
	a.own.advance(binOf(now))
	a.others.advance(binOf(now))
	return a
}

func (a *account) demandRate(now time.Time) float64 {
	return decay.Rate(decay.After(a.asked, now.Sub(a.askedAt), demandHalfLife), demandHalfLife)
}

// Stale reports whether the VM knows nothing recent of the others.
func (l *Ledger) Stale(now time.Time) bool {
	return l.summaryAt.IsZero() || now.Sub(l.summaryAt) > staleAfter(l.interval)
}

// Uninformed reports whether no summary since the start of the process tells what most of the VMs have spent.
func (l *Ledger) Uninformed() bool { return !l.informed }

// Used reports whether a workspace has spent or asked for anything of late, here or at another VM.
func (l *Ledger) Used() bool { return len(l.accounts) > 0 }

// SummaryAge returns the age of the last summary, or zero if there is none.
func (l *Ledger) SummaryAge(now time.Time) time.Duration {
	if l.summaryAt.IsZero() {
		return 0
	}
	return now.Sub(l.summaryAt)
}

// capacity returns the size of the bucket. A part of the slack makes up for the resolution of the history. It is less where the
// burst is small, as it is in requests, and where members do not report.
func (l *Ledger) capacity(limit workspaces.Limit) float64 {
	full := limit.Burst + min(l.bounds.Slack/4, limit.Burst/2)
	return full * max(leastCapacity, 1-2*(1-l.part()))
}

// spentOf returns what all VMs have spent in each bin, from the oldest on. What the members that do not report may have spent is
// assumed to be in proportion to what the others have.
func (l *Ledger) spentOf(now time.Time, a *account) []float64 {
	l.advanceParts(binOf(now))
	spent := make([]float64, l.bins)
	part, last := 0.0, binOf(now)
	for i := range spent {
		// A report holds the whole window, so that a member that reports again has reported all of its spending.
		bin := last - int64(i)
		part = max(part, l.parts[bin%int64(l.bins)])
		spent[l.bins-1-i] = float64(a.own.at(bin)+a.others.at(bin)) / part
	}
	return spent
}

// level returns the level of the bucket of all VMs after the spending. The bucket was full one window ago.
func (l *Ledger) level(now time.Time, spent []float64, limit workspaces.Limit) float64 {
	level := math.Inf(1)
	for i, amount := range spent {
		length := binLength
		if i == len(spent)-1 {
			length = intoBin(now)
		}
		// Half of the spending counts at the start of the bin and half at its end, as its times within the bin are unknown.
		level = min(l.capacity(limit), level-amount/2+limit.PerSecond*length.Seconds()) - amount/2
	}
	return level
}

// accrue fills the local bucket with the VM's equal share, up to its part of a full bucket or to the largest cost that was
// refused within the window.
func (l *Ledger) accrue(now time.Time, a *account, limit workspaces.Limit, level float64) {
	members := float64(l.members)
	if !a.alone {
		a.alone, a.shareAt = true, now
		a.share = min(max(0, level), l.capacity(limit)) / members
	}
	if now.Sub(a.wantedAt) > l.bounds.Window {
		a.wanted = 0
	}
	most := max(l.capacity(limit)/members, a.wanted)
	a.share = min(most, a.share+limit.PerSecond/members*now.Sub(a.shareAt).Seconds())
	a.shareAt = now
}

// Take admits a request of a workspace and counts its cost, or refuses it.
func (l *Ledger) Take(now time.Time, w *workspaces.Workspace, cost float64) Decision {
	limit := w.Limit
	if !(limit.PerSecond > 0) || math.IsInf(limit.PerSecond, 0) {
		return Decision{Admitted: true, Rule: Unlimited}
	}
	cost = math.Ceil(min(max(cost, 0), maxCost))
	a := l.account(now, w.Name)
	own := a.demandRate(now)
	a.asked, a.askedAt = decay.After(a.asked, now.Sub(a.askedAt), demandHalfLife)+cost, now
	a.limit = limit
	spent := l.spentOf(now, a)
	level := l.level(now, spent, limit)
	if l.Stale(now) || l.Uninformed() || a.unreported || a.unknown {
		return l.takeEqualShare(now, a, limit, cost, level)
	}
	a.alone = false
	d := Decision{Level: level, Rule: Pool}
	// The others may ask for more than they did, all the more if the summary is overdue.
	age := now.Sub(l.summaryAt)
	growth := max(1, age.Seconds()/min(l.interval, expectedAge).Seconds())
	asked := a.unseen + a.demand*growth*age.Seconds()
	missing := (min(cost, l.capacity(limit)*l.part())+asked)/l.part() - level
	if missing <= 0 {
		return l.admit(now, a, cost, d)
	}
	d.Rule = Share
	// The others admit the same part of what has been asked of them since the summary, which is not in the level yet.
	settle := (l.interval + settleTime).Seconds()
	target := (limit.PerSecond + level/settle) * l.part()
	others := a.demand * max(1, age.Seconds()/expectedAge.Seconds())
	if l.random.Float64()*(own+others+(a.unseen+others*age.Seconds())/settle) < target {
		return l.admit(now, a, cost, d)
	}
	d.RetryAfter = l.retryAfter(missing / limit.PerSecond)
	if spent := l.spent(now, a); float64(spent) > l.bounds.most(limit) && now.Sub(a.exceededAt) > l.bounds.Window {
		a.exceededAt, d.Exceeded, d.Spent = now, true, spent
	}
	return d
}

// most returns what all VMs together may spend in one window.
func (b Bounds) most(limit workspaces.Limit) float64 {
	return (limit.PerSecond*b.Window.Seconds()+limit.Burst)*(1+b.Overage) + b.Slack
}

// spent returns what all VMs are known to have spent within the window. It leaves out a part of the oldest bin.
func (l *Ledger) spent(now time.Time, a *account) int64 {
	oldest := binOf(now) - int64(l.bins) + 1
	return a.own.sum() + a.others.sum() - a.own.at(oldest) - a.others.at(oldest)
}

// takeEqualShare decides without recent knowledge of the other VMs.
func (l *Ledger) takeEqualShare(now time.Time, a *account, limit workspaces.Limit, cost, level float64) Decision {
	d := Decision{Level: level, Rule: EqualShare}
	l.accrue(now, a, limit, level)
	if a.share >= cost {
		a.share -= cost
		return l.admit(now, a, cost, d)
	}
	if cost >= a.wanted {
		a.wanted, a.wantedAt = cost, now
	}
	d.RetryAfter = l.retryAfter((cost - a.share) * float64(l.members) / limit.PerSecond)
	d.Uncertain = l.Uninformed()
	return d
}

func (l *Ledger) admit(now time.Time, a *account, cost float64, d Decision) Decision {
	a.own.add(binOf(now), int64(cost))
	d.Admitted, d.Taken = true, Taken{bin: binOf(now), cost: int64(cost), rule: d.Rule}
	return d
}

func (l *Ledger) retryAfter(seconds float64) time.Duration {
	seconds = min(max(seconds, minRetryAfter.Seconds()), l.bounds.Window.Seconds())
	return time.Duration(seconds * (1 + l.random.Float64()/2) * float64(time.Second))
}

// Refund returns the cost of a request that was admitted and never sent, and reports whether there was any. The caller must
// call it once at the most.
func (l *Ledger) Refund(now time.Time, workspace string, taken Taken) bool {
	if l.accounts[workspace] == nil || taken.cost == 0 {
		return false
	}
	a := l.account(now, workspace)
	a.own.add(taken.bin, -taken.cost)
	if taken.rule == EqualShare {
		a.share += float64(taken.cost)
	}
	return true
}

// Report returns what this VM has spent, and forgets workspaces that spend nothing any more.
func (l *Ledger) Report(now time.Time, incarnation string) *Report {
	r := &Report{Incarnation: incarnation, Partial: intoBin(now)}
	for name := range l.accounts {
		a := l.account(now, name)
		s := Spending{Workspace: name, Bins: a.own.byAge(), Demand: int64(a.demandRate(now))}
		if len(s.Bins) == 0 && s.Demand == 0 {
			if a.others.sum() == 0 {
				delete(l.accounts, name)
			}
			continue
		}
		r.Workspaces = append(r.Workspaces, s)
	}
	all := r.Workspaces
	r.Workspaces, _ = largest(all)
	for i, s := range all {
		l.accounts[s.Workspace].unreported = i >= maxWorkspaces
	}
	return r
}

// Apply replaces what the other VMs have spent by a summary for which the VM asked at a time. A new aggregator may not know all
// of it yet, so that what is known here stays.
func (l *Ledger) Apply(askedAt, now time.Time, s *Summary) {
	l.advanceParts(binOf(now))
	if s.Reporting > 0 {
		l.setPart(now, min(1, float64(s.Reporting)/float64(l.members)))
	}
	isWhole := s.Reporting > 0 || s.Heard == 0 || 10*s.Heard >= 9*l.members
	l.informed = l.informed || isWhole
	l.summaryAt, l.truncated = askedAt, s.Truncated
	known := make(map[*account]knowledge)
	for _, a := range l.accounts {
		if !isWhole {
			a.others.advance(binOf(now))
			known[a] = knowledge{slices.Clone(a.others.amounts), a.demand}
		}
	}
	for _, a := range l.accounts {
		clear(a.others.amounts)
		a.demand, a.unseen = 0, 0
		a.unknown = s.Truncated
	}
	for _, w := range s.Workspaces[:min(len(s.Workspaces), maxWorkspaces)] {
		a := l.account(now, w.Workspace)
		newSpan(now, s.Partial, w.Bins, l.bins).addTo(&a.others, 1)
		a.demand, a.unseen = float64(max(0, w.Demand)), float64(max(0, w.Unseen))
		a.unknown = false
	}
	for a, k := range known {
		a.demand = max(a.demand, k.demand)
		for i, amount := range k.amounts {
			a.others.amounts[i] = max(a.others.amounts[i], amount)
		}
	}
}

// knowledge is what a ledger knows of the other VMs.
type knowledge struct {
	amounts []int64
	demand  float64
}
