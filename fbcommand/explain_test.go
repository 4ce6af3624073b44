package fbcommand

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestExplain sorts the lines of two daemons about a job.
func TestExplain(t *testing.T) {
	const id = "00000000000000aa"
	logs := map[string]string{
		"n1.log": "time=10:00:00.100 msg=placed event=FE7052 task=" + id + ".0.0.0\n" +
			"time=10:00:00.250 msg=lost event=FE7022 node=n2\n" +
			"time=10:00:00.400 msg=answered event=FE7051 task=" + id + ".0.0.0\n" +
			"time=10:00:00.500 msg=lost event=FE7022 node=n3\n",
		"n2.log": "time=10:00:00.150 msg=started event=FE7053 task=" + id + ".0.0.0\n" +
			"time=10:00:00.200 msg=started event=FE7053 task=00000000000000bb.0.0.0\n",
	}
	tests := map[string]struct {
		args []string
		want string
		code int
	}{
		"with state events": {
			args: []string{id},
			want: "n1         time=10:00:00.100 msg=placed event=FE7052 task=" + id + ".0.0.0\n" +
				"n2         time=10:00:00.150 msg=started event=FE7053 task=" + id + ".0.0.0\n" +
				"n1         time=10:00:00.250 msg=lost event=FE7022 node=n2\n" +
				"n1         time=10:00:00.400 msg=answered event=FE7051 task=" + id + ".0.0.0\n",
		},
		"without": {
			args: []string{"-beliefs=false", id},
			want: "n1         time=10:00:00.100 msg=placed event=FE7052 task=" + id + ".0.0.0\n" +
				"n2         time=10:00:00.150 msg=started event=FE7053 task=" + id + ".0.0.0\n" +
				"n1         time=10:00:00.400 msg=answered event=FE7051 task=" + id + ".0.0.0\n",
		},
		"unknown": {args: []string{"00000000000000cc"}, code: ExitError},
		"no file": {args: []string{id}, code: ExitError},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			args := append([]string{"explain"}, tt.args...)
			if name != "no file" {
				for file, text := range logs {
					path := filepath.Join(t.TempDir(), file)
					if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
						t.Fatal(err)
					}
					args = append(args, path)
				}
			}
			var out, errs bytes.Buffer
			code := Run(t.Context(), args, NewStreams(nil, &out, &errs))
			if code != tt.code {
				t.Errorf("got exit code %d, want %d: %s", code, tt.code, errs.String())
			}
			if diff := cmp.Diff(tt.want, out.String()); diff != "" {
				t.Errorf("output (-want +got):\n%s", diff)
			}
		})
	}
}
