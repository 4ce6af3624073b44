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

// simulation runs a few cores, targets and callers on a network that delays, drops,
// duplicates and reorders messages. All choices are drawn by rapid.
type simulation struct {
	now         time.Time
	daemons     []*testDaemon
	targets     []*fakeTarget
	messages    []message
	submissions []*submissionHistory
	byID        map[string]*submissionHistory
	nextInc     filbertford.Incarnation
	nextRef     fbcore.Ref
	violations  []string
	steps       int
}

// testDaemon is a daemon at an address. It runs one core at a time and keeps the
// deliveries that wait for the core's replies.
type testDaemon struct {
	sim       *simulation
	address   string
	core      *fbcore.Core
	inc       filbertford.Incarnation
	waiting   map[fbcore.Ref]*waitingDelivery
	paused    bool
	drained   bool
	successor *testDaemon
}

// message is a message in transit, which deliver passes to its recipient.
type message struct {
	kind         string
	mayDuplicate bool // may be delivered twice
	mayDrop      bool // may be dropped
	deliver      func()
	onDrop       func() // called if the message is dropped; may be nil
}

// waitingDelivery is a delivery that waits for its answer.
type waitingDelivery struct{ history *submissionHistory }

// submissionHistory records the deliveries, starts and answers of a submission ID.
type submissionHistory struct {
	id         filbertford.SubmissionID
	job        filbertford.Job
	tasks      int
	deliveries int
	starts     []int
	answers    []filbertford.Answer
	notRun     bool
	complete   *filbertford.Answer
}

// fakeTarget runs the started tasks until the test completes, fails or stops them.
type fakeTarget struct {
	vm      filbertford.VM
	running map[filbertford.StartID]*fakeStart
	leaving bool
}

type fakeStart struct {
	daemon         *testDaemon
	core           *fbcore.Core
	request        filbertford.StartRequest
	leaseExpiresAt time.Time
}

const (
	simSlots         = 2
	simLease         = 3 * time.Second
	simEpochLength   = 10 * time.Second
	simHorizonEpochs = 3
)

func newSimulation(daemons, targets int) *simulation {
	sim := &simulation{now: time.Unix(1_000_000, 0), byID: make(map[string]*submissionHistory)}
	for i := range targets {
		vm := filbertford.NewVM(filbertford.VMID("t"+strconv.Itoa(i)), filbertford.RoleTarget, "dc", "target:"+strconv.Itoa(i)).
			WithCapacity(simSlots, 8)
		sim.targets = append(sim.targets, &fakeTarget{vm: vm, running: make(map[filbertford.StartID]*fakeStart)})
	}
	for i := range daemons {
		d := &testDaemon{sim: sim, address: "daemon:" + strconv.Itoa(i)}
		sim.daemons = append(sim.daemons, d)
		sim.startIncarnation(d)
	}
	return sim
}

// startIncarnation starts a new incarnation at the daemon's address.
func (sim *simulation) startIncarnation(d *testDaemon) {
	sim.nextInc++
	policy, err := fbpolicy.New("random", uint64(sim.nextInc))
	if err != nil {
		panic(err)
	}
	d.inc = sim.nextInc
	d.waiting = make(map[fbcore.Ref]*waitingDelivery)
	d.paused, d.drained = false, false
	d.core = fbcore.New(fbcore.Config{
		Incarnation:       d.inc,
		Key:               fbcore.Key{byte(d.inc), byte(d.inc >> 8), 7},
		DataCentre:        "dc",
		Address:           d.address,
		StartedAt:         sim.now,
		EpochLength:       simEpochLength,
		HorizonEpochs:     simHorizonEpochs,
		FingerprintEpochs: 100,
		MaxSubmissions:    64,
		MaxAnswerBytes:    4096,
	}, policy)
	vms := make([]filbertford.VM, len(sim.targets))
	for i, t := range sim.targets {
		vms[i] = t.vm
	}
	d.handle(fbcore.TargetsChanged{Targets: vms})
}

// handle passes an event to the daemon's core and sends its actions as messages.
func (d *testDaemon) handle(e fbcore.Event) {
	for _, a := range slices.Clone(d.core.Handle(d.sim.now, e)) {
		d.act(a)
	}
}

func (d *testDaemon) act(a fbcore.Action) {
	sim := d.sim
	switch a := a.(type) {
	case fbcore.Reply:
		if delivery := d.waiting[a.Ref]; delivery != nil {
			delete(d.waiting, a.Ref)
			sim.send(message{kind: "answer", mayDrop: true, deliver: func() { sim.receiveAnswer(delivery.history, a.Answer) }})
		}
	case fbcore.StartTask:
		sim.sendStart(d, a)
	case fbcore.StopTasks:
		sim.send(message{kind: "stop", mayDrop: true, mayDuplicate: true, deliver: func() { sim.stopTasks(a) }})
	case fbcore.RenewLease:
		core, requestedAt := d.core, sim.now
		sim.send(message{kind: "renew", mayDrop: true, deliver: func() { sim.renew(d, core, a, requestedAt) }})
	case fbcore.Drained:
		d.drained = true
	case fbcore.Violated:
		sim.addViolation("invariant broken: %s", a.Invariant)
	}
}

func (sim *simulation) send(m message) { sim.messages = append(sim.messages, m) }

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// sendStart sends a start. If it is dropped, the outcome is OutcomeNotSent, as for
// an unreachable target. If the reply is dropped, the outcome is unknown.
func (sim *simulation) sendStart(d *testDaemon, a fbcore.StartTask) {
	core, id := d.core, a.Request.ID()
	sim.send(message{
		kind: "start", mayDrop: true,
		deliver: func() { sim.receiveStart(d, core, a) },
		onDrop:  func() { sim.endStart(d, core, id, filbertford.NewStartResult(filbertford.OutcomeNotSent)) },
	})
}

// receiveStart handles a start at its target.
func (sim *simulation) receiveStart(d *testDaemon, core *fbcore.Core, a fbcore.StartTask) {
	t := sim.targetByID(a.Target.ID())
	free := simSlots - len(t.running)
	switch {
	case t.leaving:
		sim.sendReport(d, core, a.Request.ID(), filbertford.NewStartResult(filbertford.OutcomeLeaving).WithFreeSlots(free))
	case free == 0:
		sim.sendReport(d, core, a.Request.ID(), filbertford.NewStartResult(filbertford.OutcomeNoSlot).WithFreeSlots(0))
	default:
		t.running[a.Request.ID()] = &fakeStart{daemon: d, core: core, request: a.Request, leaseExpiresAt: sim.now.Add(a.Request.Lease())}
		sim.countStart(string(a.Request.Args()))
	}
}

// countStart counts a start of the task that is named by its arguments.
func (sim *simulation) countStart(args string) {
	id, task, _ := strings.Cut(args, "#")
	h := sim.byID[id]
	i, _ := strconv.Atoi(task)
	h.starts[i]++
	if h.starts[i] > 1 {
		sim.addViolation("task %d of %s was started twice", i, id)
	}
	if h.notRun {
		sim.addViolation("%s was started after it was answered as not run", id)
	}
}

// sendReport sends the result of a start to its daemon. If the message is dropped,
// the outcome is unknown.
func (sim *simulation) sendReport(d *testDaemon, core *fbcore.Core, id filbertford.StartID, r filbertford.StartResult) {
	sim.send(message{
		kind: "report", mayDrop: true, mayDuplicate: true,
		deliver: func() { sim.endStart(d, core, id, r) },
		onDrop:  func() { sim.endStart(d, core, id, filbertford.NewStartResult(filbertford.OutcomeUnknown)) },
	})
}

// endStart passes the result of a start to the core that sent it, if that core is
// still running.
func (sim *simulation) endStart(d *testDaemon, core *fbcore.Core, id filbertford.StartID, r filbertford.StartResult) {
	if d.core != core {
		return
	}
	if d.paused {
		sim.send(message{kind: "report", deliver: func() { sim.endStart(d, core, id, r) }})
		return
	}
	d.handle(fbcore.StartEnded{Start: id, Result: r})
}

func (sim *simulation) stopTasks(a fbcore.StopTasks) {
	t := sim.targetByID(a.Target.ID())
	for _, id := range a.Starts {
		if s := t.running[id]; s != nil {
			delete(t.running, id)
			sim.sendReport(s.daemon, s.core, id, filbertford.NewStartResult(filbertford.OutcomeStopped))
		}
	}
}

func (sim *simulation) renew(d *testDaemon, core *fbcore.Core, a fbcore.RenewLease, requestedAt time.Time) {
	t := sim.targetByID(a.Target.ID())
	for _, s := range t.running {
		if s.core == core {
			s.leaseExpiresAt = sim.now.Add(a.Lease)
		}
	}
	sim.send(message{kind: "renewed", mayDrop: true, deliver: func() {
		if d.core == core && !d.paused {
			d.handle(fbcore.LeaseRenewed{Target: filbertford.TargetID(a.Target.ID()), RequestedAt: requestedAt})
		}
	}})
}

func (sim *simulation) targetByID(id filbertford.VMID) *fakeTarget {
	for _, t := range sim.targets {
		if t.vm.ID() == id {
			return t
		}
	}
	panic("no such target")
}

// expireLeases stops the tasks at the targets whose lease has expired.
func (sim *simulation) expireLeases() {
	for _, t := range sim.targets {
		for _, id := range sortedIDs(t.running) {
			if s := t.running[id]; sim.now.After(s.leaseExpiresAt) {
				delete(t.running, id)
				sim.sendReport(s.daemon, s.core, id, filbertford.NewStartResult(filbertford.OutcomeStopped))
			}
		}
	}
}

// sendDelivery sends a delivery to a daemon, which forwards it unless it answers
// for the ID.
func (sim *simulation) sendDelivery(h *submissionHistory, d *testDaemon) {
	h.deliveries++
	sim.send(message{kind: "delivery", mayDrop: true, mayDuplicate: true, deliver: func() { sim.receiveDelivery(h, d, false) }})
}

func (sim *simulation) receiveDelivery(h *submissionHistory, d *testDaemon, forwarded bool) {
	if d.core == nil || d.paused {
		return
	}
	owner := h.id.Token().Incarnation()
	if !forwarded && d.inc != owner && !d.core.AnswersFor(owner) {
		sim.forward(h, d)
		return
	}
	sim.nextRef++
	d.waiting[sim.nextRef] = &waitingDelivery{history: h}
	d.handle(fbcore.Submit{
		Ref:      sim.nextRef,
		Delivery: filbertford.NewDelivery(h.id, h.job),
		Digest:   fbcore.Digest(h.job),
		Rules:    simRules(),
		Claim:    fbcore.ClaimPinned,
	})
}

// forward forwards a delivery to a successor of the owner if there is one, otherwise
// to the token's address.
func (sim *simulation) forward(h *submissionHistory, from *testDaemon) {
	owner := h.id.Token().Incarnation()
	to := sim.daemonAt(h.id.Token().Address())
	for _, d := range sim.daemons {
		if d.core != nil && d.core.AnswersFor(owner) {
			to = d
		}
	}
	if to == nil || to == from || to.core == nil {
		sim.receiveAnswer(h, filbertford.NewRefusal(filbertford.CodeOwnerGone, ""))
		return
	}
	sim.send(message{kind: "forward", mayDrop: true, mayDuplicate: true, deliver: func() { sim.receiveDelivery(h, to, true) }})
}

func (sim *simulation) daemonAt(address string) *testDaemon {
	for _, d := range sim.daemons {
		if d.address == address {
			return d
		}
	}
	return nil
}

func simRules() filbertford.Rules {
	return filbertford.Rules{}.WithMaxQueue(4).WithLease(simLease).WithTimeouts(time.Minute, time.Minute)
}

// receiveAnswer checks an answer against the history of its submission.
func (sim *simulation) receiveAnswer(h *submissionHistory, a filbertford.Answer) {
	h.answers = append(h.answers, a)
	ran := slices.ContainsFunc(h.starts, func(n int) bool { return n > 0 })
	switch a.Code().Class() {
	case filbertford.ClassNotRun:
		h.notRun = true
		if ran {
			sim.addViolation("%s was answered as not run (%s), but was started", h.id, a.Code())
		}
	case filbertford.ClassComplete:
		sim.checkComplete(h, a)
	case filbertford.ClassNotStarted:
		if h.deliveries == 1 && ran && !sim.mayBeDuplicated(h) {
			sim.addViolation("the only delivery of %s was answered as having started nothing (%s), but a task was started", h.id, a.Code())
		}
	}
}

// mayBeDuplicated reports whether the submission may have been delivered twice.
func (sim *simulation) mayBeDuplicated(h *submissionHistory) bool {
	return len(h.answers) > 1 || h.deliveries > 1
}

func (sim *simulation) checkComplete(h *submissionHistory, a filbertford.Answer) {
	if len(a.Results()) != h.tasks {
		sim.addViolation("the answer of %s has %d results, want %d", h.id, len(a.Results()), h.tasks)
		return
	}
	for i, r := range a.Results() {
		if want := h.id.String() + "#" + strconv.Itoa(i); string(r.Output()) != want {
			sim.addViolation("result %d of %s is %q", i, h.id, r.Output())
		}
	}
	if slices.Contains(h.starts, 0) {
		sim.addViolation("%s was answered as complete, but a task was not started", h.id)
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

// drawIndex draws an index below n.
func drawIndex(t *rapid.T, n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
