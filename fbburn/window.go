package fbburn

import "time"

// Window is a time up to now over which answers are counted.
type Window string

// The windows.
const (
	Window5m  Window = "5m"
	Window30m Window = "30m"
	Window1h  Window = "1h"
	Window6h  Window = "6h"
	Window3d  Window = "3d"
)

// windowLengths holds the lengths of the windows.
var windowLengths = map[Window]time.Duration{
	Window5m:  5 * time.Minute,
	Window30m: 30 * time.Minute,
	Window1h:  time.Hour,
	Window6h:  6 * time.Hour,
	Window3d:  72 * time.Hour,
}

// Windows returns all windows, the shortest first.
func Windows() []Window {
	return []Window{Window5m, Window30m, Window1h, Window6h, Window3d}
}

// Length returns the length of the window, 0 if there is no such window.
func (w Window) Length() time.Duration { return windowLengths[w] }

// Verdict tells how urgent a service's burn is.
type Verdict string

// The verdicts.
const (
	// VerdictPage means that the budget of a month is gone within days: look
	// now.
	VerdictPage Verdict = "page"
	// VerdictTicket means that the budget is used up faster than allowed: look
	// during working hours.
	VerdictTicket Verdict = "ticket"
	// VerdictOK means that nothing burns.
	VerdictOK Verdict = "ok"
	// VerdictNone means that there is no objective, or no answer that counts.
	VerdictNone Verdict = "none"
)

// The thresholds of the burn rates.
const (
	// FastBurnRate uses 2 % of the budget of 30 days in an hour.
	FastBurnRate = 14.4
	// SlowBurnRate uses 5 % of the budget of 30 days in six hours.
	SlowBurnRate = 6.0
	// SustainableBurnRate uses the budget exactly.
	SustainableBurnRate = 1.0
)

// alert is a pair of windows that must both burn. The short one ends the alert
// soon after the service has recovered.
type alert struct {
	long, short Window
	burnRate    float64
	verdict     Verdict
}

// alerts holds the alerts, the most urgent first.
var alerts = []alert{
	{Window1h, Window5m, FastBurnRate, VerdictPage},
	{Window6h, Window30m, SlowBurnRate, VerdictPage},
	{Window3d, Window6h, SustainableBurnRate, VerdictTicket},
}
