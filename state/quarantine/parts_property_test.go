package quarantine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	simulatedStep    = 40 * time.Millisecond
	simulatedDelay   = 600 * time.Millisecond
	contactTime      = 3 * time.Second
	maxLatePartRuns  = 3
	firstParts       = 3
	simulatedSeconds = 12
)

// promptFleet is a deployment whose VMs exchange crash records and clearances within simulatedDelay.
type promptFleet struct {
	random   *rand.Rand
	now      time.Time
	vms      []*PartTracker
	runners  []simulatedRunner
	runs     []*simulatedRun
	messages []simulatedMessage
	// culprit is the part that crashes runners, or zero.
	culprit uint64
	// branches is the number of parts that follow on each part, and depth the number of shared parts.
	branches, depth int
	crashes         []time.Time
	lateRuns        int
	// sound counts requests that are sound and share the first part with the culprit, from twice contactTime after the
	// crash on that the rule counts from, and refused those of them that were refused.
	sound, refused int
}

type simulatedRunner struct {
	incarnation int64
	downUntil   time.Time
}

type simulatedRun struct {
	vm, runner             int
	parts                  []uint64
	sentAt, beginAt, endAt time.Time
	crashesAt              time.Time
	fingerprint            int
}

type simulatedMessage struct {
	at         time.Time
	from       int
	crashes    []Crash
	clearances []Clearance
}

// prompt draws the shared parts of a prompt. A part is named by those before it and its place among its siblings.
func (f *promptFleet) prompt() []uint64 {
	part := uint64(1 + f.random.IntN(firstParts))
	parts := []uint64{part}
	for range f.depth - 1 {
		part = part*100 + uint64(1+f.random.IntN(f.branches))
		parts = append(parts, part)
	}
	return parts
}

// poisoned returns a prompt with the culprit.
func (f *promptFleet) poisoned() []uint64 {
	for {
		if parts := f.prompt(); slices.Contains(parts, f.culprit) {
			return parts
		}
	}
}

func (f *promptFleet) send(parts []uint64) {
	v := f.random.IntN(len(f.vms))
	poisoned := slices.Contains(parts, f.culprit)
	if wait, _ := f.vms[v].RetryAfter(f.now, parts); wait > 0 {
		f.count(parts, poisoned, true)
		return
	}
	f.count(parts, poisoned, false)
	runner := f.random.IntN(len(f.runners))
	if f.now.Before(f.runners[runner].downUntil) {
		return
	}
	if poisoned && len(f.crashes) >= 5 && f.now.After(f.crashes[4].Add(contactTime)) {
		f.lateRuns++
	}
	run := &simulatedRun{
		vm: v, runner: runner, parts: parts, sentAt: f.now, fingerprint: len(f.runs) + 1,
		beginAt: f.now.Add(time.Duration(20+f.random.IntN(150)) * time.Millisecond),
	}
	run.endAt = run.beginAt.Add(time.Duration(200+f.random.IntN(1500)) * time.Millisecond)
	if poisoned {
		run.crashesAt = run.beginAt.Add(60 * time.Millisecond)
	}
	f.runs = append(f.runs, run)
}

func (f *promptFleet) count(parts []uint64, poisoned, refused bool) {
	if poisoned || f.culprit == 0 || len(f.crashes) == 0 || f.firstOf(f.culprit) != parts[0] {
		return
	}
	if f.now.Before(f.crashes[min(4, len(f.crashes)-1)].Add(2 * contactTime)) {
		return
	}
	f.sound++
	if refused {
		f.refused++
	}
}

func (f *promptFleet) firstOf(part uint64) uint64 {
	for part >= 100 {
		part /= 100
	}
	return part
}

// crash ends a runner and the runs on it.
func (f *promptFleet) crash(runner int) {
	f.crashes = append(f.crashes, f.now)
	r := &f.runners[runner]
	for _, run := range f.runs {
		if run.runner != runner || !f.now.Before(run.endAt) {
			continue
		}
		run.endAt = f.now
		c := &Run{
			Origin: Origin{Parts: run.parts}, fingerprint: Fingerprint(run.fingerprint), endpoint: string(rune('a' + runner)),
			incarnation: r.incarnation, sentAt: run.sentAt,
		}
		if f.now.After(run.beginAt) {
			c.answeredAt = run.beginAt
		}
		crash := c.Crash(f.now)
		_, clearances := f.vms[run.vm].RecordCrashes(f.now, []Crash{crash})
		f.messages = append(f.messages, simulatedMessage{f.now, run.vm, []Crash{crash}, clearances})
	}
	f.runs = slices.DeleteFunc(f.runs, func(run *simulatedRun) bool { return !f.now.Before(run.endAt) })
	r.incarnation++
	r.downUntil = f.now.Add(time.Duration(1500+f.random.IntN(2500)) * time.Millisecond)
}

func (f *promptFleet) step() {
	f.now = f.now.Add(simulatedStep)
	for _, run := range slices.Clone(f.runs) {
		if !run.crashesAt.IsZero() && !f.now.Before(run.crashesAt) && f.now.Before(run.endAt) {
			f.crash(run.runner)
		}
	}
	f.runs = slices.DeleteFunc(f.runs, func(run *simulatedRun) bool {
		if f.now.Before(run.endAt) {
			return false
		}
		clearances := f.vms[run.vm].RecordCompleted(run.parts, run.beginAt)
		if len(clearances) > 0 {
			f.messages = append(f.messages, simulatedMessage{at: f.now, from: run.vm, clearances: clearances})
		}
		return true
	})
	for len(f.messages) > 0 && f.now.Sub(f.messages[0].at) >= simulatedDelay {
		m := f.messages[0]
		f.messages = f.messages[1:]
		for i, v := range f.vms {
			if i == m.from {
				continue
			}
			v.Merge(m.clearances)
			if _, clearances := v.RecordCrashes(f.now, m.crashes); len(clearances) > 0 {
				f.messages = append(f.messages, simulatedMessage{at: f.now, from: i, clearances: clearances})
			}
		}
	}
}

func drawFleet(t *rapid.T) *promptFleet {
	f := &promptFleet{
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: start,
		runners:  make([]simulatedRunner, rapid.IntRange(8, 16).Draw(t, "runners")),
		branches: rapid.IntRange(4, 40).Draw(t, "branches"), depth: rapid.IntRange(2, 4).Draw(t, "depth"),
	}
	for range rapid.IntRange(3, 9).Draw(t, "vms") {
		f.vms = append(f.vms, NewPartTracker())
	}
	return f
}

func TestRequestsWithOnePartReachRunnersAndSoundOnesAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		chain := f.prompt()
		f.culprit = chain[rapid.IntRange(1, len(chain)-1).Draw(t, "place of the culprit")]
		interval := time.Duration(rapid.IntRange(200, 1000).Draw(t, "interval in ms")) * time.Millisecond
		due := f.now
		for range simulatedSeconds * int(time.Second/simulatedStep) {
			f.step()
			if f.random.IntN(3) > 0 {
				if parts := f.prompt(); !slices.Contains(parts, f.culprit) {
					f.send(parts)
				}
			}
			if !f.now.Before(due) {
				due = f.now.Add(interval)
				f.send(f.poisoned())
			}
		}
		if f.lateRuns > maxLatePartRuns {
			t.Fatalf("culprit %d: %d crashes, %d late runs", f.culprit, len(f.crashes), f.lateRuns)
		}
		if f.sound >= 20 && f.refused*2 > f.sound {
			t.Fatalf("culprit %d: %d of %d sound requests refused: %+v", f.culprit, f.refused, f.sound, f.vms[0].Quarantined())
		}
	})
}

// Runners that end for another reason, one after the other or several at once, condemn no part.
func TestCrashesWithoutACulpritCondemnAPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		due := f.now.Add(time.Second)
		for range simulatedSeconds * int(time.Second/simulatedStep) {
			f.step()
			if f.random.IntN(3) > 0 {
				f.send(f.prompt())
			}
			if f.now.Before(due) {
				continue
			}
			due = f.now.Add(time.Duration(200+f.random.IntN(3000)) * time.Millisecond)
			for range 1 + f.random.IntN(len(f.runners)/2) {
				if runner := f.random.IntN(len(f.runners)); !f.now.Before(f.runners[runner].downUntil) {
					f.crash(runner)
				}
			}
		}
		for _, v := range f.vms {
			if n := len(v.Quarantined()); n > 0 {
				t.Fatalf("%d parts quarantined after %d crashes: %+v", n, len(f.crashes), v.Quarantined())
			}
		}
	})
}
