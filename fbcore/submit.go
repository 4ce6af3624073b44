package fbcore

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// submit handles a delivery of a submission that this daemon may own.
func (c *Core) submit(now time.Time, e Submit) {
	id := e.Delivery.ID()
	if a, final := c.checkID(now, id); final {
		c.emit(Reply{Ref: e.Ref, Answer: a})
		return
	}
	k := keyOf(id)
	if s := c.table.submissions[k]; s != nil {
		c.submitRepeat(e, s)
		return
	}
	if inherited, ok := c.inheritedKeys[k.text]; ok && k.opaque {
		c.submitInheritedRepeat(e, inherited.entry)
		return
	}
	if code, ok := c.table.refusals[k.fingerprint()]; ok {
		c.stats.Repeated++
		c.emit(Reply{Ref: e.Ref, Answer: filbertford.NewRefusal(code, "")})
		return
	}
	c.submitFirst(now, e, k)
}

// checkID returns the final answer of an ID that is not decided by the daemon's own
// table: one that is forged, too old or of a future epoch, or one of another
// incarnation.
func (c *Core) checkID(now time.Time, id filbertford.SubmissionID) (filbertford.Answer, bool) {
	if !id.Pinned() {
		return filbertford.Answer{}, false
	}
	t := id.Token()
	if t.Incarnation() != c.cfg.Incarnation {
		return c.inheritedAnswer(id), true
	}
	if !c.cfg.Key.verify(t) {
		return filbertford.NewRefusal(filbertford.CodeBadToken, ""), true
	}
	if t.Epoch() > c.epochAt(now) {
		return filbertford.NewRefusal(filbertford.CodeFutureToken, ""), true
	}
	if t.Epoch() < c.oldestEpoch(now) {
		return c.answerTooOld(id), true
	}
	return filbertford.Answer{}, false
}

// answerTooOld answers for an ID beyond the resubmission horizon. Its job may have
// run past the horizon, so that the table still has its answer.
func (c *Core) answerTooOld(id filbertford.SubmissionID) filbertford.Answer {
	if s := c.table.submissions[keyOf(id)]; s != nil && s.job == nil {
		return s.answer
	}
	return filbertford.NewRefusal(filbertford.CodeTooOld, "")
}

// submitRepeat handles a delivery of an ID that is in the table already.
func (c *Core) submitRepeat(e Submit, s *submission) {
	c.stats.Repeated++
	if s.digest != e.Digest {
		c.emit(Reply{Ref: e.Ref, Answer: filbertford.NewRefusal(filbertford.CodeIDReused, "")})
		return
	}
	if s.job != nil {
		c.addWaiter(e.Ref, s)
		return
	}
	c.emit(Reply{Ref: e.Ref, Answer: s.answer})
}

// submitInheritedRepeat handles a delivery of an opaque key whose former owner
// handed its answer over.
func (c *Core) submitInheritedRepeat(e Submit, entry TableEntry) {
	c.stats.Repeated++
	a := entry.answer
	if entry.digest != e.Digest {
		a = filbertford.NewRefusal(filbertford.CodeIDReused, "")
	}
	c.emit(Reply{Ref: e.Ref, Answer: a})
}

// submitFirst handles the first delivery of an ID.
func (c *Core) submitFirst(now time.Time, e Submit, k submissionKey) {
	if a, ok := c.checkClaim(e, k); !ok {
		c.emit(Reply{Ref: e.Ref, Answer: a})
		return
	}
	job := e.Delivery.Job()
	if a, ok := c.admit(now, job, e.Rules); !ok {
		c.refuse(now, e.Ref, k, a)
		return
	}
	s := &submission{key: k, team: job.Team(), digest: e.Digest}
	c.table.add(s, c.expiryEpoch(now, k))
	c.addWaiter(e.Ref, s)
	c.accept(now, s, job, e.Rules)
}

// checkClaim decides whether the daemon may accept or refuse the submission of a
// first delivery at all, and returns the answer if it may not. That answer is not
// retained: it means that this delivery started nothing and says nothing about
// other deliveries.
func (c *Core) checkClaim(e Submit, k submissionKey) (filbertford.Answer, bool) {
	if c.table.len() >= c.cfg.MaxSubmissions || len(c.table.refusals) >= refusalsPerSubmission*c.cfg.MaxSubmissions {
		return filbertford.NewRefusal(filbertford.CodeBusy, "").WithRetryAfter(c.cfg.EpochLength), false
	}
	if c.cfg.MaxJobBytes > 0 && c.jobBytes+e.Delivery.Job().MemoryBytes() > c.cfg.MaxJobBytes {
		c.stats.OutOfMemory++
		return filbertford.NewRefusal(filbertford.CodeBusy, "the jobs that have not ended take too much memory").WithRetryAfter(jobMemoryRetryDelay), false
	}
	switch e.Claim {
	case ClaimPinned, ClaimOwned:
	case ClaimTooOld:
		return filbertford.NewRefusal(filbertford.CodeTooOld, ""), false
	case ClaimFuture:
		return filbertford.NewRefusal(filbertford.CodeFutureToken, "the key's minting time is yet to come"), false
	case ClaimUndecided:
		return filbertford.NewRefusal(filbertford.CodeUndecided, ""), false
	default:
		return filbertford.NewRefusal(filbertford.CodeOwnerUnconfirmed, "").WithRetryAfter(unconfirmedRetryDelay), false
	}
	if _, seen := c.table.fingerprints[k.fingerprint()]; seen && k.opaque {
		return filbertford.NewRefusal(filbertford.CodeTooOld, ""), false
	}
	return filbertford.Answer{}, true
}

// JobBytes returns the memory of the jobs that have not ended, in bytes.
func (c *Core) JobBytes() int { return c.jobBytes }

// jobMemoryRetryDelay is the time after which a caller may retry a job for which there was no
// memory.
const jobMemoryRetryDelay = time.Second

// refusalsPerSubmission is the ratio of the maximum number of retained refusals to
// MaxSubmissions. A refusal takes about a tenth of the memory of a submission.
const refusalsPerSubmission = 4

// unconfirmedRetryDelay is the time after which a caller may retry a key whose owner
// is not confirmed.
const unconfirmedRetryDelay = time.Second

// admit decides whether a job is accepted. A refusal applies to the whole
// submission.
func (c *Core) admit(now time.Time, j filbertford.Job, r filbertford.Rules) (filbertford.Answer, bool) {
	if c.stopping {
		return filbertford.NewRefusal(filbertford.CodeOwnerStopping, "").WithRetryAfter(stoppingRetryDelay), false
	}
	busy := c.teamTasks[j.Team()] + c.peerTeamTasks[j.Team()]
	l := filbertford.NewLoad(c.waitingTasks, len(c.starts), c.poolOf(j.Service()).slots, busy)
	if l.Slots() == 0 && len(c.targetIDs) > 0 && !c.serviceListed(j.Service()) {
		return filbertford.NewRefusal(filbertford.CodeCannotRun, "no target serves "+j.Service()), false
	}
	if v := c.policy.Admit(now, j, r, l); !v.Admitted() {
		return filbertford.NewRefusal(v.Code(), "").WithRetryAfter(v.RetryAfter()), false
	}
	return filbertford.Answer{}, true
}

// stoppingRetryDelay is the time after which a caller may retry, at the data centre,
// a job that a stopping daemon refused.
const stoppingRetryDelay = 10 * time.Millisecond

// serviceListed reports whether any target in the list, live or leaving, serves the
// service.
func (c *Core) serviceListed(service string) bool {
	for _, t := range c.targets {
		if t.listed && t.vm.Serves(service) {
			return true
		}
	}
	return false
}

// refuse answers that the submission was not run and records the refusal.
func (c *Core) refuse(now time.Time, ref Ref, k submissionKey, a filbertford.Answer) {
	c.assert(a.Code().Class() == filbertford.ClassNotRun, InvariantNotRun)
	c.stats.Refused++
	c.table.addRefusal(k, a.Code(), c.expiryEpoch(now, k))
	c.emit(Reply{Ref: ref, Answer: a})
}

// expiryEpoch returns the epoch with which the entry of a key is dropped.
func (c *Core) expiryEpoch(now time.Time, k submissionKey) filbertford.Epoch {
	if k.opaque {
		return c.epochAt(now)
	}
	return k.epoch
}

func (c *Core) addWaiter(ref Ref, s *submission) {
	s.waiters = append(s.waiters, ref)
	c.waiters[ref] = s
}

// abandon removes a delivery that nobody waits for any longer.
func (c *Core) abandon(ref Ref) {
	s := c.waiters[ref]
	if s == nil {
		return
	}
	delete(c.waiters, ref)
	s.waiters = slices.DeleteFunc(s.waiters, func(r Ref) bool { return r == ref })
}

// cancel cancels a submission at the request of its caller.
func (c *Core) cancel(now time.Time, e Cancel) {
	s, status := c.lookup(now, e.ID, e.Team)
	if s != nil && s.job != nil {
		a := filbertford.NewRefusal(filbertford.CodeCancelled, "")
		c.finish(s.job, a)
		c.emit(Reply{Ref: e.Ref, Answer: a})
		return
	}
	c.emit(Reply{Ref: e.Ref, Answer: status.Answer()})
}

// query replies with the status of a submission.
func (c *Core) query(now time.Time, e Query) {
	_, status := c.lookup(now, e.ID, e.Team)
	c.emit(ReplyStatus{Ref: e.Ref, Status: status})
}

// lookup returns the submission, nil if it is not in the table or belongs to another
// team, and its status. An empty team matches all.
func (c *Core) lookup(now time.Time, id filbertford.SubmissionID, team string) (*submission, filbertford.SubmissionStatus) {
	if a, final := c.checkID(now, id); final {
		return nil, statusOf(a)
	}
	k := keyOf(id)
	s := c.table.submissions[k]
	if s != nil && team != "" && s.team != team {
		s = nil
	}
	if inherited, ok := c.inheritedKeys[k.text]; ok && s == nil && k.opaque {
		return nil, statusOf(inherited.entry.answer)
	}
	if s == nil {
		if code, ok := c.table.refusals[k.fingerprint()]; ok {
			return nil, statusOf(filbertford.NewRefusal(code, ""))
		}
		return nil, statusOf(filbertford.NewRefusal(filbertford.CodeNotFound, ""))
	}
	if s.job != nil {
		return s, filbertford.NewSubmissionStatus(filbertford.StateRunning, filbertford.Answer{})
	}
	return s, filbertford.NewSubmissionStatus(filbertford.StateFinished, s.answer)
}

// statusOf returns the status of a submission that is not in the table.
func statusOf(a filbertford.Answer) filbertford.SubmissionStatus {
	if a.Code().Class() == filbertford.ClassNotStarted {
		return filbertford.NewSubmissionStatus(filbertford.StateUnknown, a)
	}
	return filbertford.NewSubmissionStatus(filbertford.StateFinished, a)
}
