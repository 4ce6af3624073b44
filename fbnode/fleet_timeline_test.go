package fbnode

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

const (
	// timelineTasks is the number of tasks, each of another job, whose timelines are printed for a seed.
	timelineTasks = 2
	// timelineLead is how long before the first event of its job a timeline begins.
	timelineLead = time.Second
)

var taskPattern = regexp.MustCompile(`[0-9a-f]{16}(\.\d+\.\d+\.\d+)?`)

// simLine is an event that a simulation has logged.
type simLine struct {
	at   time.Duration
	text string
}

func (l simLine) String() string { return fmt.Sprintf("%v %s", l.at, l.text) }

// reportViolations fails the test for each violation of the simulation s that play has returned.
// It prints the timelines of the tasks concerned, for which it plays the simulation again if s has
// not logged its events.
func reportViolations(t *testing.T, seed uint64, s *fleetSim, play func(trace bool) *fleetSim) {
	t.Helper()
	if s.trace {
		for _, line := range s.lines {
			fmt.Println(line)
		}
	}
	if len(s.violations) == 0 {
		return
	}
	for _, v := range s.violations {
		t.Errorf("seed %d: %s", seed, v)
	}
	traced := s
	if !s.trace {
		if traced = play(true); !slices.Equal(traced.violations, s.violations) {
			t.Errorf("seed %d: played again, it has other violations: %q", seed, traced.violations)
		}
	}
	var tasks []string
	for _, v := range traced.violations {
		task := taskPattern.FindString(v)
		job, _, _ := strings.Cut(task, ".")
		if task != "" && len(tasks) < timelineTasks && !slices.ContainsFunc(tasks, func(other string) bool { return strings.HasPrefix(other, job) }) {
			tasks = append(tasks, task)
		}
	}
	for _, task := range tasks {
		t.Logf("seed %d: timeline of %s:\n%s", seed, task, strings.Join(traced.timeline(task), "\n"))
	}
}

// timeline returns what happened to a task or a job: the events that name it, the faults, and the
// other events of the daemons and targets that those events name.
func (s *fleetSim) timeline(task string) []string {
	job, _, isTask := strings.Cut(task, ".")
	concerned := regexp.MustCompile(`\b` + regexp.QuoteMeta(job) + `\b`)
	otherTask := regexp.MustCompile(`\b` + regexp.QuoteMeta(job) + `\.\d+\.\d+\.\d+\b`)
	names := func(text string) bool {
		found := otherTask.FindString(text)
		return concerned.MatchString(text) && (!isTask || found == "" || found == task)
	}
	var first, last time.Duration
	participants := make(map[string]bool)
	for _, l := range s.lines {
		if !names(l.text) {
			continue
		}
		if len(participants) == 0 {
			first = l.at
		}
		last = l.at
		for name := range s.namesIn(l.text) {
			participants[name] = true
		}
	}
	var out []string
	for _, l := range s.lines {
		inTime := l.at >= first-timelineLead && l.at <= last
		switch {
		case names(l.text), strings.HasPrefix(l.text, "fault:") && l.at <= last:
		case !inTime, s.namesJob(l.text), namesOtherShard(l.text, filbertford.JobKey(job)), !isSubset(s.namesIn(l.text), participants):
			continue
		}
		out = append(out, l.String())
	}
	return out
}

// namesIn returns the daemons and the targets that a line names.
func (s *fleetSim) namesIn(text string) map[string]bool {
	out := make(map[string]bool)
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return r == ' ' || r == ',' || r == ';' }) {
		if _, ok := s.members[filbertford.NodeID(word)]; ok || s.hasTarget(word) {
			out[word] = true
		}
	}
	return out
}

func (s *fleetSim) hasTarget(id string) bool {
	return slices.ContainsFunc(s.targets, func(t *simTarget) bool {
		return t.id() == id || s.stored != nil && s.stored.renamed[filbertford.TargetID(id)] == t
	})
}

// namesJob reports whether a line names any job.
func (s *fleetSim) namesJob(text string) bool {
	return slices.ContainsFunc(strings.FieldsFunc(text, func(r rune) bool { return r == ' ' || r == '.' || r == ':' }), func(word string) bool {
		_, ok := s.durations[filbertford.JobKey(word)]
		return ok
	})
}

func namesOtherShard(text string, job filbertford.JobKey) bool {
	return slices.ContainsFunc(strings.Fields(text), func(word string) bool {
		return isShard(filbertford.PoolID(word)) && filbertford.PoolID(word) != shardOf(job)
	})
}

func isSubset(names, of map[string]bool) bool {
	for name := range names {
		if !of[name] {
			return false
		}
	}
	return true
}

// printTimelinesOnFailure makes a test print the timelines of all its jobs if it fails.
func (s *fleetSim) printTimelinesOnFailure(t *testing.T) {
	s.trace = true
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		for _, job := range slices.Sorted(maps.Keys(s.durations)) {
			t.Logf("timeline of %s:\n%s", job, strings.Join(s.timeline(string(job)), "\n"))
		}
	})
}

// TestTimelineShowsTask guards against timelines that leave out the events of the task, or that show
// those of others.
func TestTimelineShowsTask(t *testing.T) {
	s := newQuietFleet(t, 2, 2, 4, "casa", "rabat")
	s.submit("casa-1", "00000000000000a1", 2, 50*time.Millisecond, 9*time.Second)
	s.submit("rabat-0", "00000000000000a2", 1, 50*time.Millisecond, 9*time.Second)
	s.advance(time.Second)
	lines := strings.Join(s.timeline("00000000000000a1.0.0.1"), "\n")
	for want, n := range map[string]int{
		"caller sends 00000000000000a1 to casa-1": 1, "00000000000000a1.0.0.1 started on casa-t": 1, "caller of 00000000000000a1 is answered": 1,
		"00000000000000a1.0.0.0": 0, "00000000000000a2": 0,
	} {
		if got := strings.Count(lines, want); got != n {
			t.Errorf("%q is shown %d times, want %d:\n%s", want, got, n, lines)
		}
	}
}
