package fbsched

import "time"

// rateError is the most by which a target's clock runs slow, as the platform
// states it, and fast alike.
const rateError = 0.02

// clock estimates a target's steady clock from the answers to calls.
type clock struct {
	known    bool
	shown    int64
	sent     time.Duration
	received time.Duration
}

// set takes in the time in milliseconds that an answer showed to a call that
// was sent and received at the given local times.
func (c *clock) set(shown int64, sent, received time.Duration) {
	if shown == 0 || (c.known && received < c.received) {
		return
	}
	*c = clock{known: true, shown: shown, sent: sent, received: received}
}

// at returns the likely time in milliseconds at the local time now.
func (c *clock) at(now time.Duration) int64 {
	middle := (c.sent + c.received) / 2
	return c.shown + (now - middle).Milliseconds()
}

// surely returns the earliest time in milliseconds that the clock can show at
// the local time now.
func (c *clock) surely(now time.Duration) int64 {
	past := max(0, now-c.received)
	return c.shown + time.Duration(float64(past)*(1-rateError)).Milliseconds()
}
