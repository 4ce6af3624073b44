package fbcommand_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/filbertford/filbertford/fbburn"
	"github.com/filbertford/filbertford/fbcommand"
)

// newBurnDaemon returns the URL of a fake daemon that has counted the given
// numbers of good and bad answers.
func newBurnDaemon(t *testing.T, good, bad int) string {
	now := time.Now()
	recorder := fbburn.NewRecorder(now)
	for i := range good + bad {
		outcome := fbburn.OutcomeGood
		if i < bad {
			outcome = fbburn.OutcomeBad
		}
		recorder.Record(now, fbburn.NewKey("depot", "ordering", ""), fbburn.NewObjective(0.99, time.Second), outcome)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/burn" {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(recorder.Snapshot(now, r.URL.Query().Get("series") == "1"))
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestBurn(t *testing.T) {
	good, bad := newBurnDaemon(t, 100, 0), newBurnDaemon(t, 60, 40)
	const closed = "http://127.0.0.1:1"
	tests := map[string]struct {
		listeners   []string
		flags       []string
		code        int
		out, errOut string
	}{
		"within objective":      {[]string{good}, nil, fbcommand.ExitComplete, "ok", ""},
		"counts add up":         {[]string{good, bad}, nil, fbcommand.ExitBurnAlert, "200      80.000  20.00", ""},
		"listed twice":          {[]string{good, good}, nil, fbcommand.ExitComplete, "1 of 1 daemons", ""},
		"one unreachable":       {[]string{good, closed}, nil, fbcommand.ExitError, "1 of 2 daemons", closed + " was not reached"},
		"page, one unreachable": {[]string{bad, closed}, nil, fbcommand.ExitBurnAlert, "page", closed + " was not reached"},
		"all unreachable":       {[]string{closed}, nil, fbcommand.ExitError, "", "no daemon was reached"},
		"json":                  {[]string{bad, closed}, []string{"-json"}, fbcommand.ExitBurnAlert, `"verdict": "page"`, ""},
		"json, one unreachable": {[]string{good, closed}, []string{"-json"}, fbcommand.ExitError, `"daemon": "` + closed, ""},
		"timeout too long":      {[]string{good}, []string{"-timeout", "1h"}, fbcommand.ExitError, "", "-timeout is 1h0m0s, want above 0 to 10s"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			args := append([]string{"burn", "-operations", strings.Join(tt.listeners, ",")}, tt.flags...)
			code, out, errOut := runCommand(t, "", args...)
			if code != tt.code || !strings.Contains(out, tt.out) || !strings.Contains(errOut, tt.errOut) {
				t.Errorf("got exit code %d, want %d with output %q and errors %q\n%s%s", code, tt.code, tt.out, tt.errOut, out, errOut)
			}
		})
	}
}

func TestBurnWritesHTMLPage(t *testing.T) {
	file := filepath.Join(t.TempDir(), "burn.html")
	listeners := newBurnDaemon(t, 100, 0) + "," + newBurnDaemon(t, 100, 0) + ",http://127.0.0.1:1"
	if code, out, errOut := runCommand(t, "", "burn", "-operations", listeners, "-html", file); code != fbcommand.ExitError {
		t.Errorf("got exit code %d, want 1 for the unreachable daemon\n%s%s", code, out, errOut)
	}
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"<td>200</td>", "<svg", "missing here: http://127.0.0.1:1"} {
		if !strings.Contains(string(page), part) {
			t.Errorf("page does not contain %q", part)
		}
	}
}
