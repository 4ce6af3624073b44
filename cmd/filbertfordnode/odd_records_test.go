package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestJobsCompleteBesideOddRecords guards against daemons that end, no longer follow the targets or
// don't take a pool over, since another writer has left odd rows among those that they read.
func TestJobsCompleteBesideOddRecords(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "nordnes", "nordnes")
	record := func(field, value string) []byte {
		whole := `{"service":"ordering","addr":"127.0.0.1:1","zone":"nordnes","state":"ready","capacity":{"cpu":4000,"memMb":64,"gpu":0},"labels":["a","r1"],"born":1,"seq":1}`
		return []byte(strings.Replace(whole, `"`+field+`":`, `"`+field+`":`+value+`,"other":`, 1))
	}
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	long := `"` + strings.Repeat("x", 40_000) + `"`
	rows := map[string][]byte{
		"odd-bytes": []byte("\x00\xff"), "odd-empty": {}, "odd-nested": []byte(nested), "odd-objects": []byte(strings.Repeat(`{"a":`, 8000)),
		"odd-port": record("addr", `"127.0.0.1:70000"`), "odd-address": record("addr", `"[::1"`), "odd-capacity": record("capacity", `{"cpu":9223372036854775807,"memMb":1}`),
		"odd-born": record("born", "9223372036854775807"), "odd-number": record("born", "99999999999999999999"), "odd-zone": record("zone", `"jobs/0"`), "odd-long": record("zone", long),
		"odd-service": record("service", `""`), "odd-field": record("seq", nested), "odd-valid": record("", ""), "odd-labels": record("labels", nested),
	}
	for key, value := range rows {
		f.store.Put("servers", "", key, value)
		f.store.Put("nodes", "", key, value)
		f.store.Put("op", "", key, value)
		f.store.Put("claims", "", key, value)
		for i := range 8 {
			f.store.Put("jobs", fmt.Sprintf("jobs/%d", i), key, value)
		}
	}
	f.store.Compact() // the daemons read the tables again
	var g errgroup.Group
	g.Go(func() error {
		for i, r := range f.submitAll(0, 100, jobBody(2, 60, true), f.nodes[2]) {
			if r.status != http.StatusOK || r.state != "completed" {
				t.Errorf("job %d: got reply %+v, want status 200 and state completed", i, r)
			}
		}
		return nil
	})
	time.Sleep(500 * time.Millisecond)
	f.kill(f.nodes[0])
	time.Sleep(300 * time.Millisecond)
	f.kill(f.nodes[1])
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	stored := jobKey(1000)
	f.waitFor("acceptance of a stored job", 10*time.Second, func() bool {
		r, err := f.call(f.nodes[2], http.MethodPost, stored, jobBody(2, 60, false))
		return err == nil && r.status == http.StatusOK
	})
	f.waitFor("end of the stored job", 20*time.Second, func() bool {
		r, err := f.call(f.nodes[2], http.MethodGet, stored, "")
		return err == nil && r.state == "completed"
	})
	f.checkNoOverlappingRuns()
	lines := 0
	for line := range strings.Lines(f.nodes[2].logs.String()) {
		if strings.Contains(line, "FE7016") && strings.Contains(line, "target=odd-port") {
			lines++
		}
		if len(line) > 2000 {
			t.Errorf("a log line has %d bytes: %.200s", len(line), line)
		}
	}
	if lines != 1 {
		t.Errorf("%d lines about the record with a port out of range, want 1", lines)
	}
}
