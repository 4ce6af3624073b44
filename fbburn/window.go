package fbburn

import "time"

// Window is a period up to now over which answers are counted.
type Window string

// Windows for which counts are kept.
const (
	Window5m  Window = "5m"
	Window30m Window = "30m"
	Window1h  Window = "1h"
	Window6h  Window = "6h"
	Window3d  Window = "3d"
)

// windowLengths maps each window to its length.
var windowLengths = map[Window]time.Duration{
	Window5m:  5 * time.Minute,
	Window30m: 30 * time.Minute,
	Window1h:  time.Hour,
	Window6h:  6 * time.Hour,
	Window3d:  72 * time.Hour,
}

// Windows returns all windows, shortest first.
func Windows() []Window {
	return []Window{Window5m, Window30m, Window1h, Window6h, Window3d}
}

// Length returns the length of the window, or 0 if the window is unknown.
func (w Window) Length() time.Duration { return windowLengths[w] }

// Verdict states how urgent the burn rates of a service are.
type Verdict string

// Verdicts, most urgent first.
const (
	// VerdictPage means that the budget of a month would be used up within days:
	// an operator must act now.
	VerdictPage Verdict = "page"
	// VerdictTicket means that the budget is used up faster than allowed: an
	// operator must act during working hours.
	VerdictTicket Verdict = "ticket"
	// VerdictOK means that no alert applies.
	VerdictOK Verdict = "ok"
	// VerdictNone means that there is no objective or no counted answer.
	VerdictNone Verdict = "none"
)

// Thresholds of burn rates.
const (
	// FastBurnRate uses 2 % of the budget of 30 days in an hour.
	FastBurnRate = 14.4
	// SlowBurnRate uses 5 % of the budget of 30 days in six hours.
	SlowBurnRate = 6.0
	// SustainableBurnRate uses up the budget of 30 days in exactly 30 days.
	SustainableBurnRate = 1.0
)

// alert applies if the burn rates over both of its windows are at least burnRate.
// The short window ends the alert soon after the service has recovered.
type alert struct {
	long, short Window
	burnRate    float64
	verdict     Verdict
}

// alerts lists the alerts, most urgent first.
var alerts = []alert{
	{Window1h, Window5m, FastBurnRate, VerdictPage},
	{Window6h, Window30m, SlowBurnRate, VerdictPage},
	{Window3d, Window6h, SustainableBurnRate, VerdictTicket},
}
