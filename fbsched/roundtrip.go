package fbsched

import (
	"slices"
	"time"
)

// Limits of the timeout of start and stop requests.
const (
	// minCallTimeout is the timeout while round trips are short: many times the round
	// trip between data centres, and short compared with a task.
	minCallTimeout = 40 * time.Millisecond
	// maxCallTimeout bounds the timeout. A target that doesn't answer at all must be
	// noticed while its tasks can still be started elsewhere in time.
	maxCallTimeout = 400 * time.Millisecond
	// callTimeoutFactor is the ratio of the timeout to the upper quartile of the recent
	// round trips.
	callTimeoutFactor = 4
	// roundTripSamples is the number of recent round trips that count.
	roundTripSamples = 31
	// pollMargin is the minimum time that a target has to reply to a poll after its
	// wait, maxPollMargin the maximum: a reply must arrive before the lease that the
	// poll extends has expired.
	pollMargin    = 250 * time.Millisecond
	maxPollMargin = 500 * time.Millisecond
)

// roundTrips derives the timeout of calls from the recent round trips to all targets of
// a pool. When the link of the pool's owner is congested, packets to all targets wait, and
// calls that are given up and repeated would add to the congestion. A few targets that are
// slow don't affect the quartile.
type roundTrips struct {
	samples []time.Duration
	next    int // index of the oldest sample
	timeout time.Duration
}

func newRoundTrips() *roundTrips { return &roundTrips{timeout: minCallTimeout} }

// observe adds the round trip of a call that the target answered, if late.
func (r *roundTrips) observe(d time.Duration) {
	if len(r.samples) < roundTripSamples {
		r.samples = append(r.samples, d)
	} else {
		r.samples[r.next] = d
		r.next = (r.next + 1) % roundTripSamples
	}
	sorted := slices.Clone(r.samples)
	slices.Sort(sorted)
	quartile := sorted[len(sorted)*3/4]
	r.timeout = min(max(callTimeoutFactor*quartile, minCallTimeout), maxCallTimeout)
}

// callTimeout returns the time after which a start or stop request counts as
// unanswered.
func (r *roundTrips) callTimeout() time.Duration { return r.timeout }

// overdueMargin returns how long after the expected end of a run another poll is sent: a
// few round trips.
func (r *roundTrips) overdueMargin() time.Duration { return r.timeout / 2 }

// pollTimeout returns the timeout of a poll that the target may hold for the wait.
func (r *roundTrips) pollTimeout(wait time.Duration) time.Duration {
	return wait + min(max(2*r.timeout, pollMargin), maxPollMargin)
}
