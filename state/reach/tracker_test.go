package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestTrackerFindsALostPathByAChecksResult(t *testing.T) {
	tests := []struct {
		name            string
		lost            bool
		asked, answered int
		wantLost        bool
	}{
		{"no endpoint answers", false, 3, 0, true},
		{"one of three answers", false, 3, 1, false},
		{"the only endpoint is silent", false, 1, 0, true},
		{"no endpoint is known", false, 0, 0, false},
		{"still lost", true, 3, 0, true},
		{"back", true, 3, 1, false},
		{"lost, and no endpoint is known any more", true, 0, 0, true},
	}
	for _, test := range tests {
		tracker := &Tracker{lost: test.lost}
		tracker.BeginCheck(start)
		changed := tracker.EndCheck(test.asked, test.answered)
		assert.Equal(t, tracker.Lost(), test.wantLost, test.name)
		assert.Equal(t, changed, test.lost != test.wantLost, test.name)
	}
}

func TestTrackerChecksAfterADoubtOnly(t *testing.T) {
	tracker := &Tracker{}
	assert.Assert(t, !tracker.CheckDue(start))
	tracker.RecordFailure()
	assert.Assert(t, tracker.CheckDue(start))
	tracker.BeginCheck(start)
	tracker.RecordFailure()
	assert.Assert(t, !tracker.CheckDue(start.Add(time.Hour)), "one check at a time")
	tracker.EndCheck(3, 1)
	assert.Assert(t, !tracker.CheckDue(start.Add(doubtInterval-1)), "a failure during the check")
	assert.Assert(t, tracker.CheckDue(start.Add(doubtInterval)))
	tracker.BeginCheck(start.Add(doubtInterval))
	tracker.EndCheck(3, 0)
	assert.Assert(t, tracker.CheckDue(start.Add(doubtInterval+lostInterval)), "a lost path is checked without a doubt")
	assert.Equal(t, tracker.LostSince(), start.Add(doubtInterval))
}

// A zone in which all endpoints crash at once must not seem to be a lost path.
func TestSampleCoversFailureDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		var endpoints []Endpoint
		domainOf := make(map[string]string)
		for i := range rapid.IntRange(0, 20).Draw(t, "endpoints") {
			e := Endpoint{ID: fmt.Sprint("r", i), Domain: fmt.Sprint("d", i%domains)}
			endpoints, domainOf[e.ID] = append(endpoints, e), e.Domain
		}
		ids := Sample(endpoints, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		seen, ofDomains := make(map[string]bool), make(map[string]bool)
		for _, id := range ids {
			assert.Assert(t, !seen[id], "%s twice", id)
			seen[id], ofDomains[domainOf[id]] = true, true
		}
		assert.Equal(t, len(ids), min(maxChecked, len(endpoints)))
		assert.Equal(t, len(ofDomains), min(len(ids), domains, len(endpoints)))
	})
}

func TestChoosePeer(t *testing.T) {
	tests := []struct {
		name  string
		peers []Peer
		want  []string
	}{
		{"none", nil, []string{""}},
		{"all have lost their path", []Peer{{Name: "a", Domain: "x", Lost: true}, {Name: "b", Domain: "y", Lost: true, Slow: true}}, []string{""}},
		{"the own domain first", []Peer{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "y"}}, []string{"a", "b"}},
		{"most of the own domain is lost", []Peer{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x", Lost: true}, {Name: "c", Domain: "y"}}, []string{"a", "c"}},
		{"all of the own domain is lost", []Peer{{Name: "a", Domain: "x", Lost: true}, {Name: "c", Domain: "y"}}, []string{"c"}},
		{"slow ones last", []Peer{{Name: "a", Domain: "y", Slow: true}, {Name: "c", Domain: "y"}}, []string{"c"}},
		{"slow ones only", []Peer{{Name: "a", Domain: "x", Slow: true}, {Name: "c", Domain: "y", Lost: true}}, []string{"a"}},
	}
	random := rand.New(rand.NewPCG(1, 0))
	for _, test := range tests {
		got := make(map[string]bool)
		for range 100 {
			got[ChoosePeer("x", test.peers, random)] = true
		}
		assert.Equal(t, len(got), len(test.want), test.name)
		for _, name := range test.want {
			assert.Assert(t, got[name], "%s: %q was never chosen", test.name, name)
		}
	}
}

// 60% of 295 VMs lose their path at once, in whole failure domains and parts of others.
func TestChoosePeerSpreadsRequestsOfManyVMs(t *testing.T) {
	const vms, domains, requests = 295, 5, 40
	random := rand.New(rand.NewPCG(2, 0))
	var all []Peer
	for i := range vms {
		all = append(all, Peer{Name: fmt.Sprint("vm-", i), Domain: fmt.Sprint("d", i%domains), Lost: random.Float64() < 0.6 || i%domains == 0})
	}
	got, sound := make(map[string]int), 0
	for _, p := range all {
		if !p.Lost {
			sound++
			continue
		}
		for range requests {
			got[ChoosePeer(p.Domain, all, random)]++
		}
	}
	mean, most := float64((vms-sound)*requests)/float64(sound), 0
	for _, count := range got {
		most = max(most, count)
	}
	assert.Assert(t, float64(most) < 3*mean, "one VM forwards %d requests, %.0f on average", most, mean)
}
