package fbsched

// crashCount is how many targets have crashed under a task, as far as is known. A target whose record was removed counts
// until it replies again. Both numbers only grow: of two counts of a task, the higher numbers are the later ones.
type crashCount struct {
	counted int // targets that have counted as crashed
	refuted int // those of them that have turned out not to have crashed
}

func (c crashCount) merge(o crashCount) crashCount {
	return crashCount{counted: max(c.counted, o.counted), refuted: max(c.refuted, o.refuted)}
}

// crashes returns the number of targets that count as crashed.
func (c crashCount) crashes() int { return max(0, c.counted-c.refuted) }

// withCrashCount returns a copy of i for a task with the count.
func (i Item) withCrashCount(c crashCount) Item {
	i.crashes = c
	return i
}

// WithCrashes returns a copy of i for a task under which so many targets have counted as crashed.
func (i Item) WithCrashes(n int) Item {
	i.crashes.counted = n
	return i
}

// WithRefutedCrashes returns a copy of i for a task with so many crashes that have turned out not to be any.
func (i Item) WithRefutedCrashes(n int) Item {
	i.crashes.refuted = n
	return i
}

// Crashes returns how many targets have counted as crashed under the task.
func (i Item) Crashes() int { return i.crashes.counted }

// RefutedCrashes returns how many of them have turned out not to have crashed.
func (i Item) RefutedCrashes() int { return i.crashes.refuted }

// withCrashCount returns a copy of r for a task with the count.
func (r Report) withCrashCount(c crashCount) Report {
	r.crashes = c
	return r
}

// WithCrashes returns a copy of r for a task under which so many targets have counted as crashed.
func (r Report) WithCrashes(n int) Report {
	r.crashes.counted = n
	return r
}

// WithRefutedCrashes returns a copy of r for a task with so many crashes that have turned out not to be any.
func (r Report) WithRefutedCrashes(n int) Report {
	r.crashes.refuted = n
	return r
}

// Crashes returns how many targets have counted as crashed under the task.
func (r Report) Crashes() int { return r.crashes.counted }

// RefutedCrashes returns how many of them have turned out not to have crashed.
func (r Report) RefutedCrashes() int { return r.crashes.refuted }

// WithCrashes returns a copy of p for a task under which so many targets have counted as crashed.
func (p Progress) WithCrashes(n int) Progress {
	p.crashes.counted = n
	return p
}

// WithRefutedCrashes returns a copy of p for a task with so many crashes that have turned out not to be any.
func (p Progress) WithRefutedCrashes(n int) Progress {
	p.crashes.refuted = n
	return p
}

// Crashes returns how many targets have counted as crashed under the task.
func (p Progress) Crashes() int { return p.crashes.counted }

// RefutedCrashes returns how many of them have turned out not to have crashed.
func (p Progress) RefutedCrashes() int { return p.crashes.refuted }
