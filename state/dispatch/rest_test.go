package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

var _ = seeded.SetFlags()

const (
	restNoticeTime    = 500 * time.Millisecond
	maxRequestsInRest = 2
)

// restingRunner is an endpoint that turns requests away until a time, and asks for rests of different length.
type restingRunner struct {
	busyUntil time.Time
	// rests holds when this runner answered each VM, and the end of the rest that it asked for.
	rests map[int][]fromTo
	// byVM holds the arrivals from each VM.
	byVM map[int][]time.Time
}

type fromTo struct{ from, to time.Time }

// Many VMs send to four plain runners, of which some turn requests away at the same time and ask for rests.
func TestRequestsReachRunnersInTheirRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		vms := rapid.SampledFrom([]int{1, 3, 9, 86, 295}).Draw(t, "vms")
		schedulers := make([]*Scheduler, vms)
		fractions := make([]float64, vms)
		for i := range schedulers {
			schedulers[i], fractions[i] = NewScheduler("a"), random.Float64()
		}
		now := time.Unix(1_000_000, 0)
		var runners []*fleet.Runner
		resting := make(map[string]*restingRunner)
		for i := range 4 {
			id := fmt.Sprint("r", i)
			runners = append(runners, &fleet.Runner{ID: id, Service: "s", Domain: "a", Slots: 8})
			resting[id] = &restingRunner{rests: make(map[int][]fromTo), byVM: make(map[int][]time.Time)}
		}
		refused, served := 0, 0
		for range 3000 {
			now = now.Add(time.Duration(random.IntN(8)) * time.Millisecond)
			if random.IntN(400) == 0 {
				resting[runners[random.IntN(4)].ID].busyUntil = now.Add(time.Duration(random.IntN(4000)) * time.Millisecond)
			}
			vm := random.IntN(vms)
			s, request := schedulers[vm], &fleet.Request{}
			choice, ok := s.Choose(now, request, runners, nil, 0)
			if !ok {
				until, unavailable := s.Unavailable(now, runners)
				assert.Assert(t, unavailable && until.After(now), "refused though an endpoint is there")
				refused++
				continue
			}
			sent := s.RecordSent(now, request, choice)
			runner := resting[choice.Runner.ID]
			runner.byVM[vm] = append(runner.byVM[vm], now)
			if now.Before(runner.busyUntil) {
				rest := time.Duration(random.IntN(3000)) * time.Millisecond
				s.RecordOutcome(now, sent, Declined)
				s.RecordRest(now, choice.Runner.ID, rest, fractions[vm])
				runner.rests[vm] = append(runner.rests[vm], fromTo{now, now.Add(rest)})
				continue
			}
			s.RecordFirstByte(now, sent)
			s.RecordOutcome(now, sent, Served)
			served++
		}
		for id, runner := range resting {
			for vm, rests := range runner.rests {
				for _, rest := range rests {
					count := 0
					for _, at := range runner.byVM[vm] {
						if at.After(rest.from.Add(restNoticeTime)) && at.Before(rest.to) {
							count++
						}
					}
					assert.Assert(t, count <= maxRequestsInRest, "%d requests from VM %d to %s in its rest", count, vm, id)
				}
			}
		}
		assert.Assert(t, served > 1000, "%d served, %d refused", served, refused)
	})
}

func TestVMsReturnFromARestOneAfterAnother(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := []struct {
		rest, spread time.Duration
	}{
		{10 * time.Second, maxRestSpread},
		{2 * time.Second, 500 * time.Millisecond},
	}
	for _, test := range tests {
		inFirstTenth := 0
		for vm := range 295 {
			s := NewScheduler("a")
			s.RecordRest(now, "r", test.rest, float64(vm)/294)
			assert.Assert(t, s.Resting(now.Add(test.rest-time.Millisecond), "r"))
			assert.Assert(t, !s.Resting(now.Add(test.rest+test.spread+time.Millisecond), "r"))
			if !s.Resting(now.Add(test.rest+test.spread/10), "r") {
				inFirstTenth++
			}
		}
		assert.Assert(t, inFirstTenth <= 31, "%d of 295 VMs return at once", inFirstTenth)
	}
}

func TestRestOfARunner(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name   string
		record func(s *Scheduler)
		after  float64
		want   bool
	}{
		{"in force", func(s *Scheduler) { s.RecordRest(now, "r", 3*time.Second, 0) }, 2.9, true},
		{"over", func(s *Scheduler) { s.RecordRest(now, "r", 3*time.Second, 0) }, 3, false},
		{"none", func(s *Scheduler) { s.RecordRest(now, "r", 0, 1) }, 0, false},
		{"negative", func(s *Scheduler) { s.RecordRest(now, "r", -time.Second, 1) }, 0, false},
		{"a shorter one later", func(s *Scheduler) {
			s.RecordRest(now, "r", 3*time.Second, 0)
			s.RecordRest(at(1), "r", time.Millisecond, 0)
		}, 2.9, true},
		{"a longer one later", func(s *Scheduler) {
			s.RecordRest(now, "r", time.Second, 0)
			s.RecordRest(at(0.5), "r", 3*time.Second, 0)
		}, 3.4, true},
		{"too long", func(s *Scheduler) { s.RecordRest(now, "r", 1e9*time.Second, 0) }, maxRest.Seconds(), false},
		{"started again", func(s *Scheduler) {
			s.RecordRest(now, "r", 3*time.Second, 0)
			s.RecordRestart("r", at(0.5))
		}, 1, false},
		{"asked by the start that is learned of later", func(s *Scheduler) {
			s.RecordRest(now, "r", 3*time.Second, 0)
			s.RecordRestart("r", at(-0.4))
		}, 1, true},
		{"removed and listed again", func(s *Scheduler) {
			s.RecordRest(now, "r", 3*time.Second, 0)
			s.Remove(at(0.5), "r")
			s.RecordRestart("r", at(-5))
		}, 2.9, true},
		{"removed and started again", func(s *Scheduler) {
			s.RecordRest(now, "r", 3*time.Second, 0)
			s.Remove(at(0.5), "r")
			s.RecordRestart("r", at(1))
		}, 1.1, false},
	}
	for _, test := range tests {
		s := NewScheduler("a")
		test.record(s)
		assert.Equal(t, s.Resting(at(test.after), "r"), test.want, test.name)
	}
}

func TestRunnerThatReturnsFromARestGetsOneRequestAtATime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s, request := NewScheduler("a"), &fleet.Request{}
	runners := []*fleet.Runner{{ID: "r", Domain: "a", Slots: 8}, {ID: "other", Domain: "b", Slots: 8}}
	s.RecordRest(now, "r", time.Second, 0)
	now = now.Add(2 * time.Second)
	first, _ := s.Choose(now, request, runners, nil, 0)
	assert.Equal(t, first.Runner.ID, "r")
	sent := s.RecordSent(now, request, first)
	second, _ := s.Choose(now, request, runners, nil, 0)
	assert.Equal(t, second.Runner.ID, "other")
	s.RecordFirstByte(now, sent)
	s.RecordOutcome(now, sent, Served)
	third, _ := s.Choose(now, request, runners, nil, 0)
	assert.Equal(t, third.Runner.ID, "r")
}

func TestStateOfRemovedRunnersEndsWithTheirRest(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := NewScheduler("a")
	for i := range 100 {
		id := fmt.Sprint("r", i)
		s.RecordRest(now, id, time.Second, 0)
		s.Remove(now, id)
	}
	assert.Equal(t, len(s.endpoints), 100)
	s.Remove(now.Add(time.Second), "r0")
	assert.Equal(t, len(s.endpoints), 0)
}
