package fbroutes

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestFleetWithSlowLinksGetsVersion guards against links that are full of texts of one version while
// the store doesn't reach a part of the daemons: each of them gets about one text, and all have it
// within 5 s.
func TestFleetWithSlowLinksGetsVersion(t *testing.T) {
	const (
		daemons  = 44
		textTime = 200 * time.Millisecond // of 0.5 MB on a link of 19 Mbit/s
		limit    = 5 * time.Second
	)
	for name, reached := range map[string]int{"two thirds reached": 29, "half reached": 22, "a quarter reached": 11, "one reached": 1} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				f := newFakeFleet(daemons, textTime, seed)
				for _, d := range f.daemons[:reached] {
					d.exchange.Applied(0, 2, textSize, true)
				}
				for f.now < limit && f.behind() > 0 {
					f.step()
				}
				if missing := daemons - reached; f.behind() > 0 || f.texts > 3*missing/2 {
					t.Errorf("seed %d: %d daemons are behind after %v, %d texts were sent to %d daemons", seed, f.behind(), f.now, f.texts, missing)
				}
			}
		})
	}
}

const textSize = 500_000 // bytes

// fakeFleet is a fleet whose daemons exchange heartbeats and texts over links of their own.
type fakeFleet struct {
	now      time.Duration
	textTime time.Duration // for one text on a link
	daemons  []*fakeDaemon
	index    map[filbertford.NodeID]int
	texts    int // sent
	events   eventQueue
}

type fakeDaemon struct {
	exchange *Exchange
	outFree  time.Duration // when the link has sent all that is queued
	inFree   time.Duration
}

func newFakeFleet(daemons int, textTime time.Duration, seed uint64) *fakeFleet {
	f := &fakeFleet{textTime: textTime, index: make(map[filbertford.NodeID]int)}
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range daemons {
		d := &fakeDaemon{exchange: NewExchange(rand.New(rand.NewPCG(seed, uint64(i))))}
		d.exchange.Applied(0, 1, textSize, true)
		f.daemons = append(f.daemons, d)
		f.index[fakeNode(i)] = i
		f.tick(i, time.Duration(random.Int64N(int64(20*time.Millisecond))))
		period := time.Second
		if i < 3 { // owners of pools
			period = 60 * time.Millisecond
		}
		f.heartbeats(i, time.Duration(random.Int64N(int64(period))), period)
	}
	return f
}

// heartbeats sends the heartbeats of a daemon to all others.
func (f *fakeFleet) heartbeats(from int, at, period time.Duration) {
	f.at(at, func() {
		version := f.daemons[from].exchange.version
		for to := range f.daemons {
			if to != from {
				f.at(max(f.now, f.daemons[to].inFree)+time.Millisecond, func() { f.heartbeat(from, to, version) })
			}
		}
		f.heartbeats(from, at+period, period)
	})
}

func (f *fakeFleet) heartbeat(from, to int, version uint64) {
	receiver := f.daemons[to]
	receiver.exchange.VersionNamed(f.now, fakeNode(from), version)
}

// tick requests routes for a daemon.
func (f *fakeFleet) tick(i int, at time.Duration) {
	f.at(at, func() {
		f.pull(i)
		f.tick(i, at+20*time.Millisecond)
	})
}

func (f *fakeFleet) pull(to int) {
	receiver := f.daemons[to]
	node, pull := receiver.exchange.Pull(f.now)
	if !pull {
		return
	}
	sender, have := f.daemons[f.index[node]], receiver.exchange.version
	f.at(f.now+time.Millisecond, func() {
		if !sender.exchange.PullReceived(f.now, fakeNode(to), have) {
			return
		}
		f.texts++
		sent := sender.exchange.version
		start := max(sender.outFree, f.now)
		sender.outFree = start + f.textTime
		f.at(start, func() {
			receiver.inFree = max(receiver.inFree, f.now) + f.textTime
			f.at(receiver.inFree, func() {
				if sent > receiver.exchange.version {
					receiver.exchange.Applied(f.now, sent, textSize, false)
				}
			})
		})
	})
}

// behind returns the number of daemons without the newest version.
func (f *fakeFleet) behind() int {
	n := 0
	for _, d := range f.daemons {
		if d.exchange.version < 2 {
			n++
		}
	}
	return n
}

func fakeNode(i int) filbertford.NodeID { return filbertford.NodeID(fmt.Sprintf("n%02d", i)) }

func (f *fakeFleet) at(at time.Duration, do func()) { heap.Push(&f.events, event{at, do}) }

func (f *fakeFleet) step() {
	e := heap.Pop(&f.events).(event)
	f.now = e.at
	e.do()
}

type event struct {
	at time.Duration
	do func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
