package fbview_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the randomised tests unless one is given, so
// that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}
