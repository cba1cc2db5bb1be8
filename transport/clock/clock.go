package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime is the time of the VM's boot, by the time of day at the start of the process.
var bootTime = time.Now().Round(0).Add(-sinceBoot())

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// Now returns the time of day at the start of the process plus the time that has passed since, including the time in
// which the VM was suspended. The result has no monotonic clock reading.
func Now() time.Time { return bootTime.Add(sinceBoot()) }
