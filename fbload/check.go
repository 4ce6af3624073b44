package fbload

import (
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

// needless are the names of the counters of messages of the daemons that no job
// needs. Starts, refusals, stops and renewals come from the targets' counts,
// and reads of the platform from its own.
var needless = []string{"forwards", "heartbeats", "view_questions", "settings_pushes", "settings_pulls", platformCounter}

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
	for _, name := range needless {
		if n, ok := r.daemons[name]; ok {
			w.Wasted[name] = n
		}
	}
	var wasted float64
	for _, n := range w.Wasted {
		wasted += n
	}
	if len(r.jobs) > 0 {
		w.WastedPerJob = wasted / float64(len(r.jobs))
	}
	if all := wasted + w.Needed; all > 0 {
		w.WastedPercent = 100 * wasted / all
	}
	w.Daemons = r.daemons
	return w
}
