package fbcore_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the randomised tests a fixed seed unless one is set, so that every
// run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}
