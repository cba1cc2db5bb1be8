package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

var start = time.Unix(1_000_000, 0)

func runnersOf(count int, adapters ...string) []*fleet.Runner {
	var runners []*fleet.Runner
	for i := range count {
		runners = append(runners, &fleet.Runner{
			ID: fmt.Sprint("r", i), Domain: "a", Slots: 8,
			Holdings: fleet.Holdings{Models: []fleet.LoadedModel{{Model: "m", Adapters: adapters}}},
		})
	}
	return runners
}

func draft(thing uint64) *fleet.Request {
	return &fleet.Request{
		Kind: routes.Stream, Priority: 1, Unit: fleet.Unit{Model: "m"}, PromptTokens: 9000,
		Parts: []fleet.PromptPart{{ID: 1, Tokens: 2500}, {ID: thing, Tokens: 3800}, {ID: 99, Tokens: 2700}},
	}
}

func quick() *fleet.Request {
	return &fleet.Request{Kind: routes.Stream, Unit: fleet.Unit{Model: "m"}, PromptTokens: 600}
}

func TestRequestsOfOneThingMeetOnOneRunner(t *testing.T) {
	runners := runnersOf(6)
	chosen := make(map[string]bool)
	for vm := range 9 {
		d := NewDesk("a")
		choice, ok := d.Choose(start, draft(7), runners, nil)
		assert.Assert(t, ok, vm)
		chosen[choice.Runner.ID] = true
	}
	assert.Equal(t, len(chosen), 1, "VMs that know nothing of each other choose alike")
}

func TestABusyHomeIsLeftForAnotherRunner(t *testing.T) {
	runners := runnersOf(3)
	d := NewDesk("a")
	home, _ := d.Choose(start, draft(7), runners, nil)
	used := map[string]int{}
	for range 12 {
		choice, _ := d.Choose(start, draft(7), runners, nil)
		d.Sent(start, draft(7), choice)
		used[choice.Runner.ID]++
	}
	assert.Assert(t, used[home.Runner.ID] >= 4)
	assert.Assert(t, len(used) > 1, "%v", used)
}

// Quick questions were predicted to wait 3.2 s behind drafts, and waited 0.26 s: runners admit the more urgent first.
func TestUrgentRequestsAreNotPredictedToWaitBehindOthers(t *testing.T) {
	runners := runnersOf(1)
	d := NewDesk("a")
	for i := range 20 {
		choice, _ := d.Choose(start, draft(uint64(i)), runners, nil)
		d.Sent(start, draft(uint64(i)), choice)
	}
	choice, _ := d.Choose(start, quick(), runners, nil)
	assert.Assert(t, choice.Wait < 200*time.Millisecond, choice.Wait)
	behind, _ := d.Choose(start, draft(99), runners, nil)
	assert.Assert(t, behind.Wait > time.Second, behind.Wait)
}

func TestAFailingRunnerIsLeftAndTakenUpAgain(t *testing.T) {
	runners := runnersOf(2)
	d := NewDesk("a")
	now := start
	for range 10 {
		ticket := d.Sent(now, quick(), Choice{Runner: runners[0], Wait: time.Millisecond})
		d.Ended(now, ticket, Failed)
	}
	for range 20 {
		choice, _ := d.Choose(now, quick(), runners, nil)
		assert.Equal(t, choice.Runner.ID, "r1")
	}
	now = now.Add(30 * time.Second)
	used := map[string]bool{}
	for i := range 20 {
		choice, _ := d.Choose(now, draft(uint64(i)), runners, nil)
		used[choice.Runner.ID] = true
	}
	assert.Equal(t, len(used), 2)
}

func TestASlowRunnerGetsLess(t *testing.T) {
	runners := runnersOf(2)
	d := NewDesk("a")
	for i := range 10 {
		for _, r := range runners {
			ticket := d.Sent(start, draft(uint64(i)), Choice{Runner: r, Wait: 200 * time.Millisecond})
			took := 200 * time.Millisecond
			if r.ID == "r0" {
				took = time.Second
			}
			d.Began(start.Add(took), ticket)
			d.Ended(start.Add(took), ticket, Served)
		}
	}
	now := start.Add(time.Second)
	for i := range 20 {
		choice, _ := d.Choose(now, draft(uint64(1000+i)), runners, nil)
		assert.Equal(t, choice.Runner.ID, "r1")
	}
}

func TestLeavingBusyAndExcludedRunnersAreNotChosen(t *testing.T) {
	runners := runnersOf(4)
	runners[0].Draining = true
	runners[2].Holdings.Models = nil
	d := NewDesk("a")
	choice, ok := d.Choose(start, quick(), runners, []string{"r1"})
	assert.Assert(t, ok)
	assert.Equal(t, choice.Runner.ID, "r3")
	_, ok = d.Choose(start, quick(), runners, []string{"r1", "r3"})
	assert.Assert(t, !ok)
}

func TestAnAbsentAdapterIsNotAskedOfARunnerWhoseWeightsAreLoading(t *testing.T) {
	runners := runnersOf(1)
	runners[0].Holdings.Busy = true
	request := quick()
	request.Unit.Adapter = "a1"
	_, ok := NewDesk("a").Choose(start, request, runners, nil)
	assert.Assert(t, !ok)
	runners[0].Holdings.Models[0].Adapters = []string{"a1"}
	choice, ok := NewDesk("a").Choose(start, request, runners, nil)
	assert.Assert(t, ok && !choice.Absent)
}

func TestThePaceOfAModelIsLearnt(t *testing.T) {
	runners := runnersOf(1)
	d := NewDesk("a")
	now := start
	for i := range 60 {
		request := draft(uint64(i))
		choice, _ := d.Choose(now, request, runners, nil)
		ticket := d.Sent(now, request, choice)
		now = now.Add(fleet.DecodeStepTime + reading(ticket.unread)/4)
		d.Began(now, ticket)
		d.Ended(now, ticket, Served)
	}
	assert.Assert(t, d.Pace("m") < 0.35, d.Pace("m"))
	assert.Equal(t, d.Pace("other"), 1.0)
}

// In a partition, requests were sent on open connections to the other side for three seconds, until these were found dead.
func TestARunnerWithAnOverdueAnswerIsLeft(t *testing.T) {
	runners := runnersOf(2)
	d := NewDesk("a")
	ticket := d.Sent(start, quick(), Choice{Runner: runners[0], Wait: 20 * time.Millisecond})
	for i := range 20 {
		choice, _ := d.Choose(start.Add(time.Second), draft(uint64(i)), runners, nil)
		assert.Equal(t, choice.Runner.ID, "r1")
	}
	d.Began(start.Add(time.Second), ticket)
	used := map[string]bool{}
	for i := range 20 {
		choice, _ := d.Choose(start.Add(10*time.Second), draft(uint64(i)), runners, nil)
		used[choice.Runner.ID] = true
	}
	assert.Equal(t, len(used), 2)
}

func TestAFailureDomainThatIsCutOffIsLeft(t *testing.T) {
	runners := runnersOf(6)
	for i := range runners {
		runners[i].Domain = []string{"a", "b"}[i%2]
	}
	d := NewDesk("a")
	for _, i := range []int{1, 3} {
		d.Unreached(start, d.Sent(start, quick(), Choice{Runner: runners[i]}))
	}
	for i := range 30 {
		choice, _ := d.Choose(start.Add(300*time.Millisecond), draft(uint64(i)), runners, nil)
		assert.Equal(t, choice.Runner.Domain, "a")
	}
	_, ok := d.Choose(start.Add(300*time.Millisecond), quick(), runners[5:6], nil)
	assert.Assert(t, ok, "a runner that may be cut off is better than none")
}

// Load pattern: one request after the other, each given up before an answer began, as to a runner behind a partition.
func TestARunnerThatLetsRequestsRunOutOfTimeIsLeft(t *testing.T) {
	runners := runnersOf(2)
	d := NewDesk("a")
	now, lost := start, 0
	for i := range 60 {
		choice, _ := d.Choose(now, quick(), runners, nil)
		ticket := d.Sent(now, quick(), choice)
		if choice.Runner.ID == "r0" && i < 40 {
			lost++
			now = now.Add(time.Second)
			d.Ended(now, ticket, Dropped)
			continue
		}
		now = now.Add(50 * time.Millisecond)
		d.Began(now, ticket)
		d.Ended(now, ticket, Served)
	}
	// Two seconds of served requests leave room for a first loss and for probes after 0.25, 0.5 and 1 s.
	assert.Check(t, lost > 0 && lost <= 4, "%d", lost)
}

func TestARunnerThatWasSilentIsProbedWithOneRequest(t *testing.T) {
	runners := runnersOf(2)
	d := NewDesk("a")
	d.Unreached(start, d.Sent(start, quick(), Choice{Runner: runners[0]}))
	now := start.Add(silentPause)
	probe := d.Sent(now, quick(), Choice{Runner: runners[0], Wait: 20 * time.Millisecond})
	sent := func() int {
		count := 0
		for range 20 {
			choice, _ := d.Choose(now, quick(), runners, nil)
			ticket := d.Sent(now, quick(), choice)
			if choice.Runner.ID == "r0" {
				count++
			}
			d.Ended(now, ticket, Dropped)
			d.Sent(now, quick(), Choice{Runner: runners[1], Wait: 20 * time.Millisecond})
		}
		return count
	}
	assert.Equal(t, sent(), 0)
	d.Began(now, probe)
	assert.Check(t, sent() > 0)
}

// Load pattern: a runner reads drafts, quick questions run out of time behind them, and other answers begin meanwhile.
func TestABusyRunnerThatLetsARequestRunOutOfTimeIsKept(t *testing.T) {
	runners := runnersOf(2)
	d := NewDesk("a")
	late := d.Sent(start, quick(), Choice{Runner: runners[0], Wait: 20 * time.Millisecond})
	other := d.Sent(start, quick(), Choice{Runner: runners[0], Wait: 20 * time.Millisecond})
	d.Began(start.Add(500*time.Millisecond), other)
	now := start.Add(time.Second)
	d.Ended(now, late, Dropped)
	assert.Check(t, !d.load("r0").silent(now))
}
