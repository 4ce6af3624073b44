package fbcommand

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbstandin"
	"github.com/filbertford/filbertford/platform"
)

// TestCheckCommand guards against an exit code of 0 for a configuration with errors, and
// against a comparison with anything but the version in force.
func TestCheckCommand(t *testing.T) {
	const valid = `{"version":8,"routes":[{"host":"h","prefix":"/p/","service":"svc","attempts":1,"stretch":1}],"services":[{"name":"svc"}]}`
	server := httptest.NewServer(fbstandin.NewRowStore().Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	store := platform.NewStore(address)
	defer store.Close()
	inForce := strings.Replace(valid, `"attempts":1`, `"attempts":3`, 1)
	transaction := filbertford.NewTransaction("").Put(filbertford.TableRoutes, "config", []byte(inForce))
	if _, err := store.Commit(t.Context(), transaction); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		text string
		args []string
		want string
		code int
	}{
		"valid":     {text: valid},
		"error":     {text: `{"version":8,"routes":[]`, code: ExitError},
		"findings":  {text: `{"routes":[]}`, want: "error    version: is missing or 0\n", code: ExitFailed},
		"as JSON":   {text: `{"routes":[]}`, args: []string{"-json"}, want: "{\n  \"version\": 0,\n  \"findings\": [\n    {\n      \"severity\": \"error\",\n      \"entry\": \"version\",\n      \"reason\": \"is missing or 0\"\n    }\n  ]\n}\n", code: ExitFailed},
		"no store":  {text: valid, args: []string{"-store", "127.0.0.1:1"}, code: ExitError},
		"with diff": {text: valid, args: []string{"-store", address}, want: "warning  svc: service has no targets\ndiffers  h/p/: attempts 3 -> 1\ndiffers  version: 8 isn't newer than 8; it would be ignored\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "routes.json")
			if err := os.WriteFile(path, []byte(tt.text), 0o600); err != nil {
				t.Fatal(err)
			}
			var out, errs bytes.Buffer
			code := Run(t.Context(), append(append([]string{"check"}, tt.args...), path), NewStreams(nil, &out, &errs))
			if code != tt.code || out.String() != tt.want {
				t.Errorf("got exit code %d and %q, want %d and %q; errors: %s", code, out.String(), tt.code, tt.want, errs.String())
			}
		})
	}
}
