package fbsettings_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertford/filbertford/fbsettings"
	"github.com/filbertford/filbertford/fbtree"
)

// simulation simulates several operators and daemons with one platform. It runs in
// one goroutine; rapid draws the order of events.
type simulation struct {
	t            *rapid.T
	platform     *fakePlatform
	now          time.Time
	operators    []*operator
	daemons      []*daemon
	pending      []pendingEvent
	interrupting bool
	faultsEnded  bool

	trees    map[uint64]*fbtree.Tree
	accepted map[string]uint64
	edits    map[string]fbsettings.Edit
	rejected map[string]error
	results  map[string]uint64
}

// operator makes edits from the version that it last read. If the outcome of an edit
// is unknown, it commits that edit again before it makes another.
type operator struct {
	name       string
	store      *fbsettings.Store
	base       uint64
	unresolved *fbsettings.Edit
}

// daemon is a simulated daemon. A restart increments its incarnation.
type daemon struct {
	address     string
	incarnation int
	partitioned bool
	store       *fbsettings.Store
	replica     *fbsettings.Replica
	version     uint64
}

// pendingEvent is an event that has not been delivered to a daemon yet. If it is for
// one incarnation, a restart discards it; incarnation 0 stands for any.
type pendingEvent struct {
	to          *daemon
	incarnation int
	handle      func(*daemon) []fbsettings.Action
}

func newSimulation(t *rapid.T, daemons int) *simulation {
	s := &simulation{
		t: t, platform: newFakePlatform(), now: time.Unix(1_800_000_000, 0),
		trees:    map[uint64]*fbtree.Tree{0: {}},
		accepted: make(map[string]uint64),
		edits:    make(map[string]fbsettings.Edit),
		rejected: make(map[string]error),
		results:  make(map[string]uint64),
	}
	s.platform.afterCommit = s.checkCommit
	for _, name := range []string{"ada", "bob", "eve"} {
		s.operators = append(s.operators, &operator{name: name, store: fbsettings.NewStore(s.platform, s.platform, instantTimer{})})
	}
	for i := range daemons {
		d := &daemon{address: fmt.Sprintf("10.0.0.%d:7101", i)}
		s.daemons = append(s.daemons, d)
		s.restart(d)
	}
	return s
}

func (s *simulation) restart(d *daemon) {
	d.incarnation++
	d.version = 0
	d.store = fbsettings.NewStore(s.platform, s.platform, instantTimer{})
	d.replica = fbsettings.NewReplica(d.address)
}

// drawFaults makes the platform draw the fault of each call until endFaults.
func (s *simulation) drawFaults() {
	reads := rapid.SampledFrom([]fault{faultNone, faultNone, faultNone, faultUnavailable})
	writes := rapid.SampledFrom([]fault{faultNone, faultNone, faultNone, faultUnavailable, faultReplyLost, faultDelayed})
	s.platform.readFault = func() fault { return s.drawFault(reads, "read") }
	s.platform.writeFault = func() fault { return s.drawFault(writes, "write") }
	s.platform.beforeCommit = s.interruptCommit
}

func (s *simulation) drawFault(g *rapid.Generator[fault], label string) fault {
	if s.faultsEnded {
		return faultNone
	}
	return g.Draw(s.t, label)
}

// interruptCommit lets another operator make an edit during a commit, if rapid draws
// that.
func (s *simulation) interruptCommit() {
	if s.interrupting || s.faultsEnded || !rapid.Bool().Draw(s.t, "interrupt") {
		return
	}
	s.interrupting = true
	s.runOperator()
	s.interrupting = false
}

// checkCommit is called after each commit of the table service. It compares the new
// version with the model, which is the previous version plus the operator's edit.
func (s *simulation) checkCommit() {
	row := s.platform.rows["settings-head"]
	version := row.Version()
	head, err := fbsettings.DecodeHead(row.Value())
	if err != nil || head.Version() != version {
		s.t.Fatalf("head row %s: got error %v, want a head of the row's version", row.Value(), err)
	}
	entry, err := fbsettings.DecodeEntry(s.platform.rows[fmt.Sprintf("settings-entry-%d", version)].Value())
	if err != nil || entry.Version() != version {
		s.t.Fatalf("entry of version %d: got %+v, error %v, want an entry of that version", version, entry, err)
	}
	if other, duplicate := s.accepted[entry.Request()]; duplicate {
		s.t.Fatalf("request %s was accepted as version %d and as %d", entry.Request(), other, version)
	}
	s.accepted[entry.Request()] = version
	before := s.trees[version-1]
	if version == 1 {
		before = fbtree.Default()
	}
	after := s.expectedTree(before, s.edits[entry.Request()], version)
	got, err := s.trees[version-1].Apply(entry.Changes()...)
	if err != nil || !got.Equal(after) {
		s.t.Fatalf("tree of version %d: error %v; want %s", version, err, after.Encode())
	}
	s.trees[version] = after.WithVersion(version)
}

// expectedTree returns the tree after an edit. It checks that the edit does not
// override a change that its operator has not seen.
func (s *simulation) expectedTree(tree *fbtree.Tree, e fbsettings.Edit, version uint64) *fbtree.Tree {
	seen := s.trees[e.Request().Base()]
	if e.Request().Base() == 0 {
		seen = fbtree.Default()
	}
	for _, c := range e.Changes() {
		old, oldOK := seen.Get(c.Path(), c.Key())
		now, nowOK := tree.Get(c.Path(), c.Key())
		next, err := tree.Apply(c)
		if err != nil {
			// Another edit made the same change.
			if tree.Has(c.Path()) == (c.Op() != fbtree.OpRemove) {
				continue
			}
			s.t.Fatalf("version %d: %v: %v", version, c, err)
		}
		if (old != now || oldOK != nowOK) && !next.Equal(tree) {
			s.t.Fatalf("version %d: %v overrides %q, which its operator has not seen", version, c, now)
		}
		tree = next
	}
	return tree
}

// runOperator draws an operator that may read the newest version and then makes an
// edit, or commits one again whose outcome is unknown.
func (s *simulation) runOperator() {
	o := rapid.SampledFrom(s.operators).Draw(s.t, "operator")
	ctx := context.Background()
	if rapid.Bool().Draw(s.t, "look") {
		if head, err := o.store.Head(ctx); err == nil {
			o.base = head.Version()
		}
	}
	if o.unresolved != nil {
		s.commit(o, *o.unresolved)
		return
	}
	e := fbsettings.NewEdit(fbsettings.NewRequest(o.base), o.name, s.now, s.drawChange())
	s.edits[e.Request().ID()] = e
	s.commit(o, e)
}

func (s *simulation) commit(o *operator, e fbsettings.Edit) {
	result, err := o.store.Commit(context.Background(), e)
	id := e.Request().ID()
	var unknown *fbsettings.CommitUnknownError
	var conflict *fbsettings.ConflictError
	switch {
	case err == nil:
		o.unresolved = nil
		s.checkResult(e, result)
	case errors.As(err, &unknown), o.unresolved != nil && !errors.As(err, &conflict):
		// If an edit with unknown outcome fails again for another reason than a
		// conflict, its outcome remains unknown.
		o.unresolved = &e
	default:
		o.unresolved = nil
		s.rejected[id] = err
	}
}

func (s *simulation) checkResult(e fbsettings.Edit, result fbsettings.CommitResult) {
	version, ok := s.accepted[e.Request().ID()]
	if result.Changed() && (!ok || version != result.Version()) {
		s.t.Fatalf("Commit returned version %d, but the edit is version %d (accepted: %v)", result.Version(), version, ok)
	}
	if result.Changed() {
		s.results[e.Request().ID()] = result.Version()
		return
	}
	tree := s.trees[result.Version()]
	if next, err := tree.Apply(e.Changes()...); err == nil && !next.Equal(tree) {
		s.t.Fatalf("Commit returned %v as unchanged, but it changes version %d", e.Changes(), result.Version())
	}
}

func (s *simulation) drawChange() fbtree.Change {
	p, _ := fbtree.ParsePath(rapid.SampledFrom([]string{"/depot", "/atlas", "/new", "/vms/t1"}).Draw(s.t, "path"))
	key, value := fbtree.KeyQuota, rapid.SampledFrom([]string{"1", "2", "3"}).Draw(s.t, "value")
	if p.Level() == fbtree.LevelVM {
		key, value = fbtree.KeyState, fbtree.StateDraining
	}
	set := fbtree.Set(p, key, value)
	return rapid.SampledFrom([]fbtree.Change{
		set, set, set, fbtree.Unset(p, key), fbtree.Add(p), fbtree.Remove(p),
	}).Draw(s.t, "change")
}

// handle checks the settings in force at a daemon after an event, and schedules the
// actions that its replica returned.
func (s *simulation) handle(d *daemon, actions []fbsettings.Action) {
	tree := d.replica.Tree()
	if tree == nil && d.version > 0 {
		s.t.Fatalf("%s has no settings any more", d.address)
	}
	if tree != nil {
		want, ok := s.trees[tree.Version()]
		if tree.Version() < d.version || !ok || !tree.Equal(want) {
			s.t.Fatalf("%s has version %d after %d, accepted %v: %s", d.address, tree.Version(), d.version, ok, tree.Encode())
		}
		d.version = tree.Version()
	}
	for _, a := range actions {
		s.addEvent(d, func(d *daemon) []fbsettings.Action { return s.perform(d, a) })
	}
}

// perform performs an action of a daemon and adds the event with its result.
func (s *simulation) perform(d *daemon, a fbsettings.Action) []fbsettings.Action {
	ctx := context.Background()
	switch a.Kind() {
	case fbsettings.ActionPoll:
		head, err := d.store.Head(ctx)
		s.addEvent(d, func(d *daemon) []fbsettings.Action {
			if err != nil || d.partitioned {
				d.replica.HandlePollFailed(s.now, "down")
				return nil
			}
			return d.replica.HandleHead(s.now, head)
		})
	case fbsettings.ActionLoad:
		tree, err := d.store.Load(ctx, a.Head())
		s.addEvent(d, func(d *daemon) []fbsettings.Action {
			if err != nil || d.partitioned {
				d.replica.HandleLoadFailed(s.now, "down")
				return nil
			}
			return d.replica.HandleTree(s.now, tree)
		})
	case fbsettings.ActionInit:
		s.edits["init"] = fbsettings.NewEdit(fbsettings.Request{}, "init", s.now)
		_ = d.store.Init(ctx)
	default:
		s.sendToPeer(d, a)
	}
	return nil
}

// addEvent adds a pending event for the current incarnation of a daemon.
func (s *simulation) addEvent(d *daemon, handle func(*daemon) []fbsettings.Action) {
	s.pending = append(s.pending, pendingEvent{to: d, incarnation: d.incarnation, handle: handle})
}

// sendToPeer adds a pending event that delivers a push or pull to a peer and then
// adds one that delivers the reply.
func (s *simulation) sendToPeer(from *daemon, a fbsettings.Action) {
	incarnation := from.incarnation
	for _, to := range s.daemons {
		if to.address != a.Peer() {
			continue
		}
		s.pending = append(s.pending, pendingEvent{to: to, handle: func(to *daemon) []fbsettings.Action {
			reply, actions := to.replica.HandlePush(s.now, a.Update())
			s.pending = append(s.pending, pendingEvent{to: from, incarnation: incarnation, handle: func(from *daemon) []fbsettings.Action {
				return from.replica.HandleReply(s.now, to.address, reply)
			}})
			return actions
		}})
	}
}

// deliver delivers the i-th pending event. The event stays pending if duplicate is
// set.
func (s *simulation) deliver(i int, duplicate bool) {
	p := s.pending[i]
	if !duplicate {
		s.pending = append(s.pending[:i:i], s.pending[i+1:]...)
	}
	if p.incarnation != 0 && p.incarnation != p.to.incarnation {
		return
	}
	s.handle(p.to, p.handle(p.to))
}

// sendHeartbeat passes the versions of all peers to a daemon.
func (s *simulation) sendHeartbeat(d *daemon) {
	var members []fbsettings.Member
	for _, other := range s.daemons {
		if other != d {
			members = append(members, fbsettings.NewMember(other.address, other.version))
		}
	}
	s.handle(d, d.replica.HandleMembers(s.now, members))
}

// endFaults ends all faults and runs the daemons for the duration d.
func (s *simulation) endFaults(d time.Duration) {
	s.faultsEnded = true
	for _, d := range s.daemons {
		d.partitioned = false
	}
	for len(s.platform.delayed) > 0 {
		s.platform.applyDelayed()
	}
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for _, d := range s.daemons {
			s.handle(d, d.replica.HandleTick(s.now))
			s.sendHeartbeat(d)
		}
		for len(s.pending) > 0 {
			s.deliver(0, false)
		}
	}
}
