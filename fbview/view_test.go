package fbview_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbview"
)

// TestViewStartsNoKeyTwice runs several daemons with random faults. It fails if at
// any step two daemons may start the same key or a daemon still holds the lease of
// a replaced view after the lease period, or if a key is started twice.
func TestViewStartsNoKeyTwice(t *testing.T) {
	var steps, views, starts int
	defer func() { t.Logf("%d steps, %d views, %d keys started", steps, views, starts) }()
	rapid.Check(t, func(rt *rapid.T) {
		f := newFaults(rt)
		defer func() {
			views += len(f.committedAt)
			starts += len(f.startedBy)
		}()
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) {
				steps++
				f.check(rt)
			},
			"run":      f.run,
			"run on":   f.run,
			"long run": f.longRun,
			"hold":     f.holdMessages,
			"release":  f.releaseMessage,
			"drop":     f.dropMessage,
			"repeat":   f.duplicateMessage,
			"time out": f.loseReply,
			"store":    f.setStoreDown,
			"link":     f.setLinkDown,
			"part":     f.partitionStore,
			"mute":     f.loseStoreReplies,
			"share":    f.exchangeHeartbeats,
			"heal":     f.removeFaults,
			"pause":    f.pause,
			"crash":    f.crash,
			"boot":     f.boot,
			"leave":    f.leave,
			"observe":  f.updateSomePeers,
			"see all":  f.updateAllPeers,
			"submit":   f.submit,
			"mint":     f.mint,
		})
	})
}

// faults draws the steps and faults of a simulation.
type faults struct {
	*simulation
	probeKeys []string
	keys      []string
	rng       *rand.Rand
}

func newFaults(t *rapid.T) *faults {
	f := &faults{simulation: newSimulation(), rng: rand.New(rand.NewSource(rapid.Int64().Draw(t, "keys")))}
	for i := range 8 {
		f.probeKeys = append(f.probeKeys, fmt.Sprintf("order-%d", i))
	}
	f.keys = append(f.keys, f.probeKeys...)
	for i := range rapid.IntRange(1, 4).Draw(t, "daemons") {
		f.bootAt(t, fmt.Sprintf("127.0.0.1:%d", 7101+i))
	}
	if rapid.Bool().Draw(t, "settled") {
		f.updateAllPeers(t)
		f.longRun(t)
	}
	return f
}

func (f *faults) check(t *rapid.T) {
	if err := f.simulation.checkInvariants(f.probeKeys); err != nil {
		t.Fatal(err)
	}
}

func (f *faults) advance(t *rapid.T, d time.Duration) {
	f.simulation.run(d, func() { f.check(t) })
}

func (f *faults) run(t *rapid.T) {
	f.advance(t, step*time.Duration(rapid.IntRange(1, 10).Draw(t, "steps")))
}

func (f *faults) longRun(t *rapid.T) {
	f.advance(t, step*time.Duration(rapid.IntRange(10, 60).Draw(t, "steps")))
}

func (f *faults) drawMessage(t *rapid.T) *message {
	if len(f.messages) == 0 {
		t.Skip("no messages")
	}
	return rapid.SampledFrom(f.messages).Draw(t, "message")
}

// holdMessages ticks one daemon and holds back the messages that it sends.
func (f *faults) holdMessages(t *rapid.T) {
	n := f.drawNode(t)
	before := len(f.messages)
	f.now += step
	f.execute(n, n.view.Tick(f.clock(n)))
	for _, m := range f.messages[before:] {
		m.held = true
	}
}

func (f *faults) releaseMessage(t *rapid.T) { f.drawMessage(t).held = false }

func (f *faults) dropMessage(t *rapid.T) {
	m := f.drawMessage(t)
	m.held, m.deliver = false, func() {}
}

func (f *faults) duplicateMessage(t *rapid.T) {
	m := *f.drawMessage(t)
	f.messages = append(f.messages, &m)
}

// loseReply delivers a message but holds back the reply.
func (f *faults) loseReply(t *rapid.T) {
	m := f.drawMessage(t)
	if !f.canDeliver(m.from, m.to) {
		t.Skip("message can't be delivered")
	}
	before := len(f.messages)
	deliver := m.deliver
	m.held, m.deliver = false, func() {}
	deliver()
	for _, reply := range f.messages[before:] {
		reply.held = true
	}
}

func (f *faults) drawNode(t *rapid.T) *node {
	live := f.live()
	if len(live) == 0 {
		t.Skip("no live daemons")
	}
	return rapid.SampledFrom(live).Draw(t, "daemon")
}

func (f *faults) setStoreDown(t *rapid.T) { f.storeDown = rapid.Bool().Draw(t, "down") }

func (f *faults) setLinkDown(t *rapid.T) {
	a, b := f.drawNode(t), f.drawNode(t)
	down := rapid.Bool().Draw(t, "cut")
	f.linkDown[[2]*node{a, b}], f.linkDown[[2]*node{b, a}] = down, down
}

// partitionStore draws which daemons can reach the store.
func (f *faults) partitionStore(t *rapid.T) {
	for _, n := range f.live() {
		n.store = rapid.SampledFrom([]storeLink{storeConnected, storeDisconnected}).Draw(t, "store")
	}
}

// loseStoreReplies makes the store's replies to one daemon undeliverable.
func (f *faults) loseStoreReplies(t *rapid.T) { f.drawNode(t).store = storeRepliesLost }

// exchangeHeartbeats advances the time while all daemons keep their lists of peers
// up to date.
func (f *faults) exchangeHeartbeats(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "times") {
		f.updateAllPeers(t)
		f.advance(t, 5*step)
	}
}

func (f *faults) removeFaults(*rapid.T) {
	f.storeDown = false
	clear(f.linkDown)
	for _, n := range f.nodes {
		n.store, n.paused = storeConnected, false
	}
}

func (f *faults) pause(t *rapid.T) {
	f.drawNode(t).paused = rapid.Bool().Draw(t, "paused")
}

func (f *faults) crash(t *rapid.T) {
	if len(f.live()) < 3 {
		t.Skip("too few daemons")
	}
	f.drawNode(t).dead = true
}

// boot starts a daemon at a new address or at the address of a dead one.
func (f *faults) boot(t *rapid.T) {
	if len(f.live()) >= 4 {
		t.Skip("enough daemons")
	}
	address := fmt.Sprintf("127.0.0.1:%d", 7201+len(f.nodes))
	for _, n := range f.nodes {
		if n.dead && !f.inUse(n.self.Address()) && rapid.Bool().Draw(t, "same address") {
			address = n.self.Address()
			break
		}
	}
	f.bootAt(t, address)
}

func (f *faults) inUse(address string) bool {
	for _, n := range f.live() {
		if n.self.Address() == address {
			return true
		}
	}
	return false
}

func (f *faults) bootAt(t *rapid.T, address string) {
	driftRate := rapid.Float64Range(-maxDriftRate, maxDriftRate).Draw(t, "rate")
	offset := time.Duration(rapid.IntRange(-100, 100).Draw(t, "offset")) * time.Millisecond
	period := rapid.SampledFrom([]time.Duration{time.Second, time.Second, 2 * time.Second}).Draw(t, "period")
	f.simulation.boot(address, driftRate, offset, period)
}

func (f *faults) leave(t *rapid.T) { f.drawNode(t).view.Leave() }

// updateSomePeers updates one daemon's list of peers with a random subset.
func (f *faults) updateSomePeers(t *rapid.T) {
	f.simulation.updatePeers(f.drawNode(t), func(*node) bool { return rapid.Bool().Draw(t, "seen") })
}

// updateAllPeers updates every daemon's list of peers with all that it can reach.
func (f *faults) updateAllPeers(*rapid.T) {
	for _, n := range f.live() {
		f.simulation.updatePeers(n, func(*node) bool { return true })
	}
}

// submit submits all keys to all daemons that aren't paused.
func (f *faults) submit(t *rapid.T) {
	for _, n := range f.live() {
		for _, key := range f.keys {
			if n.paused {
				break
			}
			if err := f.simulation.submit(n, key); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func (f *faults) mint(t *rapid.T) {
	ahead := rapid.OneOf(rapid.IntRange(300, 500), rapid.IntRange(-3000, 0), rapid.IntRange(2000, 9000)).Draw(t, "ahead")
	f.keys = append(f.keys, f.simulation.mintKey(f.rng, time.Duration(ahead)*time.Millisecond))
}

// TestViewSharesAllKeysWithoutFaults checks that exactly one daemon may start each
// key once the members have settled: at first, after one daemon restarts, while
// the store is down and after all daemons restart; and that a daemon can leave.
func TestViewSharesAllKeysWithoutFaults(t *testing.T) {
	s := newSimulation()
	for i := range 3 {
		s.boot(fmt.Sprintf("127.0.0.1:%d", 7101+i), 0, 0, time.Second)
	}
	runAndCheck := func() {
		for _, n := range s.live() {
			s.updatePeers(n, func(*node) bool { return true })
		}
		s.run(4*time.Second, func() {})
		for i := range 50 {
			key := fmt.Sprintf("order-%d", i)
			starters := 0
			for _, n := range s.live() {
				if n.view.MayStart(key, s.clock(n)) {
					starters++
				}
			}
			if starters != 1 {
				t.Fatalf("%d daemons may start %s, want 1", starters, key)
			}
		}
	}
	runAndCheck()
	s.nodes[0].dead = true
	s.boot("127.0.0.1:7101", 0, 0, time.Second)
	runAndCheck()
	s.storeDown = true
	runAndCheck()
	s.storeDown = false
	for _, n := range s.live() {
		n.dead = true
	}
	for i := range 3 {
		s.boot(fmt.Sprintf("127.0.0.1:%d", 7101+i), 0, 0, time.Second)
	}
	runAndCheck()
	s.nodes[len(s.nodes)-1].view.Leave()
	s.run(time.Second, func() {})
	if !s.nodes[len(s.nodes)-1].view.HasLeft() {
		t.Error("daemon has not left the view")
	}
	if row, _ := s.nodes[len(s.nodes)-2].view.Row(); len(row.Members()) != 2 {
		t.Errorf("got view %v, want two members", row)
	}
}

// TestViewAdmitsNewMembersOnceEmptied checks that daemons at new addresses don't
// replace a view whose members are unreachable, but do so once an operator has
// written a row without members. Keys that the earlier members may have started
// must then be undecided.
func TestViewAdmitsNewMembersOnceEmptied(t *testing.T) {
	s := newSimulation()
	run := func() {
		for _, n := range s.live() {
			s.updatePeers(n, func(*node) bool { return true })
		}
		s.run(4*time.Second, func() {})
	}
	s.boot("127.0.0.1:7101", 0, 0, time.Second)
	s.boot("127.0.0.1:7102", 0, 0, time.Second)
	run()
	unreachable := s.nodes
	s.nodes = nil
	s.boot("127.0.0.1:7201", 0, 0, time.Second)
	s.boot("127.0.0.1:7202", 0, 0, time.Second)
	run()
	row, _ := s.nodes[0].view.Row()
	if len(row.Members()) != 2 || row.Members()[0] != unreachable[0].self {
		t.Fatalf("got members %v, want those of the unreachable daemons", row.Members())
	}
	s.row = filbertford.NewRow(s.row.Key(), row.NextWithoutMembers().Bytes(), s.row.Version()+1)
	run()
	verdicts := map[fbview.Verdict]int{}
	for _, n := range s.nodes {
		verdicts[n.view.Admit("order-1", s.clock(n)).Verdict()]++
	}
	want := map[fbview.Verdict]int{fbview.VerdictUndecided: 1, fbview.VerdictNotOwner: 1}
	if diff := cmp.Diff(want, verdicts); diff != "" {
		t.Error(diff)
	}
}
