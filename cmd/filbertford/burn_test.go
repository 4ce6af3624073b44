package main_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// burnOutput is the part of the output of burn -json that the test checks.
type burnOutput struct {
	Reached []string
	Burn    struct {
		Services []struct {
			Team, Service, Kind, Verdict string
			Windows                      map[string]struct{ Good, Bad uint64 }
		}
	}
}

// TestBurnOfFailingTargets makes all targets fail and expects the verdict page,
// with each job counted once, whichever daemon received it. It submits jobs
// without a kind first: until the view of opaque keys is confirmed, daemons refuse
// deliveries, and these refusals count as bad.
func TestBurnOfFailingTargets(t *testing.T) {
	s := startSystem(t)
	const jobs = 10
	submit := func(name, kind string, code int) {
		for i := range jobs {
			s.command(t, code, "submit", "-endpoints", s.endpoints[i%2], "-run", "5ms", "-kind", kind, "-id", fmt.Sprintf("%s-%d", name, i))
		}
	}
	submit("first", "", 0)
	submit("good", "stock-check", 0)
	for i := range 4 {
		failAll(t, s.targetBase, i)
	}
	submit("bad", "stock-check", 2)
	var out burnOutput
	if err := json.Unmarshal([]byte(s.command(t, 7, "burn", "-operations", strings.Join(s.operations, ","), "-json")), &out); err != nil {
		t.Fatal(err)
	}
	if len(out.Reached) != 2 || len(out.Burn.Services) != 2 {
		t.Fatalf("got %+v, want two daemons and two services", out)
	}
	service := out.Burn.Services[1]
	if c := service.Windows["1h"]; service.Kind != "stock-check" || service.Verdict != "page" || c.Good != jobs || c.Bad != jobs {
		t.Errorf("got %+v, want stock-check with verdict page, %d good and %d bad", service, jobs, jobs)
	}
	checkBurnPage(t, s.operations[0])
}

// failAll makes the i-th stand-in target fail all tasks.
func failAll(t *testing.T, base string, i int) {
	t.Helper()
	host, port, err := net.SplitHostPort(base)
	if err != nil {
		t.Fatal(err)
	}
	firstPort, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	url := fmt.Sprintf("http://%s:%d/faults/target", host, firstPort+i)
	resp, err := http.Post(url, "application/json", strings.NewReader(`{"fail_all":true}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		t.Fatalf("%s answered %s", url, resp.Status)
	}
}

// checkBurnPage checks that the page of a daemon shows the verdict page.
func checkBurnPage(t *testing.T, operations string) {
	t.Helper()
	resp, err := http.Get(operations + "/burn")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	page, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(page), `<td class="page">page</td>`) {
		t.Errorf("burn page of %s lacks the verdict page: %v\n%.500s", operations, err, page)
	}
}
