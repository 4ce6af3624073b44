package fbsched

import "time"

// maxClockDrift is the most by which a target's clock runs slow, as the platform
// states it, and fast alike.
const maxClockDrift = 0.02

// targetClock estimates a target's steady clock from the answers to calls.
type targetClock struct {
	known    bool
	reading  int64
	sent     time.Duration
	received time.Duration
}

// update takes in the time in milliseconds that an answer showed to a call that
// was sent and received at the given local times.
func (c *targetClock) update(reading int64, sent, received time.Duration) {
	if reading == 0 || (c.known && received < c.received) {
		return
	}
	*c = targetClock{known: true, reading: reading, sent: sent, received: received}
}

// estimate returns the likely time in milliseconds at the local time now.
func (c *targetClock) estimate(now time.Duration) int64 {
	midpoint := (c.sent + c.received) / 2
	return c.reading + (now - midpoint).Milliseconds()
}

// earliest returns the earliest time in milliseconds that the clock can show at
// the local time now.
func (c *targetClock) earliest(now time.Duration) int64 {
	elapsed := max(0, now-c.received)
	return c.reading + time.Duration(float64(elapsed)*(1-maxClockDrift)).Milliseconds()
}
