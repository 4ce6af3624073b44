package fbcore_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbpolicy"
)

// world is a few cores, targets and callers with a network between them that
// delays, drops, duplicates and reorders. Every choice is drawn by rapid.
type world struct {
	now     time.Time
	daemons []*node
	targets []*fakeTarget
	mail    []letter
	ids     []*history
	byID    map[string]*history
	nextInc filbertford.Incarnation
	nextRef fbcore.Ref
	faults  []string
	steps   int
}

// node is a daemon: a core at an address, with what it must remember outside.
type node struct {
	w       *world
	address string
	core    *fbcore.Core
	inc     filbertford.Incarnation
	refs    map[fbcore.Ref]*attempt
	paused  bool
	drained bool
	heir    *node
}

// letter is something on its way; deliver hands it over.
type letter struct {
	what    string
	twice   bool // may be delivered twice
	lossy   bool // may be dropped
	deliver func()
	lost    func() // what the sender learns when it is dropped, if anything
}

// attempt is one delivery of an ID with the daemons it passed.
type attempt struct{ h *history }

// history is everything that happened to one submission ID.
type history struct {
	id       filbertford.SubmissionID
	job      filbertford.Job
	tasks    int
	sent     int
	starts   []int
	answers  []filbertford.Answer
	notRun   bool
	complete *filbertford.Answer
}

// fakeTarget runs the starts that reach it when the test says so.
type fakeTarget struct {
	vm      filbertford.VM
	running map[filbertford.StartID]*fakeStart
	leaving bool
}

type fakeStart struct {
	node  *node
	core  *fbcore.Core
	start filbertford.StartRequest
	until time.Time
}

const (
	worldSlots   = 2
	worldLease   = 3 * time.Second
	worldEpoch   = 10 * time.Second
	worldHorizon = 3
)

func newWorld(daemons, targets int) *world {
	w := &world{now: time.Unix(1_000_000, 0), byID: make(map[string]*history)}
	for i := range targets {
		vm := filbertford.NewVM(filbertford.VMID("t"+strconv.Itoa(i)), filbertford.RoleTarget, "dc", "target:"+strconv.Itoa(i)).
			WithCapacity(worldSlots, 8)
		w.targets = append(w.targets, &fakeTarget{vm: vm, running: make(map[filbertford.StartID]*fakeStart)})
	}
	for i := range daemons {
		n := &node{w: w, address: "daemon:" + strconv.Itoa(i)}
		w.daemons = append(w.daemons, n)
		w.boot(n)
	}
	return w
}

// boot starts a new incarnation at the node's address.
func (w *world) boot(n *node) {
	w.nextInc++
	policy, err := fbpolicy.New("random", uint64(w.nextInc))
	if err != nil {
		panic(err)
	}
	n.inc = w.nextInc
	n.refs = make(map[fbcore.Ref]*attempt)
	n.paused, n.drained = false, false
	n.core = fbcore.New(fbcore.Config{
		Incarnation:    n.inc,
		Key:            fbcore.Key{byte(n.inc), byte(n.inc >> 8), 7},
		DataCentre:     "dc",
		Address:        n.address,
		Started:        w.now,
		EpochLength:    worldEpoch,
		HorizonEpochs:  worldHorizon,
		SpentEpochs:    100,
		MaxSubmissions: 64,
		MaxAnswerBytes: 4096,
	}, policy)
	vms := make([]filbertford.VM, len(w.targets))
	for i, t := range w.targets {
		vms[i] = t.vm
	}
	n.handle(fbcore.TargetsChanged{Targets: vms})
}

// handle drives a node's core and turns its actions into letters.
func (n *node) handle(e fbcore.Event) {
	for _, a := range slices.Clone(n.core.Handle(n.w.now, e)) {
		n.act(a)
	}
}

func (n *node) act(a fbcore.Action) {
	w := n.w
	switch a := a.(type) {
	case fbcore.Reply:
		if at := n.refs[a.Ref]; at != nil {
			delete(n.refs, a.Ref)
			w.post(letter{what: "answer", lossy: true, deliver: func() { w.answered(at.h, a.Answer) }})
		}
	case fbcore.StartTask:
		w.postStart(n, a)
	case fbcore.StopTasks:
		w.post(letter{what: "stop", lossy: true, twice: true, deliver: func() { w.stopTasks(a) }})
	case fbcore.RenewLease:
		core, asked := n.core, w.now
		w.post(letter{what: "renew", lossy: true, deliver: func() { w.renew(n, core, a, asked) }})
	case fbcore.Drained:
		n.drained = true
	case fbcore.Violated:
		w.fault("invariant: %s", a.Invariant)
	}
}

func (w *world) post(l letter) { w.mail = append(w.mail, l) }

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// postStart sends a start. When it is dropped the daemon sees an unreached
// target; when its reply is dropped, an unknown outcome.
func (w *world) postStart(n *node, a fbcore.StartTask) {
	core, id := n.core, a.Start.ID()
	w.post(letter{
		what: "start", lossy: true,
		deliver: func() { w.arrive(n, core, a) },
		lost:    func() { w.ended(n, core, id, filbertford.NewStartResult(filbertford.OutcomeNotSent)) },
	})
}

// arrive lets a start reach its target.
func (w *world) arrive(n *node, core *fbcore.Core, a fbcore.StartTask) {
	t := w.target(a.Target.ID())
	free := worldSlots - len(t.running)
	switch {
	case t.leaving:
		w.reply(n, core, a.Start.ID(), filbertford.NewStartResult(filbertford.OutcomeLeaving).WithFreeSlots(free))
	case free == 0:
		w.reply(n, core, a.Start.ID(), filbertford.NewStartResult(filbertford.OutcomeNoSlot).WithFreeSlots(0))
	default:
		t.running[a.Start.ID()] = &fakeStart{node: n, core: core, start: a.Start, until: w.now.Add(a.Start.Lease())}
		w.started(string(a.Start.Args()))
	}
}

// started counts a start of the task that the arguments name.
func (w *world) started(args string) {
	id, task, _ := strings.Cut(args, "#")
	h := w.byID[id]
	i, _ := strconv.Atoi(task)
	h.starts[i]++
	if h.starts[i] > 1 {
		w.fault("task %d of %s was started twice", i, id)
	}
	if h.notRun {
		w.fault("%s was started after it was said not to be run", id)
	}
}

// reply sends a start's report back; when dropped the outcome is unknown.
func (w *world) reply(n *node, core *fbcore.Core, id filbertford.StartID, r filbertford.StartResult) {
	w.post(letter{
		what: "report", lossy: true, twice: true,
		deliver: func() { w.ended(n, core, id, r) },
		lost:    func() { w.ended(n, core, id, filbertford.NewStartResult(filbertford.OutcomeUnknown)) },
	})
}

// ended hands the end of a start to the core that made it, if it still runs.
func (w *world) ended(n *node, core *fbcore.Core, id filbertford.StartID, r filbertford.StartResult) {
	if n.core != core {
		return
	}
	if n.paused {
		w.post(letter{what: "report", deliver: func() { w.ended(n, core, id, r) }})
		return
	}
	n.handle(fbcore.StartEnded{Start: id, Report: r})
}

func (w *world) stopTasks(a fbcore.StopTasks) {
	t := w.target(a.Target.ID())
	for _, id := range a.Starts {
		if s := t.running[id]; s != nil {
			delete(t.running, id)
			w.reply(s.node, s.core, id, filbertford.NewStartResult(filbertford.OutcomeStopped))
		}
	}
}

func (w *world) renew(n *node, core *fbcore.Core, a fbcore.RenewLease, asked time.Time) {
	t := w.target(a.Target.ID())
	for _, s := range t.running {
		if s.core == core {
			s.until = w.now.Add(a.Lease)
		}
	}
	w.post(letter{what: "renewed", lossy: true, deliver: func() {
		if n.core == core && !n.paused {
			n.handle(fbcore.LeaseRenewed{Target: filbertford.TargetID(a.Target.ID()), Asked: asked})
		}
	}})
}

func (w *world) target(id filbertford.VMID) *fakeTarget {
	for _, t := range w.targets {
		if t.vm.ID() == id {
			return t
		}
	}
	panic("no such target")
}

// lapse stops the tasks whose lease has run out at their targets.
func (w *world) lapse() {
	for _, t := range w.targets {
		for _, id := range sortedIDs(t.running) {
			if s := t.running[id]; w.now.After(s.until) {
				delete(t.running, id)
				w.reply(s.node, s.core, id, filbertford.NewStartResult(filbertford.OutcomeStopped))
			}
		}
	}
}

// send delivers an ID to a daemon, which forwards it if it is not its own.
func (w *world) send(h *history, via *node) {
	h.sent++
	w.post(letter{what: "delivery", lossy: true, twice: true, deliver: func() { w.take(h, via, false) }})
}

func (w *world) take(h *history, n *node, forwarded bool) {
	if n.core == nil || n.paused {
		return
	}
	owner := h.id.Token().Incarnation()
	if !forwarded && n.inc != owner && !n.core.AnswersFor(owner) {
		w.forward(h, n)
		return
	}
	w.nextRef++
	n.refs[w.nextRef] = &attempt{h: h}
	n.handle(fbcore.Submit{
		Ref:      w.nextRef,
		Delivery: filbertford.NewDelivery(h.id, h.job),
		Digest:   fbcore.Digest(h.job),
		Rules:    worldRules(),
		Claim:    fbcore.ClaimPinned,
	})
}

// forward passes a delivery to an heir of the owner if there is one, else to
// the token's address.
func (w *world) forward(h *history, from *node) {
	owner := h.id.Token().Incarnation()
	to := w.at(h.id.Token().Address())
	for _, n := range w.daemons {
		if n.core != nil && n.core.AnswersFor(owner) {
			to = n
		}
	}
	if to == nil || to == from || to.core == nil {
		w.answered(h, filbertford.NewRefusal(filbertford.CodeOwnerGone, ""))
		return
	}
	w.post(letter{what: "forward", lossy: true, twice: true, deliver: func() { w.take(h, to, true) }})
}

func (w *world) at(address string) *node {
	for _, n := range w.daemons {
		if n.address == address {
			return n
		}
	}
	return nil
}

func worldRules() filbertford.Rules {
	return filbertford.Rules{}.WithMaxQueue(4).WithLease(worldLease).WithTimeouts(time.Minute, time.Minute)
}

// answered checks an answer against what has happened to its submission.
func (w *world) answered(h *history, a filbertford.Answer) {
	h.answers = append(h.answers, a)
	ran := slices.ContainsFunc(h.starts, func(n int) bool { return n > 0 })
	switch a.Code().Class() {
	case filbertford.ClassNotRun:
		h.notRun = true
		if ran {
			w.fault("%s was said not to be run (%s), but was", h.id, a.Code())
		}
	case filbertford.ClassComplete:
		w.checkComplete(h, a)
	case filbertford.ClassNotStarted:
		if h.sent == 1 && ran && !w.mayArriveTwice(h) {
			w.fault("the only delivery of %s was said to have started nothing (%s)", h.id, a.Code())
		}
	}
}

// mayArriveTwice reports whether the network duplicated the only delivery.
func (w *world) mayArriveTwice(h *history) bool { return len(h.answers) > 1 || h.sent > 1 }

func (w *world) checkComplete(h *history, a filbertford.Answer) {
	if len(a.Results()) != h.tasks {
		w.fault("the answer of %s has %d results of %d", h.id, len(a.Results()), h.tasks)
		return
	}
	for i, r := range a.Results() {
		if want := h.id.String() + "#" + strconv.Itoa(i); string(r.Output()) != want {
			w.fault("result %d of %s is %q", i, h.id, r.Output())
		}
	}
	if slices.Contains(h.starts, 0) {
		w.fault("%s was answered complete, but a task was not started", h.id)
	}
	h.complete = &a
}

func sortedIDs(m map[filbertford.StartID]*fakeStart) []filbertford.StartID {
	out := make([]filbertford.StartID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// draw picks an index below n.
func draw(t *rapid.T, n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
