package fbtimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine's boot, with the time in which
// it was suspended. Go's monotonic clock leaves that out, so leases must not be
// judged by it.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("fbtimer: reading the boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// WallOffset returns the time of day in Unix milliseconds less the time since
// boot.
func WallOffset() int64 { return time.Now().UnixMilli() - SinceBoot().Milliseconds() }
