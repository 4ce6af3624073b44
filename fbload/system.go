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

// Parameters of the calibration of targets.
const (
	// probesPerTarget is the number of probes of each target. The fastest one is used.
	probesPerTarget = 3
	// probeRunTime is the run time of a probe on a target of factor 1.
	probeRunTime = 80 * time.Millisecond
	// factorStep is the step to which factors are rounded, so that repeated runs
	// draw the same workload.
	factorStep = 0.05
	// maxConcurrentProbes is the maximum number of concurrent probes. More would
	// slow each other down.
	maxConcurrentProbes = 4
	// probeTimeout is the timeout of a probe.
	probeTimeout = 10 * time.Second
)

// maxReplyBytes is the size of the largest reply that is read.
const maxReplyBytes = 256 << 20

// systemClient sends requests to the stand-ins of the platform and the targets,
// and to the daemons' operations listeners.
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

// target is a target that the platform lists.
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

// targets returns the live targets that the platform lists. It returns an error
// if there are none.
func (s *systemClient) targets(ctx context.Context) ([]target, error) {
	var list struct {
		VMs []vmJSON `json:"vms"`
	}
	if err := s.getJSON(ctx, s.platform+"/vms", &list); err != nil {
		return nil, err
	}
	var out []target
	for _, vm := range list.VMs {
		if vm.Role == "target" && vm.State == "live" && vm.Slots > 0 {
			out = append(out, target{id: vm.ID, address: vm.Address, slots: vm.Slots, services: vm.Services, factor: 1})
		}
	}
	if len(out) == 0 {
		return nil, eris.Errorf("platform at %s lists no live targets", s.platform)
	}
	return out, nil
}

// calibrate sets each target's factor, measured by direct calls, and returns the
// median round-trip time of a direct call without the run time.
func (s *systemClient) calibrate(ctx context.Context, targets []target) (time.Duration, error) {
	roundTrips := make([]time.Duration, len(targets))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentProbes)
	for i := range targets {
		g.Go(func() error {
			var err error
			targets[i].factor, roundTrips[i], err = s.probe(ctx, targets[i])
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return 0, err
	}
	slices.Sort(roundTrips)
	return roundTrips[len(roundTrips)/2], nil
}

// probe returns a target's factor and the round-trip time of the fastest probe
// without the run time.
func (s *systemClient) probe(ctx context.Context, t target) (float64, time.Duration, error) {
	minRunTime, roundTrip := time.Duration(math.MaxInt64), time.Duration(0)
	for i := range probesPerTarget {
		body := fmt.Sprintf(`{"id":"probe-%s-%d-%d","owner":"probe","service":%q,"args":{"run_ms":%d},"lease_ms":%d}`,
			t.id, i, time.Now().UnixNano(), firstOr(t.services, "probe"), probeRunTime.Milliseconds(), probeTimeout.Milliseconds())
		startedAt := time.Now()
		var reply struct {
			Status string `json:"status"`
			RanUS  int64  `json:"ran_us"`
		}
		if err := s.postJSON(ctx, "http://"+t.address+"/v1/start", []byte(body), &reply); err != nil {
			return 0, 0, err
		}
		if reply.Status != "done" || reply.RanUS <= 0 {
			return 0, 0, eris.Errorf("probe of target %s ended with status %q; the target must be idle and free of injected faults", t.id, reply.Status)
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

// counters holds the number of messages by counter name.
type counters map[string]float64

// sub returns the differences between c and the earlier counters.
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

// targetCounts returns the sums of all targets' counters, and the number of
// starts by work ID.
func (s *systemClient) targetCounts(ctx context.Context, targets []target) (counters, map[string]int, error) {
	sum, startsByWork := make(counters), make(map[string]int)
	for _, t := range targets {
		var c targetCounters
		if err := s.getJSON(ctx, "http://"+t.address+"/counters", &c); err != nil {
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

// daemonCounts returns the sums of all daemons' counters.
func (s *systemClient) daemonCounts(ctx context.Context) (counters, error) {
	sum := make(counters)
	for _, base := range s.operations {
		var fields map[string]any
		if err := s.getJSON(ctx, base+"/metrics.json", &fields); err != nil {
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

// platformCounter is the name of the counter of all requests to the platform.
const platformCounter = "platform"

// addPlatformCounts adds the number of requests to the platform to c.
func (s *systemClient) addPlatformCounts(ctx context.Context, c counters) error {
	var fields map[string]float64
	if err := s.getJSON(ctx, s.platform+"/counters", &fields); err != nil {
		return err
	}
	for _, n := range fields {
		c[platformCounter] += n
	}
	return nil
}

// applyAction applies an action to the platform or to some of the targets. It
// returns "platform" or the IDs of these targets, and nothing for an action that
// concerns neither.
func (s *systemClient) applyAction(ctx context.Context, a ScheduledAction, targets []target) ([]string, error) {
	if body, ok := a.platformFaultsBody(); ok {
		return []string{"platform"}, s.postJSON(ctx, s.platform+"/faults/platform", body, nil)
	}
	body, ok := a.targetFaultsBody()
	if !ok {
		return nil, nil
	}
	var applied []string
	for _, t := range affectedTargets(a, targets) {
		if err := s.postJSON(ctx, "http://"+t.address+"/faults/target", body, nil); err != nil {
			return applied, err
		}
		applied = append(applied, t.id)
	}
	return applied, nil
}

// affectedTargets returns the targets that an action is applied to: all for
// ActionHeal, otherwise the share that the action's value gives. The choice is
// deterministic and spread evenly over the targets in the order of their factors.
func affectedTargets(scheduled ScheduledAction, targets []target) []target {
	if scheduled.action == ActionHeal {
		return targets
	}
	sorted := slices.SortedStableFunc(slices.Values(targets), func(a, b target) int { return cmp.Compare(a.factor, b.factor) })
	n := int(math.Ceil(scheduled.value * float64(len(sorted))))
	out := make([]target, 0, n)
	for i := range n {
		out = append(out, sorted[(2*i+1)*len(sorted)/(2*n)])
	}
	return out
}

func (s *systemClient) getJSON(ctx context.Context, url string, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	return s.doJSON(req, dst)
}

func (s *systemClient) postJSON(ctx context.Context, url string, body []byte, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	req.Header.Set("Content-Type", "application/json")
	return s.doJSON(req, dst)
}

func (s *systemClient) doJSON(req *http.Request, dst any) error {
	resp, err := s.http.Do(req)
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
