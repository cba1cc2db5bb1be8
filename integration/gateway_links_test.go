package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/zinniaroute/zinniaroute/standin/proxy"
)

// When the connections to a runner hang, only the requests already sent to it fail; later requests go to another
// runner. The gateway uses the first runner again when that one responds and the other hangs.
func TestGatewayStopsUsingUnresponsiveRunner(t *testing.T) {
	cases := []struct {
		name   string
		faults proxy.Faults
	}{
		{"requests hang", proxy.Faults{FreezeUp: true}},
		{"responses hang", proxy.Faults{FreezeDown: true}},
		{"slow responses", proxy.Faults{BytesPerSecond: 10}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.configure(2, 1000)
			d.addRunner("r1", modelService, "large")
			d.addRunner("p1", plainService)
			d.addRunner("p2", plainService)
			d.addGateway("vm-1")
			d.waitServing("vm-1")
			d.runnerLinks["p1"].Set(c.faults)
			consecutiveSuccesses, failed := 0, 0
			for deadline := time.Now().Add(20 * time.Second); consecutiveSuccesses < 20; {
				sentAt := time.Now()
				r := d.send("vm-1", unsafePath, "")
				assert.Check(t, time.Since(sentAt) < 1500*time.Millisecond, "final response after %v", time.Since(sentAt))
				assert.Check(t, r.status == 200 || r.status == 504 || r.status == 502, "status %d", r.status)
				if consecutiveSuccesses++; r.status != 200 {
					consecutiveSuccesses, failed = 0, failed+1
				}
				assert.Assert(t, time.Now().Before(deadline), "no 20 successes in a row within 20 s, %d requests failed", failed)
			}
			assert.Check(t, failed <= 5, "%d requests failed before the gateway stopped using the runner", failed)
			d.runnerLinks["p1"].Set(proxy.Faults{})
			d.runnerLinks["p2"].Set(c.faults)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if d.send("vm-1", safePath, "").status == 200 {
					return poll.Success()
				}
				return poll.Continue("the first runner serves no requests yet")
			}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(5*time.Second))
		})
	}
}
