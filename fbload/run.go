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

// Submitter submits a job. *fbclient.Client is one.
type Submitter interface {
	SubmitTraced(ctx context.Context, j filbertford.Job) (filbertford.Answer, fbclient.Trace, error)
}

// Limits of a load.
const (
	// timeoutMargin is how long a job is waited for beyond its timeout.
	timeoutMargin = 10 * time.Second
	// progressInterval is the time from one line of progress to the next.
	progressInterval = 5 * time.Second
	// countersDelay is the wait before the last counters are read. Daemons publish
	// theirs once a second.
	countersDelay = 1200 * time.Millisecond
)

// Load is a load to be run. Its With methods return changed copies.
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

// NewLoad returns a load of the mix at a share of the targets' capacity for the
// given time. The platform and the operations listeners are URLs.
func NewLoad(m Mix, rate float64, duration time.Duration, platform string, operations []string) Load {
	return Load{mix: m, rate: rate, duration: duration, platform: platform, operations: operations, seed: 1, clairvoyant: true}
}

// WithLabel returns a copy of l whose result carries the label, such as the
// name of a policy.
func (l Load) WithLabel(label string) Load {
	l.label = label
	return l
}

// WithSeed returns a copy of l that draws from the seed.
func (l Load) WithSeed(seed uint64) Load {
	l.seed = seed
	return l
}

// WithWarmUp returns a copy of l whose measures leave out the jobs that are due
// before d.
func (l Load) WithWarmUp(d time.Duration) Load {
	l.warmUp = d
	return l
}

// WithBursts returns a copy of l with or without bursts.
func (l Load) WithBursts(bursts bool) Load {
	l.bursts = bursts
	return l
}

// WithActions returns a copy of l with what happens on the way.
func (l Load) WithActions(actions ...ScheduledAction) Load {
	l.actions = slices.SortedStableFunc(slices.Values(actions), func(a, b ScheduledAction) int { return cmp.Compare(a.at, b.at) })
	return l
}

// WithoutClairvoyant returns a copy of l that computes no clairvoyant schedule.
func (l Load) WithoutClairvoyant() Load {
	l.clairvoyant = false
	return l
}

// outcome is what became of one job.
type outcome struct {
	answer     filbertford.Answer
	deliveries int
	ids        int
	err        error
	// sendDelay is by how much the job was sent after it was due.
	sendDelay time.Duration
	// response is the time from when the job was due to its answer.
	response time.Duration
}

// Run runs the load and returns what was measured.
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

// runner is one run of a load.
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

// run sends the jobs and reads the counters before and after.
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
		return eris.Wrap(err, "the load was broken off")
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
// any can't be read.
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

// send submits each job at its moment and waits for all answers.
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

// submit sends one job and keeps what became of it.
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

// job returns the i-th job as it is submitted.
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

// workID names the n-th task of the i-th job for the targets' counters.
func (r *runner) workID(i, n int) string { return fmt.Sprintf("%s-%d-%d", r.workPrefix, i, n) }

// applyActions applies the moments until the context ends. Whatever is still
// switched on then is left as it is.
func (r *runner) applyActions(ctx context.Context, start time.Time) {
	for _, m := range r.load.actions {
		if !sleepUntil(ctx, start.Add(m.at)) {
			return
		}
		applied, err := r.system.applyAction(ctx, m, r.targets)
		if err != nil {
			fbevent.FaultChangeFailed.Log(r.logger, "moment", m, "error", err)
			continue
		}
		fbevent.FaultChanged.Log(r.logger, "moment", m, "on", applied)
	}
}

// logProgress logs how far the load is until the context ends.
func (r *runner) logProgress(ctx context.Context, start time.Time) {
	for n := 1; sleepUntil(ctx, start.Add(time.Duration(n)*progressInterval)); n++ {
		fbevent.LoadProgress.Log(r.logger, "at", time.Duration(n)*progressInterval, "sent", r.sent.Load(),
			"answered", r.answered.Load(), "of", len(r.jobs))
	}
}

// sleepUntil waits for a moment and reports whether it came before the context
// ended.
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
