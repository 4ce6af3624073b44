package fbsettings_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsettings"
	"github.com/filbertford/filbertford/fbtree"
)

func ExampleStore_Commit() {
	p := newFakePlatform()
	store := fbsettings.NewStore(p, p, instantTimer{})
	ctx := context.Background()
	_ = store.Init(ctx)

	depot, _ := fbtree.ParsePath("/depot")
	for _, operator := range []string{"ada", "bob"} {
		quota := fbtree.Set(depot, fbtree.KeyQuota, fmt.Sprint(len(operator)*100+int(operator[0])))
		edit := fbsettings.NewEdit(fbsettings.NewRequest(1), operator, instantTimer{}.Now(), quota)
		result, err := store.Commit(ctx, edit)
		fmt.Println(result.Version(), err)
	}
	// Output:
	// 2 <nil>
	// 0 another edit was accepted first; nothing of this one is in force
	// /depot quota: yours is 398, theirs is 397 (version 2 by ada)
}

func newStore(t *testing.T) (*fbsettings.Store, *fakePlatform) {
	t.Helper()
	p := newFakePlatform()
	store := fbsettings.NewStore(p, p, instantTimer{})
	if err := store.Init(t.Context()); err != nil {
		t.Fatal(err)
	}
	return store, p
}

// newEdit returns an edit that sets a key at a path, made from the version base.
func newEdit(t *testing.T, base uint64, operator, path, key, value string) fbsettings.Edit {
	t.Helper()
	p, err := fbtree.ParsePath(path)
	if err != nil {
		t.Fatal(err)
	}
	c := fbtree.Set(p, key, value)
	return fbsettings.NewEdit(fbsettings.NewRequest(base), operator, instantTimer{}.Now(), c)
}

func mustCommit(t *testing.T, store *fbsettings.Store, e fbsettings.Edit) uint64 {
	t.Helper()
	result, err := store.Commit(t.Context(), e)
	if err != nil {
		t.Fatal(err)
	}
	return result.Version()
}

func TestInitIsIdempotent(t *testing.T) {
	store, _ := newStore(t)
	if err := store.Init(t.Context()); err != nil {
		t.Fatal(err)
	}
	tree, err := store.Newest(t.Context())
	if err != nil || tree.Version() != 1 || !tree.Equal(fbtree.Default()) {
		t.Errorf("Newest = %+v, %v, want the default tree as version 1", tree, err)
	}
}

func TestEditsOfDifferentSettingsDoNotConflict(t *testing.T) {
	store, _ := newStore(t)
	first := mustCommit(t, store, newEdit(t, 1, "ada", "/depot", "quota", "5"))
	second := mustCommit(t, store, newEdit(t, 1, "bob", "/atlas", "quota", "6"))
	same := mustCommit(t, store, newEdit(t, 1, "eve", "/atlas", "quota", "6"))
	if diff := cmp.Diff([]uint64{2, 3, 3}, []uint64{first, second, same}); diff != "" {
		t.Error(diff)
	}
}

func TestOverlappingEditsConflict(t *testing.T) {
	depot, _ := fbtree.ParsePath("/depot")
	ordering, _ := fbtree.ParsePath("/depot/ordering")
	tests := map[string]struct{ first, second fbtree.Change }{
		"set below removal": {fbtree.Remove(depot), fbtree.Set(ordering, "spill", "1")},
		"removal above set": {fbtree.Set(ordering, "spill", "1"), fbtree.Remove(depot)},
		"set at removal":    {fbtree.Remove(depot), fbtree.Set(depot, "spill", "1")},
		"unset against set": {fbtree.Set(depot, "message-weight", "1"), fbtree.Unset(depot, "message-weight")},
		"removal of parent": {fbtree.Remove(ordering), fbtree.Remove(depot)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store, _ := newStore(t)
			mustCommit(t, store, fbsettings.NewEdit(fbsettings.NewRequest(1), "ada", instantTimer{}.Now(), tt.first))
			_, err := store.Commit(t.Context(), fbsettings.NewEdit(fbsettings.NewRequest(1), "bob", instantTimer{}.Now(), tt.second))
			var conflict *fbsettings.ConflictError
			if !errors.As(err, &conflict) {
				t.Fatalf("Commit: got error %v, want ConflictError", err)
			}
			c := conflict.Conflicts()[0]
			if c.Yours() == "" || c.Theirs() == "" || c.Operator() != "ada" || c.Version() != 2 {
				t.Errorf("got conflict %+v, want one with version 2 by ada", c)
			}
		})
	}
}

func TestCommitRecognisesAcceptedEdit(t *testing.T) {
	tests := map[string]struct {
		fault   fault
		version uint64
	}{
		"write took effect": {faultReplyLost, 2},
		"write was lost":    {faultUnavailable, 2},
		"write is delayed":  {faultDelayed, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store, p := newStore(t)
			calls := 0
			p.writeFault = func() fault {
				calls++
				if calls == 1 {
					return tt.fault
				}
				return faultNone
			}
			if v := mustCommit(t, store, newEdit(t, 1, "ada", "/depot", "quota", "5")); v != tt.version {
				t.Errorf("got version %d, want %d", v, tt.version)
			}
			p.applyDelayed()
			checkHistory(t, store, 2)
		})
	}
}

// checkHistory checks the newest version and that no request is in the history
// twice.
func checkHistory(t *testing.T, store *fbsettings.Store, version uint64) {
	t.Helper()
	head, err := store.Head(t.Context())
	if err != nil || head.Version() != version {
		t.Fatalf("Head = %+v, %v; want version %d", head, err, version)
	}
	entries, err := store.Entries(t.Context(), 1, version)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for _, e := range entries {
		if seen[e.Request()] {
			t.Errorf("request %s was accepted twice", e.Request())
		}
		seen[e.Request()] = true
	}
}

func TestRetryAfterUnknownOutcome(t *testing.T) {
	store, p := newStore(t)
	e := newEdit(t, 1, "ada", "/depot", "quota", "5")
	p.writeFault = func() fault {
		// After the first write all reads fail, so Commit can't find out whether
		// it took effect.
		p.readFault = func() fault { return faultUnavailable }
		return faultReplyLost
	}
	_, err := store.Commit(t.Context(), e)
	var unknown *fbsettings.CommitUnknownError
	if !errors.As(err, &unknown) || unknown.Request() != e.Request() {
		t.Fatalf("Commit: got error %v, want CommitUnknownError", err)
	}
	p.readFault, p.writeFault = nil, nil
	mustCommit(t, store, newEdit(t, 2, "bob", "/depot", "quota", "6"))

	request, err := fbsettings.ParseRequest(unknown.Request().String())
	if err != nil {
		t.Fatal(err)
	}
	v := mustCommit(t, fbsettings.NewStore(p, p, instantTimer{}), fbsettings.NewEdit(request, "ada", instantTimer{}.Now(), e.Changes()...))
	if v != 2 {
		t.Errorf("retry: got version %d, want 2", v)
	}
	checkHistory(t, store, 3)
}

func TestCommitRejectsInvalidEdits(t *testing.T) {
	store, _ := newStore(t)
	mustCommit(t, store, newEdit(t, 1, "ada", "/", "operator-keys", "ada:"+fbtree.Hash("secret")))
	tests := map[string]struct {
		edit fbsettings.Edit
		want string
	}{
		"no key":               {newEdit(t, 2, "ada", "/", "quota", "1"), "not valid"},
		"wrong key":            {newEdit(t, 2, "ada", "/", "quota", "1").WithKey("x"), "not valid"},
		"other operator's key": {newEdit(t, 2, "bob", "/", "quota", "1").WithKey("secret"), "not valid"},
		"bad value":            {newEdit(t, 2, "ada", "/", "quota", "-1").WithKey("secret"), "0 to 1000000"},
		"no operator":          {newEdit(t, 2, "", "/", "quota", "1"), "want 1 to"},
		"later version":        {newEdit(t, 9, "ada", "/", "quota", "1").WithKey("secret"), "the newest is 2"},
		"long note":            {newEdit(t, 2, "ada", "/", "quota", "1").WithNote(strings.Repeat("x", 201)), "at most 200"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := store.Commit(t.Context(), tt.edit)
			if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "secret") {
				t.Errorf("Commit: got error %v, want a rejection that names the cause and no key", err)
			}
		})
	}
	checkHistory(t, store, 2)
}

func TestHistoryOverwritesOldVersions(t *testing.T) {
	p := newFakePlatform()
	newShortStore := func() *fbsettings.Store { return fbsettings.NewStore(p, p, instantTimer{}).WithHistoryLength(150) }
	store := newShortStore()
	if err := store.Init(t.Context()); err != nil {
		t.Fatal(err)
	}
	for v := uint64(1); v < 1000; v++ {
		if got := mustCommit(t, store, newEdit(t, v, "ada", "/depot", "quota", fmt.Sprint(v))); got != v+1 {
			t.Fatalf("got version %d, want %d", got, v+1)
		}
	}
	newest, err := newShortStore().Newest(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if quota, _ := newest.Get(newest.Paths()[len(newest.Paths())-5], "quota"); newest.Version() != 1000 || quota != "999" {
		t.Errorf("got version %d with quota %s, want version 1000 with quota 999", newest.Version(), quota)
	}
	old, err := newShortStore().TreeAt(t.Context(), 900)
	if err != nil || !strings.Contains(string(old.Encode()), "quota = 899") {
		t.Errorf("TreeAt(900) = %s, %v, want a tree with quota 899", old.Encode(), err)
	}
	if _, err := newShortStore().TreeAt(t.Context(), 800); !errors.Is(err, fbsettings.ErrVersionOverwritten) {
		t.Errorf("TreeAt(800): got error %v, want ErrVersionOverwritten", err)
	}
	if _, err := newShortStore().TreeAt(t.Context(), 1001); !errors.Is(err, fbsettings.ErrVersionNotFound) {
		t.Errorf("TreeAt(1001): got error %v, want ErrVersionNotFound", err)
	}
	_, err = newShortStore().Commit(t.Context(), newEdit(t, 700, "bob", "/depot", "quota", "1"))
	if !errors.Is(err, fbsettings.ErrVersionOverwritten) {
		t.Errorf("Commit of an edit from an overwritten version: got error %v, want ErrVersionOverwritten", err)
	}
	if len(p.rows) != 151 || len(p.objects) > 16 {
		t.Errorf("got %d rows and %d objects, want 151 and at most 16", len(p.rows), len(p.objects))
	}
}

func TestLoadWithDamagedSnapshots(t *testing.T) {
	store, p := newStore(t)
	for v := uint64(1); v < 300; v++ {
		mustCommit(t, store, newEdit(t, v, "ada", "/depot", "quota", fmt.Sprint(v)))
	}
	if len(p.objects) != 2 {
		t.Fatalf("got %d snapshots, want 2", len(p.objects))
	}
	for key, data := range p.objects {
		p.objects[key] = data[:len(data)/2]
	}
	tree, err := fbsettings.NewStore(p, p, instantTimer{}).Newest(t.Context())
	if err != nil || tree.Version() != 300 {
		t.Errorf("Newest = %v, %v, want version 300", tree, err)
	}
}

func TestHeadRejectsMalformedRows(t *testing.T) {
	tests := map[string]string{
		"not JSON":      "{",
		"no version":    "{}",
		"other version": `{"version": 7}`,
		"bad snapshot":  `{"version": 1, "snapshot": 2}`,
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			store, p := newStore(t)
			p.rows["settings-head"] = filbertford.NewRow("settings-head", []byte(text), 1)
			if _, err := store.Head(t.Context()); !errors.Is(err, fbsettings.ErrMalformed) {
				t.Errorf("Head: got error %v, want ErrMalformed", err)
			}
		})
	}
}

func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"version":3,"request":"r","who":"ada","at_ms":1,"snapshot":0}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if head, err := fbsettings.DecodeHead(data); err == nil && head.Version() == 0 {
			t.Error("DecodeHead accepted version 0")
		}
	})
}

func FuzzDecodeEntry(f *testing.F) {
	f.Add([]byte(`{"version":3,"request":"r","who":"ada","at_ms":1,"changes":[{"op":"set","path":"/","key":"quota","value":"1"}],"undo":[]}`))
	f.Add([]byte{0x1f, 0x8b, 8})
	f.Fuzz(func(_ *testing.T, data []byte) {
		e, err := fbsettings.DecodeEntry(data)
		if err == nil {
			_, _ = fbtree.Default().Apply(e.Changes()...)
		}
		_, _ = fbsettings.DecodeSnapshot(data)
	})
}
