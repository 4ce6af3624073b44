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

// controlLoop is the state of the control goroutine. Other goroutines use only
// its channel drained.
type controlLoop struct {
	d                 *Daemon
	core              *fbcore.Core
	view              *fbview.View
	dir               *fbmember.Directory
	waiters           map[fbcore.Ref]chan<- outcome
	lastRef           fbcore.Ref
	roundRobin        int
	vms               []filbertford.VM
	drained           chan struct{}
	spillCancels      map[filbertford.StartID]context.CancelFunc
	lastViewTick      time.Time
	lastMetricsReport time.Time
	readyLogged       bool

	quarantined map[filbertford.TargetID]struct{}
}

// viewTickPeriod is the time between two ticks of the view of opaque keys.
const viewTickPeriod = 50 * time.Millisecond

// run handles ticks and messages until the context is done.
func (c *controlLoop) run(ctx context.Context) error {
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

func (c *controlLoop) onTick(now time.Time) {
	c.handleEvent(now, fbcore.Tick{})
	c.publishTokens(now)
	if now.Sub(c.lastViewTick) >= viewTickPeriod {
		c.lastViewTick = now
		c.view.SetPeers(c.livePeers(now), c.dir.TakeTerminated())
		c.doViewActions(c.view.Tick(now))
		c.handleHealthChanges()
	}
	if now.Sub(c.lastMetricsReport) >= metricsPeriod {
		c.lastMetricsReport = now
		c.d.metrics.report(c)
	}
	if !c.readyLogged && c.d.Ready() {
		c.readyLogged = true
		fbevent.DaemonReady.Log(c.d.log, "settings", c.d.settings.Load().Version())
	}
}

// handleHealthChanges logs the targets whose health the policy has changed. If a
// target was quarantined, heartbeats become due immediately. They report it to the
// other daemons of the data centre.
func (c *controlLoop) handleHealthChanges() {
	for _, change := range c.core.HealthChanges() {
		e := fbevent.TargetTrusted
		delete(c.quarantined, change.Target())
		switch change.Health() {
		case filbertford.HealthSuspect:
			e = fbevent.TargetSuspected
		case filbertford.HealthQuarantined:
			e = fbevent.TargetQuarantined
			c.quarantined[change.Target()] = struct{}{}
			c.dir.MakeLocalDue()
		}
		e.Log(c.d.log, "target", change.Target())
	}
}

// publishTokens stores the owner tokens for request goroutines, which read them
// without sending a message. There are none until the daemon has settings and
// the VM list, nor while the core issues none.
func (c *controlLoop) publishTokens(now time.Time) {
	token := c.core.Token(now)
	loaded := c.d.haveSettings.Load() && c.d.haveVMs.Load()
	if token.IsZero() || !loaded {
		c.d.token.Store(nil)
		c.d.ownTokenText.Store(nil)
		return
	}
	text := token.String()
	storeIfChanged(&c.d.ownTokenText, text)
	if lessLoaded := c.dir.PreferredToken(now, c.core.Load()); lessLoaded != "" {
		text = lessLoaded
	}
	storeIfChanged(&c.d.token, text)
}

// storeIfChanged stores the text in p unless p holds it already.
func storeIfChanged(p *atomic.Pointer[string], text string) {
	if old := p.Load(); old == nil || *old != text {
		p.Store(&text)
	}
}

// handleEvent passes an event to the core and carries out the actions that the
// core returns.
func (c *controlLoop) handleEvent(now time.Time, e fbcore.Event) {
	for _, a := range c.core.Handle(now, e) {
		c.doAction(a)
	}
}

func (c *controlLoop) doAction(a fbcore.Action) {
	switch a := a.(type) {
	case fbcore.Reply:
		c.deliverOutcome(a.Ref, outcome{answer: a.Answer})
	case fbcore.ReplyStatus:
		c.deliverOutcome(a.Ref, outcome{status: a.Status})
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

// addWaiter returns a new reference whose outcome will be sent to the channel.
// The channel must have a free buffer slot for it.
func (c *controlLoop) addWaiter(reply chan<- outcome) fbcore.Ref {
	c.lastRef++
	c.waiters[c.lastRef] = reply
	return c.lastRef
}

func (c *controlLoop) deliverOutcome(ref fbcore.Ref, o outcome) {
	reply := c.waiters[ref]
	if reply == nil {
		return
	}
	delete(c.waiters, ref)
	reply <- o
}

// applyQuarantineHints passes the targets that another daemon of the data centre
// has quarantined to the policy.
func (c *controlLoop) applyQuarantineHints(now time.Time, s fbmember.State) {
	if s.DataCentre() != c.d.dataCentre {
		return
	}
	for _, id := range s.Quarantined() {
		c.core.HintQuarantined(now, id)
	}
}

// ownState returns the state that the daemon reports to other daemons.
func (c *controlLoop) ownState(now time.Time) fbmember.State {
	token := ""
	if t := c.core.Token(now); !t.IsZero() {
		token = t.String()
	}
	return fbmember.NewState(c.d.vm, c.d.incarnation, c.d.dataCentre, c.d.peerAddress).
		WithStopping(c.core.Stopping()).
		WithSettingsVersion(c.d.settings.Load().Version()).
		WithLoad(c.core.Load(), token).
		WithInherited(c.core.Inherited()).
		WithTeamTasks(c.core.TeamTasks()).
		WithQuarantined(slices.Sorted(maps.Keys(c.quarantined)))
}
