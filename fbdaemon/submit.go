package fbdaemon

import (
	"context"
	"fmt"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
)

// outcome is what the control goroutine makes of a request: an answer, a
// status, or the daemon to pass the request on to.
type outcome struct {
	answer  filbertford.Answer
	status  filbertford.SubmissionStatus
	forward string
	owner   filbertford.Incarnation
}

// busyRetry is when a caller may come back to a daemon whose queue of messages
// is full.
const busyRetry = 100 * time.Millisecond

// ownerRetry is when a caller may come back with an opaque key whose owner could
// not be reached.
const ownerRetry = time.Second

// Submit answers a caller's delivery, by way of its owner.
func (d *Daemon) Submit(ctx context.Context, del filbertford.Delivery) filbertford.Answer {
	began := d.timer.Now()
	a := d.submit(ctx, hopCaller, del)
	d.recordAnswer(ctx, del.Job(), a, began)
	return a
}

// submit answers a delivery that came by the given hop.
func (d *Daemon) submit(ctx context.Context, h hop, del filbertford.Delivery) filbertford.Answer {
	m, refusal := d.newDelivered(h, del)
	if refusal != nil {
		return *refusal
	}
	if !d.offer(m) {
		return filbertford.NewRefusal(filbertford.CodeBusy, "").WithRetryAfter(busyRetry)
	}
	select {
	case o := <-m.reply:
		if o.forward != "" {
			return d.forward(ctx, o, m.delivery)
		}
		return o.answer
	case <-ctx.Done():
		d.offer(abandoned{m})
		return filbertford.NewRefusal(filbertford.CodeOutcomeUnknown, "the caller went away")
	}
}

// forward passes a delivery on. An owner that is silent for longer than the job
// may take leaves the outcome unknown.
func (d *Daemon) forward(ctx context.Context, o outcome, del filbertford.Delivery) filbertford.Answer {
	d.metrics.forwards.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, del.Job().Timeout()+d.requestTimeout)
	defer cancel()
	a := d.peers.Forward(ctx, o.forward, o.owner, del)
	if a.Code() == filbertford.CodeOwnerUnreachable && !del.ID().Pinned() {
		return a.WithRetryAfter(ownerRetry) // the key will have another owner
	}
	return a
}

// newDelivered returns the message of a delivery, or the refusal of a job that
// the settings don't allow.
func (d *Daemon) newDelivered(h hop, del filbertford.Delivery) (*delivered, *filbertford.Answer) {
	job, rules, refusal := d.prepare(del.Job())
	if refusal != nil {
		return nil, refusal
	}
	return &delivered{
		delivery: filbertford.NewDelivery(del.ID(), job),
		digest:   fbcore.Digest(job),
		rules:    rules,
		hop:      h,
		reply:    make(chan outcome, 1),
	}, nil
}

// prepare checks a job against the settings and fills in its timeout.
func (d *Daemon) prepare(j filbertford.Job) (filbertford.Job, filbertford.Rules, *filbertford.Answer) {
	settings := d.settings.Load()
	if !d.haveSettings.Load() {
		a := filbertford.NewRefusal(filbertford.CodeNotReady, "").WithRetryAfter(busyRetry)
		return filbertford.Job{}, filbertford.Rules{}, &a
	}
	rules, ok := settings.Rules(j.Team(), j.Service(), j.Kind())
	if !ok {
		return refused(filbertford.CodeUnknownService, fmt.Sprintf("team %q, service %q, kind %q", j.Team(), j.Service(), j.Kind()))
	}
	if n := len(j.Tasks()); n == 0 {
		return refused(filbertford.CodeMalformed, "a job has at least one task")
	} else if most := rules.MaxTasks(); most > 0 && n > most {
		return refused(filbertford.CodeTooLarge, fmt.Sprintf("%d tasks are more than the %d allowed", n, most))
	}
	if j.Timeout() == 0 {
		j = j.WithTimeout(rules.Timeout())
	}
	longest := d.horizon // an opaque key is undecided at a new owner for so long
	if most := rules.MaxTimeout(); most > 0 {
		longest = min(longest, most)
	}
	if j.Timeout() > longest {
		return refused(filbertford.CodeMalformed, fmt.Sprintf("a timeout of %v is longer than the %v allowed", j.Timeout(), longest))
	}
	return j, rules, nil
}

func refused(code filbertford.Code, detail string) (filbertford.Job, filbertford.Rules, *filbertford.Answer) {
	a := filbertford.NewRefusal(code, detail)
	return filbertford.Job{}, filbertford.Rules{}, &a
}

// delivered brings a delivery to the control goroutine.
type delivered struct {
	delivery filbertford.Delivery
	digest   uint64
	rules    filbertford.Rules
	hop      hop
	reply    chan outcome
	ref      fbcore.Ref
}

func (m *delivered) handle(c *control, now time.Time) {
	claim, o, local := c.route(m.delivery.ID(), now, m.hop)
	if !local {
		m.reply <- o
		return
	}
	m.ref = c.expect(m.reply)
	c.drive(now, fbcore.Submit{Ref: m.ref, Delivery: m.delivery, Digest: m.digest, Rules: m.rules, Claim: claim})
}

// abandoned tells that nobody waits for a delivery any longer.
type abandoned struct{ delivery *delivered }

func (m abandoned) handle(c *control, now time.Time) {
	delete(c.waiters, m.delivery.ref)
	c.drive(now, fbcore.Abandon{Ref: m.delivery.ref})
}

// Cancel cancels a submission of the team, any if empty, by way of its owner.
func (d *Daemon) Cancel(ctx context.Context, id filbertford.SubmissionID, team string) filbertford.Answer {
	return d.cancel(ctx, hopCaller, id, team)
}

func (d *Daemon) cancel(ctx context.Context, h hop, id filbertford.SubmissionID, team string) filbertford.Answer {
	o := d.ask(ctx, h, id, func(ref fbcore.Ref) fbcore.Event {
		return fbcore.Cancel{Ref: ref, ID: id, Team: team}
	})
	if o.forward == "" {
		return o.answer
	}
	ctx, cancel := context.WithTimeout(ctx, d.requestTimeout)
	defer cancel()
	return d.peers.Cancel(ctx, o.forward, o.owner, id, team)
}

// Status tells a team, any if empty, what the owner knows of a submission.
func (d *Daemon) Status(ctx context.Context, id filbertford.SubmissionID, team string) filbertford.SubmissionStatus {
	return d.status(ctx, hopCaller, id, team)
}

func (d *Daemon) status(ctx context.Context, h hop, id filbertford.SubmissionID, team string) filbertford.SubmissionStatus {
	o := d.ask(ctx, h, id, func(ref fbcore.Ref) fbcore.Event {
		return fbcore.Query{Ref: ref, ID: id, Team: team}
	})
	switch {
	case o.forward != "":
		ctx, cancel := context.WithTimeout(ctx, d.requestTimeout)
		defer cancel()
		return d.peers.Status(ctx, o.forward, o.owner, id, team)
	case o.status.State() == "":
		return filbertford.NewSubmissionStatus(filbertford.StateUnknown, o.answer)
	}
	return o.status
}

// ask hands an event about a known submission to the core, or tells whom to
// ask.
func (d *Daemon) ask(ctx context.Context, h hop, id filbertford.SubmissionID, event func(fbcore.Ref) fbcore.Event) outcome {
	reply := make(chan outcome, 1)
	err := d.send(ctx, question{id: id, hop: h, event: event, reply: reply})
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

// question brings a cancellation or a query to the control goroutine.
type question struct {
	id    filbertford.SubmissionID
	hop   hop
	event func(fbcore.Ref) fbcore.Event
	reply chan outcome
}

func (m question) handle(c *control, now time.Time) {
	_, o, local := c.route(m.id, now, m.hop)
	if !local {
		m.reply <- o
		return
	}
	c.drive(now, m.event(c.expect(m.reply)))
}
