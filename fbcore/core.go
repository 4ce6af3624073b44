package fbcore

import (
	"strconv"
	"time"

	"github.com/filbertford/filbertford"
)

// Intervals of the core's periodic work.
const (
	// rankInterval is the interval at which all waiting jobs are ranked again.
	rankInterval = 100 * time.Millisecond
	// expiryInterval is the interval at which expired epochs are dropped.
	expiryInterval = time.Second
)

// Config holds the parameters of a Core.
type Config struct {
	// Incarnation names this run of the daemon.
	Incarnation filbertford.Incarnation
	// Key authenticates the incarnation's tokens.
	Key Key
	// DataCentre is the daemon's data centre.
	DataCentre filbertford.DataCentre
	// Address is the address of the daemon's peer listener. Tokens contain it.
	Address string
	// StartedAt is the time at which epoch 0 begins.
	StartedAt time.Time
	// EpochLength is the length of a token epoch.
	EpochLength time.Duration
	// HorizonEpochs is the resubmission horizon: the number of epochs after its
	// own for which an ID is retained.
	HorizonEpochs filbertford.Epoch
	// FingerprintEpochs is the number of epochs for which the fingerprint of an
	// opaque key is retained.
	FingerprintEpochs filbertford.Epoch
	// MaxSubmissions is the maximum number of submissions retained in full.
	MaxSubmissions int
	// MaxAnswerBytes is the maximum size of the results that are retained for
	// resubmissions.
	MaxAnswerBytes int
	// MaxJobBytes is the maximum memory of the jobs that have not ended, in bytes, 0 for no
	// limit. Callers of some of them may have left.
	MaxJobBytes int
}

// Core is the state machine of an entry daemon.
type Core struct {
	cfg    Config
	policy filbertford.Policy

	token           filbertford.Token
	table           *submissionTable
	inheritedTables map[filbertford.Incarnation]*inheritedTable
	inheritedKeys   map[string]inheritedKey
	waiters         map[Ref]*submission

	targets   map[filbertford.TargetID]*target
	targetIDs []filbertford.TargetID
	pools     map[string]*pool
	remotes   []*remoteTarget
	starts    map[filbertford.StartID]*start
	waiting   *jobHeap
	deadlines *jobHeap

	activeJobs    int // jobs that have not ended
	jobBytes      int // their memory
	waitingTasks  int
	teamTasks     map[string]int
	peerTeamTasks map[string]int
	startSeq      uint64
	jobSeq        uint64

	stopping         bool
	drained          bool
	lastTick         time.Time
	lastRank         time.Time
	lastExpiry       time.Time
	targetsWithStops []*target
	skipped          []*job // buffer of dispatch
	actions          []Action
	stats            Stats
	startIDPrefix    string
}

// Stats holds counters of a core since its start.
type Stats struct {
	// Accepted is the number of accepted jobs.
	Accepted uint64
	// Refused is the number of jobs refused as not run.
	Refused uint64
	// OutOfMemory is the number of jobs refused because of MaxJobBytes.
	OutOfMemory uint64
	// Repeated is the number of deliveries of an ID that had been delivered before.
	Repeated uint64
	// Starts is the number of starts sent to targets. NotStarted counts the starts
	// that are proven not to have happened, Unknown those with an unknown outcome;
	// both include the starts sent to other data centres.
	Starts, NotStarted, Unknown uint64
	// Spilled is the number of tasks sent to other data centres.
	Spilled uint64
	// Stops is the number of stop messages sent to targets, Renewals the number of
	// lease renewals.
	Stops, Renewals uint64
	// Violations is the number of broken invariants.
	Violations uint64
}

// New returns a core that ranks, admits and places jobs by the policy.
func New(cfg Config, p filbertford.Policy) *Core {
	return &Core{
		cfg:             cfg,
		policy:          p,
		table:           newSubmissionTable(),
		inheritedTables: make(map[filbertford.Incarnation]*inheritedTable),
		inheritedKeys:   make(map[string]inheritedKey),
		waiters:         make(map[Ref]*submission),
		targets:         make(map[filbertford.TargetID]*target),
		pools:           make(map[string]*pool),
		starts:          make(map[filbertford.StartID]*start),
		waiting:         newRankHeap(),
		deadlines:       newDeadlineHeap(),
		teamTasks:       make(map[string]int),
		peerTeamTasks:   make(map[string]int),
		startIDPrefix:   cfg.Incarnation.String() + "-",
	}
}

// Handle handles an event at the given time and returns the actions that the
// daemon must carry out. The slice is valid until the next call.
func (c *Core) Handle(now time.Time, e Event) []Action {
	c.actions = c.actions[:0]
	c.expireAfterPause(now)
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
		c.startEnded(now, e.Start, e.Result)
	case LeaseRenewed:
		c.leaseRenewed(e)
	case TargetsChanged:
		c.setTargets(e.Targets)
	case PeersChanged:
		c.setPeers(e)
	case Tick:
		c.tick(now)
	case StopRequested:
		c.stopping = true
	case PartReceived:
		c.inherit(now, e.Part)
	}
	c.dispatch(now)
	c.checkDrained()
	return c.actions
}

// Load returns the numbers of waiting and running tasks and the number of slots
// of all eligible targets, whatever services they have.
func (c *Core) Load() filbertford.Load {
	return filbertford.NewLoad(c.waitingTasks, len(c.starts), c.poolOf("").slots, 0)
}

// TeamTasks returns the number of waiting and running tasks of each team.
func (c *Core) TeamTasks() map[string]int {
	out := make(map[string]int, len(c.teamTasks))
	for team, n := range c.teamTasks {
		out[team] = n
	}
	return out
}

// Retained returns the number of submissions in the table and the size in bytes
// of their results.
func (c *Core) Retained() (submissions, resultBytes int) { return c.table.len(), c.table.resultBytes }

// Retains reports whether the ID's submission or its refusal is retained, or, for
// an opaque key, whether a former owner handed its answer over.
func (c *Core) Retains(id filbertford.SubmissionID) bool {
	k := keyOf(id)
	_, refused := c.table.refusals[k.fingerprint()]
	_, inherited := c.inheritedKeys[k.text]
	return refused || c.table.submissions[k] != nil || k.opaque && inherited
}

// Stats returns the counters.
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

// tick performs the work that is due by time.
func (c *Core) tick(now time.Time) {
	c.lastTick = now
	c.expireJobs(now)
	c.renewLeases(now)
	c.flushStops()
	if now.Sub(c.lastRank) >= rankInterval {
		c.lastRank = now
		c.rerank(now)
	}
	if now.Sub(c.lastExpiry) >= expiryInterval {
		c.lastExpiry = now
		c.expireEpochs(now)
	}
}

// expireAfterPause ends jobs and leases that have expired before an event is
// handled if the process may have been paused, so that the core does not act on
// jobs past their deadline or on expired leases.
func (c *Core) expireAfterPause(now time.Time) {
	if c.activeJobs+len(c.starts) > 0 && now.Sub(c.lastTick) >= pauseThreshold {
		c.expireJobs(now)
		c.renewLeases(now)
	}
}

// pauseThreshold is the time without a tick after which the process may have been
// paused.
const pauseThreshold = 250 * time.Millisecond

func (c *Core) expireEpochs(now time.Time) {
	e := c.epochAt(now)
	c.table.expireEpochs(e, c.oldestEpoch(now), e-min(e, c.cfg.FingerprintEpochs))
	c.expireInherited(now)
}

// setPeers sets the state of the other daemons.
func (c *Core) setPeers(e PeersChanged) {
	c.peerTeamTasks = e.TeamTasks
	c.setRemotes(e.Remotes)
	if p, ok := c.policy.(filbertford.Sharer); ok {
		p.SetShare(e.Index, e.Count)
	}
}

// HealthChanges returns the changes of the targets' health since the last call,
// nil if the policy is no HealthTracker.
func (c *Core) HealthChanges() []filbertford.HealthChange {
	if p, ok := c.policy.(filbertford.HealthTracker); ok {
		return p.HealthChanges()
	}
	return nil
}

// HintQuarantined reports to the policy, if it is a HealthTracker, that another daemon
// of the data centre has the target in quarantine.
func (c *Core) HintQuarantined(now time.Time, id filbertford.TargetID) {
	if p, ok := c.policy.(filbertford.HealthTracker); ok {
		p.Hint(now, id, filbertford.HealthQuarantined)
	}
}

func (c *Core) leaseRenewed(e LeaseRenewed) {
	if t := c.targets[e.Target]; t != nil && e.RequestedAt.After(t.leaseRequestedAt) {
		t.leaseRequestedAt = e.RequestedAt
	}
}

// flushStops sends the pending stops, in one message for each target.
func (c *Core) flushStops() {
	for _, t := range c.targetsWithStops {
		if t.remote {
			c.emit(StopRemote{Starts: t.pendingStops})
		} else {
			c.emit(StopTasks{Target: t.vm, Starts: t.pendingStops})
		}
		t.pendingStops = nil
	}
	c.targetsWithStops = c.targetsWithStops[:0]
}

func (c *Core) newStartID() filbertford.StartID {
	c.startSeq++
	return filbertford.StartID(c.startIDPrefix + strconv.FormatUint(c.startSeq, 36))
}
