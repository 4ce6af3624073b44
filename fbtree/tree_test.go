package fbtree_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbtree"
)

func ExampleParse() {
	tree, err := fbtree.Parse([]byte(`
[/]
max-tasks = 170

[/depot]
timeout = 4s

[/depot/ordering]

[/depot/ordering/stock-check]
timeout = 800ms
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	rules, ok := tree.Rules("depot", "ordering", "stock-check")
	fmt.Println(rules.Timeout(), rules.MaxTasks(), ok)
	// Output: 800ms 170 true
}

func ExampleParse_problems() {
	_, err := fbtree.Parse([]byte("[/]\nmax-tasks = many\n[/depot]\nlease = 5s\n[/atlas/orders]\n"))
	fmt.Println(err)
	// Output:
	// line 2: / max-tasks = "many": want an int, 1 to 10000
	// line 4: /depot lease = "5s": can't be set at level team; want level organisation
}

func ExampleTree_Explain() {
	tree := fbtree.Default()
	p, _ := fbtree.ParsePath("/depot/ordering/label-print")
	sources, _ := tree.Explain(p, fbtree.KeyMessageWeight)
	for _, s := range sources {
		fmt.Println(s.Value(), "from", s)
	}
	// Output:
	// 0.2 from team /depot
	// 0.5 from default
}

func TestDefaultHasRulesOfAllJobKinds(t *testing.T) {
	services := map[string][]string{
		"depot/ordering": {"", "stock-check", "pigment-match", "label-print"},
		"atlas/orders":   {"", "menu-check", "event-quote", "slot-confirm"},
	}
	tree := fbtree.Default()
	for service, kinds := range services {
		team, name, _ := strings.Cut(service, "/")
		for _, kind := range kinds {
			rules, ok := tree.Rules(team, name, kind)
			if !ok || rules.MaxTasks() != 170 || rules.Timeout() == 0 || rules.Lease() == 0 {
				t.Errorf("Rules(%s, %q) = %+v, %v, want 170 tasks, a timeout and a lease", service, kind, rules, ok)
			}
		}
	}
}

func TestRulesOfUnknownNames(t *testing.T) {
	tests := map[string][3]string{
		"team":            {"nobody", "ordering", ""},
		"service":         {"depot", "nothing", ""},
		"kind":            {"depot", "ordering", "nothing"},
		"no service":      {"depot", "", ""},
		"nothing":         {"", "", ""},
		"path as service": {"depot", "ordering/stock-check", ""},
		"VM as a service": {"vms", "t7", ""},
	}
	tree := mustApply(t, fbtree.Default(), fbtree.Set(mustParsePath(t, "/vms/t7"), "state", "draining"))
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if rules, ok := tree.Rules(tt[0], tt[1], tt[2]); ok {
				t.Errorf("Rules = %+v, want none", rules)
			}
		})
	}
}

func TestParseProblems(t *testing.T) {
	hash := fbtree.Hash("k")
	tests := map[string]struct {
		text string
		want []string
	}{
		"unknown key":           {"[/]\nmax-task = 3", []string{"no such key"}},
		"above range":           {"[/]\nmax-tasks = 10001", []string{"1 to 10000", `"10001"`, "line 2"}},
		"not a number":          {"[/]\nmessage-weight = NaN", []string{"0 to 1"}},
		"infinite":              {"[/]\nspill = +Inf", []string{"0 to 100000"}},
		"duration":              {"[/]\ntimeout = 5", []string{"1ms to 1h0m0s"}},
		"word":                  {"[/vms/t7]\nstate = gone", []string{"live or draining"}},
		"wrong level":           {"[/depot]\nstate = live", []string{"level vm"}},
		"bad path":              {"[/depot//x]", []string{"malformed path"}},
		"no slash":              {"[depot]", []string{"malformed path"}},
		"too deep":              {"[/a]\n[/a/b]\n[/a/b/c]\n[/a/b/c/d]", []string{"malformed path"}},
		"team called vms":       {"[/vms]", []string{"malformed path"}},
		"no parent":             {"[/a/b]", []string{"no team /a", "line 1"}},
		"no section":            {"max-tasks = 3", []string{"key before the first section"}},
		"duplicate key":         {"[/]\nquota = 1\nquota = 2", []string{"duplicate of line 2", "line 3"}},
		"duplicate section":     {"[/a]\n[/b]\n[/a]", []string{"duplicate of line 1"}},
		"several":               {"[/]\nquota = x\nburst = y\n[/a]\nlease = 1s", []string{"quota", "burst", "lease"}},
		"timeout over maximum":  {"[/]\nmax-timeout = 5s\n[/a]\ntimeout = 6s", []string{"/a timeout", "max-timeout, which is 5s"}},
		"hash without operator": {"[/]\noperator-keys = " + hash, []string{"NAME:HASH"}},
		"not INI":               {"[/\nx", []string{"/"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tree, err := fbtree.Parse([]byte(tt.text))
			var problems fbtree.Problems
			if tree != nil || !errors.As(err, &problems) {
				t.Fatalf("Parse = %v, %v, want Problems", tree, err)
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %q does not contain %q", err, want)
				}
			}
		})
	}
}

func TestProblemsHideSecretValues(t *testing.T) {
	_, err := fbtree.Parse([]byte("[/a]\ncaller-keys = hunter2\ncaler-keys = hunter2"))
	if err == nil || strings.Contains(err.Error(), "hunter2") {
		t.Errorf("Parse: error %q, want one without the secret", err)
	}
}

func TestApplyRejectsInvalidChanges(t *testing.T) {
	tests := map[string]fbtree.Change{
		"set at unknown node":    fbtree.Set(mustParsePath(t, "/nobody"), "quota", "1"),
		"unset not set":          fbtree.Unset(mustParsePath(t, "/depot"), "quota"),
		"add existing node":      fbtree.Add(mustParsePath(t, "/depot")),
		"add below unknown node": fbtree.Add(mustParsePath(t, "/nobody/x")),
		"add a VM":               fbtree.Add(mustParsePath(t, "/vms/t7")),
		"remove unknown node":    fbtree.Remove(mustParsePath(t, "/nobody")),
		"remove organisation":    fbtree.Remove(fbtree.Path{}),
		"out of range":           fbtree.Set(mustParsePath(t, "/depot"), "quota", "-1"),
		"timeout":                fbtree.Set(mustParsePath(t, "/depot"), "max-timeout", "1s"),
		"no operation":           {},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			valid := fbtree.Set(mustParsePath(t, "/atlas"), "quota", "5")
			tree, err := fbtree.Default().Apply(valid, change)
			var problems fbtree.Problems
			if tree != nil || !errors.As(err, &problems) {
				t.Errorf("Apply = %v, %v, want Problems", tree, err)
			}
		})
	}
}

func TestDraining(t *testing.T) {
	p := mustParsePath(t, "/vms/t7")
	drained := mustApply(t, fbtree.Default(), fbtree.Set(p, "state", "draining"))
	undrained := mustApply(t, drained, fbtree.Unset(p, "state"))
	got := []bool{fbtree.Default().Draining("t7"), drained.Draining("t7"), drained.Draining("t8"), undrained.Draining("t7")}
	if diff := cmp.Diff([]bool{false, true, false, false}, got); diff != "" {
		t.Error(diff)
	}
	if !undrained.Equal(fbtree.Default()) {
		t.Errorf("VM's node remains after its only key is unset: %s", undrained.Encode())
	}
}

func TestAuthorized(t *testing.T) {
	tree := mustApply(t, fbtree.Default(),
		fbtree.Set(mustParsePath(t, "/depot"), "caller-keys", fbtree.Hash("one")+", "+fbtree.Hash("two")),
		fbtree.Set(fbtree.Path{}, "operator-keys", "ada:"+fbtree.Hash("three")))
	tests := map[string]struct {
		got, want bool
	}{
		"first key":               {tree.Authorized("depot", "one"), true},
		"second key":              {tree.Authorized("depot", "two"), true},
		"no key":                  {tree.Authorized("depot", ""), false},
		"the hash itself":         {tree.Authorized("depot", fbtree.Hash("one")), false},
		"team without keys":       {tree.Authorized("atlas", "any"), true},
		"operator":                {tree.AuthorizedOperator("ada", "three"), true},
		"operator with other key": {tree.AuthorizedOperator("ada", "one"), false},
		"unknown operator":        {tree.AuthorizedOperator("bob", "three"), false},
		"tree without operators":  {fbtree.Default().AuthorizedOperator("bob", ""), true},
	}
	for name, tt := range tests {
		if tt.got != tt.want {
			t.Errorf("%s: authorized = %v", name, tt.got)
		}
	}
}

func TestRulesDoNotAllocate(t *testing.T) {
	tree := fbtree.Default()
	var rules filbertford.Rules
	n := testing.AllocsPerRun(100, func() { rules, _ = tree.Rules("depot", "ordering", "stock-check") })
	if n != 0 || rules.Timeout() == time.Duration(0) {
		t.Errorf("Rules: got %v allocations, want 0", n)
	}
}

// TestTreeRoundTrips checks on random trees that encoding and parsing a tree
// returns an equal one, that the differences of two trees turn one into the other,
// and that Explain agrees with Rules.
func TestTreeRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawTree(t, "a")
		b := drawTree(t, "b")
		if parsed, err := fbtree.Parse(a.Encode()); err != nil || !parsed.Equal(a) {
			t.Fatalf("Parse(%s) = %v, %v, want the encoded tree", a.Encode(), parsed, err)
		}
		changes, err := fbtree.DecodeChanges(fbtree.EncodeChanges(fbtree.Diff(a, b)))
		if err != nil {
			t.Fatal(err)
		}
		got, err := a.Apply(changes...)
		if err != nil {
			t.Fatalf("Apply(%v): %v", changes, err)
		}
		if diff := cmp.Diff(string(b.Encode()), string(got.Encode())); diff != "" {
			t.Fatal(diff)
		}
		checkExplain(t, got)
	})
}

// checkExplain checks that Explain names the values of the rules in force.
func checkExplain(t *rapid.T, tree *fbtree.Tree) {
	for _, p := range tree.Paths() {
		names := strings.Split(strings.TrimPrefix(p.String(), "/")+"//", "/")
		rules, ok := tree.Rules(names[0], names[1], names[2])
		if !ok {
			continue
		}
		share, objectiveTime := rules.Objective()
		wantValues := map[string]string{
			fbtree.KeyMaxTasks: fmt.Sprint(rules.MaxTasks()), fbtree.KeyMaxQueue: fmt.Sprint(rules.MaxQueue()),
			fbtree.KeyQuota: fmt.Sprint(rules.Quota()), fbtree.KeyBurst: fmt.Sprint(rules.Burst()),
			fbtree.KeyTimeout: rules.Timeout().String(), fbtree.KeyMaxTimeout: rules.MaxTimeout().String(),
			fbtree.KeyLease: rules.Lease().String(), fbtree.KeyMessageWeight: fmt.Sprint(rules.MessageWeight()),
			fbtree.KeySpill: fmt.Sprint(rules.Spill()), fbtree.KeyObjectiveShare: fmt.Sprint(share),
			fbtree.KeyObjectiveTime: objectiveTime.String(),
		}
		for key, want := range wantValues {
			sources, err := tree.Explain(p, key)
			if err != nil || sources[0].Value() != want {
				t.Fatalf("Explain(%s, %s) = %v, %v; value in force is %s", p, key, sources, err, want)
			}
		}
	}
}

func drawTree(t *rapid.T, label string) *fbtree.Tree {
	tree := &fbtree.Tree{}
	values := map[string][]string{
		"quota": {"0", "7", "1000000"}, "burst": {"3"}, "max-tasks": {"1", "170"}, "max-queue": {"0", "12"},
		"timeout": {"1ms", "900ms", "1m"}, "max-timeout": {"1m", "90s", "1h"}, "lease": {"250ms"},
		"message-weight": {"0", "0.25", "1"}, "spill": {"2.5"}, "objective-share": {"0.999"},
		"objective-time": {"3s"}, "state": {"draining", "live"}, "caller-keys": {fbtree.Hash("x")},
		"operator-keys": {"ada:" + fbtree.Hash("y")},
	}
	keys := make([]string, 0, len(values))
	for _, k := range fbtree.Keys() {
		keys = append(keys, k.Name())
	}
	paths := []string{"/", "/a", "/a.b", "/a/x", "/a.b/x", "/a/x/k", "/a/x/k-1", "/vms/t1"}
	n := rapid.IntRange(0, 30).Draw(t, label+" changes")
	for range n {
		p, _ := fbtree.ParsePath(rapid.SampledFrom(paths).Draw(t, "path"))
		key := rapid.SampledFrom(keys).Draw(t, "key")
		c := rapid.SampledFrom([]fbtree.Change{
			fbtree.Add(p), fbtree.Remove(p), fbtree.Unset(p, key),
			fbtree.Set(p, key, rapid.SampledFrom(values[key]).Draw(t, "value")),
			fbtree.Set(p, key, rapid.SampledFrom(values[key]).Draw(t, "value")),
		}).Draw(t, "change")
		if next, err := tree.Apply(c); err == nil {
			tree = next
		}
	}
	return tree
}

func FuzzParse(f *testing.F) {
	f.Add(fbtree.Default().Encode())
	f.Add([]byte("[/]\nquota = 5 ; comment\n[/a]\n[vms/t1]\nstate=\"live\"\n"))
	f.Add([]byte("[/]\nquota = \"\"\"5\n\"\"\"\nburst=`3`\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		tree, err := fbtree.Parse(text)
		if err != nil {
			return
		}
		parsed, err := fbtree.Parse(tree.Encode())
		if err != nil || !parsed.Equal(tree) {
			t.Errorf("Parse(%q) differs from the encoded tree: %v", tree.Encode(), err)
		}
	})
}

func FuzzDecodeChanges(f *testing.F) {
	f.Add(fbtree.EncodeChanges(fbtree.Diff(&fbtree.Tree{}, fbtree.Default())))
	f.Add([]byte(`[{"op":"set","path":"/depot","key":"quota","value":"5"}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		changes, err := fbtree.DecodeChanges(data)
		if err != nil {
			return
		}
		decoded, err := fbtree.DecodeChanges(fbtree.EncodeChanges(changes))
		if err != nil || fmt.Sprint(decoded) != fmt.Sprint(changes) {
			t.Errorf("encoding and decoding %v returned %v, %v", changes, decoded, err)
		}
		if tree, err := fbtree.Default().Apply(changes...); err == nil && tree.Version() != 0 {
			t.Errorf("got version %d, want 0", tree.Version())
		}
	})
}

func mustParsePath(t *testing.T, s string) fbtree.Path {
	t.Helper()
	p, err := fbtree.ParsePath(s)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func mustApply(t *testing.T, tree *fbtree.Tree, changes ...fbtree.Change) *fbtree.Tree {
	t.Helper()
	out, err := tree.Apply(changes...)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
