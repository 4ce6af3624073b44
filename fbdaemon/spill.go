package fbdaemon

import (
	"context"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
)

// remotes returns the daemons of other data centres that are likely to have free
// slots.
func (c *controlLoop) remotes(now time.Time) []fbcore.Remote {
	freeSlots := c.dir.RemoteFreeSlots(now)
	var out []fbcore.Remote
	for _, m := range c.dir.Members() {
		slots, ok := freeSlots[m.Address()]
		if !ok {
			continue
		}
		s := m.State()
		id := filbertford.VMID(string(s.DataCentre()) + "/" + string(s.VM()))
		vm := filbertford.NewVM(id, filbertford.RoleEntry, s.DataCentre(), m.Address())
		out = append(out, fbcore.NewRemote(vm, slots, m.RoundTrip()))
	}
	return out
}

// startRemote sends a task to a daemon of another data centre, in a separate
// goroutine, and passes the result to the core.
func (d *Daemon) startRemote(c *controlLoop, a fbcore.StartRemote) {
	ctx, cancel := context.WithTimeout(d.ctx, a.Job.Timeout()+d.requestTimeout)
	c.spillCancels[a.ID] = cancel
	d.requests.Go(func() error {
		defer cancel()
		result := startResult(d.peers.RunTask(ctx, a.Address, a.ID, a.Job))
		return d.send(d.ctx, remoteTaskEnded{id: a.ID, result: result})
	})
}

// stopRemote cancels the requests that run tasks at daemons of other data centres.
func (c *controlLoop) stopRemote(a fbcore.StopRemote) {
	for _, id := range a.Starts {
		if cancel := c.spillCancels[id]; cancel != nil {
			cancel()
		}
	}
}

// remoteTaskEnded is the message with the result of a task in another data centre.
type remoteTaskEnded struct {
	id     filbertford.StartID
	result filbertford.StartResult
}

func (m remoteTaskEnded) handle(c *controlLoop, now time.Time) {
	delete(c.spillCancels, m.id)
	c.handleEvent(now, fbcore.StartEnded{Start: m.id, Result: m.result})
}

// startResult converts the answer to a job of one task to the result of a start.
func startResult(a filbertford.Answer) filbertford.StartResult {
	switch {
	case a.Code() == filbertford.CodeComplete && len(a.Results()) == 1:
		return filbertford.NewStartResult(filbertford.OutcomeDone).WithOutput(a.Results()[0].Output())
	case a.Code() == filbertford.CodeTaskFailed:
		return filbertford.NewStartResult(filbertford.OutcomeTaskFailed).WithDetail(a.Detail())
	case a.Code().Class() == filbertford.ClassNotRun, a.Code().Class() == filbertford.ClassNotStarted:
		return filbertford.NewStartResult(filbertford.OutcomeNoSlot).WithDetail(string(a.Code()))
	default:
		return filbertford.NewStartResult(filbertford.OutcomeUnknown).WithDetail(string(a.Code()))
	}
}

// RunTask runs a task for a daemon of another data centre, which sends each start
// ID once. The task is never sent on to a third data centre.
func (s peerService) RunTask(ctx context.Context, startID filbertford.StartID, j filbertford.Job) filbertford.Answer {
	d := s.d
	token, err := filbertford.ParseToken(d.ownToken())
	if err != nil {
		return filbertford.NewRefusal(filbertford.CodeNotReady, "")
	}
	id, err := filbertford.MintID(token, string(startID))
	if err != nil {
		return filbertford.NewRefusal(filbertford.CodeMalformed, err.Error())
	}
	m, refusal := d.newSubmitRequest(hopCaller, filbertford.NewDelivery(id, j))
	if refusal != nil {
		return *refusal
	}
	m.rules = m.rules.WithSpill(0)
	if !d.trySend(m) {
		return filbertford.NewRefusal(filbertford.CodeBusy, "")
	}
	return d.awaitPeerTask(ctx, m)
}

// awaitPeerTask waits for the outcome of a task that runs for another daemon. It
// cancels the task when that daemon cancels the request.
func (d *Daemon) awaitPeerTask(ctx context.Context, m *submitRequest) filbertford.Answer {
	select {
	case o := <-m.reply:
		return o.answer
	case <-ctx.Done():
		discarded := make(chan outcome, 1)
		_ = d.send(d.ctx, ownerRequest{id: m.delivery.ID(), hop: hopOwner, reply: discarded, event: func(ref fbcore.Ref) fbcore.Event {
			return fbcore.Cancel{Ref: ref, ID: m.delivery.ID()}
		}})
		return filbertford.NewRefusal(filbertford.CodeCancelled, "")
	}
}
