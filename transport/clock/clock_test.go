package clock

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// The clock must follow CLOCK_BOOTTIME. With a monotonic reading in the value, comparisons would use the monotonic
// clock, which stops while the VM is suspended.
func TestNowMovesWithTheTimeSinceBoot(t *testing.T) {
	boot := func() time.Duration {
		var at unix.Timespec
		assert.NilError(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &at))
		return time.Duration(at.Nano())
	}
	for range 1000 {
		before, now, after := boot(), Now(), boot()
		assert.Check(t, now == now.Round(0))
		passed := now.Sub(epoch)
		assert.Assert(t, passed >= before && passed <= after, "%v is not between %v and %v", passed, before, after)
	}
}
