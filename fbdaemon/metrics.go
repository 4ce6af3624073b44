package fbdaemon

import "github.com/uber-go/tally/v4"

// counters are the daemon's counters of messages.
type counters struct {
	forwards      tally.Counter
	heartbeats    tally.Counter
	viewReads     tally.Counter
	viewQuestions tally.Counter
}

func newCounters(s tally.Scope) counters {
	return counters{
		forwards:      s.Counter("forwards"),
		heartbeats:    s.Counter("heartbeats"),
		viewReads:     s.Counter("view_reads"),
		viewQuestions: s.Counter("view_questions"),
	}
}
