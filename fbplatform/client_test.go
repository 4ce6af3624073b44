package fbplatform_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbplatform"
	"github.com/filbertford/filbertford/fbstandin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newPlatform(t *testing.T, timeout time.Duration) (*fbstandin.Platform, *fbplatform.Client) {
	t.Helper()
	platform := fbstandin.NewPlatform(0)
	client := newClient(t, platform.Handler(), timeout)
	// This runs before the server is closed, which waits for delayed requests.
	t.Cleanup(platform.Close)
	return platform, client
}

func newClient(t *testing.T, h http.Handler, timeout time.Duration) *fbplatform.Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	client := fbplatform.NewClient(server.Listener.Addr().String(), timeout)
	t.Cleanup(client.Close)
	return client
}

func ExampleClient_Commit() {
	server := httptest.NewServer(fbstandin.NewPlatform(0).Handler())
	defer server.Close()
	client := fbplatform.NewClient(server.Listener.Addr().String(), time.Second)
	defer client.Close()
	ctx := context.Background()
	write := filbertford.NewWrite("settings", []byte("first"), 0)
	fmt.Println(client.Commit(ctx, write))
	fmt.Println(errors.Is(client.Commit(ctx, write), filbertford.ErrConflict))
	rows, err := client.Read(ctx, "settings", "other")
	fmt.Println(string(rows[0].Value()), rows[0].Version(), rows[1].Version(), err)
	// Output:
	// <nil>
	// true
	// first 1 0 <nil>
}

func ExampleResolveCommit() {
	platform := fbstandin.NewPlatform(0)
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	client := fbplatform.NewClient(server.Listener.Addr().String(), time.Second)
	defer client.Close()
	ctx := context.Background()
	write := filbertford.NewWrite("view", []byte("by daemon 7"), 0)
	platform.SetFaults(fbstandin.PlatformFaults{}.WithLostReplies())
	err := client.Commit(ctx, write)
	fmt.Println(errors.Is(err, filbertford.ErrUnavailable))
	platform.SetFaults(fbstandin.PlatformFaults{})
	fmt.Println(fbplatform.ResolveCommit(ctx, client, write))
	// Output:
	// true
	// applied <nil>
}

func TestCommitIsAtomic(t *testing.T) {
	_, client := newPlatform(t, time.Second)
	ctx := t.Context()
	if err := client.Commit(ctx, filbertford.NewWrite("a", []byte("1"), 0)); err != nil {
		t.Fatal(err)
	}
	err := client.Commit(ctx, filbertford.NewWrite("b", []byte("2"), 0), filbertford.NewWrite("a", []byte("2"), 0))
	if !errors.Is(err, filbertford.ErrConflict) {
		t.Errorf("commit with an old version: got error %v, want a conflict", err)
	}
	rows, err := client.Read(ctx, "b", "a")
	if err != nil || rows[0].Version() != 0 || string(rows[1].Value()) != "1" {
		t.Errorf("got rows %v, error %v, want only row a, with value 1", rows, err)
	}
}

func TestObjects(t *testing.T) {
	_, client := newPlatform(t, time.Second)
	for _, key := range []string{"plain", "a/b", "a%2Fb", "räksmörgås ?#"} {
		if _, err := client.Get(t.Context(), key); !errors.Is(err, filbertford.ErrNotFound) {
			t.Errorf("object %q before it was stored: got error %v, want not found", key, err)
		}
		if err := client.Put(t.Context(), key, []byte(key)); err != nil {
			t.Error(err)
		}
		got, err := client.Get(t.Context(), key)
		if diff := cmp.Diff(key, string(got)); diff != "" || err != nil {
			t.Error(diff, err)
		}
	}
	err := client.Put(t.Context(), "big", make([]byte, fbplatform.MaxBody+1))
	if err == nil || errors.Is(err, filbertford.ErrUnavailable) {
		t.Errorf("object over the size limit: got error %v, want one other than unavailable", err)
	}
}

func TestVMs(t *testing.T) {
	platform, client := newPlatform(t, time.Second)
	want := filbertford.NewVM("t1", filbertford.RoleTarget, "nordnes", "127.0.0.1:1").
		WithState(filbertford.VMLeaving).WithRack("r1").WithCapacity(8, 64).WithServices("ordering")
	platform.PutVM(want)
	got, err := client.VMs(t.Context(), filbertford.VMFilter{})
	if diff := cmp.Diff([]filbertford.VM{want}, got, cmp.AllowUnexported(filbertford.VM{})); diff != "" || err != nil {
		t.Error(diff, err)
	}
	platform.RemoveVM("t1")
	if got, err := client.VMs(t.Context(), filbertford.VMFilter{}); len(got) != 0 || err != nil {
		t.Errorf("got list %v, error %v after the removal, want an empty list", got, err)
	}
}

func TestVMsSelectedByFilter(t *testing.T) {
	platform, client := newPlatform(t, time.Second)
	platform.Seed(
		filbertford.NewVM("e1", filbertford.RoleEntry, "nordnes", "h:1"),
		filbertford.NewVM("e2", filbertford.RoleEntry, "sand viken", "h:2"),
		filbertford.NewVM("t1", filbertford.RoleTarget, "nordnes", "h:3"),
		filbertford.NewVM("t2", filbertford.RoleTarget, "sand viken", "h:4"))
	tests := map[string]struct {
		filter filbertford.VMFilter
		want   []filbertford.VMID
	}{
		"all":       {want: []filbertford.VMID{"e1", "e2", "t1", "t2"}},
		"entry VMs": {filter: filbertford.VMFilter{}.WithRole(filbertford.RoleEntry), want: []filbertford.VMID{"e1", "e2"}},
		"targets of a data centre": {
			filter: filbertford.VMFilter{}.WithRole(filbertford.RoleTarget).WithDataCentre("sand viken"),
			want:   []filbertford.VMID{"t2"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for range 2 {
				var got []filbertford.VMID
				vms, err := client.VMs(t.Context(), tt.filter)
				for _, vm := range vms {
					got = append(got, vm.ID())
				}
				if diff := cmp.Diff(tt.want, got); diff != "" || err != nil {
					t.Error(diff, err)
				}
			}
		})
	}
}

func TestUnchangedVMListIsNotSentAgain(t *testing.T) {
	platform := fbstandin.NewPlatform(0)
	var statuses []int
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		platform.Handler().ServeHTTP(rec, r)
		statuses = append(statuses, rec.Code)
		w.Header().Set("ETag", rec.Header().Get("ETag"))
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}), time.Second)
	for i, id := range []filbertford.VMID{"t1", "t2"} {
		platform.Seed(filbertford.NewVM(id, filbertford.RoleTarget, "nordnes", "h:1"))
		for range 2 {
			if vms, err := client.VMs(t.Context(), filbertford.VMFilter{}); len(vms) != i+1 || err != nil {
				t.Errorf("got %d VMs, error %v, want %d", len(vms), err, i+1)
			}
		}
	}
	want := []int{http.StatusOK, http.StatusNotModified, http.StatusOK, http.StatusNotModified}
	if diff := cmp.Diff(want, statuses); diff != "" {
		t.Error(diff)
	}
}

func TestNotModifiedWithoutCachedListIsUnavailable(t *testing.T) {
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotModified)
	}), time.Second)
	if _, err := client.VMs(t.Context(), filbertford.VMFilter{}); !errors.Is(err, filbertford.ErrUnavailable) {
		t.Errorf("got error %v, want unavailable", err)
	}
}

// calls holds a call of each method of a client.
var calls = map[string]func(context.Context, *fbplatform.Client) error{
	"read": func(ctx context.Context, c *fbplatform.Client) error {
		_, err := c.Read(ctx, "a")
		return err
	},
	"commit": func(ctx context.Context, c *fbplatform.Client) error {
		return c.Commit(ctx, filbertford.NewWrite("a", []byte("1"), 0))
	},
	"put": func(ctx context.Context, c *fbplatform.Client) error {
		return c.Put(ctx, "a", []byte("1"))
	},
	"object": func(ctx context.Context, c *fbplatform.Client) error {
		_, err := c.Get(ctx, "a")
		return err
	},
	"vms": func(ctx context.Context, c *fbplatform.Client) error {
		_, err := c.VMs(ctx, filbertford.VMFilter{})
		return err
	},
}

func TestPlatformFaultsAreUnavailable(t *testing.T) {
	tests := map[string]fbstandin.PlatformFaults{
		"down":         fbstandin.PlatformFaults{}.WithDown(),
		"slow":         fbstandin.PlatformFaults{}.WithDelay(time.Hour),
		"lost replies": fbstandin.PlatformFaults{}.WithLostReplies(),
	}
	for name, faults := range tests {
		for call, do := range calls {
			t.Run(name+" at "+call, func(t *testing.T) {
				platform, client := newPlatform(t, 50*time.Millisecond)
				platform.SetFaults(faults)
				if err := do(t.Context(), client); !errors.Is(err, filbertford.ErrUnavailable) {
					t.Errorf("got error %v, want unavailable", err)
				}
			})
		}
	}
}

// TestWritesAreSentOnce guards against a retry by http.Transport, which resends a
// write on a reused connection if it can get the body again and finds the header
// Idempotency-Key.
func TestWritesAreSentOnce(t *testing.T) {
	platform, client := newPlatform(t, time.Minute)
	for _, call := range []string{"commit", "put"} {
		platform.SetFaults(fbstandin.PlatformFaults{})
		if err := calls["read"](t.Context(), client); err != nil {
			t.Fatal(err)
		}
		platform.SetFaults(fbstandin.PlatformFaults{}.WithLostReplies())
		if err := calls[call](t.Context(), client); !errors.Is(err, filbertford.ErrUnavailable) {
			t.Errorf("%s: got error %v, want unavailable", call, err)
		}
	}
	n := platform.Counters()
	if n.Writes() != 1 || n.Conflicts() != 0 || n.ObjectWrites() != 1 {
		t.Errorf("got %d writes, %d conflicts, %d object writes; want 1, 0, 1", n.Writes(), n.Conflicts(), n.ObjectWrites())
	}
}

func TestUnexpectedRepliesAreUnavailable(t *testing.T) {
	respond := func(status int, body []byte) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write(body)
		})
	}
	tests := map[string]http.Handler{
		"unexpected status": respond(http.StatusTeapot, []byte(`{}`)),
		"redirect":          http.RedirectHandler("/vms", http.StatusTemporaryRedirect),
		"overlong":          respond(http.StatusConflict, bytes.Repeat([]byte(" "), fbplatform.MaxBody+1)),
		"switch": http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = conn.Write([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"))
			}
			t.Cleanup(func() { _ = conn.Close() })
		}),
	}
	for name, h := range tests {
		for call, do := range calls {
			t.Run(name+" at "+call, func(t *testing.T) {
				client := newClient(t, h, time.Minute)
				if err := do(t.Context(), client); !errors.Is(err, filbertford.ErrUnavailable) {
					t.Errorf("got error %v, want unavailable", err)
				}
			})
		}
	}
}

func TestMalformedRepliesAreUnavailable(t *testing.T) {
	tests := map[string]struct {
		call string
		body string
	}{
		"malformed JSON":  {call: "read", body: `{`},
		"no row":          {call: "read", body: `{"rows": []}`},
		"another row":     {call: "read", body: `{"rows": [{"key": "b", "version": 1}]}`},
		"no list":         {call: "vms", body: `{}`},
		"twice":           {call: "vms", body: `{"vms": [` + validVM + `,` + validVM + `]}`},
		"no address":      {call: "vms", body: `{"vms": [{"id": "t1", "role": "target", "state": "live"}]}`},
		"unknown role":    {call: "vms", body: `{"vms": [{"id": "t1", "role": "x", "state": "live", "address": "h:1"}]}`},
		"unknown state":   {call: "vms", body: `{"vms": [{"id": "t1", "role": "entry", "state": "x", "address": "h:1"}]}`},
		"negative slots":  {call: "vms", body: `{"vms": [{"id": "t1", "role": "entry", "state": "live", "address": "h:1", "slots": -1}]}`},
		"too many conns":  {call: "vms", body: `{"vms": [{"id": "t1", "role": "entry", "state": "live", "address": "h:1", "conns": 70000}]}`},
		"string for slot": {call: "vms", body: `{"vms": [{"id": "t1", "slots": "8"}]}`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(tt.body))
			}), time.Second)
			if err := calls[tt.call](t.Context(), client); !errors.Is(err, filbertford.ErrUnavailable) {
				t.Errorf("got error %v, want unavailable", err)
			}
		})
	}
}

const validVM = `{"id": "t1", "role": "target", "state": "live", "address": "127.0.0.1:1"}`

func TestResolveCommit(t *testing.T) {
	const mine, other = "mine", "other"
	tests := map[string]struct {
		before []string
		after  []string
		want   fbplatform.CommitOutcome
	}{
		"no write":               {want: fbplatform.CommitPending},
		"mine":                   {after: []string{mine}, want: fbplatform.CommitApplied},
		"another":                {after: []string{other}, want: fbplatform.CommitSuperseded},
		"mine over a row":        {before: []string{other}, after: []string{mine}, want: fbplatform.CommitApplied},
		"mine and another since": {after: []string{mine, other}, want: fbplatform.CommitUnknown},
		"two others":             {after: []string{other, other}, want: fbplatform.CommitUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			platform, client := newPlatform(t, time.Second)
			for i, v := range append(tt.before, tt.after...) {
				if err := client.Commit(t.Context(), filbertford.NewWrite("a", []byte(v), uint64(i))); err != nil {
					t.Fatal(err)
				}
			}
			write := filbertford.NewWrite("a", []byte(mine), uint64(len(tt.before)))
			got, err := fbplatform.ResolveCommit(t.Context(), client, filbertford.NewWrite("b", nil, 0), write)
			if got != tt.want || err != nil {
				t.Errorf("got outcome %q, error %v, want %q", got, err, tt.want)
			}
			platform.SetFaults(fbstandin.PlatformFaults{}.WithDown())
			got, err = fbplatform.ResolveCommit(t.Context(), client, write)
			if got != fbplatform.CommitUnknown || !errors.Is(err, filbertford.ErrUnavailable) {
				t.Errorf("got outcome %q, error %v while the platform is down, want unknown and unavailable", got, err)
			}
		})
	}
}

// TestCommitTakesEffectAfterContextIsCancelled checks that a write can still take
// effect after its sender has cancelled it. A row that still has the checked
// version therefore doesn't show that the commit failed.
func TestCommitTakesEffectAfterContextIsCancelled(t *testing.T) {
	platform, client := newPlatform(t, time.Hour)
	platform.SetFaults(fbstandin.PlatformFaults{}.WithDelay(time.Hour))
	write := filbertford.NewWrite("a", []byte("mine"), 0)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return client.Commit(ctx, write) })
	for platform.Counters().Delayed() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := g.Wait(); !errors.Is(err, filbertford.ErrUnavailable) {
		t.Fatal(err)
	}
	platform.SetFaults(fbstandin.PlatformFaults{})
	for platform.Counters().Writes() == 0 {
		time.Sleep(time.Millisecond)
	}
	if got, err := fbplatform.ResolveCommit(t.Context(), client, write); got != fbplatform.CommitApplied || err != nil {
		t.Errorf("got outcome %q, error %v, want applied", got, err)
	}
	if err := client.Commit(t.Context(), write); !errors.Is(err, filbertford.ErrConflict) {
		t.Errorf("second commit of the same write: got error %v, want a conflict", err)
	}
}
