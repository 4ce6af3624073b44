package fbstandin

// TargetCounters are the counters of a target.
type TargetCounters struct {
	starts       int
	repeats      int
	refusals     int
	stops        int
	renewals     int
	running      int
	startsByWork map[string]int
}

// Starts returns the number of started tasks.
func (c TargetCounters) Starts() int { return c.starts }

// Repeats returns the number of starts whose ID had been started before.
func (c TargetCounters) Repeats() int { return c.repeats }

// Refusals returns the number of rejected starts.
func (c TargetCounters) Refusals() int { return c.refusals }

// Stops returns the number of stop requests.
func (c TargetCounters) Stops() int { return c.stops }

// Renewals returns the number of lease renewals.
func (c TargetCounters) Renewals() int { return c.renewals }

// Running returns the number of running tasks.
func (c TargetCounters) Running() int { return c.running }

// StartsByWork returns the number of starts for each value of the argument "work".
func (c TargetCounters) StartsByWork() map[string]int { return c.startsByWork }

// PlatformCounters are the counters of the platform.
type PlatformCounters struct {
	reads        int
	writes       int
	conflicts    int
	objectReads  int
	objectWrites int
	vmReads      int
	delayed      int
}

// Reads returns the number of reads of the table service.
func (c PlatformCounters) Reads() int { return c.reads }

// Writes returns the number of applied commits.
func (c PlatformCounters) Writes() int { return c.writes }

// Conflicts returns the number of commits rejected because of a row's version.
func (c PlatformCounters) Conflicts() int { return c.conflicts }

// ObjectReads returns the number of reads of objects, found or not.
func (c PlatformCounters) ObjectReads() int { return c.objectReads }

// ObjectWrites returns the number of stored objects.
func (c PlatformCounters) ObjectWrites() int { return c.objectWrites }

// VMReads returns the number of reads of the VM list.
func (c PlatformCounters) VMReads() int { return c.vmReads }

// Delayed returns the number of requests that are being delayed now.
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
