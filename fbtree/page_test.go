package fbtree_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford/fbtree"
)

var update = flag.Bool("update", false, "write the table of keys into docs/SETTINGS.md")

// keysTable returns the table of keys as it stands in docs/SETTINGS.md.
func keysTable() string {
	var b strings.Builder
	b.WriteString("\n| key | type | range | default | levels | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, k := range fbtree.Keys() {
		var levels []string
		for _, l := range k.Levels() {
			levels = append(levels, string(l))
		}
		kind := string(k.Type())
		if k.Unit() != "" {
			kind += ", " + k.Unit()
		}
		usual := "none"
		if k.Default() != "" {
			usual = "`" + k.Default() + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", k.Name(), kind, k.Range(), usual, strings.Join(levels, ", "), k.Doc())
	}
	return b.String()
}

// TestKeysPage compares the table of keys on the page with the registry.
func TestKeysPage(t *testing.T) {
	const file = "../docs/SETTINGS.md"
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, ok := strings.Cut(string(page), "-update -->\n")
	old, tail, end := strings.Cut(rest, "\n<!-- end of keys -->")
	if !ok || !end {
		t.Fatalf("%s has no place for the keys", file)
	}
	if *update {
		out := head + "-update -->\n" + keysTable() + "\n<!-- end of keys -->" + tail
		if err := os.WriteFile(file, []byte(out), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(keysTable(), old); diff != "" {
		t.Errorf("the keys of %s are not those of the registry; write them by -update: %s", file, diff)
	}
}
