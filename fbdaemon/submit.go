package fbdaemon

import (
	"context"
	"fmt"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
)

// outcome is what the control goroutine returns for a request: an answer, a
// status, or the daemon to forward the request to.
type outcome struct {
	answer    filbertford.Answer
	status    filbertford.SubmissionStatus
	forwardTo string
	owner     filbertford.Incarnation
}

// busyRetryDelay is the time after which a caller may retry at a daemon whose
// message queue is full or that has no settings yet.
const busyRetryDelay = 100 * time.Millisecond

// ownerRetryDelay is the time after which a caller may retry with an opaque key
// whose owner could not be reached.
const ownerRetryDelay = time.Second

// Submit answers a caller's delivery. If another daemon owns the submission, the
// delivery is forwarded to that daemon.
func (d *Daemon) Submit(ctx context.Context, delivery filbertford.Delivery) filbertford.Answer {
	startedAt := d.timer.Now()
	a := d.submit(ctx, hopCaller, delivery)
	d.recordAnswer(ctx, delivery.Job(), a, startedAt)
	return a
}

// submit answers a delivery that arrived by the given hop.
func (d *Daemon) submit(ctx context.Context, h hop, delivery filbertford.Delivery) filbertford.Answer {
	m, refusal := d.newSubmitRequest(h, delivery)
	if refusal != nil {
		return *refusal
	}
	if !d.trySend(m) {
		return filbertford.NewRefusal(filbertford.CodeBusy, "").WithRetryAfter(busyRetryDelay)
	}
	select {
	case o := <-m.reply:
		if o.forwardTo != "" {
			return d.forward(ctx, o, m.delivery)
		}
		return o.answer
	case <-ctx.Done():
		d.trySend(abandonRequest{m})
		return filbertford.NewRefusal(filbertford.CodeOutcomeUnknown, "the caller went away")
	}
}

// forward forwards a delivery to its owner. The outcome is unknown if the owner
// does not reply within the job's timeout and the request timeout.
func (d *Daemon) forward(ctx context.Context, o outcome, delivery filbertford.Delivery) filbertford.Answer {
	d.metrics.forwards.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, delivery.Job().Timeout()+d.requestTimeout)
	defer cancel()
	a := d.peers.Forward(ctx, o.forwardTo, o.owner, delivery)
	if a.Code() == filbertford.CodeOwnerUnreachable && !delivery.ID().Pinned() {
		return a.WithRetryAfter(ownerRetryDelay) // a later view gives the key another owner
	}
	return a
}

// newSubmitRequest returns the message with a delivery, or a refusal if the
// settings don't allow the job.
func (d *Daemon) newSubmitRequest(h hop, delivery filbertford.Delivery) (*submitRequest, *filbertford.Answer) {
	job, rules, refusal := d.prepareJob(delivery.Job())
	if refusal != nil {
		return nil, refusal
	}
	return &submitRequest{
		delivery: filbertford.NewDelivery(delivery.ID(), job),
		digest:   fbcore.Digest(job),
		rules:    rules,
		hop:      h,
		reply:    make(chan outcome, 1),
	}, nil
}

// prepareJob checks a job against the settings and sets its timeout if it has none.
func (d *Daemon) prepareJob(j filbertford.Job) (filbertford.Job, filbertford.Rules, *filbertford.Answer) {
	settings := d.settings.Load()
	if !d.haveSettings.Load() {
		a := filbertford.NewRefusal(filbertford.CodeNotReady, "").WithRetryAfter(busyRetryDelay)
		return filbertford.Job{}, filbertford.Rules{}, &a
	}
	rules, ok := settings.Rules(j.Team(), j.Service(), j.Kind())
	if !ok {
		return refuseJob(filbertford.CodeUnknownService, fmt.Sprintf("team %q, service %q, kind %q", j.Team(), j.Service(), j.Kind()))
	}
	if n := len(j.Tasks()); n == 0 {
		return refuseJob(filbertford.CodeMalformed, "a job has at least one task")
	} else if limit := rules.MaxTasks(); limit > 0 && n > limit {
		return refuseJob(filbertford.CodeTooLarge, fmt.Sprintf("%d tasks are more than the %d allowed", n, limit))
	}
	if j.Timeout() == 0 {
		j = j.WithTimeout(rules.Timeout())
	}
	maxTimeout := d.horizon // for this long an opaque key is undecided at a new owner
	if limit := rules.MaxTimeout(); limit > 0 {
		maxTimeout = min(maxTimeout, limit)
	}
	if j.Timeout() > maxTimeout {
		return refuseJob(filbertford.CodeMalformed, fmt.Sprintf("a timeout of %v is longer than the %v allowed", j.Timeout(), maxTimeout))
	}
	return j, rules, nil
}

func refuseJob(code filbertford.Code, detail string) (filbertford.Job, filbertford.Rules, *filbertford.Answer) {
	a := filbertford.NewRefusal(code, detail)
	return filbertford.Job{}, filbertford.Rules{}, &a
}

// submitRequest is the message with a delivery.
type submitRequest struct {
	delivery filbertford.Delivery
	digest   uint64
	rules    filbertford.Rules
	hop      hop
	reply    chan outcome
	ref      fbcore.Ref
}

func (m *submitRequest) handle(c *controlLoop, now time.Time) {
	claim, o, local := c.route(m.delivery.ID(), now, m.hop)
	if !local {
		m.reply <- o
		return
	}
	m.ref = c.addWaiter(m.reply)
	c.handleEvent(now, fbcore.Submit{Ref: m.ref, Delivery: m.delivery, Digest: m.digest, Rules: m.rules, Claim: claim})
}

// abandonRequest is the message that nobody waits for a delivery's answer any
// longer.
type abandonRequest struct{ request *submitRequest }

func (m abandonRequest) handle(c *controlLoop, now time.Time) {
	delete(c.waiters, m.request.ref)
	c.handleEvent(now, fbcore.Abandon{Ref: m.request.ref})
}

// Cancel cancels a submission of the team. An empty team matches all. If another
// daemon owns the submission, the request is forwarded to that daemon.
func (d *Daemon) Cancel(ctx context.Context, id filbertford.SubmissionID, team string) filbertford.Answer {
	return d.cancel(ctx, hopCaller, id, team)
}

func (d *Daemon) cancel(ctx context.Context, h hop, id filbertford.SubmissionID, team string) filbertford.Answer {
	o := d.routeOwnerRequest(ctx, h, id, func(ref fbcore.Ref) fbcore.Event {
		return fbcore.Cancel{Ref: ref, ID: id, Team: team}
	})
	if o.forwardTo == "" {
		return o.answer
	}
	ctx, cancel := context.WithTimeout(ctx, d.requestTimeout)
	defer cancel()
	return d.peers.Cancel(ctx, o.forwardTo, o.owner, id, team)
}

// Status returns the status of a submission of the team from its owner. An empty
// team matches all.
func (d *Daemon) Status(ctx context.Context, id filbertford.SubmissionID, team string) filbertford.SubmissionStatus {
	return d.status(ctx, hopCaller, id, team)
}

func (d *Daemon) status(ctx context.Context, h hop, id filbertford.SubmissionID, team string) filbertford.SubmissionStatus {
	o := d.routeOwnerRequest(ctx, h, id, func(ref fbcore.Ref) fbcore.Event {
		return fbcore.Query{Ref: ref, ID: id, Team: team}
	})
	switch {
	case o.forwardTo != "":
		ctx, cancel := context.WithTimeout(ctx, d.requestTimeout)
		defer cancel()
		return d.peers.Status(ctx, o.forwardTo, o.owner, id, team)
	case o.status.State() == "":
		return filbertford.NewSubmissionStatus(filbertford.StateUnknown, o.answer)
	}
	return o.status
}

// routeOwnerRequest passes an event about a submission to the core if this daemon
// answers for the submission, and otherwise returns the daemon to forward to.
func (d *Daemon) routeOwnerRequest(ctx context.Context, h hop, id filbertford.SubmissionID, event func(fbcore.Ref) fbcore.Event) outcome {
	reply := make(chan outcome, 1)
	err := d.send(ctx, ownerRequest{id: id, hop: h, event: event, reply: reply})
	if err == nil {
		select {
		case o := <-reply:
			return o
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	return outcome{answer: filbertford.NewRefusal(filbertford.CodeBusy, err.Error())}
}

// ownerRequest is the message with a cancellation or a status query.
type ownerRequest struct {
	id    filbertford.SubmissionID
	hop   hop
	event func(fbcore.Ref) fbcore.Event
	reply chan outcome
}

func (m ownerRequest) handle(c *controlLoop, now time.Time) {
	_, o, local := c.route(m.id, now, m.hop)
	if !local {
		m.reply <- o
		return
	}
	c.handleEvent(now, m.event(c.addWaiter(m.reply)))
}
