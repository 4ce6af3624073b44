package fbnode

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbshard"
)

// simTables are the tables of the store that hold stored jobs, by partition. Like the
// platform's store they apply a transaction only if its conditions hold.
type simTables struct {
	version uint64
	rows    map[string]map[filbertford.TableName]map[string]filbertford.Row
}

func newSimTables() *simTables {
	return &simTables{rows: make(map[string]map[filbertford.TableName]map[string]filbertford.Row)}
}

func (t *simTables) partition(name string) map[filbertford.TableName]map[string]filbertford.Row {
	if t.rows[name] == nil {
		t.rows[name] = map[filbertford.TableName]map[string]filbertford.Row{filbertford.TableClaims: {}, filbertford.TableJobs: {}}
	}
	return t.rows[name]
}

func (t *simTables) commit(tx *filbertford.Transaction) (uint64, error) {
	rows := t.partition(tx.Partition())
	for _, c := range tx.Conditions() {
		if rows[c.Table()][c.Key()].Version() != c.Version() {
			return 0, filbertford.ErrConflict
		}
	}
	t.version++
	for _, p := range tx.Puts() {
		rows[p.Table()][p.Key()] = filbertford.NewRow(p.Key(), p.Value(), t.version)
	}
	for _, r := range tx.Removals() {
		delete(rows[r.Table()], r.Key())
	}
	return t.version, nil
}

func (t *simTables) list(table filbertford.TableName, partition string) filbertford.Snapshot {
	rows := t.partition(partition)[table]
	var changes []filbertford.Change
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		changes = append(changes, filbertford.NewChange(rows[key]))
	}
	return filbertford.NewSnapshot(t.version, 0, changes...)
}

// storedSim is the part of a simulation with stored jobs.
type storedSim struct {
	tables   *simTables
	jobs     map[filbertford.JobKey]*storedJob
	deadly   map[filbertford.TaskKey]bool          // tasks that crash each target that starts them
	renamed  map[filbertford.TargetID]*simTarget   // by earlier IDs
	crashes  map[filbertford.TaskKey]int           // of targets under each task
	lastRuns map[filbertford.TaskKey]time.Duration // when the last run of a task began or ended
	replies  map[uint64]func(accepted bool)        // to submissions
}

// storedJob is a stored job of a simulation.
type storedJob struct {
	workload filbertford.Workload
	accepted time.Duration // 0 if it isn't
}

// storedRoute is the route of stored jobs.
var storedRoute = filbertford.NewRoute("host", "/jobs/", simService).WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)

// prepareStored prepares a simulation without daemons for stored jobs.
func (s *fleetSim) prepareStored() {
	s.stored = &storedSim{
		tables: newSimTables(), jobs: make(map[filbertford.JobKey]*storedJob), deadly: make(map[filbertford.TaskKey]bool),
		renamed: make(map[filbertford.TargetID]*simTarget), crashes: make(map[filbertford.TaskKey]int),
		lastRuns: make(map[filbertford.TaskKey]time.Duration), replies: make(map[uint64]func(bool)),
	}
	for i := range shardCount {
		s.specs = append(s.specs, fbfleet.NewPoolSpec(shardName(i), ""))
	}
}

// submitStored sends a stored job to the owner of its shard until it is accepted.
func (s *fleetSim) submitStored(w filbertford.Workload, duration time.Duration) {
	j := s.stored.jobs[w.Key()]
	if j == nil {
		j = &storedJob{workload: w}
		s.stored.jobs[w.Key()], s.durations[w.Key()] = j, duration
	}
	if j.accepted != 0 {
		return
	}
	s.after(resendPeriod, func() { s.submitStored(w, duration) })
	shard := shardOf(w.Key())
	for _, name := range s.names {
		d := s.daemons[name]
		if d.dead || d.shards[shard] == nil {
			continue
		}
		s.lastRequest++
		id := s.lastRequest
		s.stored.replies[id] = func(accepted bool) {
			if accepted && j.accepted == 0 {
				j.accepted = s.now
			}
		}
		s.after(s.oneWay("", ""), func() {
			d.post("", func(d *simDaemon) {
				if owner := d.shards[shard]; owner != nil {
					owner.Submit(id, storedRoute, w)
				}
			})
		})
	}
}

// runStarted notes the start of a task, which crashes its target if the task is deadly.
func (st *storedSim) runStarted(key filbertford.TaskKey, t *simTarget) {
	st.lastRuns[key] = t.sim.now
	if st.deadly[key] {
		t.sim.crashUnder(key, t)
	}
}

// crashUnder crashes a target that has started a deadly task, a moment later. It is back after
// some seconds, under another ID.
func (s *fleetSim) crashUnder(key filbertford.TaskKey, t *simTarget) {
	instance := t.rec.Instance()
	s.after(10*time.Millisecond, func() {
		if t.rec.Instance() == instance && !t.down && t.runs[key] != nil {
			s.crashTarget(t, s.between(500*time.Millisecond, 5*time.Second))
		}
	})
}

// crashTarget ends all runs of a target, which starts again under another ID. Its records follow.
func (s *fleetSim) crashTarget(t *simTarget, away time.Duration) {
	s.crashTargetTo(t, away, t.rec.Address())
}

// crashTargetTo does the same with a target that starts again at the address.
func (s *fleetSim) crashTargetTo(t *simTarget, away time.Duration, address string) {
	old := t.rec
	s.logf("target %s crashes for %v", t.id(), away)
	for _, key := range t.runningTasks() {
		s.stored.crashes[key]++
		t.endRun(key, filbertford.RunStopped)
	}
	t.down = true
	s.after(s.between(300*time.Millisecond, 4500*time.Millisecond), func() {
		s.store.targets = slices.DeleteFunc(s.store.targets, func(r filbertford.TargetRecord) bool { return r.Instance() == old.Instance() })
	})
	s.after(away, func() {
		t.down = false
		t.restart()
		s.stored.renamed[old.Instance().ID()] = t
		t.reboots++
		id := filbertford.TargetID(fmt.Sprintf("%s-%d", t.home, t.reboots))
		instance := filbertford.NewTargetInstance(id, t.rec.Instance().StartedAt())
		t.rec = filbertford.NewTargetRecord(instance, simService, address, old.DataCentre(), old.Capacity(), "a")
		s.logf("target %s has restarted as %s at %s", old.Instance().ID(), id, address)
		rec := t.rec
		s.after(s.between(0, 1500*time.Millisecond), func() {
			if t.rec.Instance() == rec.Instance() && !t.down {
				s.store.targets = append(s.store.targets, rec)
			}
		})
	})
}

// addShard adds a shard that the daemon has acquired.
func (d *simDaemon) addShard(id filbertford.PoolID, fence uint64) {
	if d.shards == nil {
		d.shards = make(map[filbertford.PoolID]*fbshard.Owner)
	}
	d.shards[id] = fbshard.New(id, d.name(), fence)
}

// dropShard does what Node.dropShard does.
func (d *simDaemon) dropShard(id filbertford.PoolID) {
	owner := d.shards[id]
	if owner == nil {
		return
	}
	delete(d.shards, id)
	for _, key := range owner.JobKeys() {
		d.coordinator.DropStored(key)
	}
}

// verifyShards does what Node.verifyShards does.
func (d *simDaemon) verifyShards(pool filbertford.PoolID) {
	for _, id := range slices.Sorted(maps.Keys(d.shards)) {
		d.shards[id].VerifyClaim(pool)
	}
}

func (d *simDaemon) tickShards() {
	for _, id := range slices.Sorted(maps.Keys(d.shards)) {
		d.shards[id].Tick(d.sim.now)
	}
}

// flushShards carries out the actions of the shards, and reports whether there were any.
func (d *simDaemon) flushShards() bool {
	if len(d.shards) == 0 {
		return false
	}
	acted := false
	for _, id := range slices.Sorted(maps.Keys(d.shards)) {
		owner := d.shards[id]
		for _, a := range owner.TakeActions() {
			acted = true
			d.doShardAction(id, owner, a)
		}
	}
	return acted
}

func (d *simDaemon) doShardAction(shard filbertford.PoolID, owner *fbshard.Owner, a fbshard.Action) {
	now := d.sim.now
	switch v := a.(type) {
	case fbshard.StoreCall:
		d.callStore(shard, owner, v)
	case fbshard.Reply:
		if reply := d.sim.stored.replies[v.RequestID]; reply != nil {
			reply(v.Accepted)
		}
	case fbshard.StartJob:
		d.sim.logf("%s runs the job %s of %s, may be running %v", d.name(), v.Workload.Key(), shard, v.MayBeRunning)
		d.coordinator.StartStored(now, v.Route, v.Workload, v.Progress, v.MayBeRunning)
	case fbshard.CancelJob:
		d.coordinator.CancelStored(v.Job)
	case fbshard.TaskRecorded:
		d.coordinator.HandleRecorded(now, v.Task, v.Progress)
	case fbshard.ClaimVerified:
		for _, pool := range v.Pools {
			d.coordinator.ResumeStored(now, pool)
		}
	case fbshard.ShardLost:
		d.sim.logf("%s has lost %s", d.name(), shard)
		d.fleet.HandleFenced(now, shard, owner.Fence())
	}
}

// callStore makes a call to the store. A call over a cut link gets no answer.
func (d *simDaemon) callStore(shard filbertford.PoolID, owner *fbshard.Owner, c fbshard.StoreCall) {
	s := d.sim
	answer := func(snap filbertford.Snapshot, version uint64, err error) {
		d.post("store", func(d *simDaemon) {
			if d.shards[shard] == owner {
				owner.HandleResult(s.now, c.Kind, snap, version, err)
			}
		})
	}
	unavailable := func() { answer(filbertford.Snapshot{}, 0, filbertford.ErrUnavailable) }
	if s.blocked(string(d.name()), "store") {
		s.after(time.Second, unavailable)
		return
	}
	if d.storeUnreachable() {
		s.after(2*time.Millisecond, unavailable)
		return
	}
	delay, lost := d.storeAnswer()
	if lost {
		delay += s.storeLateness()
	}
	if lost || delay > simStoreTimeout {
		s.after(simStoreTimeout, unavailable)
	}
	s.after(s.between(time.Millisecond, 4*time.Millisecond)+delay/2, func() {
		var snap filbertford.Snapshot
		var version uint64
		var err error
		switch c.Kind {
		case fbshard.CallReadClaim, fbshard.CallVerifyClaim:
			snap = s.stored.tables.list(filbertford.TableClaims, string(shard))
		case fbshard.CallReadJobs:
			snap = s.stored.tables.list(filbertford.TableJobs, string(shard))
		case fbshard.CallCommit:
			version, err = s.stored.tables.commit(c.Transaction)
		}
		if lost || delay > simStoreTimeout {
			return
		}
		s.after(s.between(time.Millisecond, 4*time.Millisecond)+delay/2, func() { answer(snap, version, err) })
	})
}

// doStoredAction carries out the actions that concern stored jobs, as Node does. It reports
// whether the action is one of them.
func (d *simDaemon) doStoredAction(a fbsched.Action) bool {
	switch v := a.(type) {
	case fbsched.SendBatch:
		if !v.Batch.Stored() {
			return false
		}
		if owner := d.shards[shardOf(v.Batch.Job())]; owner != nil {
			b := v.Batch.WithShardFence(owner.Fence())
			if v.To == d.name() {
				d.handleBatch(d.name(), b)
			} else {
				d.send(v.To, func(r *simDaemon) { r.handleBatch(d.name(), b) })
			}
		}
	case fbsched.SendConfirm:
		confirm := func(r *simDaemon) {
			if p := r.pools[v.Confirm.Pool()]; p != nil {
				p.HandleConfirm(r.sim.now, v.Confirm)
			}
		}
		if v.To == d.name() {
			confirm(d)
		} else {
			d.send(v.To, confirm)
		}
	case fbsched.RecordOutcome:
		if owner := d.shards[shardOf(v.Task.Job())]; owner != nil {
			owner.RecordTask(v.Task, v.Progress)
		} else {
			d.coordinator.DropStored(v.Task.Job())
		}
	case fbsched.JobStarted:
		if owner := d.shards[shardOf(v.Job)]; owner != nil {
			owner.MarkStarted(v.Job)
		}
	case fbsched.UnknownOutcome:
		if owner := d.shards[shardOf(v.Job)]; owner != nil && owner.Ended(v.Job) {
			d.coordinator.HandleEnded(v.Pool, v.Job)
		}
	case fbsched.OwnerAccepted:
		d.sim.logf("%s accepts an owner of %s that it had held", d.name(), v.Pool)
		d.verifyShards(v.Pool)
	default:
		return false
	}
	return true
}
