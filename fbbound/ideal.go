package fbbound

import "time"

// Ideal returns the shortest response time that the job could have had alone: the
// run time of its longest task on the fastest target that serves it, plus one
// round trip. It returns false if no target serves the job.
func Ideal(j Job, targets []Target, rtt time.Duration) (time.Duration, bool) {
	fastest, found := 0.0, false
	for _, t := range targets {
		if t.slots > 0 && t.Serves(j.service) && (!found || t.factor < fastest) {
			fastest, found = t.factor, true
		}
	}
	return time.Duration(float64(j.longest())*fastest) + rtt, found
}

// LowerBound returns a lower bound of the job's response time that also accounts
// for the total work of the job: no schedule finishes the job before all targets
// together could have done its work. It returns false if no target serves the
// job.
func LowerBound(j Job, targets []Target, rtt time.Duration) (time.Duration, bool) {
	ideal, found := Ideal(j, targets, rtt)
	if !found {
		return 0, false
	}
	workBound := time.Duration(float64(j.Work())/Capacity(j.service, targets)) + rtt
	return max(ideal, workBound), true
}
