package fbtarget_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbstandin"
	"github.com/filbertford/filbertford/fbtarget"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const owner = filbertford.Incarnation(7)

func newStart(id filbertford.StartID, args string) filbertford.StartRequest {
	return filbertford.NewStartRequest(id, owner, "ordering", []byte(args), time.Minute)
}

// newTarget starts a stand-in target and returns it with its VM.
func newTarget(t testing.TB, slots int) (*fbstandin.Target, filbertford.VM) {
	t.Helper()
	target := fbstandin.NewTarget("t1", slots, 1)
	server := httptest.NewServer(target.Handler())
	t.Cleanup(func() {
		target.Close()
		server.Close()
	})
	return target, filbertford.NewVM("t1", filbertford.RoleTarget, "nordnes", server.Listener.Addr().String())
}

// waitForRunning waits until n tasks run at the target.
func waitForRunning(target *fbstandin.Target, n int) {
	for target.Counters().Running() != n {
		time.Sleep(time.Millisecond)
	}
}

func ExampleClient_Start() {
	target := fbstandin.NewTarget("t1", 8, 1)
	server := httptest.NewServer(target.Handler())
	defer server.Close()
	client, err := fbtarget.NewClient(4)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	vm := filbertford.NewVM("t1", filbertford.RoleTarget, "nordnes", server.Listener.Addr().String())
	start := filbertford.NewStartRequest("s1", 7, "ordering", []byte(`{"run_ms": 1, "echo": 17}`), time.Second)
	report := client.Start(context.Background(), vm, start)
	free, _ := report.FreeSlots()
	fmt.Println(report.Outcome(), string(report.Output()), free)
	// Output: done {"echo":17,"target":"t1"} 8
}

func TestStartOutcomes(t *testing.T) {
	tests := map[string]struct {
		faults fbstandin.TargetFaults
		slots  int
		args   string
		want   filbertford.StartOutcome
		starts int
	}{
		"done":                    {slots: 1, args: `{}`, want: filbertford.OutcomeDone, starts: 1},
		"task failed":             {slots: 1, args: `{"fail": true}`, want: filbertford.OutcomeTaskFailed, starts: 1},
		"failing target":          {faults: fbstandin.TargetFaults{}.WithFailAll(), slots: 1, args: `{}`, want: filbertford.OutcomeTaskFailed, starts: 1},
		"no slot":                 {slots: 0, args: `{}`, want: filbertford.OutcomeNoSlot},
		"leaving":                 {faults: fbstandin.TargetFaults{}.WithLeaving(), slots: 1, args: `{}`, want: filbertford.OutcomeLeaving},
		"wrong id":                {faults: fbstandin.TargetFaults{}.WithWrongID(), slots: 1, args: `{}`, want: filbertford.OutcomeUnknown, starts: 1},
		"twice":                   {faults: fbstandin.TargetFaults{}.WithDuplicateReplies(), slots: 1, args: `{}`, want: filbertford.OutcomeDone, starts: 1},
		"disconnect before start": {faults: fbstandin.TargetFaults{}.WithDisconnect(fbstandin.DisconnectBeforeStart), slots: 1, args: `{}`, want: filbertford.OutcomeUnknown},
		"disconnect after start":  {faults: fbstandin.TargetFaults{}.WithDisconnect(fbstandin.DisconnectAfterStart), slots: 1, args: `{}`, want: filbertford.OutcomeUnknown, starts: 1},
		"disconnect in reply":     {faults: fbstandin.TargetFaults{}.WithDisconnect(fbstandin.DisconnectInReply), slots: 1, args: `{}`, want: filbertford.OutcomeUnknown, starts: 1},
		"malformed args":          {slots: 1, args: `{`, want: filbertford.OutcomeNotSent},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target, vm := newTarget(t, tt.slots)
			target.SetFaults(tt.faults)
			got := newClient(t).Start(t.Context(), vm, newStart("s1", tt.args))
			if got.Outcome() != tt.want || target.Counters().Starts() != tt.starts {
				t.Errorf("got outcome %q (%s) with %d starts, want %q with %d",
					got.Outcome(), got.Detail(), target.Counters().Starts(), tt.want, tt.starts)
			}
		})
	}
}

func TestStopEndsTasksInOneMessage(t *testing.T) {
	target, vm := newTarget(t, 8)
	client := newClient(t)
	var g errgroup.Group
	outcomes := make([]filbertford.StartOutcome, 2)
	for i, id := range []filbertford.StartID{"s1", "s2"} {
		g.Go(func() error {
			outcomes[i] = client.Start(t.Context(), vm, newStart(id, `{"run_ms": 60000}`)).Outcome()
			return nil
		})
	}
	// Both connections for starts are in use; the stop and the renewal use the
	// reserved one.
	waitForRunning(target, 2)
	if err := client.Renew(t.Context(), vm, owner, time.Minute); err != nil {
		t.Error(err)
	}
	if err := client.Stop(t.Context(), vm, []filbertford.StartID{"s1", "s2", "unknown"}); err != nil {
		t.Error(err)
	}
	_ = g.Wait()
	for i, o := range outcomes {
		if o != filbertford.OutcomeStopped {
			t.Errorf("start %d: got outcome %q, want stopped", i, o)
		}
	}
	if n := target.Counters(); n.Stops() != 1 || n.Renewals() != 1 {
		t.Errorf("got %d stops and %d renewals, want 1 and 1", n.Stops(), n.Renewals())
	}
}

func TestCancelledStartIsUnknown(t *testing.T) {
	target, vm := newTarget(t, 8)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	var got filbertford.StartResult
	client := newClient(t)
	g.Go(func() error {
		got = client.Start(ctx, vm, newStart("s1", `{"run_ms": 60000}`))
		return nil
	})
	waitForRunning(target, 1)
	cancel()
	_ = g.Wait()
	if got.Outcome() != filbertford.OutcomeUnknown {
		t.Errorf("start cancelled while it runs: got outcome %q, want unknown", got.Outcome())
	}
	if got := client.Start(ctx, vm, newStart("s2", `{}`)); got.Outcome() != filbertford.OutcomeNotSent {
		t.Errorf("start cancelled before it is sent: got outcome %q, want unreached", got.Outcome())
	}
	if n := target.Counters().Starts(); n != 1 {
		t.Errorf("got %d starts, want 1", n)
	}
}

func TestStartWithoutFreeConnectionIsNotSent(t *testing.T) {
	target, vm := newTarget(t, 8)
	client, err := fbtarget.NewClient(fbtarget.MinConns)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var g errgroup.Group
	g.Go(func() error {
		client.Start(t.Context(), vm, newStart("s1", `{"run_ms": 60000}`))
		return nil
	})
	waitForRunning(target, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if got := client.Start(ctx, vm, newStart("s2", `{}`)); got.Outcome() != filbertford.OutcomeNotSent {
		t.Errorf("got outcome %q, want unreached", got.Outcome())
	}
	if err := client.Stop(t.Context(), vm, []filbertford.StartID{"s1"}); err != nil {
		t.Error(err)
	}
	_ = g.Wait()
	if n := target.Counters().Starts(); n != 1 {
		t.Errorf("got %d starts, want 1", n)
	}
}

// Guards against a duplicate reply that the client takes as the reply to the next
// start on the same connection.
func TestRepliesAreNotMixedUp(t *testing.T) {
	target, vm := newTarget(t, 64)
	target.SetFaults(fbstandin.TargetFaults{}.WithDuplicateReplies())
	client := newClient(t)
	var g errgroup.Group
	g.SetLimit(8)
	for i := range 400 {
		g.Go(func() error {
			id := filbertford.StartID(fmt.Sprintf("s%d", i))
			got := client.Start(t.Context(), vm, newStart(id, fmt.Sprintf(`{"run_ms":0,"echo":%d,"work":%q}`, i, id)))
			want := fmt.Sprintf(`{"echo":%d,"target":"t1"}`, i)
			if got.Outcome() == filbertford.OutcomeDone && string(got.Output()) != want {
				t.Errorf("start %d: got output %s, want its own", i, got.Output())
			}
			return nil
		})
	}
	_ = g.Wait()
	for work, n := range target.Counters().StartsByWork() {
		if n > 1 {
			t.Errorf("task %s: got %d starts, want at most 1", work, n)
		}
	}
}

func TestControlErrors(t *testing.T) {
	target, vm := newTarget(t, 1)
	client := newClient(t)
	target.SetFaults(fbstandin.TargetFaults{}.WithFreeze())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := client.Stop(ctx, vm, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("stop at a frozen target: got error %v, want deadline exceeded", err)
	}
	if _, err := fbtarget.NewClient(fbtarget.MinConns - 1); err == nil {
		t.Error("NewClient accepted fewer than MinConns connections")
	}
}
