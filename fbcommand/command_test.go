package fbcommand_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcommand"
)

// newFakeDaemon returns the URL of a fake daemon that answers every job with the
// code, and the bodies of the jobs that it received.
func newFakeDaemon(t testing.TB, code filbertford.Code) (string, *[]string) {
	bodies := new([]string)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Idempotency-Key")
		answer := fmt.Sprintf(`"code":%q,"class":%q`, code, code.Class())
		switch {
		case r.URL.Path == "/v1/token":
			_, _ = fmt.Fprintf(w, `{"token":%q}`, filbertford.NewToken(7, 0, "nordnes", "127.0.0.1:7101"))
		case r.URL.Path == "/readyz":
			_, _ = io.WriteString(w, "ready\n")
		case r.URL.Path == "/v1/targets":
			_, _ = io.WriteString(w, `[{"target":"t1","free":3},{"target":"t2","free":0,"note":"a\u001b[2Jb"}]`)
		case r.Method == http.MethodPost:
			body, _ := io.ReadAll(r.Body)
			*bodies = append(*bodies, strings.TrimSpace(string(body)))
			results := ""
			if code == filbertford.CodeComplete {
				results = `,"results":[{"output":{"ok":true},"target":"t1"}]`
			}
			_, _ = fmt.Fprintf(w, `{"id":%q,%s%s}`, id, answer, results)
		case r.Method == http.MethodGet:
			_, _ = fmt.Fprintf(w, `{"id":%q,"state":"over","answer":{%s}}`, filepath.Base(r.URL.Path), answer)
		default:
			_, _ = fmt.Fprintf(w, `{"id":%q,%s}`, filepath.Base(r.URL.Path), answer)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL, bodies
}

func runCommand(t testing.TB, in string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = fbcommand.Run(t.Context(), args, fbcommand.NewStreams(strings.NewReader(in), &o, &e))
	return code, o.String(), e.String()
}

func TestExitCodeByAnswerClass(t *testing.T) {
	tests := map[string]struct {
		code filbertford.Code
		want int
	}{
		"complete":        {filbertford.CodeComplete, fbcommand.ExitComplete},
		"failed":          {filbertford.CodeTaskFailed, fbcommand.ExitFailed},
		"not run":         {filbertford.CodeCannotRun, fbcommand.ExitNotRun},
		"started nothing": {filbertford.CodeMalformed, fbcommand.ExitNotStarted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			url, _ := newFakeDaemon(t, tt.code)
			for _, args := range [][]string{{"submit"}, {"submit", "-id", "key-1"}, {"status", "key-1"}} {
				args = append(args[:1:1], append([]string{"-endpoints", url, "-json"}, args[1:]...)...)
				code, out, errOut := runCommand(t, "", args...)
				if code != tt.want || !strings.Contains(out, string(tt.code)) {
					t.Errorf("%v: got exit code %d, output %s%s", args, code, out, errOut)
				}
			}
		})
	}
}

func TestSubmitRequestBody(t *testing.T) {
	const fromFile = `{"team":"atlas","service":"order","tasks":[{"args":{"menu":"<a>"}}],"idempotent":true}`
	tests := map[string]struct {
		in   string
		args []string
		want string
	}{
		"flags": {
			args: []string{"-kind", "stock-check", "-run", "50ms", "-timeout", "2s"},
			want: `{"team":"depot","service":"ordering","kind":"stock-check","timeout_ms":2000,"idempotent":false,"tasks":[{"args":{"run_ms":50},"size_ms":50}]}`,
		},
		"standard input": {
			in:   fromFile,
			args: []string{"-file", "-"},
			want: `{"team":"atlas","service":"order","idempotent":true,"tasks":[{"args":{"menu":"<a>"}}]}`,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			url, bodies := newFakeDaemon(t, filbertford.CodeComplete)
			code, out, errOut := runCommand(t, tt.in, append([]string{"submit", "-endpoints", url}, tt.args...)...)
			if code != 0 || !strings.Contains(out, "FB1000 complete") {
				t.Errorf("got exit code %d, want 0 and FB1000 complete; output %s%s", code, out, errOut)
			}
			if diff := cmp.Diff([]string{tt.want}, *bodies); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestEnvironmentSetsFlags(t *testing.T) {
	url, _ := newFakeDaemon(t, filbertford.CodeComplete)
	t.Setenv("FILBERTFORD_ENDPOINTS", "http://127.0.0.1:1,"+url)
	if code, out, errOut := runCommand(t, "", "submit"); code != 0 {
		t.Errorf("got exit code %d, want 0; output %s%s", code, out, errOut)
	}
	if code, out, _ := runCommand(t, "", "ready"); code != fbcommand.ExitError {
		t.Errorf("got exit code %d with an unreachable daemon, output %s", code, out)
	}
	t.Setenv("FILBERTFORD_ENDPOINTS", url)
	if code, out, errOut := runCommand(t, "", "ready"); code != 0 {
		t.Errorf("got exit code %d, want 0; output %s%s", code, out, errOut)
	}
}

func TestUsageErrors(t *testing.T) {
	tests := map[string]struct {
		args []string
		want string
	}{
		"no command":           {nil, "SUBCOMMANDS"},
		"unknown flag":         {[]string{"submit", "-no-such"}, "no-such"},
		"no tasks":             {[]string{"submit", "-tasks", "0"}, "-tasks is 0"},
		"arguments not JSON":   {[]string{"submit", "-args", "{"}, "-args"},
		"unexpected argument":  {[]string{"submit", "x"}, `unexpected argument "x"`},
		"bad endpoint":         {[]string{"submit", "-endpoints", "127.0.0.1:1"}, "http://host:port"},
		"unreachable daemon":   {[]string{"submit", "-endpoints", "http://127.0.0.1:1"}, "not sent"},
		"no ID":                {[]string{"status"}, "one submission ID"},
		"bad ID":               {[]string{"cancel", "a b"}, "a b"},
		"unknown mix":          {[]string{"load", "-mix", "bakery"}, "atlas, depot"},
		"rate out of range":    {[]string{"load", "-rate", "-1"}, "-rate is -1"},
		"unknown action":       {[]string{"load", "-at", "1s=explode"}, "explode"},
		"no results":           {[]string{"report"}, "at least one file"},
		"unreachable listener": {[]string{"vms", "-operations", "http://127.0.0.1:1"}, "127.0.0.1:1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			code, _, errOut := runCommand(t, "", tt.args...)
			if code != fbcommand.ExitError || !strings.Contains(errOut, tt.want) {
				t.Errorf("got exit code %d and errors %q, want %q among the errors", code, errOut, tt.want)
			}
		})
	}
}

func TestHelpContainsExample(t *testing.T) {
	for _, name := range []string{"submit", "status", "cancel", "ready", "vms", "targets", "settings", "load", "report"} {
		t.Run(name, func(t *testing.T) {
			code, _, errOut := runCommand(t, "", name, "-h")
			if code != 0 || !strings.Contains(errOut, "EXAMPLE\n  filbertford "+name) && name != "submit" {
				t.Errorf("got exit code %d and help %s, want 0 and an example", code, errOut)
			}
		})
	}
}

func TestReportReadsResults(t *testing.T) {
	dir := t.TempDir()
	in, out := filepath.Join(dir, "run.json"), filepath.Join(dir, "report.html")
	if err := os.WriteFile(in, []byte(`{"label":"adaptive","mix":"depot","rate":0.8}`), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, errOut := runCommand(t, "", "report", "-out", out, in)
	page, err := os.ReadFile(out)
	if code != 0 || err != nil || !bytes.Contains(page, []byte("adaptive")) {
		t.Errorf("got exit code %d, %v, errors %s", code, err, errOut)
	}
}

func TestTargetsPrintsTable(t *testing.T) {
	url, _ := newFakeDaemon(t, filbertford.CodeComplete)
	code, out, errOut := runCommand(t, "", "targets", "-operations", url)
	want := url + "\n  target  free  note\n  t1      3     \n  t2      0     a?[2Jb\n"
	if diff := cmp.Diff(want, out); code != 0 || diff != "" {
		t.Errorf("got exit code %d, errors %s, (-want +got):\n%s", code, errOut, diff)
	}
}

func ExampleRun() {
	var out, errOut bytes.Buffer
	code := fbcommand.Run(context.Background(), []string{"load", "-mix", "bakery"}, fbcommand.NewStreams(nil, &out, &errOut))
	fmt.Print(code, " ", errOut.String())
	// Output: 1 filbertford: -mix "bakery" is none of atlas, depot
}
