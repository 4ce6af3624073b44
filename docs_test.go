package filbertford_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbconfig"
	"github.com/filbertford/filbertford/fbdaemon"
	"github.com/filbertford/filbertford/fbevent"
)

var update = flag.Bool("update", false, "rewrite the tables in docs")

// Markers around a table in a page.
const (
	tableBegin = "<!-- table: %s -->\n"
	tableEnd   = "<!-- end -->\n"
)

// TestTablesMatchTheCode compares the tables in docs with the code. Run it with
// -update to rewrite them.
func TestTablesMatchTheCode(t *testing.T) {
	tests := map[string]struct {
		page string
		rows func() []string
	}{
		"codes":         {page: "docs/CODES.md", rows: codeRows},
		"events":        {page: "docs/EVENTS.md", rows: eventRows},
		"settings":      {page: "docs/OPERATIONS.md", rows: settingRows},
		"node settings": {page: "docs/OPERATIONS.md", rows: nodeSettingRows},
		"metrics":       {page: "docs/OPERATIONS.md", rows: metricRows},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { compareTable(t, tt.page, name, strings.Join(tt.rows(), "")) })
	}
}

func compareTable(t *testing.T, page, name, want string) {
	t.Helper()
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, ok := strings.Cut(string(data), fmt.Sprintf(tableBegin, name))
	got, tail, closed := strings.Cut(rest, tableEnd)
	if !ok || !closed {
		t.Fatalf("%s has no table %q", page, name)
	}
	if *update {
		text := head + fmt.Sprintf(tableBegin, name) + want + tableEnd + tail
		if err := os.WriteFile(page, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s differs from the code; run the test with -update (-code +page):\n%s", page, diff)
	}
}

func codeRows() []string {
	codes := filbertford.Codes()
	rows := []string{"| code | class | meaning |\n", "| --- | --- | --- |\n"}
	for _, c := range slices.Sorted(maps.Keys(codes)) {
		rows = append(rows, fmt.Sprintf("| %s | %s | %s |\n", c, c.Class(), codes[c]))
	}
	return rows
}

func eventRows() []string {
	rows := []string{"| event | level | what happened |\n", "| --- | --- | --- |\n"}
	for _, e := range fbevent.Catalogue() {
		rows = append(rows, fmt.Sprintf("| %s | %s | %s |\n", e.ID(), e.Level(), e.Text()))
	}
	return rows
}

func settingRows() []string { return keyRows(fbconfig.Keys()) }

func nodeSettingRows() []string { return keyRows(fbconfig.NodeKeys()) }

func keyRows(keys []fbconfig.Key) []string {
	rows := []string{"| section | key | default | allowed | what it governs |\n", "| --- | --- | --- | --- | --- |\n"}
	for _, k := range keys {
		rows = append(rows, fmt.Sprintf("| %s | %s | %s | %s | %s |\n", k.Section(), k.Name(), k.Default(), k.Allowed(), k.Description()))
	}
	return rows
}

func metricRows() []string {
	rows := []string{"| metric | kind | what it counts |\n", "| --- | --- | --- |\n"}
	for _, m := range fbdaemon.Metrics() {
		rows = append(rows, fmt.Sprintf("| %s | %s | %s |\n", m.Name(), m.Kind(), m.Description()))
	}
	return rows
}

// TestEventNumbersAreUnique checks that no two events have the same number.
func TestEventNumbersAreUnique(t *testing.T) {
	seen := make(map[string]string)
	for _, e := range fbevent.Catalogue() {
		if other, ok := seen[e.ID()]; ok {
			t.Errorf("event number %s is used for %q and %q", e.ID(), other, e.Text())
		}
		seen[e.ID()] = e.Text()
	}
}
