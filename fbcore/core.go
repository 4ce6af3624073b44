package fbcore

import (
	"strconv"
	"time"

	"github.com/filbertford/filbertford"
)

// Periods of the core's housekeeping.
const (
	// rankPeriod is the time between two orderings of all waiting jobs.
	rankPeriod = 100 * time.Millisecond
	// forgetPeriod is the time between two looks for epochs to drop.
	forgetPeriod = time.Second
)

// Config holds what is fixed for the life of a Core.
type Config struct {
	// Incarnation names this run of the daemon.
	Incarnation filbertford.Incarnation
	// Key authenticates the incarnation's tokens.
	Key Key
	// DataCentre is where the daemon stands.
	DataCentre filbertford.DataCentre
	// Address is that of the daemon's peer listener, for tokens.
	Address string
	// Started is the time at which epoch 0 begins.
	Started time.Time
	// EpochLength is the length of a token epoch.
	EpochLength time.Duration
	// HorizonEpochs is the resubmission horizon: for how many epochs after its
	// own an ID is remembered.
	HorizonEpochs filbertford.Epoch
	// SpentEpochs is for how many epochs the fingerprint of an opaque key is
	// remembered.
	SpentEpochs filbertford.Epoch
	// MaxSubmissions bounds the IDs that are remembered in full.
	MaxSubmissions int
	// MaxAnswerBytes bounds the results that are kept for resubmissions.
	MaxAnswerBytes int
}

// Core is the state machine of an entry daemon.
type Core struct {
	cfg    Config
	policy filbertford.Policy

	token     filbertford.Token
	table     *registry
	heritages map[filbertford.Incarnation]*heritage
	opaque    map[string]inheritedKey
	waiters   map[Ref]*submission

	targets   map[filbertford.TargetID]*target
	targetIDs []filbertford.TargetID
	pools     map[string]*pool
	remotes   []*remote
	starts    map[filbertford.StartID]*start
	waiting   *jobHeap
	deadlines *jobHeap

	active       int // jobs that are not over
	waitingTasks int
	teamBusy     map[string]int
	peerUse      map[string]int
	lastStart    uint64
	lastJob      uint64

	stopping  bool
	drained   bool
	lastTick  time.Time
	lastRank  time.Time
	lastDrop  time.Time
	stopsDue  []*target
	passed    []*job // scratch of dispatch
	actions   []Action
	stats     Stats
	startName string
}

// Stats counts what a core has done since its start.
type Stats struct {
	// Accepted is the number of jobs taken.
	Accepted uint64
	// Refused is the number of jobs refused as not run.
	Refused uint64
	// Repeated is the number of deliveries of an ID that was known already.
	Repeated uint64
	// Starts is the number of starts sent, NotStarted those that came back
	// without having started, Unknown those with an unknown outcome.
	Starts, NotStarted, Unknown uint64
	// Spilled is the number of tasks sent to other data centres.
	Spilled uint64
	// Stops is the number of stop messages, Renewals that of lease renewals.
	Stops, Renewals uint64
	// Violations is the number of broken invariants.
	Violations uint64
}

// New returns a core that decides with the policy.
func New(cfg Config, p filbertford.Policy) *Core {
	return &Core{
		cfg:       cfg,
		policy:    p,
		table:     newRegistry(),
		heritages: make(map[filbertford.Incarnation]*heritage),
		opaque:    make(map[string]inheritedKey),
		waiters:   make(map[Ref]*submission),
		targets:   make(map[filbertford.TargetID]*target),
		pools:     make(map[string]*pool),
		starts:    make(map[filbertford.StartID]*start),
		waiting:   newRankHeap(),
		deadlines: newDeadlineHeap(),
		teamBusy:  make(map[string]int),
		peerUse:   make(map[string]int),
		startName: cfg.Incarnation.String() + "-",
	}
}

// Handle takes an event at the given time and returns the actions that follow
// from it. The slice is valid until the next call.
func (c *Core) Handle(now time.Time, e Event) []Action {
	c.actions = c.actions[:0]
	c.afterPause(now)
	switch e := e.(type) {
	case Submit:
		c.submit(now, e)
	case Abandon:
		c.abandon(e.Ref)
	case Cancel:
		c.cancel(now, e)
	case Query:
		c.query(now, e)
	case StartEnded:
		c.startEnded(now, e.Start, e.Report)
	case LeaseRenewed:
		c.renewed(e)
	case TargetsChanged:
		c.setTargets(e.Targets)
	case PeersChanged:
		c.setPeers(e)
	case Tick:
		c.tick(now)
	case StopRequested:
		c.stopping = true
	case Inherited:
		c.inherit(now, e.Part)
	}
	c.dispatch(now)
	c.checkDrained()
	return c.actions
}

// Load returns what waits and runs and the slots at eligible targets for any
// service.
func (c *Core) Load() filbertford.Load {
	return filbertford.NewLoad(c.waitingTasks, len(c.starts), c.poolOf("").slots, 0)
}

// TeamBusy returns the number of waiting and running tasks of each team.
func (c *Core) TeamBusy() map[string]int {
	out := make(map[string]int, len(c.teamBusy))
	for team, n := range c.teamBusy {
		out[team] = n
	}
	return out
}

// Remembered returns the number of IDs remembered in full and the bytes of
// results kept for them.
func (c *Core) Remembered() (ids, bytes int) { return c.table.len(), c.table.kept }

// Remembers reports whether the table holds the ID.
func (c *Core) Remembers(id filbertford.SubmissionID) bool {
	k := keyOf(id)
	_, refused := c.table.refused[k.fingerprint()]
	_, inherited := c.opaque[k.text]
	return refused || c.table.subs[k] != nil || k.opaque && inherited
}

// Stats returns the counts since the start.
func (c *Core) Stats() Stats { return c.stats }

// Stopping reports whether a planned stop has begun.
func (c *Core) Stopping() bool { return c.stopping }

func (c *Core) emit(a Action) {
	switch a.(type) {
	case StartTask:
		c.stats.Starts++
	case StartRemote:
		c.stats.Spilled++
	case StopTasks:
		c.stats.Stops++
	case RenewLease:
		c.stats.Renewals++
	case Violated:
		c.stats.Violations++
	}
	c.actions = append(c.actions, a)
}

// tick does what is due with the passing of time.
func (c *Core) tick(now time.Time) {
	c.lastTick = now
	c.expire(now)
	c.keepLeases(now)
	c.flushStops()
	if now.Sub(c.lastRank) >= rankPeriod {
		c.lastRank = now
		c.rerank(now)
	}
	if now.Sub(c.lastDrop) >= forgetPeriod {
		c.lastDrop = now
		c.forget(now)
	}
}

// afterPause looks at deadlines and leases before anything else when the process
// may have been paused, so that it learns what has lapsed before it acts.
func (c *Core) afterPause(now time.Time) {
	if c.active+len(c.starts) > 0 && now.Sub(c.lastTick) >= pauseSuspected {
		c.expire(now)
		c.keepLeases(now)
	}
}

// pauseSuspected is the time without a tick that suggests that the process was
// paused.
const pauseSuspected = 250 * time.Millisecond

func (c *Core) forget(now time.Time) {
	e := c.epoch(now)
	c.table.forget(e, c.oldest(now), e-min(e, c.cfg.SpentEpochs))
	c.forgetHeritages(now)
}

// setPeers takes what is known of the other daemons of the data centre.
func (c *Core) setPeers(e PeersChanged) {
	c.peerUse = e.Teams
	c.setRemotes(e.Remotes)
	if p, ok := c.policy.(filbertford.Sharer); ok {
		p.SetShare(e.Index, e.Count)
	}
}

// Standings returns the changes of targets' standings since the last call, if
// the policy judges targets.
func (c *Core) Standings() []filbertford.HealthChange {
	if p, ok := c.policy.(filbertford.HealthTracker); ok {
		return p.HealthChanges()
	}
	return nil
}

// Hint tells the policy, if it judges targets, that another daemon of the data
// centre keeps a target in quarantine.
func (c *Core) Hint(now time.Time, id filbertford.TargetID) {
	if p, ok := c.policy.(filbertford.HealthTracker); ok {
		p.Hint(now, id, filbertford.HealthQuarantined)
	}
}

func (c *Core) renewed(e LeaseRenewed) {
	if t := c.targets[e.Target]; t != nil && e.Asked.After(t.leased) {
		t.leased = e.Asked
	}
}

// flushStops sends the stop requests that have gathered, one message a target.
func (c *Core) flushStops() {
	for _, t := range c.stopsDue {
		if t.remote {
			c.emit(StopRemote{Starts: t.stops})
		} else {
			c.emit(StopTasks{Target: t.vm, Starts: t.stops})
		}
		t.stops = nil
	}
	c.stopsDue = c.stopsDue[:0]
}

func (c *Core) nextStart() filbertford.StartID {
	c.lastStart++
	return filbertford.StartID(c.startName + strconv.FormatUint(c.lastStart, 36))
}
