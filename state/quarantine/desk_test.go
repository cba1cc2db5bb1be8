package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.Fix()

var start = time.Unix(1_000_000, 0)

func TestScores(t *testing.T) {
	cases := []struct {
		name    string
		losses  []bool
		finish  bool
		refused bool
	}{
		{name: "one early crash", losses: []bool{true}},
		{name: "two early crashes", losses: []bool{true, true}},
		{name: "three early crashes", losses: []bool{true, true, true}, refused: true},
		{name: "an early and three late crashes", losses: []bool{true, false, false, false}},
		{name: "six late crashes", losses: []bool{false, false, false, false, false, false}, refused: true},
		{name: "cleared by finishing", losses: []bool{true, false}, finish: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := NewDesk()
			for i, early := range tc.losses {
				d.Lost(start.Add(time.Duration(i)*time.Second), 7, string(rune('a'+i)), early)
			}
			if tc.finish {
				d.Finished(7, "z")
				assert.Assert(t, !d.Suspect(start, 7))
			}
			assert.Equal(t, d.Refused(start.Add(time.Minute), 7) > 0, tc.refused)
			assert.Equal(t, d.Refused(start.Add(time.Hour), 7), time.Duration(0))
		})
	}
}

func TestOneLossOfAnEndpointCountsOnce(t *testing.T) {
	d := NewDesk()
	for range 5 {
		d.Lost(start, 7, "a", true)
	}
	assert.Equal(t, d.Refused(start, 7), time.Duration(0))
}

func TestPeersShareSuspicions(t *testing.T) {
	first, second := NewDesk(), NewDesk()
	first.Lost(start, 7, "a", true)
	news := first.News()
	assert.Equal(t, len(news), 1)
	assert.Equal(t, len(first.News()), 0)
	second.Learn(start, news)
	second.Lost(start.Add(time.Second), 7, "b", true)
	assert.Assert(t, second.Cautious(start.Add(time.Second), 7))
	second.Lost(start.Add(2*time.Second), 7, "c", true)
	assert.Assert(t, second.Refused(start.Add(2*time.Second), 7) > 0)
}

func TestTheCulpritClearsThoseItExplains(t *testing.T) {
	d := NewDesk()
	d.Lost(start, 8, "a", true)
	d.Lost(start, 9, "z", true)
	for i, endpoint := range []string{"a", "b", "c"} {
		d.Lost(start.Add(time.Duration(i)*time.Second), 7, endpoint, true)
	}
	assert.Assert(t, !d.Suspect(start, 8))
	assert.Assert(t, d.Suspect(start, 9))
}

// A request that crashes every endpoint that runs it crashes at most three. Requests that run on the same endpoints are
// never refused.
func TestCulpritIsBoundedAndInnocentsAreAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const culprit = Fingerprint(1)
		d := NewDesk()
		now := start
		innocents := rapid.IntRange(1, 8).Draw(t, "innocents")
		running := make(map[Fingerprint]bool)
		for f := range innocents {
			running[Fingerprint(f+2)] = true
		}
		crashes := 0
		for attempt := 0; d.Refused(now, culprit) == 0; attempt++ {
			endpoint := string(rune('a' + attempt))
			now = now.Add(time.Second)
			d.Begin(now, culprit, endpoint)
			// An innocent request on the endpoint can be new only at the first crash.
			for f := range running {
				if rapid.Bool().Draw(t, "beside") {
					d.Lost(now, f, endpoint, attempt == 0 && rapid.Bool().Draw(t, "fresh"))
				}
			}
			d.Lost(now, culprit, endpoint, true)
			crashes++
			for f := range running {
				if d.Refused(now, f) > 0 {
					t.Fatalf("innocent request %d is refused: %+v", f, d.All())
				}
				if rapid.Bool().Draw(t, "finishes") {
					d.Finished(f, endpoint)
				}
			}
		}
		if crashes > 3 {
			t.Fatalf("%d endpoints crashed", crashes)
		}
	})
}
