package fbcore_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbpolicy"
)

// BenchmarkTask measures the time that the control goroutine spends on a job of one
// task, from its submission to its answer.
func BenchmarkTask(b *testing.B) {
	for _, policy := range []string{"random", "adaptive"} {
		for _, targets := range []int{50, 880, 8800} {
			b.Run(fmt.Sprintf("%s/targets=%d", policy, targets), func(b *testing.B) { benchTask(b, policy, targets) })
		}
	}
}

func benchTask(b *testing.B, name string, targets int) {
	c, now := newBenchCore(b, name, targets)
	job := filbertford.NewJob("depot", "ordering", filbertford.NewTask([]byte("{}"), 0)).WithTimeout(time.Second)
	digest := fbcore.Digest(job)
	token := c.Token(now)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Microsecond)
		if i%100 == 0 {
			token = c.Token(now)
			c.Handle(now, fbcore.Tick{})
		}
		id, err := filbertford.MintID(token, strconv.Itoa(i))
		if err != nil {
			b.Fatal(err)
		}
		actions := c.Handle(now, fbcore.Submit{
			Ref: fbcore.Ref(i + 1), Delivery: filbertford.NewDelivery(id, job), Digest: digest,
			Rules: simRules(), Claim: fbcore.ClaimPinned,
		})
		start := actions[0].(fbcore.StartTask)
		result := filbertford.NewStartResult(filbertford.OutcomeDone).WithRunTime(time.Millisecond).WithFreeSlots(8)
		c.Handle(now, fbcore.StartEnded{Start: start.Request.ID(), Result: result})
	}
}

func newBenchCore(b testing.TB, name string, targets int) (*fbcore.Core, time.Time) {
	b.Helper()
	policy, err := fbpolicy.New(name, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Unix(1_000_000, 0)
	c := fbcore.New(fbcore.Config{
		Incarnation: 1, DataCentre: "dc", Address: "daemon:1", StartedAt: now,
		EpochLength: time.Second, HorizonEpochs: 2, FingerprintEpochs: 1000, MaxSubmissions: 1 << 20, MaxAnswerBytes: 1 << 30,
	}, policy)
	c.Handle(now, fbcore.TargetsChanged{Targets: benchTargets(targets)})
	return c, now
}

func benchTargets(n int) []filbertford.VM {
	vms := make([]filbertford.VM, n)
	for i := range vms {
		vms[i] = filbertford.NewVM(filbertford.VMID("t"+strconv.Itoa(i)), filbertford.RoleTarget, "dc", "target:1").WithCapacity(8, 64)
	}
	return vms
}
