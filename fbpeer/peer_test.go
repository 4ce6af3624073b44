package fbpeer_test

import (
	"context"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbmember"
	"github.com/filbertford/filbertford/fbpeer"
)

// whole compares values with their unexported fields; nil and empty are alike.
var whole = cmp.Options{
	cmp.Exporter(func(reflect.Type) bool { return true }),
	cmpopts.EquateEmpty(),
}

// fakeDaemon keeps what it was asked and answers with fixed values.
type fakeDaemon struct {
	owner    filbertford.Incarnation
	delivery filbertford.Delivery
	team     string
	answer   filbertford.Answer
	status   filbertford.SubmissionStatus
	state    fbmember.State
	heard    fbmember.State
	part     fbcore.Part
	vms      []filbertford.VM
	settings fbpeer.Settings
	question fbpeer.ViewQuestion
}

func (f *fakeDaemon) Submit(_ context.Context, owner filbertford.Incarnation, d filbertford.Delivery) filbertford.Answer {
	f.owner, f.delivery = owner, d
	return f.answer
}

func (f *fakeDaemon) RunTask(_ context.Context, _ filbertford.StartID, j filbertford.Job) filbertford.Answer {
	f.delivery = filbertford.NewDelivery(f.delivery.ID(), j)
	return f.answer
}

func (f *fakeDaemon) Cancel(_ context.Context, _ filbertford.Incarnation, _ filbertford.SubmissionID, team string) filbertford.Answer {
	f.team = team
	return f.answer
}

func (f *fakeDaemon) Status(_ context.Context, _ filbertford.Incarnation, _ filbertford.SubmissionID, team string) filbertford.SubmissionStatus {
	f.team = team
	return f.status
}

func (f *fakeDaemon) Heartbeat(_ context.Context, s fbmember.State) (fbmember.State, error) {
	f.heard = s
	return f.state, nil
}

func (f *fakeDaemon) VMs(context.Context) ([]filbertford.VM, error) { return f.vms, nil }

func (f *fakeDaemon) Inherit(_ context.Context, p fbcore.Part) (bool, error) {
	f.part = p
	return true, nil
}

func (f *fakeDaemon) ConfirmView(_ context.Context, q fbpeer.ViewQuestion) (fbpeer.ViewPromise, error) {
	f.question = q
	return fbpeer.NewViewPromise(true, 5), nil
}

func (f *fakeDaemon) PushSettings(_ context.Context, s fbpeer.Settings) (fbpeer.Settings, error) {
	f.settings = s
	return fbpeer.NewSettings(9, 0, 0, nil, false), nil
}

func (f *fakeDaemon) PullSettings(_ context.Context, have uint64) (fbpeer.Settings, error) {
	return fbpeer.NewSettings(9, have, 9, []byte("delta"), true), nil
}

// serve runs a server for the daemon and returns a client and the address.
func serve(t *testing.T, f *fakeDaemon) (*fbpeer.Client, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return fbpeer.NewServer(f, f, f).Serve(ctx, l) })
	c := fbpeer.NewClient()
	t.Cleanup(func() {
		_ = c.Close()
		cancel()
		_ = g.Wait()
	})
	return c, l.Addr().String()
}

func equal(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got, whole); diff != "" {
		t.Errorf("%s (-sent +got):\n%s", what, diff)
	}
}

func TestRequestsArriveWhole(t *testing.T) {
	id, err := filbertford.MintID(filbertford.NewToken(7, 1, "dc", "daemon:1"), "u")
	if err != nil {
		t.Fatal(err)
	}
	job := filbertford.NewJob("depot", "ordering", filbertford.NewTask([]byte("1"), time.Second), filbertford.NewTask(nil, 0)).
		WithKind("stock-check").WithTimeout(time.Minute).WithIdempotent(true)
	state := fbmember.NewState("vm", 8, "dc", "daemon:2").WithStopping(true).WithSettings(3).
		WithLoad(filbertford.NewLoad(1, 2, 3, 0), "token").WithInherited([]filbertford.Incarnation{4}).
		WithTeams(map[string]int{"depot": 5}).WithQuarantined([]filbertford.TargetID{"t6"})
	f := &fakeDaemon{
		answer: filbertford.NewComplete([]filbertford.Result{filbertford.NewResult([]byte("out"), "t1")}),
		status: filbertford.NewSubmissionStatus(filbertford.StateFinished, filbertford.NewRefusal(filbertford.CodeDeadline, "late").WithRetryAfter(time.Second)),
		state:  state,
		vms: []filbertford.VM{filbertford.NewVM("t1", filbertford.RoleTarget, "dc", "target:1").
			WithState(filbertford.VMLeaving).WithRack("r").WithCapacity(8, 64).WithServices("ordering")},
	}
	c, address := serve(t, f)
	ctx := t.Context()

	equal(t, "answer", f.answer, c.Forward(ctx, address, 7, filbertford.NewDelivery(id, job)))
	equal(t, "owner", filbertford.Incarnation(7), f.owner)
	equal(t, "delivery", filbertford.NewDelivery(id, job), f.delivery)
	equal(t, "status", f.status, c.Status(ctx, address, 7, id, "depot"))
	equal(t, "team", "depot", f.team)
	equal(t, "answer to a cancellation", f.answer, c.Cancel(ctx, address, 7, id, ""))
	equal(t, "answer of a task", f.answer, c.RunTask(ctx, address, "start-1", job))

	reply, err := c.Heartbeat(ctx, address, state)
	equal(t, "heartbeat", state, f.heard)
	equal(t, "reply to a heartbeat", state, reply)
	equal(t, "error", nil, err)
	vms, err := c.VMs(ctx, address)
	equal(t, "VMs", f.vms, vms)
	equal(t, "error", nil, err)

	part := fbcore.NewPart(7, fbcore.Key{1, 2}, 3, 4, []fbcore.Entry{
		fbcore.NewEntry(3, "u", 99, f.answer), fbcore.NewOpaqueEntry("key", 98, f.status.Answer()),
	}, 1)
	got, err := c.Inherit(ctx, address, part)
	equal(t, "part", part, f.part)
	equal(t, "whole", true, got)
	equal(t, "error", nil, err)

	q := fbpeer.NewViewQuestion("dc", 4, 7, time.Second)
	promise, err := c.ConfirmView(ctx, address, q)
	equal(t, "question", q, f.question)
	equal(t, "promise", fbpeer.NewViewPromise(true, 5), promise)
	equal(t, "error", nil, err)

	pushed := fbpeer.NewSettings(1, 2, 3, []byte("body"), true)
	_, err = c.PushSettings(ctx, address, pushed)
	equal(t, "pushed settings", pushed, f.settings)
	equal(t, "error", nil, err)
	pulled, err := c.PullSettings(ctx, address, 8)
	equal(t, "pulled settings", fbpeer.NewSettings(9, 8, 9, []byte("delta"), true), pulled)
	equal(t, "error", nil, err)
}

// TestBrokenRequests tells a daemon that was not reached from one whose reply
// was lost.
func TestBrokenRequests(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := closed.Addr().String()
	_ = closed.Close()
	cutting, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	g.Go(func() error {
		for {
			conn, err := cutting.Accept()
			if err != nil {
				return nil
			}
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	})
	t.Cleanup(func() {
		_ = cutting.Close()
		_ = g.Wait()
	})
	tests := map[string]struct {
		address string
		want    filbertford.Code
	}{
		"nobody listens":        {nobody, filbertford.CodeOwnerUnreachable},
		"cut after the request": {cutting.Addr().String(), filbertford.CodeOutcomeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := fbpeer.NewClient()
			defer func() { _ = c.Close() }()
			id, err := filbertford.ParseID("key")
			if err != nil {
				t.Fatal(err)
			}
			a := c.Forward(t.Context(), tt.address, 7, filbertford.NewDelivery(id, filbertford.Job{}))
			if a.Code() != tt.want {
				t.Errorf("answered %s, want %s", a.Code(), tt.want)
			}
			_, err = c.Heartbeat(t.Context(), tt.address, fbmember.State{})
			if unreached := eris.Is(err, fbpeer.ErrUnreached); err == nil || unreached != (tt.want == filbertford.CodeOwnerUnreachable) {
				t.Errorf("heartbeat: %v", err)
			}
		})
	}
}
