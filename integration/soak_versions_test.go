package integration

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/transport/group"
)

// takeUps is the number of times that a caller of the soak takes a stream up.
const takeUps = 3

// upgradeRunners starts random runners of the model service again with another version of their software, until the context
// ends.
func (s *soak) upgradeRunners(ctx context.Context, random *rand.Rand) {
	for group.Sleep(ctx, time.Duration(300+random.IntN(1500))*time.Millisecond) {
		id := []string{"r1", "r2", "r3"}[random.IntN(3)]
		s.runners[id].Upgrade([]string{"v1", "v2"}[random.IntN(2)])
	}
}

// takeUpStreams starts streams, leaves them early, and takes them up at random gateways, until the context ends.
func (s *soak) takeUpStreams(ctx context.Context, vms []string, random *rand.Rand) {
	for ctx.Err() == nil {
		taken := &stream{}
		for range 1 + takeUps {
			patience := time.Duration(30+random.IntN(100)) * time.Millisecond
			attempt, cancel := context.WithTimeout(context.Background(), patience)
			taken.receive(attempt, s.gateways[vms[random.IntN(len(vms))]], "small")
			cancel()
			if taken.complete {
				break
			}
		}
		s.streams = append(s.streams, taken)
		group.Sleep(ctx, time.Duration(random.IntN(50))*time.Millisecond)
	}
}

// killAll kills all gateways at once and starts them again.
func (s *soak) killAll(vms []string) {
	killedAt := time.Now()
	for _, vm := range vms {
		s.processes[vm].signal(syscall.SIGKILL)
	}
	for _, vm := range vms {
		// A process that was killed exits with an error, which is expected here.
		_ = s.processes[vm].command.Wait()
		s.checkRaces(vm)
		s.startProcess(vm, "gateway", "--settings", s.gateways[vm].settings)
		s.disturb(vm, killedAt)
	}
}

// checkStreams checks that no stream holds events of two versions of the software.
func (s *soak) checkStreams() {
	joined, complete := countStreams(s.streams)
	s.t.Logf("%d streams, %d complete", len(s.streams), complete)
	assert.Check(s.t, joined == 0, "%d of %d streams hold events of two versions", joined, len(s.streams))
	for _, stream := range s.streams {
		if len(stream.software) > 1 {
			s.t.Logf("%s: events of %v, statuses %v", stream.attempt, stream.software, stream.statuses)
			s.showAttempt(stream.attempt)
		}
	}
}
