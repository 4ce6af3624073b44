package fbsettings_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbplatform"
	"github.com/filbertford/filbertford/fbsettings"
	"github.com/filbertford/filbertford/fbtimer"
	"github.com/filbertford/filbertford/fbtree"
)

const (
	// racers is the number of operators who make edits at the same time.
	racers = 4
	// lookPeriod is the time between two looks at a daemon's version.
	lookPeriod = 20 * time.Millisecond
	// warmUp is the time that daemons get to find their turns of polling.
	warmUp = 3 * time.Second
)

// BenchmarkFleet measures the time from the acceptance of a setting until it is
// in force at each of the project's own daemons, over b.N edits of racing
// operators. Run it with a number of edits:
//
//	go test ./fbsettings -run xxx -bench Fleet -benchtime 1000x
func BenchmarkFleet(b *testing.B) {
	dir := b.TempDir()
	build := exec.Command("go", "build", "-o", dir, "../cmd/filbertfordd", "../cmd/fbstandin")
	if out, err := build.CombinedOutput(); err != nil {
		b.Fatalf("%s: %v", out, err)
	}
	for _, bench := range []struct {
		daemons int
		polls   string
	}{{3, "good"}, {9, "good"}, {9, "half"}, {18, "good"}} {
		b.Run(fmt.Sprintf("daemons=%d/polls=%s", bench.daemons, bench.polls), func(b *testing.B) {
			f := startProcesses(b, dir, bench.daemons, bench.polls == "half")
			f.measure(b)
		})
	}
}

// processes is a fleet of the project's own programs.
type processes struct {
	platform   string
	operations []string

	mu       sync.Mutex
	accepted []arrival
	seen     map[string][]arrival
}

// startProcesses starts stand-ins and daemons. The daemons reach the platform
// through a proxy that may fail half of the reads of the table service.
func startProcesses(b *testing.B, dir string, daemons int, half bool) *processes {
	b.Helper()
	addresses := freeAddresses(b, 2+3*daemons)
	f := &processes{platform: addresses[0], seen: make(map[string][]arrival)}
	callers, peers := addresses[2:2+daemons], addresses[2+daemons:2+2*daemons]
	f.operations = addresses[2+2*daemons:]
	startProgram(b, dir, "fbstandin", "-platform", f.platform, "-target-base", addresses[1], "-targets", "1",
		"-centres", "nordnes", "-entries", "nordnes="+strings.Join(peers, ",nordnes="), "-vm-lag", "50ms")
	proxy := proxyTo(b, f.platform, half)
	for i := range daemons {
		startProgram(b, dir, "filbertfordd",
			"-set", "daemon.vm=entry-"+fmt.Sprint(i), "-set", "daemon.data-centre=nordnes", "-set", "daemon.platform="+proxy,
			"-set", "daemon.callers="+callers[i], "-set", "daemon.peers="+peers[i],
			"-set", "daemon.operations="+f.operations[i], "-set", "stop.grace=0s")
	}
	for _, o := range f.operations {
		for deadline := time.Now().Add(time.Minute); versionAt(o) == 0 || peersOf(o) < daemons-1; time.Sleep(lookPeriod) {
			if time.Now().After(deadline) {
				b.Fatalf("%s has version %d and %d peers", o, versionAt(o), peersOf(o))
			}
		}
	}
	return f
}

// startProgram starts a program that is killed at the end of the benchmark.
func startProgram(b *testing.B, dir, name string, args ...string) {
	b.Helper()
	cmd := exec.Command(filepath.Join(dir, name), args...)
	logFile, err := os.Create(filepath.Join(b.TempDir(), name+".log"))
	if err != nil {
		b.Fatal(err)
	}
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if b.Failed() {
			text, _ := os.ReadFile(logFile.Name())
			b.Logf("%s:\n%.2000s", name, text)
		}
	})
}

// freeAddresses returns n addresses at which nothing listens. They are found
// together, so that they differ.
func freeAddresses(b *testing.B, n int) []string {
	b.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out
}

// proxyTo returns the address of a proxy in front of the platform.
func proxyTo(b *testing.B, platform string, half bool) string {
	b.Helper()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: platform})
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if half && r.URL.Path == "/table/read" && rand.IntN(2) == 0 {
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(w, r)
	}))
	b.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// versionAt returns the version in force at a daemon, 0 if it does not tell.
func versionAt(operations string) uint64 {
	var reply struct{ Version uint64 }
	if ask(operations, "/v1/settings", &reply) != nil {
		return 0
	}
	return reply.Version
}

// peersOf returns how many live peers a daemon knows.
func peersOf(operations string) int {
	var vms []struct{ State string }
	if ask(operations, "/v1/vms", &vms) != nil {
		return 0
	}
	live := 0
	for _, vm := range vms {
		if vm.State == "live" {
			live++
		}
	}
	return live
}

// ask reads the JSON that an operations listener holds at a path.
func ask(operations, path string, into any) error {
	resp, err := http.Get("http://" + operations + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(into)
}

func (f *processes) measure(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	var lookers, operators errgroup.Group
	for _, o := range f.operations {
		lookers.Go(func() error { return f.look(ctx, o) })
	}
	conflicts := make([]int, racers)
	time.Sleep(warmUp)
	b.ResetTimer()
	for i := range racers {
		operators.Go(func() error { return f.race(ctx, i, b.N/racers, &conflicts[i]) })
	}
	if err := operators.Wait(); err != nil {
		b.Error(err)
	}
	b.StopTimer()
	time.Sleep(inForceWithin)
	cancel()
	_ = lookers.Wait()
	f.report(b, conflicts)
}

// look notes the versions that a daemon tells.
func (f *processes) look(ctx context.Context, operations string) error {
	for last := uint64(0); ctx.Err() == nil; time.Sleep(lookPeriod) {
		v := versionAt(operations)
		if v == 0 || v == last {
			continue
		}
		f.mu.Lock()
		f.seen[operations] = append(f.seen[operations], arrival{v, time.Now()})
		f.mu.Unlock()
		last = v
	}
	return nil
}

// race makes n edits, some of them of a setting that all operators change.
func (f *processes) race(ctx context.Context, number, n int, conflicts *int) error {
	client := fbplatform.NewClient(f.platform, 2*time.Second)
	defer client.Close()
	store := fbsettings.NewStore(client, client, fbtimer.NewService())
	who := fmt.Sprintf("operator-%d", number)
	for i := range n {
		path := rand.N(2)
		p, _ := fbtree.ParsePath([]string{"/depot", "/atlas"}[path])
		head, err := store.Head(ctx)
		if err != nil {
			return err
		}
		time.Sleep(rand.N(60 * time.Millisecond))
		change := fbtree.Set(p, fbtree.KeyQuota, fmt.Sprint(1000*number+i))
		receipt, err := store.Commit(ctx, fbsettings.NewEdit(fbsettings.NewRequest(head.Version()), who, time.Now(), change))
		var conflict *fbsettings.ConflictError
		switch {
		case errors.As(err, &conflict):
			*conflicts++
		case err != nil:
			return err
		case receipt.Changed():
			f.mu.Lock()
			f.accepted = append(f.accepted, arrival{receipt.Version(), time.Now()})
			f.mu.Unlock()
		}
	}
	return nil
}

func (f *processes) report(b *testing.B, conflicts []int) {
	var delays []time.Duration
	for o, seen := range f.seen {
		for i := range seen[1:] {
			if seen[i+1].version < seen[i].version {
				b.Errorf("%s went back from %d to %d", o, seen[i].version, seen[i+1].version)
			}
		}
		for _, a := range f.accepted {
			i := slices.IndexFunc(seen, func(s arrival) bool { return s.version >= a.version })
			if i < 0 {
				b.Fatalf("%s has not got version %d", o, a.version)
			}
			delays = append(delays, max(0, seen[i].at.Sub(a.at)))
		}
	}
	if len(delays) == 0 {
		return
	}
	slices.Sort(delays)
	ms := func(share float64) float64 {
		return float64(delays[int(share*float64(len(delays)-1))].Microseconds()) / 1000
	}
	lost := 0
	for _, n := range conflicts {
		lost += n
	}
	b.ReportMetric(ms(0.5), "p50-ms")
	b.ReportMetric(ms(0.99), "p99-ms")
	b.ReportMetric(ms(1), "max-ms")
	b.ReportMetric(float64(len(f.accepted)), "accepted")
	b.ReportMetric(float64(lost), "conflicts")
	if delays[len(delays)-1] > inForceWithin {
		b.Errorf("%v until a version was in force", delays[len(delays)-1])
	}
}
