package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// epoch is the time of day at the process's start, to which the time since then is added.
var epoch = time.Now().Round(0).Add(-sinceBoot())

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// Now returns the time of day at the process's start plus the time that the VM has spent since, awake or suspended.
func Now() time.Time { return epoch.Add(sinceBoot()) }
