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
	table    *Table
	versions *Versions
	// unbound holds the versions of the streams that it has begun while the service had one.
	unbound map[string]int
	// listed holds the number of runners of each version in the list that the VM has.
	listed [versionCount]int
	// downUntil, cutUntil and frozenUntil are the ends of its last kill, of its last cut from the store and of its last
	// freeze.
	downUntil, cutUntil, frozenUntil time.Time
}

// simulatedStream is a stream that a caller receives.
type simulatedStream struct {
	attempt string
	version int
	begunAt time.Time
}

// simulation is a deployment whose runners come and go with versions of their software while VMs are killed, frozen and cut
// off.
type simulation struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Time
	vms     []*simulatedVM
	serving [versionCount]int
	// changeTicks is the mean time between two changes of the runners.
	changeTicks int
	// recorded holds the versions in the store, stored the origins by attempt, and pending those that are written at a time,
	// or lost.
	recorded       map[int]bool
	stored         map[string]Origin
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

func newSimulation(t *rapid.T) *simulation {
	seed, vms := rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{1, 3, 9, 86, 295}).Draw(t, "vms")
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), now: start, stored: make(map[string]Origin), recorded: make(map[int]bool),
		changeTicks: rapid.SampledFrom([]int{15, 100, 300}).Draw(t, "changeTicks"),
	}
	s.serving[0] = 4
	for range vms {
		v := &simulatedVM{}
		v.restart()
		s.vms = append(s.vms, v)
	}
	return s
}

func (v *simulatedVM) restart() {
	v.table, v.versions, v.listed = NewTable(), NewVersions(), [versionCount]int{}
	v.unbound = make(map[string]int)
}

func softwareName(version int) string { return fmt.Sprint("v", version) }

func (s *simulation) runs(v *simulatedVM) bool {
	return !s.now.Before(v.downUntil) && !s.now.Before(v.frozenUntil)
}

func (s *simulation) follows(v *simulatedVM) bool {
	return s.runs(v) && !s.now.Before(v.cutUntil) && !s.now.Before(s.storeDownUntil)
}

func (s *simulation) step(i int, disturbed bool) {
	s.now = s.now.Add(tick)
	if s.random.IntN(s.changeTicks) == 0 {
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
	for range 3 {
		if v := s.vms[s.random.IntN(len(s.vms))]; s.runs(v) {
			s.begin(v)
		}
	}
	for range 2 {
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
	until := s.now.Add(time.Duration(500+s.random.IntN(5000)) * time.Millisecond)
	switch s.random.IntN(5) {
	case 0:
		s.kill(v)
	case 1:
		for _, each := range s.vms {
			s.kill(each)
		}
	case 2:
		v.cutUntil = until
	case 3:
		v.frozenUntil = until
	default:
		s.storeDownUntil = until
	}
}

func (s *simulation) kill(v *simulatedVM) {
	v.restart()
	v.downUntil = s.now.Add(time.Second)
}

// sync reads the store: the runners, whose new versions are recorded, and the recorded versions. Streams under way are
// bound to their versions when a second one is recorded.
func (s *simulation) sync(v *simulatedVM) {
	v.listed = s.serving
	for version, count := range v.listed {
		if count > 0 {
			s.recorded[version] = true
		}
	}
	for version := range s.recorded {
		v.versions.Add(service, softwareName(version))
	}
	if !v.versions.HasSeveral(service) {
		return
	}
	for attempt, version := range v.unbound {
		s.bind(v, simulatedStream{attempt: attempt, version: version})
	}
	clear(v.unbound)
}

// flush writes the origins that are due, unless their VM has been killed or cannot reach the store.
func (s *simulation) flush() {
	waiting := s.pending[:0]
	for _, w := range s.pending {
		switch {
		case s.now.Before(w.at):
			waiting = append(waiting, w)
		case s.follows(w.vm):
			s.stored[w.stream.attempt] = Origin{Service: service, Software: softwareName(w.stream.version)}
		}
	}
	s.pending = waiting
}

// begin begins a stream at a runner that the VM lists, that serves and whose version is recorded, and breaks it off.
func (s *simulation) begin(v *simulatedVM) {
	version := s.random.IntN(versionCount)
	if v.listed[version] == 0 || s.serving[version] == 0 || !v.versions.Has(service, softwareName(version)) {
		return
	}
	s.begun++
	stream := simulatedStream{attempt: fmt.Sprint("a", s.begun), version: version, begunAt: s.now}
	if v.versions.HasSeveral(service) {
		s.bind(v, stream)
	} else {
		v.unbound[stream.attempt] = version
	}
	s.broken = append(s.broken, stream)
}

func (s *simulation) bind(v *simulatedVM, stream simulatedStream) {
	v.table.Put(
		s.now, stream.attempt, Origin{Service: service, Software: softwareName(stream.version)}, s.now.Add(streamLifetime),
	)
	s.pending = append(s.pending, pendingWrite{s.now.Add(time.Duration(s.random.IntN(4)) * tick), v, stream})
}

// takeUp lets a caller take up a random stream at a VM.
func (s *simulation) takeUp(v *simulatedVM) {
	if len(s.broken) == 0 || !s.runs(v) {
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
	if !s.follows(v) {
		return "", false
	}
	var read Evidence
	for version := range versionCount {
		if s.recorded[version] {
			read.Recorded = append(read.Recorded, softwareName(version))
		}
		if s.serving[version] > 0 {
			read.Listed = append(read.Listed, softwareName(version))
		}
	}
	if software, ok := read.Sole(); ok {
		return software, true
	}
	origin, ok := s.stored[attempt]
	return origin.Software, ok
}

func TestStreamsGoOnAtAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for i := range 600 {
			s.step(i, true)
		}
	})
}

func TestStreamsThatCouldGoOnAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for i := range 600 {
			s.step(i, i < 200)
		}
		if 2*s.wentOn < s.couldGoOn {
			t.Fatalf("%d of %d streams went on", s.wentOn, s.couldGoOn)
		}
	})
}
