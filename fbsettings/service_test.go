package fbsettings_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbpeer"
	"github.com/filbertford/filbertford/fbsettings"
	"github.com/filbertford/filbertford/fbtimer"
	"github.com/filbertford/filbertford/fbtree"
)

var errUnreachable = errors.New("unreached")

// testNetwork is a PeerClient that calls services directly, with a latency.
type testNetwork struct {
	mu       sync.Mutex
	services map[string]*fbsettings.Service
	pushes   int
	bytes    int
}

const latency = 1500 * time.Microsecond

func (n *testNetwork) lookUp(address string) (*fbsettings.Service, error) {
	time.Sleep(latency)
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.services[address]
	if !ok {
		return nil, errUnreachable
	}
	return s, nil
}

func (n *testNetwork) allServices() map[string]*fbsettings.Service {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.services)
}

func (n *testNetwork) PushSettings(ctx context.Context, address string, v fbpeer.Settings) (fbpeer.Settings, error) {
	s, err := n.lookUp(address)
	if err != nil {
		return fbpeer.Settings{}, err
	}
	n.mu.Lock()
	n.pushes++
	n.bytes += len(v.Body())
	n.mu.Unlock()
	return s.PushSettings(ctx, v)
}

func (n *testNetwork) PullSettings(ctx context.Context, address string, have uint64) (fbpeer.Settings, error) {
	s, err := n.lookUp(address)
	if err != nil {
		return fbpeer.Settings{}, err
	}
	return s.PullSettings(ctx, have)
}

// flakyPlatform is a fake platform with latency and failing reads.
type flakyPlatform struct {
	*fakePlatform
	mu         sync.Mutex
	random     *rand.Rand
	failOneInN int
}

// failOneIn makes each read fail with probability 1/n, or none if n is 0.
func (p *flakyPlatform) failOneIn(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failOneInN = n
}

func (p *flakyPlatform) Read(ctx context.Context, keys ...string) ([]filbertford.Row, error) {
	time.Sleep(latency)
	p.mu.Lock()
	fails := p.failOneInN > 0 && p.random.IntN(p.failOneInN) == 0
	p.mu.Unlock()
	if fails {
		return nil, filbertford.ErrUnavailable
	}
	return p.fakePlatform.Read(ctx, keys...)
}

// versionTime is a version and the time at which it was accepted or in force.
type versionTime struct {
	version uint64
	at      time.Time
}

// testFleet is the services of several daemons in a synctest bubble.
type testFleet struct {
	network  *testNetwork
	platform *flakyPlatform
	timer    *fbtimer.Service
	group    errgroup.Group
	ctx      context.Context
	cancel   func()

	mu      sync.Mutex
	applied map[string][]versionTime
}

func startFleet(t *testing.T, daemons int) *testFleet {
	f := &testFleet{
		network:  &testNetwork{services: make(map[string]*fbsettings.Service)},
		platform: &flakyPlatform{fakePlatform: newFakePlatform(), random: rand.New(rand.NewPCG(1, 2))},
		timer:    fbtimer.NewService(),
		applied:  make(map[string][]versionTime),
	}
	f.ctx, f.cancel = context.WithCancel(t.Context())
	f.group.Go(func() error { return f.timer.Run(f.ctx) })
	for i := range daemons {
		f.startService(fmt.Sprintf("10.0.0.%d:7101", i))
		time.Sleep(37 * time.Millisecond)
	}
	f.group.Go(f.sendHeartbeats)
	return f
}

func (f *testFleet) startService(address string) {
	store := fbsettings.NewStore(f.platform, f.platform, f.timer)
	s := fbsettings.NewService(address, store, f.network, f.timer, log.New(io.Discard), func(tree *fbtree.Tree) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.applied[address] = append(f.applied[address], versionTime{tree.Version(), time.Now()})
	})
	f.network.mu.Lock()
	f.network.services[address] = s
	f.network.mu.Unlock()
	f.group.Go(func() error { return s.Run(f.ctx) })
}

// sendHeartbeats passes the versions of all services to each service every half
// second.
func (f *testFleet) sendHeartbeats() error {
	ticks, stop := f.timer.Subscribe(500 * time.Millisecond)
	defer stop()
	for {
		select {
		case <-f.ctx.Done():
			return f.ctx.Err()
		case <-ticks:
		}
		services := f.network.allServices()
		var members []fbsettings.Member
		for address, s := range services {
			members = append(members, fbsettings.NewMember(address, s.Status().Version()))
		}
		for _, s := range services {
			_ = s.SetMembers(f.ctx, members)
		}
	}
}

func (f *testFleet) close() {
	f.cancel()
	_ = f.group.Wait()
}

// makeEdits commits n edits at random intervals and returns when each was accepted.
func (f *testFleet) makeEdits(t *testing.T, n int) []versionTime {
	store := fbsettings.NewStore(f.platform.fakePlatform, f.platform, f.timer)
	random := rand.New(rand.NewPCG(3, 4))
	var accepted []versionTime
	for i := range n {
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		head, err := store.Head(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		v := mustCommit(t, store, newEdit(t, head.Version(), "ada", "/depot", "quota", fmt.Sprint(i+1)))
		accepted = append(accepted, versionTime{v, time.Now()})
	}
	return accepted
}

// delays returns, sorted, the times from the acceptance of each version until this
// or a later version was in force at each daemon.
func (f *testFleet) delays(t *testing.T, accepted []versionTime) []time.Duration {
	var out []time.Duration
	for address, applied := range f.applied {
		next := 0
		for _, a := range accepted {
			for next < len(applied) && applied[next].version < a.version {
				next++
			}
			if next == len(applied) {
				t.Fatalf("%s did not get version %d", address, a.version)
			}
			out = append(out, max(0, applied[next].at.Sub(a.at)))
		}
		byVersion := func(a, b versionTime) int { return cmp.Compare(a.version, b.version) }
		if !slices.IsSortedFunc(applied, byVersion) {
			t.Errorf("%s reverted to an older version", address)
		}
	}
	slices.Sort(out)
	return out
}

// TestVersionsReachAllDaemonsWhileReadsFail makes edits while half of the daemons'
// reads fail, and checks that each version, or a later one, is in force at every
// daemon within maxApplyDelay.
func TestVersionsReachAllDaemonsWhileReadsFail(t *testing.T) {
	for _, daemons := range []int{3, 9, 27} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, daemons)
				defer f.close()
				time.Sleep(3 * time.Second)
				f.platform.failOneIn(2)
				synctest.Wait()
				before := f.network.pushes
				accepted := f.makeEdits(t, 200)
				time.Sleep(maxApplyDelay)
				synctest.Wait()
				d := f.delays(t, accepted)
				n := len(d)
				t.Logf("%d samples: p50 %v, p99 %v, max %v; %.1f pushes per version", n, d[n/2], d[n*99/100], d[n-1],
					float64(f.network.pushes-before)/float64(len(accepted)))
				if d[n-1] > maxApplyDelay {
					t.Errorf("version in force after %v, which exceeds maxApplyDelay", d[n-1])
				}
			})
		})
	}
}

// TestNewServiceGetsSettingsFromPeers starts a daemon while the platform is down: it
// gets the settings from its peers and reports that polls fail.
func TestNewServiceGetsSettingsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		defer f.close()
		time.Sleep(2 * time.Second)
		f.platform.failOneIn(1)
		f.startService("10.0.0.9:7101")
		time.Sleep(2 * time.Second)
		status := f.network.allServices()["10.0.0.9:7101"].Status()
		if status.Version() != 1 || status.Reason() == "" {
			t.Errorf("got status %+v, want version 1 and a reason", status)
		}
	})
}
