package fbbound

import "time"

// Ideal returns the least response time that the job could have had alone: its
// longest task on the fastest target that serves it, plus one round trip. It
// is false if no target serves the job.
func Ideal(j Job, targets []Target, rtt time.Duration) (time.Duration, bool) {
	fastest, found := 0.0, false
	for _, t := range targets {
		if t.slots > 0 && t.Serves(j.service) && (!found || t.factor < fastest) {
			fastest, found = t.factor, true
		}
	}
	return time.Duration(float64(j.longest())*fastest) + rtt, found
}

// LowerBound returns a lower bound that also counts the job's own work: no schedule
// ends before all targets together could have done it. It is false if no
// target serves the job.
func LowerBound(j Job, targets []Target, rtt time.Duration) (time.Duration, bool) {
	ideal, found := Ideal(j, targets, rtt)
	if !found {
		return 0, false
	}
	workBound := time.Duration(float64(j.Work())/Capacity(j.service, targets)) + rtt
	return max(ideal, workBound), true
}
