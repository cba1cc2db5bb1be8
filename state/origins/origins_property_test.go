package origins

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.SetFlags()

const (
	service        = "models"
	streamLifetime = 10 * time.Second
	tick           = 100 * time.Millisecond
	versionCount   = 3
)

// simulatedVM knows origins and versions as a VM does that follows the store. It forgets all when it is killed.
type simulatedVM struct {
	table   *Table
	history *History
	// listed holds the number of runners of each version in the list that the VM has.
	listed [versionCount]int
	// downUntil and cutUntil are the ends of its last kill and of its last cut from the store.
	downUntil, cutUntil time.Time
}

// simulatedStream is a stream that a caller receives.
type simulatedStream struct {
	attempt string
	version int
	begunAt time.Time
}

// simulation is a deployment whose runners come and go with versions of their software while VMs are killed and cut off.
type simulation struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Time
	vms     []*simulatedVM
	serving [versionCount]int
	// store holds the origins by attempt, and pending those that are written at a time, or lost.
	store          map[string]Origin
	storeDownUntil time.Time
	pending        []pendingWrite
	broken         []simulatedStream
	begun          int
	// couldGoOn counts take-ups at VMs that had not been disturbed, while two runners of the version served, and wentOn
	// those that went on.
	couldGoOn, wentOn int
	lastDisturbedAt   time.Time
}

type pendingWrite struct {
	at     time.Time
	vm     *simulatedVM
	stream simulatedStream
}

func newSimulation(t *rapid.T, seed uint64, vms int) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 0)), now: start, store: make(map[string]Origin)}
	s.serving[0] = 4
	for range vms {
		v := &simulatedVM{}
		v.restart()
		s.vms = append(s.vms, v)
	}
	return s
}

func (v *simulatedVM) restart() {
	v.table, v.history, v.listed = NewTable(), NewHistory(), [versionCount]int{}
}

func softwareName(version int) string { return fmt.Sprint("v", version) }

func (s *simulation) follows(v *simulatedVM) bool {
	return !s.now.Before(v.downUntil) && !s.now.Before(v.cutUntil) && !s.now.Before(s.storeDownUntil)
}

func (s *simulation) step(i int, disturbed bool) {
	s.now = s.now.Add(tick)
	if s.random.IntN(15) == 0 {
		s.changeRunners()
	}
	if disturbed && s.random.IntN(25) == 0 {
		s.disturb()
	}
	s.flush()
	for j, v := range s.vms {
		// Each VM syncs with the store every half second.
		if s.follows(v) && (i+j)%5 == 0 {
			s.sync(v)
		}
	}
	if v := s.vms[s.random.IntN(len(s.vms))]; !s.now.Before(v.downUntil) {
		s.begin(v)
	}
	if s.random.IntN(2) == 0 {
		s.takeUp(s.vms[s.random.IntN(len(s.vms))])
	}
}

// changeRunners starts a runner of a version, or ends one or all of another.
func (s *simulation) changeRunners() {
	from, to := s.random.IntN(versionCount), s.random.IntN(versionCount)
	s.serving[to]++
	switch {
	case from == to || s.serving[from] == 0:
	case s.random.IntN(4) == 0:
		s.serving[from] = 0
	default:
		s.serving[from]--
	}
}

func (s *simulation) disturb() {
	s.lastDisturbedAt = s.now
	v := s.vms[s.random.IntN(len(s.vms))]
	duration := time.Duration(500+s.random.IntN(5000)) * time.Millisecond
	switch s.random.IntN(4) {
	case 0:
		s.kill(v)
	case 1:
		for _, each := range s.vms {
			s.kill(each)
		}
	case 2:
		v.cutUntil = s.now.Add(duration)
	default:
		s.storeDownUntil = s.now.Add(duration)
	}
}

func (s *simulation) kill(v *simulatedVM) {
	v.restart()
	v.downUntil = s.now.Add(time.Second)
}

func (s *simulation) sync(v *simulatedVM) {
	v.listed = s.serving
	v.history.RecordSync(s.now)
	for version, count := range v.listed {
		if count > 0 {
			v.history.Record(s.now, service, softwareName(version))
		}
	}
}

// flush writes the origins that are due, unless their VM has been killed or cannot reach the store.
func (s *simulation) flush() {
	waiting := s.pending[:0]
	for _, w := range s.pending {
		switch {
		case s.now.Before(w.at):
			waiting = append(waiting, w)
		case s.follows(w.vm):
			s.store[w.stream.attempt] = Origin{Service: service, Software: softwareName(w.stream.version)}
		}
	}
	s.pending = waiting
}

// begin begins a stream at a runner that the VM lists and that serves, and breaks it off.
func (s *simulation) begin(v *simulatedVM) {
	version := s.random.IntN(versionCount)
	if v.listed[version] == 0 || s.serving[version] == 0 {
		return
	}
	s.begun++
	stream := simulatedStream{attempt: fmt.Sprint("a", s.begun), version: version, begunAt: s.now}
	v.table.Put(s.now, stream.attempt, Origin{Service: service, Software: softwareName(version)}, s.now.Add(streamLifetime))
	s.pending = append(s.pending, pendingWrite{s.now.Add(time.Duration(s.random.IntN(4)) * tick), v, stream})
	s.broken = append(s.broken, stream)
}

// takeUp lets a caller take up a random stream at a VM.
func (s *simulation) takeUp(v *simulatedVM) {
	if len(s.broken) == 0 || s.now.Before(v.downUntil) {
		return
	}
	i := s.random.IntN(len(s.broken))
	stream := s.broken[i]
	s.broken = append(s.broken[:i], s.broken[i+1:]...)
	age := s.now.Sub(stream.begunAt)
	if age >= streamLifetime || age < 500*time.Millisecond {
		return
	}
	software, known := s.find(v, stream.attempt)
	if known && software != softwareName(stream.version) {
		s.t.Fatalf("%s began at %s and goes on at %s, %v after the start", stream.attempt, softwareName(stream.version), software, s.now.Sub(start))
	}
	if s.now.Sub(s.lastDisturbedAt) < 12*time.Second || s.serving[stream.version] < 2 {
		return
	}
	s.couldGoOn++
	if known && v.listed[stream.version] > 0 {
		s.wentOn++
	}
}

// find returns the version at which a stream goes on at a VM.
func (s *simulation) find(v *simulatedVM, attempt string) (string, bool) {
	if origin, ok := v.table.Get(s.now, attempt); ok {
		return origin.Software, true
	}
	if origin, ok := s.store[attempt]; ok && s.follows(v) {
		return origin.Software, true
	}
	return v.history.Only(s.now, service, streamLifetime)
}

func TestStreamsGoOnAtAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{1, 3, 9, 86}).Draw(t, "vms"))
		for i := range 600 {
			s.step(i, true)
		}
	})
}

func TestStreamsThatCouldGoOnAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{1, 3, 9, 86}).Draw(t, "vms"))
		for i := range 600 {
			s.step(i, i < 200)
		}
		if 2*s.wentOn < s.couldGoOn {
			t.Fatalf("%d of %d streams went on", s.wentOn, s.couldGoOn)
		}
	})
}
