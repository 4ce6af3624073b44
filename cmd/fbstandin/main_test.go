package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestParseOptionsRejects(t *testing.T) {
	tests := map[string]struct {
		args []string
		want string
	}{
		"argument":       {args: []string{"x"}, want: `unexpected argument "x"`},
		"part":           {args: []string{"-serve", "all"}, want: "both, platform or targets"},
		"speed":          {args: []string{"-speeds", "1,0"}, want: `"0" is not a factor`},
		"no factors":     {args: []string{"-speeds", ","}, want: "no factor"},
		"no data centre": {args: []string{"-centres", ""}, want: "no data centre"},
		"entry":          {args: []string{"-entries", "nordnes"}, want: `"nordnes" is not centre=host:port`},
		"slots":          {args: []string{"-slots", "0"}, want: "at least 1"},
		"targets":        {args: []string{"-targets", "-1"}, want: "not in 0 to 10000"},
		"lag":            {args: []string{"-vm-lag", "-1s"}, want: "negative"},
		"config file":    {args: []string{"-config", "/does/not/exist"}, want: "no such file"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := parseOptions(tt.args)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one with %q", err, tt.want)
			}
		})
	}
}

func TestTargetVMsSpreadOverDataCentres(t *testing.T) {
	file := filepath.Join(t.TempDir(), "standin.ini")
	settings := "targets = 3\ncentres = nordnes, sandviken\nrack = 1\nslots = 2\n"
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	o, err := parseOptions([]string{"-config", file, "-target-base", "127.0.0.1:7300", "-slots", "8"})
	if err != nil {
		t.Fatal(err)
	}
	got, err := targetVMs(o)
	if err != nil {
		t.Fatal(err)
	}
	vm := func(id filbertford.VMID, dc filbertford.DataCentre, address, rack string) filbertford.VM {
		return filbertford.NewVM(id, filbertford.RoleTarget, dc, address).WithRack(rack).WithCapacity(8, 64)
	}
	want := []filbertford.VM{
		vm("t1", "nordnes", "127.0.0.1:7300", "nordnes-r1"),
		vm("t2", "sandviken", "127.0.0.1:7301", "sandviken-r1"),
		vm("t3", "nordnes", "127.0.0.1:7302", "nordnes-r2"),
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(filbertford.VM{})); diff != "" {
		t.Error(diff)
	}
	o.targetBase = "127.0.0.1:65534"
	if _, err := targetVMs(o); err == nil {
		t.Error("targetVMs accepted targets beyond port 65535")
	}
}

func TestServeStopsWithContext(t *testing.T) {
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error {
		args := []string{"-platform", "127.0.0.1:0", "-targets", "0", "-entries", "nordnes=127.0.0.1:7101"}
		return serve(ctx, log.New(&out), args)
	})
	cancel()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	for _, id := range []string{"FE3001", "FE3002"} {
		if !strings.Contains(out.String(), id) {
			t.Errorf("event %s not found in log %q", id, out.String())
		}
	}
}
