package fbdaemon

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbmember"
	"github.com/filbertford/filbertford/fbview"
)

// control is the state that only the control goroutine touches.
type control struct {
	d        *Daemon
	core     *fbcore.Core
	view     *fbview.View
	dir      *fbmember.Directory
	waiters  map[fbcore.Ref]chan<- outcome
	lastRef  fbcore.Ref
	lastHome int
	vms      []filbertford.VM
	drained  chan struct{}
	spilled  map[filbertford.StartID]context.CancelFunc
	lastView time.Time
	lastSent time.Time
	wasReady bool

	quarantined map[filbertford.TargetID]struct{}
}

// viewPeriod is the time between two looks at the view of opaque keys.
const viewPeriod = 50 * time.Millisecond

// run handles messages until the context ends.
func (c *control) run(ctx context.Context) error {
	ticks, stop := c.d.timer.Subscribe(c.d.tick)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			c.onTick(c.d.timer.Now())
		case m := <-c.d.inbox:
			m.handle(c, c.d.timer.Now())
		}
	}
}

func (c *control) onTick(now time.Time) {
	c.drive(now, fbcore.Tick{})
	c.publish(now)
	if now.Sub(c.lastView) >= viewPeriod {
		c.lastView = now
		c.view.PeersChanged(c.livePeers(now), c.dir.Gone())
		c.actOnView(c.view.Tick(now))
		c.followStandings()
	}
	if now.Sub(c.lastSent) >= metricsPeriod {
		c.lastSent = now
		c.d.metrics.report(c)
	}
	if !c.wasReady && c.d.Ready() {
		c.wasReady = true
		fbevent.DaemonReady.Log(c.d.log, "settings", c.d.settings.Load().Version())
	}
}

// followStandings logs what the policy has changed its mind on, and lets the other
// daemons of the data centre know at once of targets in quarantine.
func (c *control) followStandings() {
	for _, change := range c.core.Standings() {
		e := fbevent.TargetTrusted
		delete(c.quarantined, change.Target())
		switch change.Health() {
		case filbertford.HealthSuspect:
			e = fbevent.TargetSuspected
		case filbertford.HealthQuarantined:
			e = fbevent.TargetQuarantined
			c.quarantined[change.Target()] = struct{}{}
			c.dir.AskNear()
		}
		e.Log(c.d.log, "target", change.Target())
	}
}

// publish makes what traffic goroutines read without asking.
func (c *control) publish(now time.Time) {
	token := c.core.Token(now)
	booted := c.d.haveSettings.Load() && c.d.haveVMs.Load()
	if token.IsZero() || !booted {
		c.d.token.Store(nil)
		c.d.own.Store(nil)
		return
	}
	own := token.String()
	store(&c.d.own, own)
	if steered := c.dir.Steer(now, c.core.Load()); steered != "" {
		own = steered
	}
	store(&c.d.token, own)
}

// store replaces a text if it has changed.
func store(p *atomic.Pointer[string], text string) {
	if old := p.Load(); old == nil || *old != text {
		p.Store(&text)
	}
}

// drive hands an event to the core and carries the actions out.
func (c *control) drive(now time.Time, e fbcore.Event) {
	for _, a := range c.core.Handle(now, e) {
		c.act(a)
	}
}

func (c *control) act(a fbcore.Action) {
	switch a := a.(type) {
	case fbcore.Reply:
		c.answer(a.Ref, outcome{answer: a.Answer})
	case fbcore.ReplyStatus:
		c.answer(a.Ref, outcome{status: a.Status})
	case fbcore.StartTask:
		c.d.startTask(a)
	case fbcore.StartRemote:
		c.d.startRemote(c, a)
	case fbcore.StopRemote:
		c.stopRemote(a)
	case fbcore.StopTasks:
		c.d.stopTasks(a)
	case fbcore.RenewLease:
		c.d.renewLease(a)
	case fbcore.Drained:
		close(c.drained)
	case fbcore.Violated:
		fbevent.InvariantBroken.Log(c.d.log, "invariant", string(a.Invariant))
		if c.d.onViolation != nil {
			c.d.onViolation(a.Invariant)
		}
	}
}

// expect gives out a reference whose reply goes to the channel, which must
// have room for it.
func (c *control) expect(to chan<- outcome) fbcore.Ref {
	c.lastRef++
	c.waiters[c.lastRef] = to
	return c.lastRef
}

func (c *control) answer(ref fbcore.Ref, o outcome) {
	to := c.waiters[ref]
	if to == nil {
		return
	}
	delete(c.waiters, ref)
	to <- o
}

// takeHints lets the policy know of the targets that a daemon of the data centre
// keeps in quarantine.
func (c *control) takeHints(now time.Time, s fbmember.State) {
	if s.DataCentre() != c.d.dataCentre {
		return
	}
	for _, id := range s.Quarantined() {
		c.core.Hint(now, id)
	}
}

// state returns what the daemon tells of itself.
func (c *control) state(now time.Time) fbmember.State {
	token := ""
	if t := c.core.Token(now); !t.IsZero() {
		token = t.String()
	}
	return fbmember.NewState(c.d.vm, c.d.incarnation, c.d.dataCentre, c.d.peerAddress).
		WithStopping(c.core.Stopping()).
		WithSettings(c.d.settings.Load().Version()).
		WithLoad(c.core.Load(), token).
		WithInherited(c.core.Inherited()).
		WithTeams(c.core.TeamBusy()).
		WithQuarantined(slices.Sorted(maps.Keys(c.quarantined)))
}
