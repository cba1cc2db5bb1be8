package allowance

import (
	"cmp"
	"slices"
	"time"
)

// maxWorkspaces bounds the workspaces of a message, so that the links of small VMs carry it several times a second.
const maxWorkspaces = 1024

// expiryInterval is the interval at which reports are checked for their age.
const expiryInterval = 100 * time.Millisecond

// source is one process of a VM.
type source struct{ vm, incarnation string }

type spent struct {
	spending span
	demand   int64
	// presumed is what the process may have spent after the report, once the next one is overdue.
	presumed span
}

type received struct {
	at         time.Time
	recent     bool
	workspaces map[string]spent
}

// total is the sum of the reports for one workspace. The moments are the sum of demand times time of the report.
type total struct {
	history         history
	demand, moments int64
}

// floor is the sum that another aggregator knew last.
type floor struct {
	history history
	demand  int64
}

// Gathering adds up the last reports of all processes, at the aggregator. A report counts until its spending is older than
// the window, so that the spending of killed and frozen processes still counts. Demand counts while the report is recent.
type Gathering struct {
	bins    int
	window  time.Duration
	reports map[source]*received
	totals  map[string]*total
	// floor holds the sums that another aggregator sent last, for processes that have not reported here.
	floor   map[string]*floor
	floorAt time.Time
	// startedAt is the first report after a pause, and epoch the origin of the times in moments.
	startedAt, lastAt, epoch time.Time
	// reporting is the number of VMs whose last report was recent at expiredAt.
	reporting int
	expiredAt time.Time
}

// NewGathering returns sums without reports.
func NewGathering(now time.Time, window time.Duration) *Gathering {
	return &Gathering{
		bins: binCount(window), window: window, reports: make(map[source]*received), totals: make(map[string]*total),
		floor: make(map[string]*floor), epoch: now,
	}
}

// Put replaces the report of a process. A VM of an earlier build sends none, and counts as a VM that spends nothing.
func (g *Gathering) Put(now time.Time, interval time.Duration, vm string, report *Report) {
	if now.Sub(g.lastAt) > staleAfter(interval) {
		g.startedAt = now
	}
	g.lastAt = now
	if report == nil {
		report = &Report{}
	}
	g.expire(now, interval)
	id := source{vm, report.Incarnation}
	if before := g.reports[id]; before != nil {
		g.remove(before)
	}
	r := &received{at: now, recent: true, workspaces: make(map[string]spent, len(report.Workspaces))}
	for _, s := range report.Workspaces[:min(len(report.Workspaces), maxWorkspaces)] {
		if _, twice := r.workspaces[s.Workspace]; twice {
			continue
		}
		w := spent{spending: newSpan(now, report.Partial, s.Bins, g.bins), demand: s.Demand}
		r.workspaces[s.Workspace] = w
		t := g.totals[s.Workspace]
		if t == nil {
			t = &total{history: newHistory(g.bins)}
			g.totals[s.Workspace] = t
		}
		t.history.advance(binOf(now))
		w.spending.addTo(&t.history, 1)
		t.demand += w.demand
		t.moments += w.demand * g.milliseconds(now)
	}
	g.reports[id] = r
}

func (g *Gathering) milliseconds(at time.Time) int64 { return at.Sub(g.epoch).Milliseconds() }

func (g *Gathering) remove(r *received) {
	g.removeDemand(r)
	for name, w := range r.workspaces {
		w.spending.addTo(&g.totals[name].history, -1)
		w.presumed.addTo(&g.totals[name].history, -1)
	}
}

// presume adds what a process may have spent after its last report, which is overdue: as much as before, until a VM that is cut
// off notices that its summary is stale.
func (g *Gathering) presume(r *received, duration time.Duration) {
	for name, w := range r.workspaces {
		amount := w.spending.recentRate() * duration.Seconds()
		w.presumed = span{last: binOf(r.at.Add(duration)), amounts: []int64{int64(amount)}}
		w.presumed.addTo(&g.totals[name].history, 1)
		r.workspaces[name] = w
	}
}

func (g *Gathering) removeDemand(r *received) {
	if !r.recent {
		return
	}
	r.recent = false
	for name, w := range r.workspaces {
		g.totals[name].demand -= w.demand
		g.totals[name].moments -= w.demand * g.milliseconds(r.at)
	}
}

// expire drops what has aged, every expiryInterval. Hundreds of reports arrive within it.
func (g *Gathering) expire(now time.Time, interval time.Duration) {
	if now.Sub(g.expiredAt) < expiryInterval {
		return
	}
	g.expiredAt = now
	vms := make(map[string]bool, len(g.reports))
	for id, r := range g.reports {
		age := now.Sub(r.at)
		if age > overdueAfter(interval) {
			if r.recent {
				g.removeDemand(r)
				g.presume(r, staleAfter(interval))
			}
		} else {
			vms[id.vm] = true
		}
		if age > g.window+binLength {
			g.remove(r)
			delete(g.reports, id)
		}
	}
	g.reporting = len(vms)
	for name, t := range g.totals {
		t.history.advance(binOf(now))
		if t.demand == 0 && t.history.sum() == 0 && !g.reported(name) {
			delete(g.totals, name)
		}
	}
}

func (g *Gathering) reported(workspace string) bool {
	for _, r := range g.reports {
		if _, ok := r.workspaces[workspace]; ok {
			return true
		}
	}
	return false
}

// heard returns the number of VMs of which there are reports.
func (g *Gathering) heard() int {
	vms := make(map[string]bool, len(g.reports))
	for id := range g.reports {
		vms[id.vm] = true
	}
	return len(vms)
}

// SetFloor keeps the sums that another aggregator knows, in case this VM becomes the aggregator. They include the report of
// this VM itself.
func (g *Gathering) SetFloor(now time.Time, s *Summary, own *Report) {
	clear(g.floor)
	g.floorAt = now
	add := func(partial time.Duration, workspaces []Spending) {
		for _, w := range workspaces {
			f := g.floor[w.Workspace]
			if f == nil {
				f = &floor{history: newHistory(g.bins)}
				f.history.advance(binOf(now))
				g.floor[w.Workspace] = f
			}
			newSpan(now, partial, w.Bins, g.bins).addTo(&f.history, 1)
			f.demand += w.Demand
		}
	}
	add(s.Partial, s.Workspaces)
	add(own.Partial, own.Workspaces)
}

// Summary returns the sums over all processes but one, which has just reported.
func (g *Gathering) Summary(now time.Time, interval time.Duration, vm, incarnation string) *Summary {
	s := &Summary{Partial: intoBin(now)}
	if now.Sub(g.startedAt) > overdueAfter(interval) {
		s.Reporting = g.reporting
	} else if g.floorAt.Before(g.startedAt.Add(-staleAfter(interval))) {
		s.Heard = g.heard()
	}
	own := g.reports[source{vm, incarnation}]
	if now.Sub(g.floorAt) > g.window+binLength {
		clear(g.floor)
	}
	add := func(name string) {
		w := Spending{Workspace: name}
		sum := newHistory(g.bins)
		sum.advance(binOf(now))
		if t := g.totals[name]; t != nil {
			t.history.advance(binOf(now))
			copy(sum.amounts, t.history.amounts)
			w.Demand, w.Unseen = t.demand, (t.demand*g.milliseconds(now)-t.moments)/1000
		}
		if f := g.floor[name]; f != nil {
			f.history.advance(binOf(now))
			for i, amount := range f.history.amounts {
				sum.amounts[i] = max(sum.amounts[i], amount)
			}
			if age := now.Sub(g.floorAt); f.demand > w.Demand && age <= staleAfter(interval) {
				w.Unseen += (f.demand - w.Demand) * age.Milliseconds() / 1000
				w.Demand = f.demand
			}
		}
		if own != nil {
			own.workspaces[name].spending.addTo(&sum, -1)
			w.Demand -= own.workspaces[name].demand
		}
		if w.Bins = sum.byAge(); len(w.Bins) > 0 || w.Demand > 0 {
			s.Workspaces = append(s.Workspaces, w)
		}
	}
	for name := range g.totals {
		add(name)
	}
	for name := range g.floor {
		if g.totals[name] == nil {
			add(name)
		}
	}
	s.Workspaces, s.Truncated = largest(s.Workspaces)
	return s
}

// largest returns the workspaces that spent most, and whether there are others.
func largest(workspaces []Spending) ([]Spending, bool) {
	if len(workspaces) <= maxWorkspaces {
		return workspaces, false
	}
	sums := make(map[string]int64, len(workspaces))
	for _, w := range workspaces {
		for _, amount := range w.Bins {
			sums[w.Workspace] += amount
		}
	}
	slices.SortFunc(workspaces, func(a, b Spending) int {
		return cmp.Or(cmp.Compare(sums[b.Workspace], sums[a.Workspace]), cmp.Compare(a.Workspace, b.Workspace))
	})
	return workspaces[:maxWorkspaces], true
}

// overdueAfter returns the age at which a report is not recent any more. What a part of the VMs that is cut off spends until
// then is not known to the others, so it is as short as reports on loaded VMs allow.
func overdueAfter(interval time.Duration) time.Duration { return 3*interval/2 + 250*time.Millisecond }

// staleAfter returns the age at which a summary does not count any more: two intervals, and half a second for the change to
// another aggregator.
func staleAfter(interval time.Duration) time.Duration { return 2*interval + 500*time.Millisecond }
