package integration

import (
	"context"
	"math/rand/v2"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// makeBrittle makes the runners of the plain service brittle at times, until the context ends, and checks how often they fall
// over in each.
func (s *soak) makeBrittle(ctx context.Context, random *rand.Rand) {
	ids := []string{"p1", "p2", "p3"}
	for group.Sleep(ctx, time.Duration(500+random.IntN(4000))*time.Millisecond) {
		before := s.falls(ids)
		for _, id := range ids {
			s.runners[id].SetBrittle(modelrunner.Brittle{PerSecond: 3 + random.IntN(5), Places: 8 + random.IntN(3)})
		}
		group.Sleep(ctx, time.Duration(3000+random.IntN(4000))*time.Millisecond)
		for _, id := range ids {
			s.runners[id].SetBrittle(modelrunner.Brittle{})
		}
		falls := s.falls(ids) - before
		assert.Check(s.t, float64(falls) <= allowedFalls(len(ids)), "brittle runners fell over %d times", falls)
	}
}

func (s *soak) falls(ids []string) int {
	falls := 0
	for _, id := range ids {
		falls += s.runners[id].Falls()
	}
	return falls
}
