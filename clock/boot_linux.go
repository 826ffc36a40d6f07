package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the system was booted, including suspension.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
