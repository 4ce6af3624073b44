package fbsoak

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbstandin"
)

// TestPlanIsDeterministicForSeed checks that a seed always gives the same plan, with
// its faults in order and in range.
func TestPlanIsDeterministicForSeed(t *testing.T) {
	for name, seed := range map[string]uint64{"small": 1, "large": 1 << 40} {
		t.Run(name, func(t *testing.T) {
			first, again := Plan(seed, 20*time.Second, 6, 9), Plan(seed, 20*time.Second, 6, 9)
			if diff := cmp.Diff(first, again); diff != "" {
				t.Errorf("plans of the same seed differ (-first +second):\n%s", diff)
			}
			for i, f := range first {
				if i > 0 && f.At < first[i-1].At || f.Index < 0 || f.Index >= 9 || f.Duration < 0 {
					t.Errorf("fault %d is out of order or range: %v", i, f)
				}
			}
		})
	}
}

// TestRollingPlanRestartsAllDaemons checks that planned restarts reach all daemons equally
// often and never begin two at a time.
func TestRollingPlanRestartsAllDaemons(t *testing.T) {
	const nodes = 4
	restarts := make([]int, nodes)
	var last time.Duration
	for i, f := range RollingPlan(time.Second+3*nodes*rollingInterval, nodes) {
		if f.Kind != FaultStop || i > 0 && f.At-last < rollingInterval {
			t.Errorf("fault %d is %v after %v", i, f, last)
		}
		last = f.At
		restarts[f.Index]++
	}
	if diff := cmp.Diff([]int{3, 3, 3, 3}, restarts); diff != "" {
		t.Errorf("restarts by daemon (-want +got):\n%s", diff)
	}
}

// TestPlansOfEarlierSeedsStay checks that the plans of the seeds that have failed, and of the
// last seed without laterKinds, stay as they were when laterKinds were added.
func TestPlansOfEarlierSeedsStay(t *testing.T) {
	for seed, want := range map[uint64]string{1: "335abe2102fd8db1", 7: "dc6714bc7f4fd033", 20: "e361b867b9c92743", 302: "9a45ba5d98e055bd", 403: "3f7bbf4add141930", 605: "3da6c3127d8c8abe", firstSeedOfLaterKinds - 1: "5fe5b95d7f932946"} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			plan := fmt.Sprintf("%+v", Plan(seed, 15*time.Second, 6, 9))
			if got := fmt.Sprintf("%x", sha256.Sum256([]byte(plan)))[:16]; got != want {
				t.Errorf("digest of the plan: got %s, want %s", got, want)
			}
		})
	}
}

// TestRoutesAreWrittenInOrder checks that the store has the latest version of the routes
// after writes at the same time.
func TestRoutesAreWrittenInOrder(t *testing.T) {
	s := &Soak{store: fbstandin.NewRowStore()}
	var writes errgroup.Group
	for range 200 {
		writes.Go(s.putRoutes)
	}
	if err := writes.Wait(); err != nil {
		t.Fatal(err)
	}
	reply := httptest.NewRecorder()
	s.store.Handler().ServeHTTP(reply, httptest.NewRequest(http.MethodGet, "/-/rows-get?table=op", nil))
	var page struct {
		Rows []struct{ Value []byte }
	}
	var routes struct{ Version uint64 }
	if err := json.Unmarshal(reply.Body.Bytes(), &page); err != nil || len(page.Rows) != 1 {
		t.Fatalf("got %s, error %v, want one row", reply.Body, err)
	}
	if err := json.Unmarshal(page.Rows[0].Value, &routes); err != nil {
		t.Fatal(err)
	}
	if routes.Version != s.version {
		t.Errorf("the store has version %d, want %d", routes.Version, s.version)
	}
}
