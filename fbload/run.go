package fbload

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbclient"
	"github.com/filbertford/filbertford/fbevent"
)

// Submitter submits jobs. *fbclient.Client implements it.
type Submitter interface {
	SubmitTraced(ctx context.Context, j filbertford.Job) (filbertford.Answer, fbclient.Trace, error)
}

// Waits and intervals of a load.
const (
	// timeoutMargin is how long after a job's timeout the load still waits for the
	// answer.
	timeoutMargin = 10 * time.Second
	// progressInterval is the interval between progress log messages.
	progressInterval = 5 * time.Second
	// countersDelay is the wait before the counters are read at the end. Daemons
	// publish theirs once a second.
	countersDelay = 1200 * time.Millisecond
)

// Load describes a load to run. Its With methods return modified copies.
type Load struct {
	label       string
	mix         Mix
	rate        float64
	seed        uint64
	duration    time.Duration
	warmUp      time.Duration
	bursts      bool
	actions     []ScheduledAction
	platform    string
	operations  []string
	clairvoyant bool
}

// NewLoad returns a load of the mix that lasts for the given duration. The rate is
// a share of the targets' capacity. The platform and the daemons' operations
// listeners are URLs.
func NewLoad(m Mix, rate float64, duration time.Duration, platform string, operations []string) Load {
	return Load{mix: m, rate: rate, duration: duration, platform: platform, operations: operations, seed: 1, clairvoyant: true}
}

// WithLabel returns a copy of l whose result has the label, such as the name of a
// policy.
func (l Load) WithLabel(label string) Load {
	l.label = label
	return l
}

// WithSeed returns a copy of l whose workload is drawn with the seed.
func (l Load) WithSeed(seed uint64) Load {
	l.seed = seed
	return l
}

// WithWarmUp returns a copy of l whose measurements exclude the jobs that are due
// before d.
func (l Load) WithWarmUp(d time.Duration) Load {
	l.warmUp = d
	return l
}

// WithBursts returns a copy of l with or without bursts of arrivals.
func (l Load) WithBursts(bursts bool) Load {
	l.bursts = bursts
	return l
}

// WithActions returns a copy of l with the actions to apply during the load.
func (l Load) WithActions(actions ...ScheduledAction) Load {
	l.actions = slices.SortedStableFunc(slices.Values(actions), func(a, b ScheduledAction) int { return cmp.Compare(a.at, b.at) })
	return l
}

// WithoutClairvoyant returns a copy of l that computes no clairvoyant schedule.
func (l Load) WithoutClairvoyant() Load {
	l.clairvoyant = false
	return l
}

// outcome is the outcome of one job.
type outcome struct {
	answer     filbertford.Answer
	deliveries int
	ids        int
	err        error
	// sendDelay is the time from when the job was due until it was sent.
	sendDelay time.Duration
	// response is the time from when the job was due until its answer.
	response time.Duration
}

// Run runs the load and returns its result. It returns an error if the targets
// can't be listed or probed, if their counters can't be read, or if the context
// ends before the load does.
func (l Load) Run(ctx context.Context, client Submitter, logger *log.Logger) (Result, error) {
	system := newSystemClient(l.platform, l.operations)
	targets, err := system.targets(ctx)
	if err != nil {
		return Result{}, err
	}
	roundTrip, err := system.calibrate(ctx, targets)
	if err != nil {
		return Result{}, err
	}
	r := &runner{load: l, system: system, client: client, logger: logger, targets: targets, roundTrip: roundTrip, workPrefix: rand.Text()}
	r.drawWorkload()
	if err := r.run(ctx); err != nil {
		return Result{}, err
	}
	return r.result(), nil
}

// runner executes one run of a load and holds its state.
type runner struct {
	load       Load
	system     *systemClient
	client     Submitter
	logger     *log.Logger
	targets    []target
	roundTrip  time.Duration
	workPrefix string

	capacity float64
	jobs     []Job
	outcomes []outcome
	sent     atomic.Int64
	answered atomic.Int64

	targetCounts counters
	daemonCounts counters
	startsByWork map[string]int
}

// drawWorkload computes the capacity and draws the workload.
func (r *runner) drawWorkload() {
	r.capacity = serviceCapacity(r.load.mix.service, r.targets)
	rateAt := rateSchedule(r.load.rate, r.load.actions)
	loadAt := func(at time.Duration) float64 { return rateAt(at) * r.capacity }
	r.jobs = GenerateJobs(r.load.mix, r.load.seed, r.load.duration, r.load.bursts, loadAt)
	r.outcomes = make([]outcome, len(r.jobs))
}

// run sends the jobs and reads the counters before and after the load.
func (r *runner) run(ctx context.Context) error {
	before, _, err := r.system.targetCounts(ctx, r.targets)
	if err != nil {
		return err
	}
	controlBefore := r.controlCounts(ctx)
	fbevent.LoadStarted.Log(r.logger, "mix", r.load.mix.name, "jobs", len(r.jobs), "rate", r.load.rate,
		"targets", len(r.targets), "capacity", fmt.Sprintf("%.1f", r.capacity), "for", r.load.duration)
	r.send(ctx)
	if err := ctx.Err(); err != nil {
		return eris.Wrap(err, "load interrupted")
	}
	sleepUntil(ctx, time.Now().Add(countersDelay))
	after, startsByWork, err := r.system.targetCounts(ctx, r.targets)
	if err != nil {
		return err
	}
	r.targetCounts, r.startsByWork = after.sub(before), startsByWork
	if controlBefore != nil {
		r.daemonCounts = r.controlCounts(ctx).sub(controlBefore)
	}
	return nil
}

// controlCounts returns the counters of the daemons and the platform, or nil if
// any of them can't be read.
func (r *runner) controlCounts(ctx context.Context) counters {
	c, err := r.system.daemonCounts(ctx)
	if err == nil {
		err = r.system.addPlatformCounts(ctx, c)
	}
	if err != nil {
		fbevent.CountersMissing.Log(r.logger, "error", err)
		return nil
	}
	return c
}

// send submits each job when it is due and waits for all answers.
func (r *runner) send(ctx context.Context) {
	start := time.Now()
	backgroundCtx, cancelBackground := context.WithCancel(ctx)
	var background errgroup.Group
	background.Go(func() error { r.applyActions(backgroundCtx, start); return nil })
	background.Go(func() error { r.logProgress(backgroundCtx, start); return nil })
	var g errgroup.Group
	for i, j := range r.jobs {
		if !sleepUntil(ctx, start.Add(j.due)) {
			break
		}
		r.sent.Add(1)
		g.Go(func() error {
			r.submit(ctx, i, start)
			r.answered.Add(1)
			return nil
		})
	}
	_ = g.Wait()
	cancelBackground()
	_ = background.Wait()
}

// submit submits one job and records its outcome.
func (r *runner) submit(ctx context.Context, i int, start time.Time) {
	due := start.Add(r.jobs[i].due)
	job := r.job(i)
	ctx, cancel := context.WithTimeout(ctx, job.Timeout()+timeoutMargin)
	defer cancel()
	sendDelay := time.Since(due)
	a, trace, err := r.client.SubmitTraced(ctx, job)
	r.outcomes[i] = outcome{
		answer:     a,
		deliveries: trace.Deliveries(),
		ids:        trace.IDs(),
		err:        err,
		sendDelay:  sendDelay,
		response:   time.Since(due),
	}
}

// job returns the i-th job in the form in which it is submitted.
func (r *runner) job(i int) filbertford.Job {
	m, j := r.load.mix, r.jobs[i]
	k := m.kinds[j.kind]
	tasks := make([]filbertford.Task, len(j.tasks))
	for n, t := range j.tasks {
		args := fmt.Sprintf(`{"run_ms":%d,"work":%q}`, t.run.Milliseconds(), r.workID(i, n))
		tasks[n] = filbertford.NewTask([]byte(args), t.declared)
	}
	return filbertford.NewJob(m.team, m.service, tasks...).
		WithKind(k.name).WithTimeout(k.timeout).WithIdempotent(k.idempotent)
}

// workID returns the ID of the n-th task of the i-th job in the targets' counters.
func (r *runner) workID(i, n int) string { return fmt.Sprintf("%s-%d-%d", r.workPrefix, i, n) }

// applyActions applies each action when it is due until the context ends. It does
// not clear faults that are still injected then.
func (r *runner) applyActions(ctx context.Context, start time.Time) {
	for _, a := range r.load.actions {
		if !sleepUntil(ctx, start.Add(a.at)) {
			return
		}
		applied, err := r.system.applyAction(ctx, a, r.targets)
		if err != nil {
			fbevent.FaultChangeFailed.Log(r.logger, "moment", a, "error", err)
			continue
		}
		fbevent.FaultChanged.Log(r.logger, "moment", a, "on", applied)
	}
}

// logProgress logs the number of sent and answered jobs at each progressInterval
// until the context ends.
func (r *runner) logProgress(ctx context.Context, start time.Time) {
	for n := 1; sleepUntil(ctx, start.Add(time.Duration(n)*progressInterval)); n++ {
		fbevent.LoadProgress.Log(r.logger, "at", time.Duration(n)*progressInterval, "sent", r.sent.Load(),
			"answered", r.answered.Load(), "of", len(r.jobs))
	}
}

// sleepUntil waits until the given time and reports whether it was reached before
// the context ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
