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

// world is several operators and daemons on one platform. Everything runs in
// one goroutine, in the order that is drawn.
type world struct {
	t         *rapid.T
	platform  *fakePlatform
	now       time.Time
	operators []*operator
	daemons   []*daemon
	pending   []pending
	nested    bool
	healed    bool

	trees    map[uint64]*fbtree.Tree
	accepted map[string]uint64
	edits    map[string]fbsettings.Edit
	refused  map[string]error
	receipts map[string]uint64
}

// operator makes edits from the version that it last looked at.
type operator struct {
	name    string
	store   *fbsettings.Store
	base    uint64
	unknown *fbsettings.Edit
}

// daemon is one run after the other of a daemon.
type daemon struct {
	address string
	run     int
	cut     bool
	store   *fbsettings.Store
	spread  *fbsettings.Spread
	version uint64
}

// pending is something on its way to a daemon. If it is for one run of it, a
// restart ends it.
type pending struct {
	to  *daemon
	run int
	do  func(*daemon) []fbsettings.Action
}

func newWorld(t *rapid.T, daemons int) *world {
	w := &world{
		t: t, platform: newFakePlatform(), now: time.Unix(1_800_000_000, 0),
		trees:    map[uint64]*fbtree.Tree{0: {}},
		accepted: make(map[string]uint64),
		edits:    make(map[string]fbsettings.Edit),
		refused:  make(map[string]error),
		receipts: make(map[string]uint64),
	}
	w.platform.committed = w.checkAccepted
	for _, name := range []string{"ada", "bob", "eve"} {
		w.operators = append(w.operators, &operator{name: name, store: fbsettings.NewStore(w.platform, w.platform, instantTimer{})})
	}
	for i := range daemons {
		d := &daemon{address: fmt.Sprintf("10.0.0.%d:7101", i)}
		w.daemons = append(w.daemons, d)
		w.restart(d)
	}
	return w
}

func (w *world) restart(d *daemon) {
	d.run++
	d.version = 0
	d.store = fbsettings.NewStore(w.platform, w.platform, instantTimer{})
	d.spread = fbsettings.NewSpread(d.address)
}

// drawFaults makes the platform fail as drawn, until w is healed.
func (w *world) drawFaults() {
	reads := rapid.SampledFrom([]fault{faultNone, faultNone, faultNone, faultDown})
	writes := rapid.SampledFrom([]fault{faultNone, faultNone, faultNone, faultDown, faultLost, faultLate})
	w.platform.readFault = func() fault { return w.draw(reads, "read") }
	w.platform.writeFault = func() fault { return w.draw(writes, "write") }
	w.platform.beforeCommit = w.interrupt
}

func (w *world) draw(g *rapid.Generator[fault], label string) fault {
	if w.healed {
		return faultNone
	}
	return g.Draw(w.t, label)
}

// interrupt lets another operator act in the middle of an edit.
func (w *world) interrupt() {
	if w.nested || w.healed || !rapid.Bool().Draw(w.t, "interrupt") {
		return
	}
	w.nested = true
	w.operate()
	w.nested = false
}

// checkAccepted runs after each commit of the table service and compares the new
// version with a model: the version before plus what the operator wanted.
func (w *world) checkAccepted() {
	row := w.platform.rows["settings-head"]
	version := row.Version()
	head, err := fbsettings.DecodeHead(row.Value())
	if err != nil || head.Version() != version {
		w.t.Fatalf("head row %s: %v", row.Value(), err)
	}
	entry, err := fbsettings.DecodeEntry(w.platform.rows[fmt.Sprintf("settings-entry-%d", version)].Value())
	if err != nil || entry.Version() != version {
		w.t.Fatalf("entry of version %d: %+v, %v", version, entry, err)
	}
	if other, twice := w.accepted[entry.Request()]; twice {
		w.t.Fatalf("request %s was accepted as version %d and as %d", entry.Request(), other, version)
	}
	w.accepted[entry.Request()] = version
	before := w.trees[version-1]
	if version == 1 {
		before = fbtree.Default()
	}
	after := w.wanted(before, w.edits[entry.Request()], version)
	got, err := w.trees[version-1].Apply(entry.Changes()...)
	if err != nil || !got.Equal(after) {
		w.t.Fatalf("version %d is %v; want %s", version, err, after.Encode())
	}
	w.trees[version] = after.WithVersion(version)
}

// wanted applies an edit to a tree and checks that it overrules nothing that its
// operator has not seen.
func (w *world) wanted(tree *fbtree.Tree, e fbsettings.Edit, version uint64) *fbtree.Tree {
	seen := w.trees[e.Request().Base()]
	if e.Request().Base() == 0 {
		seen = fbtree.Default()
	}
	for _, c := range e.Changes() {
		old, oldOK := seen.Get(c.Path(), c.Key())
		now, nowOK := tree.Get(c.Path(), c.Key())
		next, err := tree.Apply(c)
		if err != nil {
			// Somebody else made the very same change.
			if tree.Has(c.Path()) == (c.Op() != fbtree.OpRemove) {
				continue
			}
			w.t.Fatalf("version %d: %v: %v", version, c, err)
		}
		if (old != now || oldOK != nowOK) && !next.Equal(tree) {
			w.t.Fatalf("version %d: %v overrules %q of a version that its operator has not seen", version, c, now)
		}
		tree = next
	}
	return tree
}

// operate lets a drawn operator look at the newest version, make an edit or
// repeat one whose outcome it does not know.
func (w *world) operate() {
	o := rapid.SampledFrom(w.operators).Draw(w.t, "operator")
	ctx := context.Background()
	if rapid.Bool().Draw(w.t, "look") {
		if head, err := o.store.Head(ctx); err == nil {
			o.base = head.Version()
		}
	}
	if o.unknown != nil {
		w.commit(o, *o.unknown)
		return
	}
	e := fbsettings.NewEdit(fbsettings.NewRequest(o.base), o.name, w.now, w.drawChange())
	w.edits[e.Request().ID()] = e
	w.commit(o, e)
}

func (w *world) commit(o *operator, e fbsettings.Edit) {
	receipt, err := o.store.Commit(context.Background(), e)
	id := e.Request().ID()
	var unknown *fbsettings.UnknownError
	var conflict *fbsettings.ConflictError
	switch {
	case err == nil:
		o.unknown = nil
		w.checkReceipt(e, receipt)
	case errors.As(err, &unknown), o.unknown != nil && !errors.As(err, &conflict):
		// A repeated edit that could not even be tried stays unknown.
		o.unknown = &e
	default:
		o.unknown = nil
		w.refused[id] = err
	}
}

func (w *world) checkReceipt(e fbsettings.Edit, receipt fbsettings.Receipt) {
	version, ok := w.accepted[e.Request().ID()]
	if receipt.Changed() && (!ok || version != receipt.Version()) {
		w.t.Fatalf("receipt for version %d; accepted as %d, %v", receipt.Version(), version, ok)
	}
	if receipt.Changed() {
		w.receipts[e.Request().ID()] = receipt.Version()
		return
	}
	tree := w.trees[receipt.Version()]
	if next, err := tree.Apply(e.Changes()...); err == nil && !next.Equal(tree) {
		w.t.Fatalf("%v is told to be in force in version %d", e.Changes(), receipt.Version())
	}
}

func (w *world) drawChange() fbtree.Change {
	p, _ := fbtree.ParsePath(rapid.SampledFrom([]string{"/depot", "/atlas", "/new", "/vms/t1"}).Draw(w.t, "path"))
	key, value := fbtree.KeyQuota, rapid.SampledFrom([]string{"1", "2", "3"}).Draw(w.t, "value")
	if p.Level() == fbtree.LevelVM {
		key, value = fbtree.KeyState, fbtree.StateDraining
	}
	set := fbtree.Set(p, key, value)
	return rapid.SampledFrom([]fbtree.Change{
		set, set, set, fbtree.Unset(p, key), fbtree.Add(p), fbtree.Remove(p),
	}).Draw(w.t, "change")
}

// handle lets an event happen at a daemon and checks what is in force after it.
func (w *world) handle(d *daemon, actions []fbsettings.Action) {
	tree := d.spread.Tree()
	if tree == nil && d.version > 0 {
		w.t.Fatalf("%s lost its settings", d.address)
	}
	if tree != nil {
		want, ok := w.trees[tree.Version()]
		if tree.Version() < d.version || !ok || !tree.Equal(want) {
			w.t.Fatalf("%s has version %d after %d, accepted %v: %s", d.address, tree.Version(), d.version, ok, tree.Encode())
		}
		d.version = tree.Version()
	}
	for _, a := range actions {
		w.result(d, func(d *daemon) []fbsettings.Action { return w.act(d, a) })
	}
}

// act makes the call that a daemon asked for and puts its result on its way.
func (w *world) act(d *daemon, a fbsettings.Action) []fbsettings.Action {
	ctx := context.Background()
	switch a.Kind() {
	case fbsettings.ActionPoll:
		head, err := d.store.Head(ctx)
		w.result(d, func(d *daemon) []fbsettings.Action {
			if err != nil || d.cut {
				d.spread.HandlePollFailed(w.now, "down")
				return nil
			}
			return d.spread.HandleHead(w.now, head)
		})
	case fbsettings.ActionLoad:
		tree, err := d.store.Load(ctx, a.Head())
		w.result(d, func(d *daemon) []fbsettings.Action {
			if err != nil || d.cut {
				d.spread.HandleLoadFailed(w.now, "down")
				return nil
			}
			return d.spread.HandleTree(w.now, tree)
		})
	case fbsettings.ActionInit:
		w.edits["init"] = fbsettings.NewEdit(fbsettings.Request{}, "init", w.now)
		_ = d.store.Init(ctx)
	default:
		w.send(d, a)
	}
	return nil
}

// result puts an event for the present run of a daemon on its way.
func (w *world) result(d *daemon, do func(*daemon) []fbsettings.Action) {
	w.pending = append(w.pending, pending{to: d, run: d.run, do: do})
}

// send puts a message to a peer, and then its reply, on their way.
func (w *world) send(from *daemon, a fbsettings.Action) {
	run := from.run
	for _, to := range w.daemons {
		if to.address != a.Peer() {
			continue
		}
		w.pending = append(w.pending, pending{to: to, do: func(to *daemon) []fbsettings.Action {
			reply, actions := to.spread.HandlePush(w.now, a.Update())
			w.pending = append(w.pending, pending{to: from, run: run, do: func(from *daemon) []fbsettings.Action {
				return from.spread.HandleReply(w.now, to.address, reply)
			}})
			return actions
		}})
	}
}

// deliver lets the i-th pending thing happen.
func (w *world) deliver(i int, keep bool) {
	p := w.pending[i]
	if !keep {
		w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	}
	if p.run != 0 && p.run != p.to.run {
		return
	}
	w.handle(p.to, p.do(p.to))
}

// beat tells a daemon the versions of its peers.
func (w *world) beat(d *daemon) {
	var members []fbsettings.Member
	for _, other := range w.daemons {
		if other != d {
			members = append(members, fbsettings.NewMember(other.address, other.version))
		}
	}
	w.handle(d, d.spread.HandleMembers(w.now, members))
}

// heal ends all faults and lets the daemons work for a time.
func (w *world) heal(d time.Duration) {
	w.healed = true
	for _, d := range w.daemons {
		d.cut = false
	}
	for len(w.platform.late) > 0 {
		w.platform.land()
	}
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(100 * time.Millisecond) {
		for _, d := range w.daemons {
			w.handle(d, d.spread.HandleTick(w.now))
			w.beat(d)
		}
		for len(w.pending) > 0 {
			w.deliver(0, false)
		}
	}
}
