package fbsched

import "time"

// maxClockDrift is the largest rate error of a target's clock, slow or fast, that
// the platform specifies.
const maxClockDrift = 0.02

// targetClock estimates a target's monotonic clock from the replies to calls. It holds
// the last reading in milliseconds, and the local times at which the call was sent and
// its reply received.
type targetClock struct {
	known    bool
	reading  int64
	sent     time.Duration
	received time.Duration
}

// update records the clock reading, in milliseconds, from the reply to a call that
// was sent and received at the given local times. It ignores a reading of 0 and
// replies older than the recorded one.
func (c *targetClock) update(reading int64, sent, received time.Duration) {
	if reading == 0 || (c.known && received < c.received) {
		return
	}
	*c = targetClock{known: true, reading: reading, sent: sent, received: received}
}

// estimate returns the most likely reading, in milliseconds, at the local time now.
func (c *targetClock) estimate(now time.Duration) int64 {
	midpoint := (c.sent + c.received) / 2
	return c.reading + (now - midpoint).Milliseconds()
}

// earliest returns the lowest reading, in milliseconds, that is possible at the
// local time now.
func (c *targetClock) earliest(now time.Duration) int64 {
	elapsed := max(0, now-c.received)
	return c.reading + time.Duration(float64(elapsed)*(1-maxClockDrift)).Milliseconds()
}

// maxElapsed returns the longest time in which a target's clock may advance by d.
func maxElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}
