package fbtimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine's boot, including the time in
// which it was suspended. Go's monotonic clock does not count that time, so it
// must not be used for leases.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("fbtimer: reading the boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// WallOffset returns the wall clock time in Unix milliseconds less the time since
// boot in milliseconds.
func WallOffset() int64 { return time.Now().UnixMilli() - SinceBoot().Milliseconds() }
