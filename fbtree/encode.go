package fbtree

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Encode returns the tree as INI text in canonical form: equal trees have equal
// texts. Parse reads the text.
func (t *Tree) Encode() []byte {
	var b strings.Builder
	for i, p := range t.Paths() {
		if i > 0 {
			b.WriteByte('\n')
		}
		t.encodeNode(&b, p)
	}
	return []byte(b.String())
}

// EncodeSubtree returns the nodes at and below p as INI text.
func (t *Tree) EncodeSubtree(p Path) []byte {
	var b strings.Builder
	for _, q := range t.Paths() {
		if !p.Contains(q) {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('\n')
		}
		t.encodeNode(&b, q)
	}
	return []byte(b.String())
}

func (t *Tree) encodeNode(b *strings.Builder, p Path) {
	fmt.Fprintf(b, "[%s]\n", p)
	n := t.nodes[p]
	for _, key := range slices.Sorted(maps.Keys(n)) {
		fmt.Fprintf(b, "%s = %s\n", key, n[key].text)
	}
}
