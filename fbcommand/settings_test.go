package fbcommand_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford/fbcommand"
	"github.com/filbertford/filbertford/fbstandin"
	"github.com/filbertford/filbertford/fbtree"
)

// Values of settingsHarness.fault.
const (
	faultNone = iota
	// faultAfterCommit applies one more commit and then aborts every request, that
	// of the commit included.
	faultAfterCommit
	faultAll
)

// settingsHarness runs settings commands against a stand-in of the platform.
type settingsHarness struct {
	t     *testing.T
	url   string
	fault *atomic.Int32
}

func newSettingsHarness(t *testing.T) settingsHarness {
	h := settingsHarness{t: t, fault: new(atomic.Int32)}
	platform := fbstandin.NewPlatform(0).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.fault.Load() == faultAfterCommit && r.URL.Path == "/table/commit" {
			platform.ServeHTTP(httptest.NewRecorder(), r)
			h.fault.Store(faultAll)
		}
		if h.fault.Load() == faultAll {
			panic(http.ErrAbortHandler)
		}
		platform.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	h.url = server.URL
	return h
}

// run runs a settings command. Flags may follow the command in name.
func (h settingsHarness) run(in, name string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	words := append(strings.Fields(name), "-platform", h.url)
	code = fbcommand.RunSettings(h.t.Context(), append(words, args...), fbcommand.NewStreams(strings.NewReader(in), &o, &e))
	return code, o.String(), e.String()
}

// mustRun runs a command that has to succeed and returns its output.
func (h settingsHarness) mustRun(name string, args ...string) string {
	h.t.Helper()
	code, out, errOut := h.run("", name, args...)
	if code != fbcommand.ExitComplete {
		h.t.Fatalf("%s %v: exit code %d: %s%s", name, args, code, out, errOut)
	}
	return out
}

// documentedCommands returns the commands of the section "A first day" of
// docs/SETTINGS.md, each with its output.
func documentedCommands(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "## A first day\n")
	_, rest, _ = strings.Cut(rest, "```console\n")
	block, _, _ := strings.Cut(rest, "```\n")
	return strings.Split(block, "$ filbertford settings ")[1:]
}

// TestDocumentedSettingsCommands runs the commands of docs/SETTINGS.md and
// compares their output.
func TestDocumentedSettingsCommands(t *testing.T) {
	h := newSettingsHarness(t)
	h.mustRun("set -operator init", "/depot", "quota", "0")
	for _, step := range documentedCommands(t) {
		command, want, _ := strings.Cut(step, "\n")
		words := strings.Fields(command)
		_, out, errOut := h.run("", words[0], words[1:]...)
		if diff := cmp.Diff(want, out+errOut); diff != "" {
			t.Errorf("%s: %s", command, diff)
		}
	}
}

func TestSettingsErrors(t *testing.T) {
	h := newSettingsHarness(t)
	h.mustRun("set -operator ada", "/depot", "quota", "5")
	h.mustRun("set -operator ada", "/depot", "quota", "6")
	tests := map[string]struct {
		name string
		args []string
		code int
		want []string
	}{
		"conflict":        {"set -operator bob -base 1", []string{"/depot", "quota", "7"}, fbcommand.ExitConflict, []string{"yours is 7", "theirs is 6", "by ada"}},
		"out of range":    {"set -operator bob", []string{"/depot", "quota", "-7"}, fbcommand.ExitError, []string{"/depot quota", `"-7"`, "0 to 1000000"}},
		"no operator":     {"set", []string{"/depot", "quota", "7"}, fbcommand.ExitError, []string{"operator"}},
		"bad path":        {"set -operator bob", []string{"/a/b/c/d", "quota", "7"}, fbcommand.ExitError, []string{"/a/b/c/d"}},
		"no value":        {"set -operator bob", []string{"/depot", "quota"}, fbcommand.ExitError, []string{"needs 3 arguments"}},
		"unknown version": {"rollback -operator bob", []string{"9"}, fbcommand.ExitError, []string{"1 to 2"}},
		"unknown node":    {"get", []string{"/nobody"}, fbcommand.ExitError, []string{"/nobody"}},
		"unknown key":     {"explain", []string{"/depot", "speed"}, fbcommand.ExitError, []string{"no such key"}},
		"unknown command": {"sett", nil, fbcommand.ExitError, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			code, out, errOut := h.run("", tt.name, tt.args...)
			if code != tt.code {
				t.Errorf("got exit code %d, want %d: %s%s", code, tt.code, out, errOut)
			}
			for _, want := range tt.want {
				if !strings.Contains(errOut, want) {
					t.Errorf("got errors %q, want them to contain %q", errOut, want)
				}
			}
		})
	}
	if out := h.mustRun("get", "/depot", "quota"); out != "6\n" {
		t.Errorf("got quota %s, want 6", out)
	}
}

func TestSettingsConflictAsJSON(t *testing.T) {
	h := newSettingsHarness(t)
	h.mustRun("set -operator ada", "/depot", "quota", "5")
	h.mustRun("set -operator ada", "/depot", "quota", "6")
	_, out, _ := h.run("", "set -json -operator bob -base 1", "/depot", "quota", "7")
	var got struct {
		Error     string
		Conflicts []struct{ Path, Key, Yours, Theirs, Who string }
	}
	if err := json.Unmarshal([]byte(out), &got); err != nil {
		t.Fatal(err)
	}
	want := []struct{ Path, Key, Yours, Theirs, Who string }{{"/depot", "quota", "7", "6", "ada"}}
	if diff := cmp.Diff(want, got.Conflicts); got.Error != "conflict" || diff != "" {
		t.Error(got.Error, diff)
	}
}

func TestApplyKeepsOthersChanges(t *testing.T) {
	h := newSettingsHarness(t)
	h.mustRun("set -operator ada", "/depot", "quota", "5")
	text := strings.Replace(h.mustRun("get"), "quota = 5", "quota = 8", 1)
	file := filepath.Join(t.TempDir(), "tree.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h.mustRun("set -operator bob", "/atlas", "quota", "3")
	h.mustRun("apply -operator ada", file)
	got := h.mustRun("get", "/depot", "quota") + h.mustRun("get", "/atlas", "quota")
	if got != "8\n3\n" {
		t.Errorf("got quotas %q, want 8 and 3", got)
	}
	if code, _, errOut := h.run("[/]\nquota = x\n[/a]\nlease = 1s\n", "apply -operator ada", "-"); code != fbcommand.ExitError ||
		!strings.Contains(errOut, "line 2") || !strings.Contains(errOut, "line 4") {
		t.Errorf("got exit code %d, want an error that names lines 2 and 4: %s", code, errOut)
	}
}

func TestEditCommitsOneVersion(t *testing.T) {
	h := newSettingsHarness(t)
	h.mustRun("set -operator ada", "/depot", "quota", "5")
	in := "# autumn\nadd /new\nset /new quota 4\n\nunset /depot quota\n"
	if code, out, errOut := h.run(in, "edit -operator ada"); code != 0 || !strings.Contains(out, "version 2 accepted") {
		t.Errorf("got exit code %d, want version 2 accepted: %s%s", code, out, errOut)
	}
	if code, _, errOut := h.run("add /other\nset /other quota x\n", "edit -operator ada"); code != fbcommand.ExitError {
		t.Errorf("got exit code %d for an invalid value: %s", code, errOut)
	}
	if out := h.mustRun("get"); strings.Contains(out, "/other") || !strings.Contains(out, "[/new]\nquota = 4") {
		t.Errorf("got tree %s, want /new with quota 4 and no /other", out)
	}
}

func TestRetryAfterUnknownOutcome(t *testing.T) {
	h := newSettingsHarness(t)
	h.mustRun("set -operator ada", "/depot", "quota", "5")
	h.fault.Store(faultAfterCommit)
	code, out, errOut := h.run("", "set -json -operator ada", "/depot", "quota", "6")
	var got struct{ Error, Request string }
	if err := json.Unmarshal([]byte(out), &got); err != nil || code != fbcommand.ExitUnknown || got.Error != "unknown" {
		t.Fatalf("got exit code %d, want that of an unknown outcome: %s%s", code, out, errOut)
	}
	h.fault.Store(faultNone)
	h.mustRun("set -operator bob", "/depot", "quota", "7")
	if out := h.mustRun("set -operator ada -retry "+got.Request, "/depot", "quota", "6"); out != "version 2 accepted\n" {
		t.Errorf("got output %s of the retry, want version 2 accepted", out)
	}
	if out := h.mustRun("get", "/depot", "quota"); out != "7\n" {
		t.Errorf("got quota %s, want 7", out)
	}
}

func TestSettingsKeys(t *testing.T) {
	h := newSettingsHarness(t)
	key := strings.TrimSpace(h.mustRun("keys add -operator ada", "depot"))
	second := strings.TrimSpace(h.mustRun("keys add -operator ada", "depot"))
	tree := h.mustRun("get")
	for _, k := range []string{key, second} {
		if strings.Contains(tree, k) || !strings.Contains(tree, fbtree.Hash(k)) {
			t.Errorf("tree contains a key itself or lacks its hash:\n%s", tree)
		}
	}
	h.mustRun("keys remove -operator ada", "depot", fbtree.Hash(key)[:8])
	if out := h.mustRun("keys list"); out != "/depot  "+fbtree.Hash(second)+"\n" {
		t.Errorf("got keys %q, want only the second one", out)
	}
	if out := h.mustRun("history"); strings.Contains(out, fbtree.Hash(key)) {
		t.Errorf("history contains a hash: %s", out)
	}

	operator := strings.TrimSpace(h.mustRun("keys add-operator -operator ada", "ada"))
	if code, _, errOut := h.run("", "set -operator ada", "/depot", "quota", "1"); code != fbcommand.ExitError {
		t.Errorf("without a key: got exit code %d: %s", code, errOut)
	}
	t.Setenv("FILBERTFORD_OPERATOR_KEY", operator)
	h.mustRun("set -operator ada", "/depot", "quota", "1")
	if code, _, errOut := h.run("", "set -operator bob", "/depot", "quota", "2"); code != fbcommand.ExitError {
		t.Errorf("with another operator's key: got exit code %d: %s", code, errOut)
	}
	h.mustRun("keys remove-operator -operator ada", "ada")
}

func TestSettingsStatus(t *testing.T) {
	h := newSettingsHarness(t)
	h.mustRun("set -operator ada", "/depot", "quota", "5")
	h.mustRun("set -operator ada", "/depot", "quota", "6")
	daemon := func(reply string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, reply) }))
		t.Cleanup(server.Close)
		return server.URL
	}
	current := daemon(`{"vm":"e1","data_centre":"casa","version":2}`)
	behind := daemon(`{"vm":"e2","version":1,"reason":"the table service can't be read"}`)
	unreachable := "http://127.0.0.1:1"
	if out := h.mustRun("status", "-operations", current); !strings.Contains(out, "yes") {
		t.Errorf("got status %s, want the daemon in force", out)
	}
	code, out, _ := h.run("", "status", "-operations", fmt.Sprint(current, ",", behind, ",", unreachable))
	if code != fbcommand.ExitError || !strings.Contains(out, "can't be read") || !strings.Contains(out, "refused") {
		t.Errorf("got exit code %d and status %s, want an error with the reasons of two daemons", code, out)
	}
}
