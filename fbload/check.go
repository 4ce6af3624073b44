package fbload

import (
	"slices"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
)

// checkStarts compares the targets' counts of started work with the answers to
// the jobs.
func (r *runner) checkStarts() startsJSON {
	var w startsJSON
	for i, j := range r.jobs {
		code := r.outcomes[i].answer.Code()
		for n := range j.tasks {
			work := r.workID(i, n)
			started := r.startsByWork[work]
			w.Tasks += started
			switch {
			case started > 1:
				w.StartedTwice++
				fbevent.DoubleStart.Log(r.logger, "work", work, "starts", started, "code", code)
			case started == 0 && code == filbertford.CodeComplete:
				w.MissingOfComplete++
			case started > 0 && reportedNotRun(r.outcomes[i]):
				w.StartedThoughNotRun++
			}
		}
	}
	return w
}

// reportedNotRun reports whether the outcome says that no task of the job ran: the
// job was refused as a whole, its only delivery under each ID started no task,
// or it was never sent.
func reportedNotRun(o outcome) bool {
	switch {
	case o.answer.Code() == "":
		return o.deliveries == 0
	case o.answer.Code().Class() == filbertford.ClassNotRun:
		return true
	default:
		return o.answer.Code().Class() == filbertford.ClassNotStarted && o.deliveries == o.ids
	}
}

// controlCounters are the names of the counters of lease renewals and of messages
// that daemons send even without jobs. Requests to the platform are counted by
// the platform itself.
var controlCounters = []string{"heartbeats", "view_questions", "settings_pushes", "settings_pulls", "renewals", platformCounter}

// countMessages counts requests by kind. A job needs one delivery, and its tasks
// need the starts that the targets counted; every other message is wasted.
func (r *runner) countMessages() messagesJSON {
	w := messagesJSON{Wasted: make(map[string]float64)}
	for _, o := range r.outcomes {
		w.Deliveries += float64(o.deliveries)
		w.Needed += float64(min(o.deliveries, 1))
		w.Wasted["resubmissions"] += float64(max(o.deliveries-1, 0))
	}
	w.Starts = r.targetCounts["starts"]
	w.Needed += w.Starts
	w.Wasted["no_slot"] = r.targetCounts["refusals"]
	w.Wasted["stops"] = r.targetCounts["stops"]
	w.Wasted["renewals"] = r.targetCounts["renewals"]
	w.Wasted["forwards"] = r.daemonCounts["forwards"]
	var wasted, wastedByJobs float64
	for name, n := range r.daemonCounts {
		if slices.Contains(controlCounters, name) {
			w.Wasted[name] = n
		}
	}
	for name, n := range w.Wasted {
		wasted += n
		if !slices.Contains(controlCounters, name) {
			wastedByJobs += n
		}
	}
	if len(r.jobs) > 0 {
		w.WastedPerJob = wasted / float64(len(r.jobs))
	}
	if total := wasted + w.Needed; total > 0 {
		w.WastedPercent = 100 * wasted / total
		w.WastedByJobsPercent = 100 * wastedByJobs / total
	}
	w.Daemons = r.daemonCounts
	return w
}
