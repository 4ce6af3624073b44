package fbnode

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbtimer"
)

// tableWatchers returns a watcher for each table that the daemon caches.
func (n *Node) tableWatchers() []*tableWatcher {
	applies := map[filbertford.TableName]func(now time.Duration, full bool, s filbertford.Snapshot){
		filbertford.TableRoutes:  n.readEvacuations,
		filbertford.TableTargets: n.targetsChanged,
		filbertford.TableNodes:   n.nodesChanged,
	}
	var out []*tableWatcher
	for table, apply := range applies {
		w := &tableWatcher{
			store: n.deps.Store, table: table, log: n.deps.Log, wait: watchWait,
			readPeriod: func() time.Duration { return 0 },
			apply: func(full bool, s filbertford.Snapshot) {
				n.post(func(now time.Duration) { apply(now, full, s) })
			},
		}
		switch table {
		case filbertford.TableRoutes:
			w.wait = routesWatchWait
			applyEvacuations := w.apply
			w.apply = func(full bool, s filbertford.Snapshot) {
				n.readRoutes(s)
				applyEvacuations(full, s)
			}
		case filbertford.TableTargets:
			w.readPeriod, w.wake = n.targetReadPeriod, n.wakeTargets
		}
		out = append(out, w)
	}
	return out
}

// targetReadPeriod returns the time between two reads of the target records.
func (n *Node) targetReadPeriod() time.Duration {
	switch {
	case n.ownsPool.Load():
		return ownerReadPeriod
	case n.isCandidate.Load():
		return candidateReadPeriod
	}
	return idleReadPeriod
}

// wakeTargetWatcher requests an immediate read of the target records, since the owner
// of a pool must not use old ones.
func (n *Node) wakeTargetWatcher() {
	select {
	case n.wakeTargets <- struct{}{}:
	default:
	}
}

func (n *Node) targetsChanged(now time.Duration, full bool, s filbertford.Snapshot) {
	n.targets.readAt, n.targets.version = now, max(1, s.Version())
	n.setTargetsKnown(now)
	n.targets.distrustDaemons()
	if n.targets.apply(now, full, s) {
		n.updatePoolTargets(now)
	}
	for _, p := range n.pools {
		p.ReleaseStarts()
	}
}

// addPool adds a pool that this daemon has acquired. If the target records are old, some
// targets may be draining by now, so that starts wait for the next read.
func (n *Node) addPool(now time.Duration, id filbertford.PoolID, fence uint64) {
	p := fbsched.NewPool(id, fence, fbtimer.WallOffset(), now)
	p.SetScheduling(n.opts.Scheduling)
	if n.targets.readAt == 0 || now-n.targets.readAt > candidateReadPeriod {
		p.HoldStarts(now + recordsTimeout)
	}
	n.coordinator.SetOwnerTargets(now, id, fence, n.targets.version != 0)
	n.evacuateNewPool(now, p)
	p.AwaitOffers(runningDaemons(now, n.fleet))
	n.pools[id] = p
	n.ownsPool.Store(true)
	n.wakeTargetWatcher()
	p.SetDeparted(n.targets.departures(id))
	p.SetTargets(now, n.targets.inPool(id))
}

// runningDaemons returns the daemons that may run, with this one.
func runningDaemons(now time.Duration, f *fbfleet.Fleet) []filbertford.NodeID {
	out := []filbertford.NodeID{f.Self().Node()}
	for _, m := range f.Members() {
		if f.MayRun(now, m.Node()) {
			out = append(out, m.Node())
		}
	}
	return out
}

// setTargetsKnown tells the fleet and the coordinator that the targets' records are known.
func (n *Node) setTargetsKnown(now time.Duration) {
	n.fleet.SetTargetsKnown(true)
	for id, p := range n.pools {
		n.coordinator.SetOwnerTargets(now, id, p.Fence(), true)
	}
}

// updatePoolTargets updates the known pools and passes the target records to the
// pools that this daemon owns.
func (n *Node) updatePoolTargets(now time.Duration) {
	n.updatePools()
	n.applyEvacuations(now, "targets")
	for id, p := range n.pools {
		p.SetTargets(now, n.targets.inPool(id))
	}
}

func (n *Node) nodesChanged(now time.Duration, _ bool, s filbertford.Snapshot) {
	for _, c := range s.Changes() {
		if c.Removed() {
			delete(n.malformedMembers, c.Row().Key())
			continue
		}
		m, err := decodeMember(c.Row())
		if err != nil {
			n.logMalformedMember(c.Row(), err)
			continue
		}
		delete(n.malformedMembers, c.Row().Key())
		n.fleet.AddMember(now, m)
	}
	n.hub.SetMembers(n.membersToLink(now, n.fleet.Members()))
}

// register writes the daemon's row, by which other daemons find it, retrying until
// it succeeds. It returns when the context ends.
func (n *Node) register(ctx context.Context) error {
	m := n.opts.Member
	value, err := encodeMember(m)
	if err != nil {
		return eris.Wrap(err, "encoding the daemon's row")
	}
	backoff := minBackoff
	for ctx.Err() == nil {
		err := n.writeMember(ctx, value)
		if err == nil {
			fbevent.NodeRegistered.Log(n.deps.Log, "node", m.Node())
			break
		}
		if !errors.Is(err, filbertford.ErrConflict) {
			fbevent.StoreUnreachable.Log(n.deps.Log, "table", filbertford.TableNodes, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
	<-ctx.Done()
	return ctx.Err()
}

func (n *Node) writeMember(ctx context.Context, value []byte) error {
	snap, err := n.deps.Store.List(ctx, filbertford.TableNodes, "")
	if err != nil {
		return err
	}
	key := string(n.opts.Member.Node())
	var version uint64
	for _, c := range snap.Changes() {
		if c.Row().Key() == key {
			version = c.Row().Version()
		}
	}
	t := filbertford.NewTransaction("").Expect(filbertford.TableNodes, key, version).Put(filbertford.TableNodes, key, value)
	_, err = n.deps.Store.Commit(ctx, t)
	return err
}
