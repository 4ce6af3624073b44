package fbdaemon

import (
	"context"
	"fmt"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbview"
)

// outcome is what the control goroutine makes of a request: an answer, a
// status, or the daemon to pass the request on to.
type outcome struct {
	answer  filbertford.Answer
	status  filbertford.Status
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
	a := d.submit(ctx, 0, del, false)
	d.recordAnswer(ctx, del.Job(), a, began)
	return a
}

// submit answers a delivery. A forwarded one names its owner, or none if it is
// an opaque key that came from another data centre.
func (d *Daemon) submit(ctx context.Context, owner filbertford.Incarnation, del filbertford.Delivery, forwarded bool) filbertford.Answer {
	job, rules, refusal := d.prepare(del.Job())
	if refusal != nil {
		return *refusal
	}
	reply := make(chan outcome, 1)
	m := &delivered{
		delivery:  filbertford.NewDelivery(del.ID(), job),
		digest:    fbcore.Digest(job),
		rules:     rules,
		owner:     owner,
		forwarded: forwarded,
		reply:     reply,
	}
	if !d.offer(m) {
		return filbertford.NewRefusal(filbertford.CodeBusy, "").WithRetryAfter(busyRetry)
	}
	return d.await(ctx, m, reply)
}

// await waits for the outcome of a delivery, and forwards it if need be. An
// owner that is silent for longer than the job may take leaves the outcome
// unknown.
func (d *Daemon) await(ctx context.Context, m *delivered, reply <-chan outcome) filbertford.Answer {
	select {
	case o := <-reply:
		if o.forward == "" {
			return o.answer
		}
		d.metrics.forwards.Inc(1)
		ctx, cancel := context.WithTimeout(ctx, m.delivery.Job().Timeout()+d.requestTimeout)
		defer cancel()
		a := d.peers.Forward(ctx, o.forward, o.owner, m.delivery)
		if a.Code() == filbertford.CodeOwnerUnreached && !m.delivery.ID().Pinned() {
			a = a.WithRetryAfter(ownerRetry) // an opaque key will have another owner
		}
		return a
	case <-ctx.Done():
		d.offer(abandoned{m})
		return filbertford.NewRefusal(filbertford.CodeOutcomeUnknown, "the caller went away")
	}
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
	delivery  filbertford.Delivery
	digest    uint64
	rules     filbertford.Rules
	owner     filbertford.Incarnation
	forwarded bool
	reply     chan outcome
	ref       fbcore.Ref
}

func (m *delivered) handle(c *control, now time.Time) {
	id := m.delivery.ID()
	claim := fbcore.ClaimPinned
	o, local := c.routePinned(id, m.forwarded)
	if !id.Pinned() {
		claim, o, local = c.routeOpaque(id, now, m.forwarded && m.owner != 0)
	}
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

// routePinned decides where a pinned ID goes. A forwarded request is always
// taken here, so that it can't be passed round.
func (c *control) routePinned(id filbertford.SubmissionID, forwarded bool) (outcome, bool) {
	inc := id.Token().Incarnation()
	if forwarded || inc == c.d.incarnation || c.core.AnswersFor(inc) {
		return outcome{}, true
	}
	if address, ok := c.dir.Owner(inc); ok {
		return outcome{forward: address, owner: inc}, false
	}
	if address := id.Token().Address(); c.dir.Known(address) {
		return outcome{forward: address, owner: inc}, false
	}
	return outcome{answer: filbertford.NewRefusal(filbertford.CodeOwnerGone, "")}, false
}

// routeOpaque decides where an opaque key goes: to a member of its home data
// centre, there to its owner under the view. A request that was forwarded to
// this daemon as the owner is taken or refused, never passed on.
func (c *control) routeOpaque(id filbertford.SubmissionID, now time.Time, final bool) (fbcore.Claim, outcome, bool) {
	if c.core.Remembers(id) {
		return fbcore.ClaimUnsure, outcome{}, true
	}
	key := id.String()
	home := fbview.Home(key, c.d.dataCentres)
	if home != c.d.dataCentre {
		return fbcore.ClaimUnsure, c.towards(home, now), false
	}
	a := c.view.Admit(key, now)
	switch a.Verdict() {
	case fbview.VerdictStart:
		return fbcore.ClaimOwned, outcome{}, true
	case fbview.VerdictUndecided:
		return fbcore.ClaimUndecided, outcome{}, true
	case fbview.VerdictTooOld:
		return fbcore.ClaimTooOld, outcome{}, true
	case fbview.VerdictFuture:
		return fbcore.ClaimFuture, outcome{}, true
	case fbview.VerdictElsewhere:
		if owner := a.Owner(); !final && c.dir.Known(owner.Address()) {
			return fbcore.ClaimUnsure, outcome{forward: owner.Address(), owner: owner.Incarnation()}, false
		}
	}
	return fbcore.ClaimUnsure, outcome{}, true
}

// towards picks a live daemon of another data centre.
func (c *control) towards(home filbertford.DataCentre, now time.Time) outcome {
	live := c.dir.Live(now, home)
	if len(live) == 0 {
		detail := fmt.Sprintf("no daemon of data centre %s can be reached", home)
		return outcome{answer: filbertford.NewRefusal(filbertford.CodeOwnerUnreached, detail).WithRetryAfter(time.Second)}
	}
	c.lastRef++
	return outcome{forward: live[int(c.lastRef)%len(live)].Address()}
}

// Cancel cancels a submission of the team, any if empty, by way of its owner.
func (d *Daemon) Cancel(ctx context.Context, id filbertford.SubmissionID, team string) filbertford.Answer {
	return d.cancel(ctx, id, team, false, 0)
}

func (d *Daemon) cancel(ctx context.Context, id filbertford.SubmissionID, team string, forwarded bool, owner filbertford.Incarnation) filbertford.Answer {
	o, ok := d.ask(ctx, id, forwarded, owner, func(ref fbcore.Ref) fbcore.Event {
		return fbcore.Cancel{Ref: ref, ID: id, Team: team}
	})
	if ok && o.forward != "" {
		ctx, cancel := context.WithTimeout(ctx, d.requestTimeout)
		defer cancel()
		return d.peers.Cancel(ctx, o.forward, o.owner, id, team)
	}
	return o.answer
}

// Status tells a team, any if empty, what the owner knows of a submission.
func (d *Daemon) Status(ctx context.Context, id filbertford.SubmissionID, team string) filbertford.Status {
	return d.status(ctx, id, team, false, 0)
}

func (d *Daemon) status(ctx context.Context, id filbertford.SubmissionID, team string, forwarded bool, owner filbertford.Incarnation) filbertford.Status {
	o, ok := d.ask(ctx, id, forwarded, owner, func(ref fbcore.Ref) fbcore.Event {
		return fbcore.Query{Ref: ref, ID: id, Team: team}
	})
	switch {
	case ok && o.forward != "":
		ctx, cancel := context.WithTimeout(ctx, d.requestTimeout)
		defer cancel()
		return d.peers.Status(ctx, o.forward, o.owner, id, team)
	case o.status.State() == "":
		return filbertford.NewStatus(filbertford.StateUnknown, o.answer)
	}
	return o.status
}

// ask hands an event about a known submission to the core, or tells whom to
// ask.
func (d *Daemon) ask(ctx context.Context, id filbertford.SubmissionID, forwarded bool, owner filbertford.Incarnation, event func(fbcore.Ref) fbcore.Event) (outcome, bool) {
	reply := make(chan outcome, 1)
	err := d.send(ctx, question{id: id, forwarded: forwarded, owner: owner, event: event, reply: reply})
	if err == nil {
		select {
		case o := <-reply:
			return o, true
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	return outcome{answer: filbertford.NewRefusal(filbertford.CodeBusy, err.Error())}, false
}

// question brings a cancellation or a query to the control goroutine.
type question struct {
	id        filbertford.SubmissionID
	forwarded bool
	owner     filbertford.Incarnation
	event     func(fbcore.Ref) fbcore.Event
	reply     chan outcome
}

func (m question) handle(c *control, now time.Time) {
	o, local := c.routePinned(m.id, m.forwarded)
	if !m.id.Pinned() {
		_, o, local = c.routeOpaque(m.id, now, m.forwarded && m.owner != 0)
	}
	if !local {
		m.reply <- o
		return
	}
	c.drive(now, m.event(c.expect(m.reply)))
}
