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

// keysTable returns the table of keys in the format of docs/SETTINGS.md.
func keysTable() string {
	var b strings.Builder
	b.WriteString("\n| key | type | range | default | levels | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, k := range fbtree.Keys() {
		var levels []string
		for _, l := range k.Levels() {
			levels = append(levels, string(l))
		}
		typeText := string(k.Type())
		if k.Unit() != "" {
			typeText += ", " + k.Unit()
		}
		defaultValue := "none"
		if k.Default() != "" {
			defaultValue = "`" + k.Default() + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", k.Name(), typeText, k.Range(), defaultValue, strings.Join(levels, ", "), k.Doc())
	}
	return b.String()
}

// TestSettingsPageListsAllKeys compares the table of keys in docs/SETTINGS.md with
// Keys.
func TestSettingsPageListsAllKeys(t *testing.T) {
	const file = "../docs/SETTINGS.md"
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, ok := strings.Cut(string(page), "-update -->\n")
	old, tail, hasEnd := strings.Cut(rest, "\n<!-- end of keys -->")
	if !ok || !hasEnd {
		t.Fatalf("%s: markers of the table of keys not found", file)
	}
	if *update {
		out := head + "-update -->\n" + keysTable() + "\n<!-- end of keys -->" + tail
		if err := os.WriteFile(file, []byte(out), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(keysTable(), old); diff != "" {
		t.Errorf("table of keys in %s is out of date; rewrite it with -update: %s", file, diff)
	}
}
