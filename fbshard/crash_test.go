package fbshard

import (
	"testing"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// TestCrashesUnderTaskSurviveRestartOfAllDaemons checks that the next owner of a shard resumes
// a job with the number of targets that have crashed under its tasks, and ends one whose task
// was given up.
func TestCrashesUnderTaskSurviveRestartOfAllDaemons(t *testing.T) {
	for name, tt := range map[string]struct {
		progress fbsched.Progress
		state    State
		resumed  bool
	}{
		"one crash":     {progress: fbsched.NewProgress(false, 0).WithCrashes(1), state: StateQueued, resumed: true},
		"refuted crash": {progress: fbsched.NewProgress(false, 0).WithCrashes(1).WithRefutedCrashes(1), state: StateQueued, resumed: true},
		"given up":      {progress: fbsched.NewProgress(false, 0).WithCrashes(2).WithFailed(), state: StateFailed},
	} {
		t.Run(name, func(t *testing.T) {
			first := New("jobs/0", "a", 1)
			j := newJob(testRoute, testJob(1))
			j.version = 5
			key := j.workload.Key()
			first.phase, first.jobs[key] = phaseServing, j
			task := filbertford.NewTaskKey(key, 0, 0, 0)
			first.RecordTask(task, tt.progress)
			row, err := encodeJob(first.jobs[key])
			if err != nil {
				t.Fatal(err)
			}
			back, err := decodeJob(key, row)
			if err != nil {
				t.Fatal(err)
			}
			next := New("jobs/0", "b", 2)
			next.loadJob(key, back)
			resumed, ended := false, false
			for _, a := range next.TakeActions() {
				switch v := a.(type) {
				case StartJob:
					p := v.Progress(0, 0)
					resumed = v.MayBeRunning && p.Crashes() == tt.progress.Crashes() && p.RefutedCrashes() == tt.progress.RefutedCrashes()
				case CancelJob:
					ended = true
				}
			}
			if back.state != tt.state || resumed != tt.resumed || ended == tt.resumed {
				t.Errorf("state %s, resumed with the count %v, ended %v; want %s, %v, %v", back.state, resumed, ended, tt.state, tt.resumed, !tt.resumed)
			}
		})
	}
}
