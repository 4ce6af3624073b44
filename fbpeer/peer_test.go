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

// compareAllFields makes cmp compare unexported fields too and treat nil and empty
// as equal.
var compareAllFields = cmp.Options{
	cmp.Exporter(func(reflect.Type) bool { return true }),
	cmpopts.EquateEmpty(),
}

// fakeDaemon records the requests and answers with fixed values.
type fakeDaemon struct {
	owner         filbertford.Incarnation
	delivery      filbertford.Delivery
	team          string
	answer        filbertford.Answer
	status        filbertford.SubmissionStatus
	state         fbmember.State
	receivedState fbmember.State
	part          fbcore.TablePart
	vms           []filbertford.VM
	settings      fbpeer.Settings
	viewRequest   fbpeer.ViewPromiseRequest
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
	f.receivedState = s
	return f.state, nil
}

func (f *fakeDaemon) VMs(context.Context) ([]filbertford.VM, error) { return f.vms, nil }

func (f *fakeDaemon) Inherit(_ context.Context, p fbcore.TablePart) (bool, error) {
	f.part = p
	return true, nil
}

func (f *fakeDaemon) ConfirmView(_ context.Context, r fbpeer.ViewPromiseRequest) (fbpeer.ViewPromise, error) {
	f.viewRequest = r
	return fbpeer.NewViewPromise(true, 5), nil
}

func (f *fakeDaemon) PushSettings(_ context.Context, s fbpeer.Settings) (fbpeer.Settings, error) {
	f.settings = s
	return fbpeer.NewSettings(9, 0, 0, nil, false), nil
}

func (f *fakeDaemon) PullSettings(_ context.Context, have uint64) (fbpeer.Settings, error) {
	return fbpeer.NewSettings(9, have, 9, []byte("delta"), true), nil
}

// startServer starts a server for the daemon and returns a client and the server's
// address.
func startServer(t *testing.T, f *fakeDaemon) (*fbpeer.Client, string) {
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

func checkEqual(t *testing.T, name string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got, compareAllFields); diff != "" {
		t.Errorf("%s (-want +got):\n%s", name, diff)
	}
}

func TestRequestsAndRepliesRoundTrip(t *testing.T) {
	id, err := filbertford.MintID(filbertford.NewToken(7, 1, "dc", "daemon:1"), "u")
	if err != nil {
		t.Fatal(err)
	}
	job := filbertford.NewJob("depot", "ordering", filbertford.NewTask([]byte("1"), time.Second), filbertford.NewTask(nil, 0)).
		WithKind("stock-check").WithTimeout(time.Minute).WithIdempotent(true)
	state := fbmember.NewState("vm", 8, "dc", "daemon:2").WithStopping(true).WithSettingsVersion(3).
		WithLoad(filbertford.NewLoad(1, 2, 3, 0), "token").WithInherited([]filbertford.Incarnation{4}).
		WithTeamTasks(map[string]int{"depot": 5}).WithQuarantined([]filbertford.TargetID{"t6"})
	f := &fakeDaemon{
		answer: filbertford.NewComplete([]filbertford.Result{filbertford.NewResult([]byte("out"), "t1")}),
		status: filbertford.NewSubmissionStatus(filbertford.StateFinished, filbertford.NewRefusal(filbertford.CodeDeadline, "late").WithRetryAfter(time.Second)),
		state:  state,
		vms: []filbertford.VM{filbertford.NewVM("t1", filbertford.RoleTarget, "dc", "target:1").
			WithState(filbertford.VMLeaving).WithRack("r").WithCapacity(8, 64).WithServices("ordering")},
	}
	c, address := startServer(t, f)
	ctx := t.Context()

	checkEqual(t, "answer", f.answer, c.Forward(ctx, address, 7, filbertford.NewDelivery(id, job)))
	checkEqual(t, "owner", filbertford.Incarnation(7), f.owner)
	checkEqual(t, "delivery", filbertford.NewDelivery(id, job), f.delivery)
	checkEqual(t, "status", f.status, c.Status(ctx, address, 7, id, "depot"))
	checkEqual(t, "team", "depot", f.team)
	checkEqual(t, "answer to a cancellation", f.answer, c.Cancel(ctx, address, 7, id, ""))
	checkEqual(t, "answer of a task", f.answer, c.RunTask(ctx, address, "start-1", job))

	reply, err := c.Heartbeat(ctx, address, state)
	checkEqual(t, "heartbeat", state, f.receivedState)
	checkEqual(t, "reply to a heartbeat", state, reply)
	checkEqual(t, "error", nil, err)
	vms, err := c.VMs(ctx, address)
	checkEqual(t, "VMs", f.vms, vms)
	checkEqual(t, "error", nil, err)

	part := fbcore.NewTablePart(7, fbcore.Key{1, 2}, 3, 4, []fbcore.TableEntry{
		fbcore.NewPinnedEntry(3, "u", 99, f.answer), fbcore.NewOpaqueEntry("key", 98, f.status.Answer()),
	}, 1)
	complete, err := c.Inherit(ctx, address, part)
	checkEqual(t, "part", part, f.part)
	checkEqual(t, "whole", true, complete)
	checkEqual(t, "error", nil, err)

	viewRequest := fbpeer.NewViewPromiseRequest("dc", 4, 7, time.Second)
	promise, err := c.ConfirmView(ctx, address, viewRequest)
	checkEqual(t, "question", viewRequest, f.viewRequest)
	checkEqual(t, "promise", fbpeer.NewViewPromise(true, 5), promise)
	checkEqual(t, "error", nil, err)

	pushed := fbpeer.NewSettings(1, 2, 3, []byte("body"), true)
	_, err = c.PushSettings(ctx, address, pushed)
	checkEqual(t, "pushed settings", pushed, f.settings)
	checkEqual(t, "error", nil, err)
	pulled, err := c.PullSettings(ctx, address, 8)
	checkEqual(t, "pulled settings", fbpeer.NewSettings(9, 8, 9, []byte("delta"), true), pulled)
	checkEqual(t, "error", nil, err)
}

// TestClientDistinguishesUnreachableFromLostReply checks that the client distinguishes
// a daemon that refuses connections from one that closes the connection after it has
// received the request.
func TestClientDistinguishesUnreachableFromLostReply(t *testing.T) {
	unusedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unusedAddress := unusedListener.Addr().String()
	_ = unusedListener.Close()
	closingListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	g.Go(func() error {
		for {
			conn, err := closingListener.Accept()
			if err != nil {
				return nil
			}
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	})
	t.Cleanup(func() {
		_ = closingListener.Close()
		_ = g.Wait()
	})
	tests := map[string]struct {
		address string
		want    filbertford.Code
	}{
		"connection refused":   {unusedAddress, filbertford.CodeOwnerUnreachable},
		"closed after request": {closingListener.Addr().String(), filbertford.CodeOutcomeUnknown},
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
				t.Errorf("got code %s, want %s", a.Code(), tt.want)
			}
			_, err = c.Heartbeat(t.Context(), tt.address, fbmember.State{})
			if unreachable := eris.Is(err, fbpeer.ErrUnreachable); err == nil || unreachable != (tt.want == filbertford.CodeOwnerUnreachable) {
				t.Errorf("Heartbeat: got error %v, want one that is ErrUnreachable only if the connection is refused", err)
			}
		})
	}
}
