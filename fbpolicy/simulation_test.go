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

// Constants of the rig.
const (
	simRoundTrip    = time.Millisecond
	simPollInterval = 5 * time.Millisecond
	simHintInterval = time.Second
	simFailTime     = time.Millisecond
	simMaxDeclined  = 16
	simService      = "ordering"
)

// simulation drives policies through their interface only: each has its own queue, all
// share virtual targets, and time is virtual too.
type simulation struct {
	now     time.Duration
	events  []simEvent
	targets []*simTarget
	daemons []*simDaemon
	jobs    []*simJob
	changes []filbertford.HealthChange
	starts  int
	refused int
}

// simTarget multiplies the run times of its tasks by factor.
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
	mine       []int
	waiting    []*simJob
	running    int
	retries    int
}

// simJob is a job whose tasks truly run for sizes on a target of factor 1.
type simJob struct {
	id       string
	arrival  time.Duration
	runTimes []time.Duration
	declared []time.Duration
	timeout  time.Duration
	failing  bool
	started  int
	left     int
	finished bool
	code     filbertford.Code
	response time.Duration
}

// simEvent is due at a time; the latest stands first.
type simEvent struct {
	at time.Duration
	do func()
}

func newSimulation(policy string, daemons int, targets []*simTarget) *simulation {
	r := &simulation{targets: targets}
	for k := range daemons {
		p, err := fbpolicy.New(policy, uint64(k+1))
		if err != nil {
			panic(err)
		}
		if sharer, ok := p.(filbertford.Sharer); ok {
			sharer.SetShare(k, daemons)
		}
		q := &simDaemon{policy: p, mine: make([]int, len(targets))}
		for _, t := range targets {
			q.candidates = append(q.candidates, filbertford.NewCandidate(t.id, t.slots, 0, t.slots))
		}
		r.daemons = append(r.daemons, q)
	}
	return r
}

func (r *simulation) schedule(d time.Duration, do func()) {
	e := simEvent{at: r.now + d, do: do}
	i, _ := slices.BinarySearchFunc(r.events, e, func(a, b simEvent) int { return cmp.Or(cmp.Compare(b.at, a.at), 1) })
	r.events = slices.Insert(r.events, i, e)
}

func (r *simulation) time() time.Time { return epoch.Add(r.now) }

// run submits the jobs, each to a random queue, and goes on until end.
func (r *simulation) run(jobs []*simJob, rules filbertford.Rules, seed uint64, end time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 77))
	r.jobs = jobs
	for _, j := range jobs {
		q := r.daemons[rng.IntN(len(r.daemons))]
		r.schedule(j.arrival-r.now, func() { r.arrive(q, j, rules) })
	}
	for _, q := range r.daemons {
		r.tick(q, end)
	}
	r.exchangeHints(end)
	for len(r.events) > 0 && r.now <= end {
		last := len(r.events) - 1
		e := r.events[last]
		r.events = r.events[:last]
		r.now = e.at
		e.do()
	}
}

func (r *simulation) tick(q *simDaemon, end time.Duration) {
	r.dispatch(q)
	if r.now < end {
		r.schedule(simPollInterval, func() { r.tick(q, end) })
	}
}

// exchangeHints passes on what the policies make of targets, as heartbeats would.
func (r *simulation) exchangeHints(end time.Duration) {
	for _, q := range r.daemons {
		p, ok := q.policy.(filbertford.HealthTracker)
		if !ok {
			return
		}
		for _, c := range p.HealthChanges() {
			r.changes = append(r.changes, c)
			for _, other := range r.daemons {
				if other != q {
					other.policy.(filbertford.HealthTracker).Hint(r.time(), c.Target(), c.Health())
				}
			}
		}
	}
	if r.now < end {
		r.schedule(simHintInterval, func() { r.exchangeHints(end) })
	}
}

func (r *simulation) arrive(q *simDaemon, j *simJob, rules filbertford.Rules) {
	tasks := make([]filbertford.Task, len(j.runTimes))
	for i := range tasks {
		tasks[i] = filbertford.NewTask(nil, j.declared[i])
	}
	waiting, slots := 0, 0
	for _, w := range q.waiting {
		waiting += len(w.runTimes) - w.started
	}
	for _, t := range r.targets {
		slots += t.slots
	}
	job := filbertford.NewJob("team", simService, tasks...).WithTimeout(j.timeout)
	v := q.policy.Admit(r.time(), job, rules, filbertford.NewLoad(waiting, q.running, slots, waiting+q.running))
	if !v.Admitted() {
		j.finished, j.code = true, v.Code()
		return
	}
	j.left = len(j.runTimes)
	q.waiting = append(q.waiting, j)
	if j.timeout > 0 {
		r.schedule(j.timeout, func() { r.finish(q, j, filbertford.CodeDeadline) })
	}
	r.dispatch(q)
}

func (r *simulation) finish(q *simDaemon, j *simJob, code filbertford.Code) {
	if j.finished {
		return
	}
	j.finished, j.code, j.response = true, code, r.now-j.arrival
	q.waiting = slices.DeleteFunc(q.waiting, func(w *simJob) bool { return w == j })
}

func (r *simulation) newWaitingTask(j *simJob, queue, tries int) filbertford.WaitingTask {
	return filbertford.NewWaitingTask(simService, j.declared[j.started], j.left, len(j.runTimes), r.now-j.arrival).
		WithQueuePosition(queue).WithFailedStarts(tries)
}

// dispatch offers slots to the waiting jobs in the order of their ranks.
func (r *simulation) dispatch(q *simDaemon) {
	ranks := make(map[*simJob]float64, len(q.waiting))
	for _, j := range q.waiting {
		ranks[j] = q.policy.Rank(r.newWaitingTask(j, 0, 0))
	}
	slices.SortStableFunc(q.waiting, func(a, b *simJob) int { return cmp.Compare(ranks[a], ranks[b]) })
	queue, declined := 0, 0
	for _, j := range q.waiting {
		queue += len(j.runTimes) - j.started
		for j.started < len(j.runTimes) {
			tries := min(q.retries, 1)
			i, ok := q.policy.Place(r.time(), r.newWaitingTask(j, queue, tries), q.candidates)
			if !ok {
				declined++
				break
			}
			q.retries -= tries
			queue--
			r.start(q, j, i)
		}
		if declined == simMaxDeclined {
			break
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(j *simJob) bool { return j.started == len(j.runTimes) })
}

// start sends the job's next task to target i.
func (r *simulation) start(q *simDaemon, j *simJob, i int) {
	t, runTime, declared, sent := r.targets[i], j.runTimes[j.started], j.declared[j.started], r.now
	j.started++
	r.starts++
	q.running++
	q.mine[i]++
	q.updateCandidate(i, q.candidates[i].Free()-1, q.candidates[i].LastReply(), t)
	r.schedule(simRoundTrip/2, func() {
		if t.frozen {
			t.lostStarts++
			return
		}
		if t.busy >= t.slots {
			r.schedule(simRoundTrip/2, func() { r.refuse(q, j, i, declared, sent) })
			return
		}
		t.busy++
		ran, outcome := time.Duration(float64(runTime)*t.factor), filbertford.OutcomeDone
		if t.failing || j.failing {
			ran, outcome = simFailTime, filbertford.OutcomeTaskFailed
		}
		r.schedule(ran, func() {
			t.busy--
			free := t.slots - t.busy
			r.schedule(simRoundTrip/2, func() { r.end(q, j, i, declared, sent, ran, outcome, free) })
		})
	})
}

func (q *simDaemon) updateCandidate(i, free int, heard time.Time, t *simTarget) {
	q.candidates[i] = filbertford.NewCandidate(t.id, t.slots, q.mine[i], free).WithLastReply(heard)
}

func (r *simulation) refuse(q *simDaemon, j *simJob, i int, declared, sent time.Duration) {
	r.refused++
	q.running--
	q.mine[i]--
	q.updateCandidate(i, 0, r.time(), r.targets[i])
	q.policy.Observe(r.time(), filbertford.NewObservation(
		r.targets[i].id, simService, j.id, declared, filbertford.OutcomeNoSlot, 0, r.now-sent))
	if !j.finished {
		if j.started == len(j.runTimes) {
			q.waiting = append(q.waiting, j)
		}
		j.started--
		q.retries++
	}
	r.dispatch(q)
}

func (r *simulation) end(q *simDaemon, j *simJob, i int, declared, sent, ran time.Duration, o filbertford.StartOutcome, free int) {
	q.running--
	q.mine[i]--
	q.updateCandidate(i, free, r.time(), r.targets[i])
	q.policy.Observe(r.time(), filbertford.NewObservation(
		r.targets[i].id, simService, j.id, declared, o, ran, r.now-sent))
	j.left--
	switch {
	case o == filbertford.OutcomeTaskFailed:
		r.finish(q, j, filbertford.CodeTaskFailed)
	case j.left == 0:
		r.finish(q, j, filbertford.CodeComplete)
	}
	r.dispatch(q)
}

// result sums up a run. Ratios are response over ideal.
type result struct {
	mean, p50, p99 float64
	jobs           int
	failed, late   int
	rejected       int
	refusedShare   float64
	goodput        float64
}

// plus returns s with o's figures added, the ratios and shares by weight.
func (s result) plus(o result, weight float64) result {
	s.mean += weight * o.mean
	s.p50 += weight * o.p50
	s.p99 += weight * o.p99
	s.refusedShare += weight * o.refusedShare
	s.goodput += weight * o.goodput
	s.jobs += o.jobs
	s.failed += o.failed
	s.late += o.late
	s.rejected += o.rejected
	return s
}

func (s result) percent(n int) float64 { return 100 * float64(n) / float64(max(s.jobs, 1)) }

// result returns the figures of the run: ratios and goodput of the jobs that
// arrived between from and to, and counts of all.
func (r *simulation) result(from, to time.Duration) result {
	bounds := boundTargets(r.targets)
	s := result{refusedShare: float64(r.refused) / float64(max(r.starts, 1))}
	var ratios []float64
	for _, j := range r.jobs {
		s.jobs++
		switch {
		case j.code == filbertford.CodeComplete:
			if j.arrival < from || j.arrival >= to {
				continue
			}
			ideal, _ := fbbound.Ideal(boundJob(j), bounds, simRoundTrip)
			ratios = append(ratios, float64(j.response)/float64(ideal))
			s.goodput += boundJob(j).Work().Seconds()
		case j.code == filbertford.CodeTaskFailed:
			s.failed++
		case j.code == filbertford.CodeDeadline || !j.finished:
			s.late++
		default:
			s.rejected++
		}
	}
	s.goodput /= (to - from).Seconds() * fbbound.Capacity(simService, bounds)
	s.mean, s.p50, s.p99 = summary(ratios)
	return s
}

func summary(ratios []float64) (mean, p50, p99 float64) {
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

// boundTargets returns the targets that don't fail.
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
	s.mean, s.p50, s.p99 = summary(ratios)
	return s
}
