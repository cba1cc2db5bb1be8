package integration

import (
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/proxy"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// A VM is out of step for a moment while runners of another version join. Streams that began there through other VMs
// break off and are taken up at that VM.
//
// The other VMs are killed once enough streams have begun at the new version, which takes longer than usual beside load.
func TestVMOutOfStepJoinsStreamsOfTwoSoftwareVersions(t *testing.T) {
	const wantBegun = 8
	tests := []struct {
		name string
		// freeze and cut say how vm-1 is out of step, and healed that it has the store again when streams are taken up.
		freeze, cut, healed bool
	}{
		{"frozen and cut off", true, true, false},
		{"cut off", false, true, false},
		{"frozen and cut off, healed", true, true, true},
		{"frozen", true, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.configure(2, 4000)
			versionedRunners(d, 30, 100*time.Millisecond, "v1")
			gateways := []string{"vm-1", "vm-2", "vm-3"}
			for _, name := range gateways {
				d.addGateway(name)
			}
			for _, name := range gateways {
				waitUntil(t, name+" serves", func() bool { return d.send(name, resumePath, "large").status == http.StatusOK })
			}
			// Longer than a route's timeout and the margin, so that vm-1 knows which versions were in service.
			group.Sleep(t.Context(), 7*time.Second)
			if test.freeze {
				d.processes["vm-1"].signal(syscall.SIGSTOP)
			}
			if test.cut {
				d.storeLinks["vm-1"].Set(proxy.Faults{Disconnect: true})
			}
			versionedRunners(d, 30, 100*time.Millisecond, "v2")
			group.Sleep(t.Context(), 1500*time.Millisecond)
			streams := newStreams(32)
			var begun atomic.Int32
			for _, s := range streams {
				s.began = func(software string) {
					if software == "v2" {
						begun.Add(1)
					}
				}
			}
			due := func(elapsed time.Duration) bool {
				return elapsed >= 400*time.Millisecond && begun.Load() >= wantBegun || elapsed >= 2*time.Second
			}
			killWhen(d, gateways[1:], due, func() {
				receiveAll(d, streams, gateways[1:], 0)
				if test.freeze {
					d.processes["vm-1"].signal(syscall.SIGCONT)
				}
				if test.healed {
					d.storeLinks["vm-1"].Set(proxy.Faults{})
				}
				taken := slices.DeleteFunc(slices.Clone(streams), func(s *stream) bool { return s.complete || s.lastEvent == "" })
				receiveAll(d, taken, gateways[:1], 0)
			})
			began := slices.DeleteFunc(slices.Clone(streams), func(s *stream) bool {
				return len(s.software) == 0 || s.software[0] != "v2"
			})
			joined, _ := countStreams(streams)
			assert.Check(t, len(began) >= wantBegun, "%d streams began at the new version", len(began))
			assert.Check(t, joined <= 2, "%d of %d streams hold events of two versions", joined, len(streams))
		})
	}
}
