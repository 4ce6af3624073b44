package fbload

import (
	"slices"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
)

// checkStarts compares the targets' counts of started work with the answers.
func (r *runner) checkStarts() wireStarts {
	var w wireStarts
	for i, j := range r.jobs {
		code := r.outcomes[i].answer.Code()
		for n := range j.tasks {
			work := r.work(i, n)
			started := r.works[work]
			w.Tasks += started
			switch {
			case started > 1:
				w.Doubled++
				fbevent.DoubleStart.Log(r.logger, "work", work, "starts", started, "code", code)
			case started == 0 && code == filbertford.CodeComplete:
				w.Missing++
			case started > 0 && saysNotRun(r.outcomes[i]):
				w.Untrue++
			}
		}
	}
	return w
}

// saysNotRun reports whether the caller knows that nothing of the job ran: it
// was refused as a whole, or its only delivery started nothing, or none left.
func saysNotRun(o outcome) bool {
	switch {
	case o.answer.Code() == "":
		return o.deliveries == 0
	case o.answer.Code().Class() == filbertford.ClassNotRun:
		return true
	default:
		return o.answer.Code().Class() == filbertford.ClassNotStarted && o.deliveries == o.ids
	}
}

// control are the names of the counters of messages that daemons send whether or
// not there are jobs, and renewals. Reads of the platform come from its own
// count.
var control = []string{"heartbeats", "view_questions", "settings_pushes", "settings_pulls", "renewals", platformCounter}

// countMessages counts requests by kind. A job needs one delivery and one start
// for each of its tasks; everything else is wasted.
func (r *runner) countMessages() wireMessages {
	w := wireMessages{Wasted: make(map[string]float64)}
	for _, o := range r.outcomes {
		w.Deliveries += float64(o.deliveries)
		w.Needed += float64(min(o.deliveries, 1))
		w.Wasted["resubmissions"] += float64(max(o.deliveries-1, 0))
	}
	w.Starts = r.messages["starts"]
	w.Needed += w.Starts
	w.Wasted["no_slot"] = r.messages["refusals"]
	w.Wasted["stops"] = r.messages["stops"]
	w.Wasted["renewals"] = r.messages["renewals"]
	w.Wasted["forwards"] = r.daemons["forwards"]
	var wasted, byJobs float64
	for name, n := range r.daemons {
		if slices.Contains(control, name) {
			w.Wasted[name] = n
		}
	}
	for name, n := range w.Wasted {
		wasted += n
		if !slices.Contains(control, name) {
			byJobs += n
		}
	}
	if len(r.jobs) > 0 {
		w.WastedPerJob = wasted / float64(len(r.jobs))
	}
	if all := wasted + w.Needed; all > 0 {
		w.WastedPercent = 100 * wasted / all
		w.ByJobsPercent = 100 * byJobs / all
	}
	w.Daemons = r.daemons
	return w
}
