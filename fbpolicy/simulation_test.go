package fbpolicy_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbbound"
	"github.com/filbertford/filbertford/fbpolicy"
)

// Parameters of the simulation.
const (
	simRoundTrip    = time.Millisecond
	simPollInterval = 5 * time.Millisecond
	simHintInterval = time.Second
	simFailTime     = time.Millisecond
	simMaxDeclined  = 16
	simService      = "ordering"
)

// simulation is a discrete event simulation of daemons that share targets. Each
// daemon has a queue and a policy, of which only the interface is used.
type simulation struct {
	now           time.Duration
	events        []simEvent
	targets       []*simTarget
	daemons       []*simDaemon
	jobs          []*simJob
	changes       []filbertford.HealthChange
	starts        int
	refusedStarts int
}

// simTarget is a target that multiplies the run times of its tasks by factor.
type simTarget struct {
	id         filbertford.TargetID
	factor     float64
	slots      int
	busy       int
	failing    bool
	frozen     bool
	lostStarts int
}

type simDaemon struct {
	policy     filbertford.Policy
	candidates []filbertford.Candidate
	ownTasks   []int
	waiting    []*simJob
	running    int
	retries    int
}

// simJob is a job whose tasks run for runTimes on a target of factor 1.
type simJob struct {
	id         string
	arrival    time.Duration
	runTimes   []time.Duration
	declared   []time.Duration
	timeout    time.Duration
	failing    bool
	started    int
	unfinished int
	finished   bool
	code       filbertford.Code
	response   time.Duration
}

// simEvent is an event at a time. Events are sorted in descending order, so that
// the next one is the last.
type simEvent struct {
	at  time.Duration
	run func()
}

func newSimulation(policy string, daemons int, targets []*simTarget) *simulation {
	s := &simulation{targets: targets}
	for k := range daemons {
		p, err := fbpolicy.New(policy, uint64(k+1))
		if err != nil {
			panic(err)
		}
		if sharer, ok := p.(filbertford.Sharer); ok {
			sharer.SetShare(k, daemons)
		}
		d := &simDaemon{policy: p, ownTasks: make([]int, len(targets))}
		for _, t := range targets {
			d.candidates = append(d.candidates, filbertford.NewCandidate(t.id, t.slots, 0, t.slots))
		}
		s.daemons = append(s.daemons, d)
	}
	return s
}

func (s *simulation) schedule(d time.Duration, run func()) {
	e := simEvent{at: s.now + d, run: run}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b simEvent) int { return cmp.Or(cmp.Compare(b.at, a.at), 1) })
	s.events = slices.Insert(s.events, i, e)
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

// run submits each job to a random daemon at its arrival and processes the events
// until end.
func (s *simulation) run(jobs []*simJob, rules filbertford.Rules, seed uint64, end time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 77))
	s.jobs = jobs
	for _, j := range jobs {
		d := s.daemons[rng.IntN(len(s.daemons))]
		s.schedule(j.arrival-s.now, func() { s.submit(d, j, rules) })
	}
	for _, d := range s.daemons {
		s.poll(d, end)
	}
	s.exchangeHints(end)
	for len(s.events) > 0 && s.now <= end {
		last := len(s.events) - 1
		e := s.events[last]
		s.events = s.events[:last]
		s.now = e.at
		e.run()
	}
}

func (s *simulation) poll(d *simDaemon, end time.Duration) {
	s.dispatch(d)
	if s.now < end {
		s.schedule(simPollInterval, func() { s.poll(d, end) })
	}
}

// exchangeHints sends each daemon's changes of targets' health to the others, as
// heartbeats do.
func (s *simulation) exchangeHints(end time.Duration) {
	for _, d := range s.daemons {
		p, ok := d.policy.(filbertford.HealthTracker)
		if !ok {
			return
		}
		for _, c := range p.HealthChanges() {
			s.changes = append(s.changes, c)
			for _, other := range s.daemons {
				if other != d {
					other.policy.(filbertford.HealthTracker).Hint(s.time(), c.Target(), c.Health())
				}
			}
		}
	}
	if s.now < end {
		s.schedule(simHintInterval, func() { s.exchangeHints(end) })
	}
}

func (s *simulation) submit(d *simDaemon, j *simJob, rules filbertford.Rules) {
	tasks := make([]filbertford.Task, len(j.runTimes))
	for i := range tasks {
		tasks[i] = filbertford.NewTask(nil, j.declared[i])
	}
	waiting, slots := 0, 0
	for _, w := range d.waiting {
		waiting += len(w.runTimes) - w.started
	}
	for _, t := range s.targets {
		slots += t.slots
	}
	job := filbertford.NewJob("team", simService, tasks...).WithTimeout(j.timeout)
	decision := d.policy.Admit(s.time(), job, rules, filbertford.NewLoad(waiting, d.running, slots, waiting+d.running))
	if !decision.Admitted() {
		j.finished, j.code = true, decision.Code()
		return
	}
	j.unfinished = len(j.runTimes)
	d.waiting = append(d.waiting, j)
	if j.timeout > 0 {
		s.schedule(j.timeout, func() { s.finishJob(d, j, filbertford.CodeDeadline) })
	}
	s.dispatch(d)
}

func (s *simulation) finishJob(d *simDaemon, j *simJob, code filbertford.Code) {
	if j.finished {
		return
	}
	j.finished, j.code, j.response = true, code, s.now-j.arrival
	d.waiting = slices.DeleteFunc(d.waiting, func(w *simJob) bool { return w == j })
}

func (s *simulation) newWaitingTask(j *simJob, position, failedStarts int) filbertford.WaitingTask {
	return filbertford.NewWaitingTask(simService, j.declared[j.started], j.unfinished, len(j.runTimes), s.now-j.arrival).
		WithQueuePosition(position).WithFailedStarts(failedStarts)
}

// dispatch places tasks of the waiting jobs in the order of their ranks, until
// the policy has declined simMaxDeclined jobs.
func (s *simulation) dispatch(d *simDaemon) {
	ranks := make(map[*simJob]float64, len(d.waiting))
	for _, j := range d.waiting {
		ranks[j] = d.policy.Rank(s.newWaitingTask(j, 0, 0))
	}
	slices.SortStableFunc(d.waiting, func(a, b *simJob) int { return cmp.Compare(ranks[a], ranks[b]) })
	position, declined := 0, 0
	for _, j := range d.waiting {
		position += len(j.runTimes) - j.started
		for j.started < len(j.runTimes) {
			failedStarts := min(d.retries, 1)
			i, ok := d.policy.Place(s.time(), s.newWaitingTask(j, position, failedStarts), d.candidates)
			if !ok {
				declined++
				break
			}
			d.retries -= failedStarts
			position--
			s.startTask(d, j, i)
		}
		if declined == simMaxDeclined {
			break
		}
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(j *simJob) bool { return j.started == len(j.runTimes) })
}

// startTask sends the job's next task to target i.
func (s *simulation) startTask(d *simDaemon, j *simJob, i int) {
	t, runTime, declared, sent := s.targets[i], j.runTimes[j.started], j.declared[j.started], s.now
	j.started++
	s.starts++
	d.running++
	d.ownTasks[i]++
	d.updateCandidate(i, d.candidates[i].Free()-1, d.candidates[i].LastReply(), t)
	s.schedule(simRoundTrip/2, func() {
		if t.frozen {
			t.lostStarts++
			return
		}
		if t.busy >= t.slots {
			s.schedule(simRoundTrip/2, func() { s.refuseStart(d, j, i, declared, sent) })
			return
		}
		t.busy++
		actual, outcome := time.Duration(float64(runTime)*t.factor), filbertford.OutcomeDone
		if t.failing || j.failing {
			actual, outcome = simFailTime, filbertford.OutcomeTaskFailed
		}
		s.schedule(actual, func() {
			t.busy--
			free := t.slots - t.busy
			s.schedule(simRoundTrip/2, func() { s.endStart(d, j, i, declared, sent, actual, outcome, free) })
		})
	})
}

func (d *simDaemon) updateCandidate(i, free int, lastReply time.Time, t *simTarget) {
	d.candidates[i] = filbertford.NewCandidate(t.id, t.slots, d.ownTasks[i], free).WithLastReply(lastReply)
}

func (s *simulation) refuseStart(d *simDaemon, j *simJob, i int, declared, sent time.Duration) {
	s.refusedStarts++
	d.running--
	d.ownTasks[i]--
	d.updateCandidate(i, 0, s.time(), s.targets[i])
	d.policy.Observe(s.time(), filbertford.NewObservation(
		s.targets[i].id, simService, j.id, declared, filbertford.OutcomeNoSlot, 0, s.now-sent))
	if !j.finished {
		if j.started == len(j.runTimes) {
			d.waiting = append(d.waiting, j)
		}
		j.started--
		d.retries++
	}
	s.dispatch(d)
}

func (s *simulation) endStart(d *simDaemon, j *simJob, i int, declared, sent, runTime time.Duration, o filbertford.StartOutcome, free int) {
	d.running--
	d.ownTasks[i]--
	d.updateCandidate(i, free, s.time(), s.targets[i])
	d.policy.Observe(s.time(), filbertford.NewObservation(
		s.targets[i].id, simService, j.id, declared, o, runTime, s.now-sent))
	j.unfinished--
	switch {
	case o == filbertford.OutcomeTaskFailed:
		s.finishJob(d, j, filbertford.CodeTaskFailed)
	case j.unfinished == 0:
		s.finishJob(d, j, filbertford.CodeComplete)
	}
	s.dispatch(d)
}

// result holds the figures of a run. The mean and the percentiles are of the
// response time over the ideal one.
type result struct {
	mean, p50, p99 float64
	jobs           int
	failed, late   int
	rejected       int
	refusedShare   float64
	goodput        float64
}

// plus returns r with o's figures added, the ratios and shares multiplied by
// weight.
func (r result) plus(o result, weight float64) result {
	r.mean += weight * o.mean
	r.p50 += weight * o.p50
	r.p99 += weight * o.p99
	r.refusedShare += weight * o.refusedShare
	r.goodput += weight * o.goodput
	r.jobs += o.jobs
	r.failed += o.failed
	r.late += o.late
	r.rejected += o.rejected
	return r
}

func (r result) percent(n int) float64 { return 100 * float64(n) / float64(max(r.jobs, 1)) }

// result returns the figures of the run: ratios and goodput of the jobs that
// arrived between from and to, and counts of all jobs.
func (s *simulation) result(from, to time.Duration) result {
	bounds := boundTargets(s.targets)
	sum := result{refusedShare: float64(s.refusedStarts) / float64(max(s.starts, 1))}
	var ratios []float64
	for _, j := range s.jobs {
		sum.jobs++
		switch {
		case j.code == filbertford.CodeComplete:
			if j.arrival < from || j.arrival >= to {
				continue
			}
			ideal, _ := fbbound.Ideal(boundJob(j), bounds, simRoundTrip)
			ratios = append(ratios, float64(j.response)/float64(ideal))
			sum.goodput += boundJob(j).Work().Seconds()
		case j.code == filbertford.CodeTaskFailed:
			sum.failed++
		case j.code == filbertford.CodeDeadline || !j.finished:
			sum.late++
		default:
			sum.rejected++
		}
	}
	sum.goodput /= (to - from).Seconds() * fbbound.Capacity(simService, bounds)
	sum.mean, sum.p50, sum.p99 = summarize(ratios)
	return sum
}

func summarize(ratios []float64) (mean, p50, p99 float64) {
	if len(ratios) == 0 {
		return math.NaN(), math.NaN(), math.NaN()
	}
	slices.Sort(ratios)
	for _, x := range ratios {
		mean += x / float64(len(ratios))
	}
	return mean, ratios[len(ratios)/2], ratios[len(ratios)*99/100]
}

func boundJob(j *simJob) fbbound.Job {
	return fbbound.NewJob(j.arrival, simService, j.runTimes...)
}

// boundTargets returns the targets that are neither failing nor frozen.
func boundTargets(targets []*simTarget) []fbbound.Target {
	var out []fbbound.Target
	for _, t := range targets {
		if !t.failing && !t.frozen {
			out = append(out, fbbound.NewTarget(t.factor, t.slots))
		}
	}
	return out
}

// clairvoyant returns the figures of the clairvoyant schedule.
func clairvoyant(jobs []*simJob, targets []*simTarget, from, to time.Duration) result {
	bounds := boundTargets(targets)
	var list []fbbound.Job
	for _, j := range jobs {
		list = append(list, boundJob(j))
	}
	var ratios []float64
	for i, d := range fbbound.Clairvoyant(list, bounds, simRoundTrip) {
		if jobs[i].arrival >= from && jobs[i].arrival < to {
			ideal, _ := fbbound.Ideal(list[i], bounds, simRoundTrip)
			ratios = append(ratios, float64(d)/float64(ideal))
		}
	}
	s := result{jobs: len(ratios)}
	s.mean, s.p50, s.p99 = summarize(ratios)
	return s
}
