package clock

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// The clock must follow CLOCK_BOOTTIME. With a monotonic reading in the value, comparisons would use the monotonic
// clock, which stops while the VM is suspended.
func TestNowFollowsTheTimeSinceBoot(t *testing.T) {
	timeSinceBoot := func() time.Duration {
		var ts unix.Timespec
		assert.NilError(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts))
		return time.Duration(ts.Nano())
	}
	for range 1000 {
		before, now, after := timeSinceBoot(), Now(), timeSinceBoot()
		assert.Check(t, now == now.Round(0))
		elapsed := now.Sub(bootTime)
		assert.Assert(t, elapsed >= before && elapsed <= after, "%v is not between %v and %v", elapsed, before, after)
	}
}
