package fbstandin

// TargetCounters are what a target counts.
type TargetCounters struct {
	starts       int
	repeats      int
	refusals     int
	stops        int
	renewals     int
	running      int
	startsByWork map[string]int
}

// Starts returns how many tasks were started.
func (c TargetCounters) Starts() int { return c.starts }

// Repeats returns how many starts carried an ID that had started before.
func (c TargetCounters) Repeats() int { return c.repeats }

// Refusals returns how many starts were refused.
func (c TargetCounters) Refusals() int { return c.refusals }

// Stops returns how many stop messages came.
func (c TargetCounters) Stops() int { return c.stops }

// Renewals returns how many lease renewals came.
func (c TargetCounters) Renewals() int { return c.renewals }

// Running returns how many tasks run.
func (c TargetCounters) Running() int { return c.running }

// StartsByWork returns how many times each value of "work" was started.
func (c TargetCounters) StartsByWork() map[string]int { return c.startsByWork }

// PlatformCounters are what the platform counts.
type PlatformCounters struct {
	reads        int
	writes       int
	conflicts    int
	objectReads  int
	objectWrites int
	vmReads      int
	delayed      int
}

// Reads returns how many reads the table service has answered.
func (c PlatformCounters) Reads() int { return c.reads }

// Writes returns how many commits have taken effect.
func (c PlatformCounters) Writes() int { return c.writes }

// Conflicts returns how many commits were refused for a version.
func (c PlatformCounters) Conflicts() int { return c.conflicts }

// ObjectReads returns how many objects were asked for.
func (c PlatformCounters) ObjectReads() int { return c.objectReads }

// ObjectWrites returns how many objects were stored.
func (c PlatformCounters) ObjectWrites() int { return c.objectWrites }

// VMReads returns how many times the VM list was asked for.
func (c PlatformCounters) VMReads() int { return c.vmReads }

// Delayed returns how many requests wait out a delay.
func (c PlatformCounters) Delayed() int { return c.delayed }

func (p *Platform) addDelayed(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.delayed += n
}

func (t *Target) countStart(r startRequest) {
	t.counters.starts++
	if t.seenIDs[r.ID] {
		t.counters.repeats++
	}
	t.seenIDs[r.ID] = true
	if r.Args.Work != "" {
		t.counters.startsByWork[r.Args.Work]++
	}
}
