package fbview

import (
	"fmt"
	"math"
	"time"
)

// Defaults of Options.
const (
	DefaultPeriod     = 12 * time.Second
	DefaultHorizon    = 10 * time.Minute
	DefaultSkew       = 30 * time.Second
	DefaultClockError = time.Second
	DefaultSettleTime = 2 * time.Second
)

// DefaultDrift is the default of the largest drift between two daemons' clocks,
// as a fraction of the elapsed time.
const DefaultDrift = 0.02

// Limits of Options.
const (
	MinPeriod  = 10 * time.Millisecond
	MaxPeriod  = 10 * time.Minute
	MaxHorizon = 7 * 24 * time.Hour
)

// Options are the durations and the clock drift that a view assumes. All daemons
// of a data centre must use the same drift, horizon, skew and clock error. The
// lease period may differ: the row holds the one in force.
type Options struct {
	period     time.Duration
	drift      float64
	horizon    time.Duration
	skew       time.Duration
	clockError time.Duration
	settleTime time.Duration
}

// NewOptions returns the default options.
func NewOptions() Options {
	return Options{
		period:     DefaultPeriod,
		drift:      DefaultDrift,
		horizon:    DefaultHorizon,
		skew:       DefaultSkew,
		clockError: DefaultClockError,
		settleTime: DefaultSettleTime,
	}
}

// WithPeriod returns a copy of o with the lease period of the views that this
// daemon commits, clamped to the range from MinPeriod to MaxPeriod, since
// ParseRow rejects a row outside it. A lease lasts for that period from the time
// at which its confirmation was requested.
func (o Options) WithPeriod(period time.Duration) Options {
	o.period = min(max(period.Round(time.Millisecond), MinPeriod), MaxPeriod)
	return o
}

// WithDrift returns a copy of o with the largest drift between two daemons'
// clocks, as a fraction of the elapsed time.
func (o Options) WithDrift(rate float64) Options {
	o.drift = rate
	return o
}

// WithHorizon returns a copy of o with the time after which a caller no longer
// resubmits a key.
func (o Options) WithHorizon(d time.Duration) Options {
	o.horizon = d
	return o
}

// WithSkew returns a copy of o with the skew, by which a caller's clock may be
// ahead, and the clock error, by which the clocks of two daemons may differ.
func (o Options) WithSkew(skew, clockError time.Duration) Options {
	o.skew, o.clockError = skew, clockError
	return o
}

// WithSettleTime returns a copy of o with the time for which a change of the live
// daemons must last before a new view is committed.
func (o Options) WithSettleTime(d time.Duration) Options {
	o.settleTime = d
	return o
}

// Period returns the lease period.
func (o Options) Period() time.Duration { return o.period }

// Horizon returns the time after which a caller no longer resubmits a key.
func (o Options) Horizon() time.Duration { return o.horizon }

// Validate returns an error that names the first option that is out of range.
func (o Options) Validate() error {
	checks := []struct {
		name        string
		d, min, max time.Duration
	}{
		{"period", o.period, MinPeriod, MaxPeriod},
		{"horizon", o.horizon, o.period, MaxHorizon},
		{"skew", o.skew, 0, o.horizon},
		{"clock error", o.clockError, 0, o.horizon},
		{"settle", o.settleTime, 0, MaxPeriod},
	}
	for _, c := range checks {
		if c.d < c.min || c.d > c.max {
			return fmt.Errorf("view %s %v, want %v to %v", c.name, c.d, c.min, c.max)
		}
	}
	if !(o.drift >= 0 && o.drift <= 1) {
		return fmt.Errorf("view drift %v, want 0 to 1", o.drift)
	}
	return nil
}

// addDrift returns how long to wait by this daemon's clock so that d has passed
// by every other daemon's clock.
func (o Options) addDrift(d time.Duration) time.Duration {
	return d + time.Duration(math.Ceil(float64(d)*o.drift))
}
