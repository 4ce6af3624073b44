package fbload

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbbound"
)

// Calibration of targets.
const (
	// probesPerTarget is how often each target is probed; the fastest counts.
	probesPerTarget = 3
	// probeRunTime is the run time of a probe on a target of factor 1.
	probeRunTime = 80 * time.Millisecond
	// factorStep is what factors are rounded to, so that repeated runs draw the
	// same workload.
	factorStep = 0.05
	// maxConcurrentProbes bounds the probes that run at once, so that they don't
	// disturb each other.
	maxConcurrentProbes = 4
	// probeTimeout bounds a probe.
	probeTimeout = 10 * time.Second
)

// maxReplyBytes is the size in bytes of the largest reply of a stand-in.
const maxReplyBytes = 256 << 20

// systemClient is the stand-ins and the daemons' operations listeners, as the load
// tool talks to them.
type systemClient struct {
	http       *http.Client
	platform   string
	operations []string
}

func newSystemClient(platform string, operations []string) *systemClient {
	return &systemClient{
		http:       &http.Client{Timeout: probeTimeout},
		platform:   platform,
		operations: operations,
	}
}

// target is a target of the platform's list.
type target struct {
	id       string
	address  string
	slots    int
	services []string
	factor   float64
}

func (t target) toBound() fbbound.Target {
	return fbbound.NewTarget(t.factor, t.slots, t.services...)
}

type vmJSON struct {
	ID       string   `json:"id"`
	Role     string   `json:"role"`
	State    string   `json:"state"`
	Address  string   `json:"address"`
	Slots    int      `json:"slots"`
	Services []string `json:"services"`
}

// targets returns the live targets of the platform's list.
func (b *systemClient) targets(ctx context.Context) ([]target, error) {
	var list struct {
		VMs []vmJSON `json:"vms"`
	}
	if err := b.getJSON(ctx, b.platform+"/vms", &list); err != nil {
		return nil, err
	}
	var out []target
	for _, vm := range list.VMs {
		if vm.Role == "target" && vm.State == "live" && vm.Slots > 0 {
			out = append(out, target{id: vm.ID, address: vm.Address, slots: vm.Slots, services: vm.Services, factor: 1})
		}
	}
	if len(out) == 0 {
		return nil, eris.Errorf("the platform at %s lists no live target", b.platform)
	}
	return out, nil
}

// calibrate measures each target's factor by direct calls, and returns the
// median round trip of a direct call beside the run time.
func (b *systemClient) calibrate(ctx context.Context, targets []target) (time.Duration, error) {
	roundTrips := make([]time.Duration, len(targets))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentProbes)
	for i := range targets {
		g.Go(func() error {
			var err error
			targets[i].factor, roundTrips[i], err = b.probe(ctx, targets[i])
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return 0, err
	}
	slices.Sort(roundTrips)
	return roundTrips[len(roundTrips)/2], nil
}

// probe returns a target's factor and the round trip of the fastest probe.
func (b *systemClient) probe(ctx context.Context, t target) (float64, time.Duration, error) {
	minRunTime, roundTrip := time.Duration(math.MaxInt64), time.Duration(0)
	for i := range probesPerTarget {
		body := fmt.Sprintf(`{"id":"probe-%s-%d-%d","owner":"probe","service":%q,"args":{"run_ms":%d},"lease_ms":%d}`,
			t.id, i, time.Now().UnixNano(), firstOr(t.services, "probe"), probeRunTime.Milliseconds(), probeTimeout.Milliseconds())
		startedAt := time.Now()
		var reply struct {
			Status string `json:"status"`
			RanUS  int64  `json:"ran_us"`
		}
		if err := b.postJSON(ctx, "http://"+t.address+"/v1/start", []byte(body), &reply); err != nil {
			return 0, 0, err
		}
		if reply.Status != "done" || reply.RanUS <= 0 {
			return 0, 0, eris.Errorf("probe of target %s ended %q; is it idle and sound?", t.id, reply.Status)
		}
		runTime := time.Duration(reply.RanUS) * time.Microsecond
		if runTime < minRunTime {
			minRunTime, roundTrip = runTime, time.Since(startedAt)-runTime
		}
	}
	steps := math.Round(float64(minRunTime) / float64(probeRunTime) / factorStep)
	return max(steps, 1) * factorStep, roundTrip, nil
}

func firstOr(list []string, fallback string) string {
	if len(list) > 0 {
		return list[0]
	}
	return fallback
}

// counters are named counts of messages.
type counters map[string]float64

// sub returns what was counted since the earlier counters.
func (c counters) sub(earlier counters) counters {
	out := make(counters, len(c))
	for name, n := range c {
		out[name] = n - earlier[name]
	}
	return out
}

type targetCounters struct {
	Starts       float64        `json:"starts"`
	Repeats      float64        `json:"repeats"`
	Refusals     float64        `json:"refusals"`
	Stops        float64        `json:"stops"`
	Renewals     float64        `json:"renewals"`
	StartsByWork map[string]int `json:"works"`
}

// targetCounts returns the counters of all targets together, and how often each
// work was started.
func (b *systemClient) targetCounts(ctx context.Context, targets []target) (counters, map[string]int, error) {
	sum, startsByWork := make(counters), make(map[string]int)
	for _, t := range targets {
		var c targetCounters
		if err := b.getJSON(ctx, "http://"+t.address+"/counters", &c); err != nil {
			return nil, nil, err
		}
		sum["starts"] += c.Starts
		sum["repeats"] += c.Repeats
		sum["refusals"] += c.Refusals
		sum["stops"] += c.Stops
		sum["renewals"] += c.Renewals
		for work, n := range c.StartsByWork {
			startsByWork[work] += n
		}
	}
	return sum, startsByWork, nil
}

// daemonCounts returns the counters of all daemons together.
func (b *systemClient) daemonCounts(ctx context.Context) (counters, error) {
	sum := make(counters)
	for _, base := range b.operations {
		var fields map[string]any
		if err := b.getJSON(ctx, base+"/metrics.json", &fields); err != nil {
			return nil, err
		}
		for name, v := range fields {
			if n, ok := v.(float64); ok {
				sum[name] += n
			}
		}
	}
	return sum, nil
}

// platformCounter is the name of the counter of requests to the platform.
const platformCounter = "platform"

// addPlatformCounts adds the platform's count of requests.
func (b *systemClient) addPlatformCounts(ctx context.Context, c counters) error {
	var fields map[string]float64
	if err := b.getJSON(ctx, b.platform+"/counters", &fields); err != nil {
		return err
	}
	for _, n := range fields {
		c[platformCounter] += n
	}
	return nil
}

// applyAction applies a moment to the platform or to some of the targets, and
// returns what it was applied to.
func (b *systemClient) applyAction(ctx context.Context, m ScheduledAction, targets []target) ([]string, error) {
	if body, ok := m.platformFaultsBody(); ok {
		return []string{"platform"}, b.postJSON(ctx, b.platform+"/faults/platform", body, nil)
	}
	body, ok := m.targetFaultsBody()
	if !ok {
		return nil, nil
	}
	var applied []string
	for _, t := range affectedTargets(m, targets) {
		if err := b.postJSON(ctx, "http://"+t.address+"/faults/target", body, nil); err != nil {
			return applied, err
		}
		applied = append(applied, t.id)
	}
	return applied, nil
}

// affectedTargets returns the targets that a moment hits: every one for a heal, else
// the given share of them, the same ones each time, spread over the speeds.
func affectedTargets(m ScheduledAction, targets []target) []target {
	if m.action == ActionHeal {
		return targets
	}
	sorted := slices.SortedStableFunc(slices.Values(targets), func(a, b target) int { return cmp.Compare(a.factor, b.factor) })
	n := int(math.Ceil(m.value * float64(len(sorted))))
	out := make([]target, 0, n)
	for i := range n {
		out = append(out, sorted[(2*i+1)*len(sorted)/(2*n)])
	}
	return out
}

func (b *systemClient) getJSON(ctx context.Context, url string, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "make a request")
	}
	return b.doJSON(req, dst)
}

func (b *systemClient) postJSON(ctx context.Context, url string, body []byte, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "make a request")
	}
	req.Header.Set("Content-Type", "application/json")
	return b.doJSON(req, dst)
}

func (b *systemClient) doJSON(req *http.Request, dst any) error {
	resp, err := b.http.Do(req)
	if err != nil {
		return eris.Wrapf(err, "%s %s", req.Method, req.URL)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return eris.Errorf("%s %s: status %d", req.Method, req.URL, resp.StatusCode)
	}
	if dst == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReplyBytes))
		return eris.Wrapf(err, "%s %s", req.Method, req.URL)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(dst)
	return eris.Wrapf(err, "%s %s", req.Method, req.URL)
}
