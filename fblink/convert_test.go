package fblink

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbwire"
)

// exportAll lets go-cmp compare unexported fields of all types.
var exportAll = cmp.Exporter(func(reflect.Type) bool { return true })

// TestMessageRoundTrip converts a message of each kind to its wire form and back.
func TestMessageRoundTrip(t *testing.T) {
	self := filbertford.NodeID("n2")
	sender := fbfleet.NewMember("n1", 7, "127.0.0.1:1", "z", 400)
	key := filbertford.NewTaskKey("00000000000000aa", 1, 2, 3)
	step := filbertford.NewStep(4, filbertford.NewResources(5, 6, 7), 8*time.Millisecond).WithPlacement("a", "r1", 2).WithAfter(0, 1)
	items := []fbsched.Item{fbsched.NewItem(0, 0), fbsched.NewItem(1, 2).WithFailedRun(13).WithCrashes(2).WithRefutedCrashes(1).WithTarget("t1")}
	batch := fbsched.NewBatch("p", "00000000000000aa", 1, 2, step, items).WithWork("spec", "svc", 3).WithPriority(1).
		WithTimes(-5*time.Millisecond, time.Second).WithFence(9).WithOfferNumber(11)
	route := filbertford.NewRoute("h", "/p/", "svc").WithPolicy(2, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	claims := []fbfleet.Claim{fbfleet.NewClaim("p", 9)}
	capacities := map[filbertford.PoolID][]fbsched.Capacity{"p": {
		fbsched.NewCapacity("svc", []int{1, 2}, 3, 4*time.Millisecond).WithRate(2, fbsched.NewWaitingWork(1, 5*time.Millisecond)).WithDelay(3*time.Millisecond).WithFactors(0.7, []float64{0.75, 1.5}),
	}}
	tests := map[string]Message{
		"beat":        NewHeartbeat(fbfleet.NewHeartbeat(sender, true, map[filbertford.NodeID]bool{self: true}, claims).WithStarting(true).WithPeriod(time.Second), capacities, 4).WithEvacuationsVersion(8),
		"without":     NewHeartbeat(fbfleet.NewHeartbeat(sender, false, map[filbertford.NodeID]bool{}, nil).WithTargets(fbfleet.TargetsUnknown), map[filbertford.PoolID][]fbsched.Capacity{}, 0),
		"with":        NewHeartbeat(fbfleet.NewHeartbeat(sender, false, map[filbertford.NodeID]bool{}, nil).WithTargets(fbfleet.TargetsKnown), map[filbertford.PoolID][]fbsched.Capacity{}, 0).WithTargetsVersion(9),
		"roster":      NewRoster([]fbfleet.Member{sender}),
		"batch":       batch,
		"resumed":     batch.WithResume(300 * time.Millisecond),
		"stored":      batch.WithStored(true, true).WithShardFence(11),
		"withdrawal":  fbsched.NewWithdrawal("p", "00000000000000aa"),
		"report":      fbsched.NewReport("p", 9, key, fbsched.StatusStarted, 2).WithFailedRun(13).WithCrashes(2).WithRefutedCrashes(1).WithOfferNumber(11).WithStarted(true).WithTarget("t1"),
		"confirm":     fbsched.NewConfirm("p", key, true, 2).WithFailedRun(13).WithCrashes(1),
		"request":     NewStoredJobRequest(5, "jobs/1", RequestSubmit, route, filbertford.NewWorkload("00000000000000aa", "spec", step)),
		"reply":       NewStoredJobReply(5, "running", true, 6),
		"routes pull": NewRoutesPull(3),
		"routes":      NewRoutesPush(4, []byte("x")),
		"recall":      fbsched.NewRecall("p", "00000000000000aa", 9),
		"evac pull":   NewEvacuationsPull(3),
		"pull":        NewTargetsPull("t00"),
		"targets":     NewTargetsPush(5, "t00", true, filbertford.NewRow("t01", []byte("x"), 4), filbertford.NewRow("t02", []byte("y"), 5)),
		"evacuations": NewEvacuationsPush(4, "z", "y"),
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			w, err := toWire(m)
			if err != nil {
				t.Fatal(err)
			}
			data, err := proto.Marshal(w)
			if err != nil {
				t.Fatal(err)
			}
			var back fbwire.Message
			if err := proto.Unmarshal(data, &back); err != nil {
				t.Fatal(err)
			}
			got, err := fromWire(sender, self, &back)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(m, got, exportAll); diff != "" {
				t.Errorf("message (-sent +received):\n%s", diff)
			}
		})
	}
}

// TestUnknownMessageIsRejected checks that converting a message of an unknown type or
// kind returns an error and doesn't panic.
func TestUnknownMessageIsRejected(t *testing.T) {
	if _, err := toWire(5); err == nil {
		t.Error("toWire of an int returned no error")
	}
	if _, err := fromWire(fbfleet.Member{}, "n", &fbwire.Message{}); err == nil {
		t.Error("fromWire of an empty message returned no error")
	}
}

// TestFromWireOfRandomBytesDoesNotPanic decodes random bytes as a peer could send
// them.
func TestFromWireOfRandomBytesDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var f fbwire.Frame
		if err := proto.Unmarshal(rapid.SliceOf(rapid.Byte()).Draw(rt, "bytes"), &f); err != nil {
			return
		}
		for _, m := range f.GetMessages() {
			_, _ = fromWire(memberFromWire(f.GetSender()), "n", m) // may return an error
		}
	})
}

// TestCapacityOfManyTargetsIsRoundedDown converts the free capacity of many targets.
// It must be rounded down, never up, and its size must not grow with their number.
func TestCapacityOfManyTargetsIsRoundedDown(t *testing.T) {
	for name, targets := range map[string]int{"few": maxExactTargets, "many": 88, "thousands": 3000} {
		t.Run(name, func(t *testing.T) {
			var free []int
			total := 0
			for i := range targets {
				free = append(free, i*37%16000)
				total += i * 37 % 16000
			}
			w := capacityToWire(fbsched.NewCapacity("svc", free, total, 0))
			got := 0
			for _, f := range capacityFromWire(w).Free() {
				got += f
			}
			if n := len(capacityFromWire(w).Free()); n != targets {
				t.Errorf("%d targets, want %d", n, targets)
			}
			if got > total || total-got > targets*freeStep {
				t.Errorf("free capacity of %d, want at most %d below %d", got, targets*freeStep, total)
			}
			if size := proto.Size(w); size > 400 {
				t.Errorf("message has %d bytes, want at most 400", size)
			}
			factors := make([]float64, targets)
			for i := range factors {
				factors[i] = 0.7 + float64(i%2) // a slow target must not seem fast
			}
			c := capacityFromWire(capacityToWire(fbsched.NewCapacity("svc", free, total, 0).WithFactors(0.7, factors)))
			fast := 0
			for i, f := range c.Free() {
				if c.Factors()[i] < 1 {
					fast += f
				}
			}
			wantFast := 0
			for i := 0; i < targets; i += 2 {
				wantFast += free[i]
			}
			if fast > wantFast || wantFast-fast > targets*freeStep {
				t.Errorf("free capacity of fast targets is %d, want at most %d below %d", fast, targets*freeStep, wantFast)
			}
		})
	}
}

// TestCapacityTargetsAreBounded decodes a capacity that describes more targets than
// maxTargets.
func TestCapacityTargetsAreBounded(t *testing.T) {
	w := &fbwire.Room{Free: []uint32{1, 2}, Counts: []uint32{1 << 31, 1 << 31}}
	if n := len(capacityFromWire(w).Free()); n != maxTargets {
		t.Errorf("%d targets, want %d", n, maxTargets)
	}
}

// TestLargeNumbersDoNotWrapAround guards against numbers that arrive as small ones since they don't
// fit into the message: a pool with too much work would seem free, and a task that fits on no
// target would be started.
func TestLargeNumbersDoNotWrapAround(t *testing.T) {
	const large = 1<<32 + 1
	c := capacityFromWire(capacityToWire(fbsched.NewCapacity("svc", []int{large}, large, 2*time.Hour).
		WithRate(large, fbsched.NewWaitingWork(0, 2*time.Hour)).WithDelay(2 * time.Hour)))
	for name, got := range map[string]int{
		"free": c.Free()[0], "total": c.Total(), "rate": c.Rate(), "backlog": int(c.Backlog().Microseconds()),
		"waiting": int(c.Waiting()[0].Backlog().Microseconds()), "delay": int(c.Delay().Microseconds()),
	} {
		if got != math.MaxUint32 {
			t.Errorf("%s is %d, want %d", name, got, math.MaxUint32)
		}
	}
	c = capacityFromWire(capacityToWire(fbsched.NewCapacity("svc", []int{-1}, -1, -time.Second).WithRate(-1)))
	if c.Free()[0] != 0 || c.Total() != 0 || c.Rate() != 0 || c.Backlog() != 0 {
		t.Errorf("negative numbers arrive as %+v, want 0", c)
	}
	s := stepFromWire(stepToWire(filbertford.NewStep(1, filbertford.NewResources(large, large, large), time.Second).WithPlacement("", "", large)))
	if want := filbertford.NewResources(math.MaxUint32, math.MaxUint32, math.MaxUint32); s.Demand() != want || s.MaxPerTarget() != math.MaxUint32 {
		t.Errorf("got a demand of %+v and %d per target, want %+v", s.Demand(), s.MaxPerTarget(), want)
	}
}
