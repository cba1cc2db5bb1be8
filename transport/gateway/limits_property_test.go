package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/limits"
)

const (
	limitTick = 50 * time.Millisecond
	// toldDelay is the time after an answer with a limit from which its VM is bound.
	toldDelay = 500 * time.Millisecond
	// excusedTime is the time after a cut or a freeze for which a VM is not bound.
	excusedTime    = time.Second
	limitedID      = "r"
	maxDisturbance = 14 * time.Second
	// maxAnswerDelay is the longest time from a request to its answer.
	maxAnswerDelay = 400 * time.Millisecond
	// changeDelay is the time within which all VMs act on a change of the limit: an answer, two exchanges, and the permits
	// that were granted ahead.
	changeDelay = maxAnswerDelay + 2*aggregationInterval + 500*time.Millisecond
)

// limitedVM is a gateway without network that sends requests to a runner that names a limit.
type limitedVM struct {
	gateway *Gateway
	name    string
	phase   int
	// downUntil, cutUntil and frozenUntil are the ends of its last kill, cut and freeze.
	downUntil, cutUntil, frozenUntil time.Time
	// toldAt is when the process first passed on an answer with a limit since one without, or zero.
	toldAt   time.Time
	backoffs map[string]time.Time
}

func (v *limitedVM) runs(now time.Time) bool {
	return !now.Before(v.downUntil) && !now.Before(v.frozenUntil)
}

func (v *limitedVM) bound(now time.Time) bool {
	return !v.toldAt.IsZero() && now.Sub(v.toldAt) >= toldDelay &&
		now.Sub(v.cutUntil) >= excusedTime && now.Sub(v.frozenUntil) >= excusedTime
}

// limitedArrival is a request that reached the runner, and whether its VM was bound by the limit.
type limitedArrival struct {
	at    time.Time
	bound bool
}

// limitedFleet is a deployment of which all VMs send requests to one runner.
type limitedFleet struct {
	now    time.Time
	random *rand.Rand
	vms    []*limitedVM
	// limit is the limit that the runner names, and limitTimes when it began to name each of changes.
	limit      float64
	limitTimes []time.Time
	changes    []float64
	arrivals   []limitedArrival
	events     []simulatedEvent
}

func newLimitedFleet(seed uint64, vms int, limit float64) *limitedFleet {
	f := &limitedFleet{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 0))}
	for i := range vms {
		v := &limitedVM{name: fmt.Sprintf("vm-%02d", i), phase: i}
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		f.start(v)
	}
	f.setLimit(limit)
	return f
}

func (f *limitedFleet) start(v *limitedVM) {
	v.gateway = New(f.now, settings.Gateway{Name: v.name, Domain: "a"}, eventlog.New(io.Discard, logrus.ErrorLevel, v.name, "a"))
	v.toldAt, v.backoffs = time.Time{}, make(map[string]time.Time)
	v.gateway.directory.Put(f.now, fleet.Runner{ID: limitedID, Service: "models"})
	for _, other := range f.vms {
		v.gateway.addMember(other.name, memberValue{Domain: "a"})
		if other.gateway != nil {
			other.gateway.addMember(v.name, memberValue{Domain: "a"})
		}
	}
}

func (f *limitedFleet) setLimit(limit float64) {
	f.limit = limit
	f.limitTimes, f.changes = append(f.limitTimes, f.now), append(f.changes, limit)
}

func (f *limitedFleet) schedule(after time.Duration, happen func()) {
	f.events = append(f.events, simulatedEvent{f.now.Add(after), happen})
}

func (f *limitedFleet) milliseconds(least, most int) time.Duration {
	return time.Duration(least+f.random.IntN(most-least+1)) * time.Millisecond
}

func (f *limitedFleet) reaches(v, other *limitedVM) bool {
	return v == other || v.runs(f.now) && other.runs(f.now) && !f.now.Before(v.cutUntil) && !f.now.Before(other.cutUntil)
}

// aggregatorOf returns the VM that a VM takes for the aggregator, or nil.
func (f *limitedFleet) aggregatorOf(v *limitedVM) *limitedVM {
	for _, name := range v.gateway.candidates() {
		if name == v.name || !f.now.Before(v.backoffs[name]) {
			for _, other := range f.vms {
				if other.name == name {
					return other
				}
			}
		}
	}
	return nil
}

func (f *limitedFleet) exchange(v *limitedVM) {
	aggregator := f.aggregatorOf(v)
	if aggregator == nil {
		return
	}
	v.gateway.recordAggregator(f.now, aggregator.name)
	if !f.reaches(v, aggregator) {
		v.backoffs[aggregator.name] = f.now.Add(peerBackoff)
		return
	}
	summary := &vm.Summary{}
	report := &vm.Report{VM: v.name, Limits: v.gateway.knownLimits(f.now)}
	aggregator.gateway.exchangeLimits(f.now, report, summary)
	v.gateway.applyLimits(f.now, summary.Limits)
}

// request sends a request of a VM to the runner, with a permit if the VM knows of a limit.
func (f *limitedFleet) request(v *limitedVM) {
	perSecond := v.gateway.limits.PerSecond(limitedID)
	if perSecond == limits.Unlimited {
		f.send(v, f.milliseconds(0, 20))
		return
	}
	aggregator := f.aggregatorOf(v)
	if aggregator == nil || !f.reaches(v, aggregator) {
		return
	}
	if next := f.aggregatorOf(aggregator); next != nil && next != aggregator && f.reaches(aggregator, next) {
		aggregator = next
	}
	grant := aggregator.gateway.grantPermit(f.now, vm.PermitRequest{
		Runner: limitedID, PerSecond: perSecond, Within: f.milliseconds(0, 1500),
	})
	if grant.Granted {
		f.send(v, grant.Wait+f.milliseconds(0, 20))
	}
}

func (f *limitedFleet) send(v *limitedVM, after time.Duration) {
	process := v.gateway
	f.schedule(after, func() {
		if v.gateway != process || f.now.Before(v.downUntil) {
			return
		}
		if !v.runs(f.now) {
			f.send(v, v.frozenUntil.Sub(f.now))
			return
		}
		f.arrivals = append(f.arrivals, limitedArrival{f.now, v.bound(f.now)})
		sentAt, named := f.now, f.limit
		f.schedule(f.milliseconds(5, int(maxAnswerDelay.Milliseconds())), func() {
			if v.gateway != process || f.now.Before(v.downUntil) {
				return
			}
			process.limits.Record(f.now, limitedID, named, sentAt)
			switch {
			case named == limits.Unlimited:
				v.toldAt = time.Time{}
			case v.toldAt.IsZero():
				v.toldAt = f.now
			}
		})
	})
}

// disturbed reports whether a VM is down, cut off or frozen.
func (f *limitedFleet) disturbed(v *limitedVM) bool {
	return !v.runs(f.now) || f.now.Before(v.cutUntil)
}

// disturb kills, cuts or freezes a VM, often the aggregator.
func (f *limitedFleet) disturb() {
	v := f.vms[f.random.IntN(len(f.vms))]
	if f.random.IntN(2) == 0 {
		v = f.vms[f.random.IntN(min(3, len(f.vms)))]
	}
	if f.disturbed(v) {
		return
	}
	duration := f.milliseconds(300, 4000)
	if f.random.IntN(4) == 0 {
		duration = f.milliseconds(9000, int(maxDisturbance.Milliseconds()))
	}
	switch f.random.IntN(3) {
	case 0:
		f.kill(v, duration)
	case 1:
		v.cutUntil = f.now.Add(duration)
		f.lapse(v, duration)
	default:
		v.frozenUntil = f.now.Add(duration)
		f.lapse(v, duration)
	}
}

func (f *limitedFleet) kill(v *limitedVM, duration time.Duration) {
	v.downUntil = f.now.Add(duration)
	f.schedule(duration, func() { f.start(v) })
	f.lapse(v, duration)
}

// lapse removes a VM's key from the store, as the other VMs see it, when its lease ends before it is back.
func (f *limitedFleet) lapse(v *limitedVM, duration time.Duration) {
	if duration <= memberLeaseTTL {
		return
	}
	f.schedule(memberLeaseTTL, func() {
		for _, other := range f.vms {
			if other != v {
				other.gateway.removeMember(f.now, v.name)
			}
		}
	})
	f.schedule(duration+time.Second, func() {
		for _, other := range f.vms {
			other.gateway.addMember(v.name, memberValue{Domain: "a"})
		}
	})
}

// run lets VMs send requests at a rate in total for a time.
func (f *limitedFleet) run(duration time.Duration, perSecond float64, disturbed, changing bool) {
	due := 0.0
	for tick := range int(duration / limitTick) {
		f.now = f.now.Add(limitTick)
		f.runEvents()
		if disturbed && f.random.IntN(40) == 0 {
			f.disturb()
		}
		if disturbed && f.random.IntN(400) == 0 {
			for _, v := range f.vms {
				if !f.disturbed(v) {
					f.kill(v, time.Second)
				}
			}
		}
		if changing && f.random.IntN(100) == 0 {
			f.setLimit([]float64{0, 0.2, 1, 1.5, 5, 20, limits.Unlimited}[f.random.IntN(7)])
		}
		for _, v := range f.vms {
			if v.runs(f.now) && (tick+v.phase)%int(aggregationInterval/limitTick) == 0 {
				f.exchange(v)
			}
		}
		for due += perSecond * limitTick.Seconds() * 2 * f.random.Float64(); due >= 1; due-- {
			if v := f.vms[f.random.IntN(len(f.vms))]; v.runs(f.now) {
				f.request(v)
			}
		}
	}
}

// runEvents lets what is due happen. Events within a tick happen at the times for which they are scheduled.
func (f *limitedFleet) runEvents() {
	tick := f.now
	for {
		first := -1
		for i, e := range f.events {
			if !e.at.After(tick) && (first < 0 || e.at.Before(f.events[first].at)) {
				first = i
			}
		}
		if first < 0 {
			f.now = tick
			return
		}
		event := f.events[first]
		f.events = append(f.events[:first], f.events[first+1:]...)
		f.now = event.at
		event.happen()
	}
}

// allowed returns the number of requests that the limits allow in the window from a time, or false while a change of the
// limit is new.
func (f *limitedFleet) allowed(from time.Time) (float64, bool) {
	highest := 0.0
	for i, since := range f.limitTimes {
		until := f.now
		if i+1 < len(f.limitTimes) {
			until = f.limitTimes[i+1]
		}
		if since.Before(from.Add(limits.Window)) && until.After(from.Add(-changeDelay)) {
			highest = max(highest, f.changes[i])
		}
	}
	return 1.5*highest*limits.Window.Seconds() + 5, highest != limits.Unlimited && from.Sub(f.limitTimes[0]) >= contactTime
}

// worst returns the window with the most requests of bound VMs beyond what is allowed.
func (f *limitedFleet) worst() (excess float64, count int, from time.Time) {
	excess = -1
	for i, first := range f.arrivals {
		allowed, binds := f.allowed(first.at)
		if !binds {
			continue
		}
		within := 0
		for _, arrival := range f.arrivals[i:] {
			if arrival.at.Sub(first.at) >= limits.Window {
				break
			}
			if arrival.bound {
				within++
			}
		}
		if over := float64(within) - allowed; over > excess {
			excess, count, from = over, within, first.at
		}
	}
	return excess, count, from
}

func TestRunnerGetsMoreRequestsThanItsLimitFromAnyNumberOfVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.SampledFrom([]int{3, 9, 30, 86}).Draw(t, "vms")
		limit := rapid.SampledFrom([]float64{0, 0.2, 1, 1.5, 5, 20}).Draw(t, "limit")
		f := newLimitedFleet(rapid.Uint64().Draw(t, "seed"), vms, limit)
		f.run(30*time.Second, rapid.SampledFrom([]float64{5, 40, 120}).Draw(t, "perSecond"), true, rapid.Bool().Draw(t, "changing"))
		excess, count, from := f.worst()
		if excess > 0 {
			t.Fatalf("%d requests within 4 s at %v, %v too many; limits %v", count, from.Sub(f.limitTimes[0]), excess, f.changes)
		}
	})
}

func TestRunnerWithALimitIsLeftUnused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.SampledFrom([]int{3, 9, 30, 86}).Draw(t, "vms")
		limit := rapid.SampledFrom([]float64{0, 0.2, 1, 1.5, 5, 20}).Draw(t, "limit")
		f := newLimitedFleet(rapid.Uint64().Draw(t, "seed"), vms, limit)
		disturbed := rapid.Bool().Draw(t, "disturbed")
		f.run(40*time.Second, max(10, 4*limit), disturbed, false)
		if want := limit * 40 / 3; float64(len(f.arrivals)) < want {
			t.Fatalf("%d requests reached the runner, and its limit allows %v", len(f.arrivals), 3*want)
		}
		// All disturbed VMs are back before the limit ends.
		f.run(maxDisturbance+time.Second, 0, false, false)
		before := len(f.arrivals)
		f.setLimit(limits.Unlimited)
		f.run(20*time.Second, 20, false, false)
		if count := len(f.arrivals) - before; count < 200 {
			t.Fatalf("%d of 400 requests reached the runner after the end of its limit", count)
		}
	})
}

func TestTwoVMsThatGrantPermitsExceedTheLimit(t *testing.T) {
	f := newLimitedFleet(1, 3, 10)
	for range 10 {
		f.exchange(f.vms[0])
		f.now = f.now.Add(time.Second)
	}
	granted := 0
	for range 400 {
		f.now = f.now.Add(10 * time.Millisecond)
		for _, v := range f.vms[:2] {
			if v.gateway.grantPermit(f.now, vm.PermitRequest{Runner: limitedID, PerSecond: 10}).Granted {
				granted++
			}
		}
	}
	assert.Assert(t, float64(granted) <= 1.5*10*4+5, "%d permits in 4 s", granted)
}
