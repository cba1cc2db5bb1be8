package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/standin/seeded"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

var _ = seeded.SetFlags()

const (
	// contactTime is how long a VM must have been undisturbed to count as in touch, and the time within which it must have
	// learned that a request crashes runners.
	contactTime = 3 * time.Second
	// maxRetriesInTouch is the number of retries that VMs in touch may send to runners after that.
	maxRetriesInTouch = 3
	simulationTick    = 250 * time.Millisecond
	runnerDowntime    = 2 * time.Second
	culprit           = 1
)

func netipAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8000)
}

// simulatedVM is a gateway without network. Its clock differs from the true time by skew.
type simulatedVM struct {
	gateway *Gateway
	name    string
	skew    time.Duration
	// disturbedUntil is the end of the last cut or restart.
	disturbedUntil time.Time
	// callLost means that the last call to the aggregator failed, and observedAt is when the VM last saw a crash, or will
	// see a silent one by the runner's restart.
	callLost   bool
	observedAt time.Time
}

func (v *simulatedVM) start(now time.Time) { v.startWith(now, settings.Gateway{}) }

// startWith starts the VM with settings other than its name and failure domain.
func (v *simulatedVM) startWith(now time.Time, s settings.Gateway) {
	log := eventlog.New(io.Discard, logrus.ErrorLevel, v.name, "a")
	s.Name, s.Domain = v.name, "a"
	v.gateway = New(now.Add(v.skew), s, log)
}

// simulatedFleet is a deployment in which one request crashes each runner that runs it.
type simulatedFleet struct {
	t       *rapid.T
	now     time.Time
	vms     []*simulatedVM
	runners []fleet.Runner
	// stored holds the values of the quarantine keys in the store, and storeDownUntil is the end of its last outage.
	stored         map[string][]byte
	storeDownUntil time.Time
	crashes        []time.Time
	// lateRetries counts the sends by VMs in touch after the third crash and contactTime.
	lateRetries int
	// events are due at a time.
	events []simulatedEvent
}

type simulatedEvent struct {
	at     time.Time
	happen func()
}

func (f *simulatedFleet) schedule(after time.Duration, happen func()) {
	f.events = append(f.events, simulatedEvent{f.now.Add(after), happen})
}

func newSimulatedFleet(t *rapid.T) *simulatedFleet {
	f := &simulatedFleet{t: t, now: time.Unix(1_000_000, 0), stored: make(map[string][]byte)}
	for i := range rapid.IntRange(2, 5).Draw(t, "vms") {
		skew := time.Duration(rapid.IntRange(-3, 3).Draw(t, "skew")) * time.Second
		v := &simulatedVM{name: fmt.Sprint("vm-", i), skew: skew}
		v.start(f.now)
		f.vms = append(f.vms, v)
	}
	for i := range 12 {
		f.runners = append(f.runners, fleet.Runner{
			ID: fmt.Sprint("r", i), Address: netipAddress(i), Service: "models", Incarnation: f.now.UnixMilli(),
		})
	}
	for _, v := range f.vms {
		for _, r := range f.runners {
			f.applyRunner(v, r)
		}
	}
	return f
}

func (f *simulatedFleet) applyRunner(v *simulatedVM, runner fleet.Runner) {
	v.gateway.mu.Lock()
	defer v.gateway.mu.Unlock()
	v.gateway.recordRunnerStart(f.now.Add(v.skew), runner)
	v.gateway.directory.Put(f.now.Add(v.skew), runner)
}

func (f *simulatedFleet) cut(v *simulatedVM) bool { return f.now.Before(v.disturbedUntil) }

// exchange lets each VM that is not cut exchange records with the first such VM, and lets the store follow. One call of
// two may fail, with or without effect.
func (f *simulatedFleet) exchange() {
	var aggregator *simulatedVM
	for _, v := range f.vms {
		if f.cut(v) {
			continue
		}
		if aggregator == nil {
			aggregator = v
		}
		f.exchangeWith(v, aggregator)
		if f.now.Before(f.storeDownUntil) {
			continue
		}
		f.writeStore(v)
		f.readStore(v)
	}
}

func (f *simulatedFleet) exchangeWith(v, aggregator *simulatedVM) {
	lost := ""
	if !v.callLost {
		lost = rapid.SampledFrom([]string{"", "", "", "", "report", "summary"}).Draw(f.t, "lost")
	}
	v.callLost = lost != ""
	exchangeRecords(f.now, v, aggregator, lost)
}

func (f *simulatedFleet) writeStore(v *simulatedVM) {
	v.gateway.mu.Lock()
	defer v.gateway.mu.Unlock()
	now := f.now.Add(v.skew)
	for _, s := range v.gateway.pendingQuarantines(now) {
		value, err := json.Marshal(s.crashes)
		if err != nil {
			f.t.Fatal(err)
		}
		f.stored[quarantinePrefix+s.name] = value
	}
}

func (f *simulatedFleet) readStore(v *simulatedVM) {
	for key, value := range f.stored {
		v.gateway.applyCoordinationItem(f.now.Add(v.skew), fromWatch, platform.Item{Key: key, Value: value})
	}
}

// send sends the request to a runner through a VM, and reports whether it was sent. The run lasts for a time and ends
// with the runner. Silent means that the VM's connection does not show it.
func (f *simulatedFleet) send(v *simulatedVM, index int, lasting time.Duration, silent bool) bool {
	x := &exchange{gateway: v.gateway, request: fleet.Request{Fingerprint: culprit, Unit: fleet.Unit{Model: "large"}}}
	if v.gateway.quarantineRefusal(f.now.Add(v.skew), x) != nil {
		return false
	}
	if len(f.crashes) >= 3 && f.now.After(f.crashes[2].Add(contactTime)) && f.now.After(v.disturbedUntil.Add(contactTime)) {
		f.lateRetries++
	}
	runner := f.runners[index]
	g := v.gateway
	g.mu.Lock()
	x.choice = dispatch.Choice{Runner: &runner}
	x.beginRun(f.now.Add(v.skew))
	g.mu.Unlock()
	f.schedule(lasting, func() {
		f.crashes = append(f.crashes, f.now)
		f.runners[index].Incarnation = f.now.Add(runnerDowntime).UnixMilli()
		g.mu.Lock()
		defer g.mu.Unlock()
		if silent {
			v.observedAt = f.now.Add(runnerDowntime + simulationTick)
			f.schedule(time.Second, func() { f.giveUp(g, x, v.skew) })
			return
		}
		x.failRun(f.t.Context(), f.now.Add(v.skew), io.EOF)
		// A check of the path follows within its shortest interval and its timeout. Another runner answers.
		delay := time.Duration(rapid.IntRange(0, maxPathCheckTicks).Draw(f.t, "check")) * simulationTick
		v.observedAt = f.now.Add(delay)
		f.schedule(delay, func() { checkPath(g, f.now.Add(v.skew), 1) })
	})
	f.schedule(lasting+runnerDowntime+simulationTick, func() {
		for _, other := range f.vms {
			f.applyRunner(other, f.runners[index])
		}
	})
	return true
}

// maxPathCheckTicks is the longest time from a failure to the end of the check that it causes.
const maxPathCheckTicks = int(900*time.Millisecond/simulationTick) + 1

// checkPath ends a check of the path in which so many of three runners answer.
func checkPath(g *Gateway, now time.Time, answered int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.path.BeginCheck(now)
	g.path.EndCheck(3, answered)
	g.settleHeldCrashes(now)
}

func (f *simulatedFleet) giveUp(g *Gateway, x *exchange, skew time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x.failRun(f.t.Context(), f.now.Add(skew), errCallerLeft)
}

func (f *simulatedFleet) advance(by time.Duration) {
	for until := f.now.Add(by); f.now.Before(until); {
		f.now = f.now.Add(simulationTick)
		due, later := f.events, []simulatedEvent(nil)
		f.events = nil
		for _, e := range due {
			if e.at.After(f.now) {
				later = append(later, e)
				continue
			}
			e.happen()
		}
		f.events = append(later, f.events...)
		f.exchange()
	}
}

// disturb restarts a VM, cuts it off, or takes the store down, or does nothing.
func (f *simulatedFleet) disturb() {
	v := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(f.t, "disturbed")]
	switch rapid.IntRange(0, 7).Draw(f.t, "disturbance") {
	case 0:
		if f.now.Before(v.observedAt.Add(4 * simulationTick)) {
			// What a process saw in its last moments is lost with it.
			return
		}
		v.start(f.now)
		v.disturbedUntil = f.now.Add(simulationTick)
		for _, r := range f.runners {
			f.applyRunner(v, r)
		}
	case 1:
		v.disturbedUntil = f.now.Add(5 * time.Second)
	case 2:
		f.storeDownUntil = f.now.Add(5 * time.Second)
	}
}

// One caller sends a request that crashes each runner to any VM, again and again, while VMs restart, are cut off, have
// clocks that differ, and lose calls to each other.
func TestRequestThatCrashesRunnersIsRefusedByEveryVMInTouch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulatedFleet(t)
		silentRunners := rapid.Bool().Draw(t, "silent")
		for i := range rapid.IntRange(10, 40).Draw(t, "sends") {
			v := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")]
			lasting := time.Duration(rapid.IntRange(0, 16).Draw(t, "lasting")) * simulationTick
			// A runner that is down is not reached.
			index := slices.IndexFunc(f.runners, func(r fleet.Runner) bool { return time.UnixMilli(r.Incarnation).Before(f.now) })
			if index < 0 {
				f.advance(runnerDowntime)
				continue
			}
			if f.send(v, index, lasting, silentRunners) {
				f.advance(lasting + simulationTick)
			}
			f.advance(time.Duration(rapid.IntRange(0, 8).Draw(t, fmt.Sprint("pause", i))) * simulationTick)
			f.disturb()
			if f.lateRetries > maxRetriesInTouch {
				t.Fatalf("%d crashes, %d late retries by VMs in touch", len(f.crashes), f.lateRetries)
			}
		}
	})
}
