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
	rigTrip    = time.Millisecond
	rigTick    = 5 * time.Millisecond
	rigHint    = time.Second
	rigFail    = time.Millisecond
	rigOffers  = 16
	rigService = "ordering"
)

// rig drives policies through their interface only: each has its own queue, all
// share virtual targets, and time is virtual too.
type rig struct {
	now     time.Duration
	events  []rigEvent
	targets []*rigTarget
	queues  []*rigQueue
	jobs    []*rigJob
	changes []filbertford.StandingChange
	starts  int
	refused int
}

// rigTarget multiplies the run times of its tasks by factor.
type rigTarget struct {
	id      filbertford.TargetID
	factor  float64
	slots   int
	busy    int
	failing bool
	frozen  bool
	lost    int
}

type rigQueue struct {
	policy  filbertford.Policy
	view    []filbertford.Candidate
	mine    []int
	waiting []*rigJob
	running int
	tries   int
}

// rigJob is a job whose tasks truly run for sizes on a target of factor 1.
type rigJob struct {
	id       string
	arrival  time.Duration
	sizes    []time.Duration
	declared []time.Duration
	timeout  time.Duration
	failing  bool
	started  int
	left     int
	over     bool
	code     filbertford.Code
	response time.Duration
}

// rigEvent is due at a time; the latest stands first.
type rigEvent struct {
	at time.Duration
	do func()
}

func newRig(policy string, queues int, targets []*rigTarget) *rig {
	r := &rig{targets: targets}
	for k := range queues {
		p, err := fbpolicy.New(policy, uint64(k+1))
		if err != nil {
			panic(err)
		}
		if sharer, ok := p.(filbertford.Sharer); ok {
			sharer.Share(k, queues)
		}
		q := &rigQueue{policy: p, mine: make([]int, len(targets))}
		for _, t := range targets {
			q.view = append(q.view, filbertford.NewCandidate(t.id, t.slots, 0, t.slots))
		}
		r.queues = append(r.queues, q)
	}
	return r
}

func (r *rig) after(d time.Duration, do func()) {
	e := rigEvent{at: r.now + d, do: do}
	i, _ := slices.BinarySearchFunc(r.events, e, func(a, b rigEvent) int { return cmp.Or(cmp.Compare(b.at, a.at), 1) })
	r.events = slices.Insert(r.events, i, e)
}

func (r *rig) clock() time.Time { return epoch.Add(r.now) }

// run submits the jobs, each to a random queue, and goes on until end.
func (r *rig) run(jobs []*rigJob, rules filbertford.Rules, seed uint64, end time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 77))
	r.jobs = jobs
	for _, j := range jobs {
		q := r.queues[rng.IntN(len(r.queues))]
		r.after(j.arrival-r.now, func() { r.arrive(q, j, rules) })
	}
	for _, q := range r.queues {
		r.tick(q, end)
	}
	r.hint(end)
	for len(r.events) > 0 && r.now <= end {
		last := len(r.events) - 1
		e := r.events[last]
		r.events = r.events[:last]
		r.now = e.at
		e.do()
	}
}

func (r *rig) tick(q *rigQueue, end time.Duration) {
	r.pump(q)
	if r.now < end {
		r.after(rigTick, func() { r.tick(q, end) })
	}
}

// hint passes on what the policies make of targets, as heartbeats would.
func (r *rig) hint(end time.Duration) {
	for _, q := range r.queues {
		p, ok := q.policy.(filbertford.Standing)
		if !ok {
			return
		}
		for _, c := range p.StandingChanges() {
			r.changes = append(r.changes, c)
			for _, other := range r.queues {
				if other != q {
					other.policy.(filbertford.Standing).Hint(r.clock(), c.Target(), c.Standing())
				}
			}
		}
	}
	if r.now < end {
		r.after(rigHint, func() { r.hint(end) })
	}
}

func (r *rig) arrive(q *rigQueue, j *rigJob, rules filbertford.Rules) {
	tasks := make([]filbertford.Task, len(j.sizes))
	for i := range tasks {
		tasks[i] = filbertford.NewTask(nil, j.declared[i])
	}
	waiting, slots := 0, 0
	for _, w := range q.waiting {
		waiting += len(w.sizes) - w.started
	}
	for _, t := range r.targets {
		slots += t.slots
	}
	job := filbertford.NewJob("team", rigService, tasks...).WithTimeout(j.timeout)
	v := q.policy.Admit(r.clock(), job, rules, filbertford.NewLoad(waiting, q.running, slots, waiting+q.running))
	if !v.Admitted() {
		j.over, j.code = true, v.Code()
		return
	}
	j.left = len(j.sizes)
	q.waiting = append(q.waiting, j)
	if j.timeout > 0 {
		r.after(j.timeout, func() { r.finish(q, j, filbertford.CodeDeadline) })
	}
	r.pump(q)
}

func (r *rig) finish(q *rigQueue, j *rigJob, code filbertford.Code) {
	if j.over {
		return
	}
	j.over, j.code, j.response = true, code, r.now-j.arrival
	q.waiting = slices.DeleteFunc(q.waiting, func(w *rigJob) bool { return w == j })
}

func (r *rig) need(j *rigJob, queue, tries int) filbertford.Need {
	return filbertford.NewNeed(rigService, j.declared[j.started], j.left, len(j.sizes), r.now-j.arrival).
		WithQueue(queue).WithTries(tries)
}

// pump offers slots to the waiting jobs in the order of their ranks.
func (r *rig) pump(q *rigQueue) {
	ranks := make(map[*rigJob]float64, len(q.waiting))
	for _, j := range q.waiting {
		ranks[j] = q.policy.Rank(r.need(j, 0, 0))
	}
	slices.SortStableFunc(q.waiting, func(a, b *rigJob) int { return cmp.Compare(ranks[a], ranks[b]) })
	queue, declined := 0, 0
	for _, j := range q.waiting {
		queue += len(j.sizes) - j.started
		for j.started < len(j.sizes) {
			tries := min(q.tries, 1)
			i, ok := q.policy.Place(r.clock(), r.need(j, queue, tries), q.view)
			if !ok {
				declined++
				break
			}
			q.tries -= tries
			queue--
			r.start(q, j, i)
		}
		if declined == rigOffers {
			break
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(j *rigJob) bool { return j.started == len(j.sizes) })
}

// start sends the job's next task to target i.
func (r *rig) start(q *rigQueue, j *rigJob, i int) {
	t, size, declared, sent := r.targets[i], j.sizes[j.started], j.declared[j.started], r.now
	j.started++
	r.starts++
	q.running++
	q.mine[i]++
	q.see(i, q.view[i].Free()-1, q.view[i].Heard(), t)
	r.after(rigTrip/2, func() {
		if t.frozen {
			t.lost++
			return
		}
		if t.busy >= t.slots {
			r.after(rigTrip/2, func() { r.refuse(q, j, i, declared, sent) })
			return
		}
		t.busy++
		ran, outcome := time.Duration(float64(size)*t.factor), filbertford.OutcomeDone
		if t.failing || j.failing {
			ran, outcome = rigFail, filbertford.OutcomeTaskFailed
		}
		r.after(ran, func() {
			t.busy--
			free := t.slots - t.busy
			r.after(rigTrip/2, func() { r.end(q, j, i, declared, sent, ran, outcome, free) })
		})
	})
}

func (q *rigQueue) see(i, free int, heard time.Time, t *rigTarget) {
	q.view[i] = filbertford.NewCandidate(t.id, t.slots, q.mine[i], free).WithHeard(heard)
}

func (r *rig) refuse(q *rigQueue, j *rigJob, i int, declared, sent time.Duration) {
	r.refused++
	q.running--
	q.mine[i]--
	q.see(i, 0, r.clock(), r.targets[i])
	q.policy.Observe(r.clock(), filbertford.NewObservation(
		r.targets[i].id, rigService, j.id, declared, filbertford.OutcomeNoSlot, 0, r.now-sent))
	if !j.over {
		if j.started == len(j.sizes) {
			q.waiting = append(q.waiting, j)
		}
		j.started--
		q.tries++
	}
	r.pump(q)
}

func (r *rig) end(q *rigQueue, j *rigJob, i int, declared, sent, ran time.Duration, o filbertford.Outcome, free int) {
	q.running--
	q.mine[i]--
	q.see(i, free, r.clock(), r.targets[i])
	q.policy.Observe(r.clock(), filbertford.NewObservation(
		r.targets[i].id, rigService, j.id, declared, o, ran, r.now-sent))
	j.left--
	switch {
	case o == filbertford.OutcomeTaskFailed:
		r.finish(q, j, filbertford.CodeTaskFailed)
	case j.left == 0:
		r.finish(q, j, filbertford.CodeComplete)
	}
	r.pump(q)
}

// result sums up a run. Ratios are response over ideal.
type result struct {
	mean, p50, p99 float64
	jobs           int
	failed, late   int
	turnedAway     int
	wasted         float64
	goodput        float64
}

// plus returns s with o's figures added, the ratios and shares by weight.
func (s result) plus(o result, weight float64) result {
	s.mean += weight * o.mean
	s.p50 += weight * o.p50
	s.p99 += weight * o.p99
	s.wasted += weight * o.wasted
	s.goodput += weight * o.goodput
	s.jobs += o.jobs
	s.failed += o.failed
	s.late += o.late
	s.turnedAway += o.turnedAway
	return s
}

func (s result) share(n int) float64 { return 100 * float64(n) / float64(max(s.jobs, 1)) }

// result returns the figures of the run: ratios and goodput of the jobs that
// arrived between from and to, and counts of all.
func (r *rig) result(from, to time.Duration) result {
	bounds := boundTargets(r.targets)
	s := result{wasted: float64(r.refused) / float64(max(r.starts, 1))}
	var ratios []float64
	for _, j := range r.jobs {
		s.jobs++
		switch {
		case j.code == filbertford.CodeComplete:
			if j.arrival < from || j.arrival >= to {
				continue
			}
			ideal, _ := fbbound.Ideal(boundJob(j), bounds, rigTrip)
			ratios = append(ratios, float64(j.response)/float64(ideal))
			s.goodput += boundJob(j).Work().Seconds()
		case j.code == filbertford.CodeTaskFailed:
			s.failed++
		case j.code == filbertford.CodeDeadline || !j.over:
			s.late++
		default:
			s.turnedAway++
		}
	}
	s.goodput /= (to - from).Seconds() * fbbound.Capacity(rigService, bounds)
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

func boundJob(j *rigJob) fbbound.Job {
	return fbbound.NewJob(j.arrival, rigService, j.sizes...)
}

// boundTargets returns the targets that don't fail.
func boundTargets(targets []*rigTarget) []fbbound.Target {
	var out []fbbound.Target
	for _, t := range targets {
		if !t.failing && !t.frozen {
			out = append(out, fbbound.NewTarget(t.factor, t.slots))
		}
	}
	return out
}

// clairvoyant returns the figures of the clairvoyant schedule.
func clairvoyant(jobs []*rigJob, targets []*rigTarget, from, to time.Duration) result {
	bounds := boundTargets(targets)
	var list []fbbound.Job
	for _, j := range jobs {
		list = append(list, boundJob(j))
	}
	var ratios []float64
	for i, d := range fbbound.Clairvoyant(list, bounds, rigTrip) {
		if jobs[i].arrival >= from && jobs[i].arrival < to {
			ideal, _ := fbbound.Ideal(list[i], bounds, rigTrip)
			ratios = append(ratios, float64(d)/float64(ideal))
		}
	}
	s := result{jobs: len(ratios)}
	s.mean, s.p50, s.p99 = summary(ratios)
	return s
}
