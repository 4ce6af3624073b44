package fbnode

import (
	"slices"

	"github.com/filbertford/filbertford"
)

// storedEnds are the ends of a stored task's runs.
type storedEnds struct {
	done       []uint64 // numbers of the runs that ended done
	doneNoted  bool     // a daemon has acknowledged an end done
	again      string   // the first start after an end done
	doneBefore []uint64 // the runs that had ended done before that start
	failed     int      // acknowledged ends failed
	violations int
}

// noteEnd keeps an end on a target until it is acknowledged. An end that is acknowledged after the
// target's lease has lapsed doesn't count.
func (t *simTarget) noteEnd(e filbertford.EndedRun) {
	if t.sim.further.enabled && t.sim.stored.jobs[e.Task().Job()] != nil {
		t.unnoted = append(t.unnoted, e)
		if e.Outcome() == filbertford.RunDone {
			ends := t.sim.endsOf(e.Task())
			ends.done = append(ends.done, e.Run())
		}
	}
}

func (s *fleetSim) endsOf(key filbertford.TaskKey) *storedEnds {
	if s.further.ends[key] == nil {
		s.further.ends[key] = &storedEnds{}
	}
	return s.further.ends[key]
}

// forgetAfterLapse drops the ends of runs that don't count when they are acknowledged.
func (t *simTarget) forgetAfterLapse() {
	if t.clock() > t.lease {
		t.unnoted = nil
	}
}

// acknowledge counts the ends up to a sequence number as known to the daemons.
func (t *simTarget) acknowledge(daemon string, upTo uint64) {
	t.forgetAfterLapse()
	for len(t.unnoted) > 0 && t.unnoted[0].Sequence() <= upTo {
		e := t.unnoted[0]
		t.unnoted = t.unnoted[1:]
		ends := t.sim.endsOf(e.Task())
		t.sim.logf("%s acknowledges the end %s of %s on %s", daemon, e.Outcome(), e.Task(), t.id())
		switch e.Outcome() {
		case filbertford.RunDone:
			ends.doneNoted = true
			if slices.Contains(ends.doneBefore, e.Run()) {
				t.sim.reportEnds(ends, "AGAIN", "%s was started on %s after a run had ended done, which %s acknowledges", e.Task(), ends.again, daemon)
			}
		case filbertford.RunFailed:
			ends.failed++
		}
	}
}

// checkStart reports a start of a stored task that is known to be done or to have no attempt left.
func (s *fleetSim) checkStart(key filbertford.TaskKey, where string) {
	if !s.further.enabled || s.stored.jobs[key.Job()] == nil {
		return
	}
	ends := s.endsOf(key)
	if len(ends.done) > 0 && ends.again == "" {
		ends.again, ends.doneBefore = where, slices.Clone(ends.done)
	}
	if ends.doneNoted {
		s.reportEnds(ends, "AGAIN", "%s started on %s after an acknowledged end done", key, where)
	}
	if attempts := storedRoute.Attempts(); ends.failed >= attempts {
		s.reportEnds(ends, "BUDGET", "%s started on %s after %d failed runs of %d", key, where, ends.failed, attempts)
	}
}

// reportEnds reports a violation once for each task.
func (s *fleetSim) reportEnds(ends *storedEnds, kind, format string, args ...any) {
	if ends.violations++; ends.violations == 1 {
		s.violation(kind, format, args...)
	}
}
