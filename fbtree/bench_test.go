package fbtree_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/filbertford/filbertford/fbtree"
)

// largeTreeText returns a tree of the size that the settings are designed for: 100
// teams with quotas, each with 20 services of 5 job kinds.
func largeTreeText() []byte {
	var b strings.Builder
	b.WriteString("[/]\nmax-tasks = 170\n")
	for team := range 100 {
		fmt.Fprintf(&b, "[/team-%d]\nquota = %d\nburst = 100\ncaller-keys = %s\n", team, 1000+team, fbtree.Hash(fmt.Sprint(team)))
		for service := range 20 {
			fmt.Fprintf(&b, "[/team-%d/service-%d]\nobjective-time = 2s\n", team, service)
			for kind := range 5 {
				fmt.Fprintf(&b, "[/team-%d/service-%d/kind-%d]\ntimeout = %ds\n", team, service, kind, kind+1)
			}
		}
	}
	return []byte(b.String())
}

func BenchmarkRules(b *testing.B) {
	tree, err := fbtree.Parse(largeTreeText())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := tree.Rules("team-57", "service-13", "kind-3"); !ok {
			b.Fatal("Rules: not found")
		}
	}
}

func BenchmarkParse(b *testing.B) {
	text := largeTreeText()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := fbtree.Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApply(b *testing.B) {
	tree, err := fbtree.Parse(largeTreeText())
	if err != nil {
		b.Fatal(err)
	}
	p, _ := fbtree.ParsePath("/team-57")
	change := fbtree.Set(p, fbtree.KeyQuota, "7")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := tree.Apply(change); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(fbtree.EncodeChanges([]fbtree.Change{change}))), "delta-bytes")
}

func BenchmarkEncode(b *testing.B) {
	tree, err := fbtree.Parse(largeTreeText())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		size = len(tree.Encode())
	}
	b.ReportMetric(float64(size), "text-bytes")
}

// BenchmarkSize reports the heap memory of one tree.
func BenchmarkSize(b *testing.B) {
	text := largeTreeText()
	for b.Loop() {
		before := heapInUse()
		tree, err := fbtree.Parse(text)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(heapInUse()-before), "heap-bytes")
		runtime.KeepAlive(tree)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
