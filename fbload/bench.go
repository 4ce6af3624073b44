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
	// probes is how often each target is probed; the fastest counts.
	probes = 3
	// probeRun is the run time of a probe on a target of factor 1.
	probeRun = 80 * time.Millisecond
	// factorStep is what factors are rounded to, so that repeated runs draw the
	// same workload.
	factorStep = 0.05
	// probesAtOnce bounds the probes that run at once, so that they don't
	// disturb each other.
	probesAtOnce = 4
	// probeTimeout bounds a probe.
	probeTimeout = 10 * time.Second
)

// maxReply is the size in bytes of the largest reply of a stand-in.
const maxReply = 256 << 20

// bench is the stand-ins and the daemons' operations listeners, as the load
// tool talks to them.
type bench struct {
	http       *http.Client
	platform   string
	operations []string
}

func newBench(platform string, operations []string) *bench {
	return &bench{
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

func (t target) bound() fbbound.Target {
	return fbbound.NewTarget(t.factor, t.slots, t.services...)
}

type wireVM struct {
	ID       string   `json:"id"`
	Role     string   `json:"role"`
	State    string   `json:"state"`
	Address  string   `json:"address"`
	Slots    int      `json:"slots"`
	Services []string `json:"services"`
}

// targets returns the live targets of the platform's list.
func (b *bench) targets(ctx context.Context) ([]target, error) {
	var list struct {
		VMs []wireVM `json:"vms"`
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
func (b *bench) calibrate(ctx context.Context, targets []target) (time.Duration, error) {
	trips := make([]time.Duration, len(targets))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(probesAtOnce)
	for i := range targets {
		g.Go(func() error {
			var err error
			targets[i].factor, trips[i], err = b.probe(ctx, targets[i])
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return 0, err
	}
	slices.Sort(trips)
	return trips[len(trips)/2], nil
}

// probe returns a target's factor and the round trip of the fastest probe.
func (b *bench) probe(ctx context.Context, t target) (float64, time.Duration, error) {
	least, trip := time.Duration(math.MaxInt64), time.Duration(0)
	for i := range probes {
		body := fmt.Sprintf(`{"id":"probe-%s-%d-%d","owner":"probe","service":%q,"args":{"run_ms":%d},"lease_ms":%d}`,
			t.id, i, time.Now().UnixNano(), firstOr(t.services, "probe"), probeRun.Milliseconds(), probeTimeout.Milliseconds())
		begun := time.Now()
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
		ran := time.Duration(reply.RanUS) * time.Microsecond
		if ran < least {
			least, trip = ran, time.Since(begun)-ran
		}
	}
	steps := math.Round(float64(least) / float64(probeRun) / factorStep)
	return max(steps, 1) * factorStep, trip, nil
}

func firstOr(list []string, otherwise string) string {
	if len(list) > 0 {
		return list[0]
	}
	return otherwise
}

// counters are named counts of messages.
type counters map[string]float64

// minus returns what was counted since the earlier counters.
func (c counters) minus(earlier counters) counters {
	out := make(counters, len(c))
	for name, n := range c {
		out[name] = n - earlier[name]
	}
	return out
}

type targetCounters struct {
	Starts   float64        `json:"starts"`
	Repeats  float64        `json:"repeats"`
	Refusals float64        `json:"refusals"`
	Stops    float64        `json:"stops"`
	Renewals float64        `json:"renewals"`
	Works    map[string]int `json:"works"`
}

// targetCounts returns the counters of all targets together, and how often each
// work was started.
func (b *bench) targetCounts(ctx context.Context, targets []target) (counters, map[string]int, error) {
	sum, works := make(counters), make(map[string]int)
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
		for work, n := range c.Works {
			works[work] += n
		}
	}
	return sum, works, nil
}

// daemonCounts returns the counters of all daemons together.
func (b *bench) daemonCounts(ctx context.Context) (counters, error) {
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

// platformCounts adds the platform's count of requests.
func (b *bench) platformCounts(ctx context.Context, c counters) error {
	var fields map[string]float64
	if err := b.getJSON(ctx, b.platform+"/counters", &fields); err != nil {
		return err
	}
	for _, n := range fields {
		c[platformCounter] += n
	}
	return nil
}

// switchFault applies a moment to the platform or to some of the targets, and
// returns what it was applied to.
func (b *bench) switchFault(ctx context.Context, m Moment, targets []target) ([]string, error) {
	if body, ok := m.platformBody(); ok {
		return []string{"platform"}, b.postJSON(ctx, b.platform+"/faults/platform", body, nil)
	}
	body, ok := m.targetBody()
	if !ok {
		return nil, nil
	}
	var hit []string
	for _, t := range struck(m, targets) {
		if err := b.postJSON(ctx, "http://"+t.address+"/faults/target", body, nil); err != nil {
			return hit, err
		}
		hit = append(hit, t.id)
	}
	return hit, nil
}

// struck returns the targets that a moment hits: every one for a heal, else
// the given share of them, the same ones each time, spread over the speeds.
func struck(m Moment, targets []target) []target {
	if m.act == ActHeal {
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

func (b *bench) getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "make a request")
	}
	return b.doJSON(req, into)
}

func (b *bench) postJSON(ctx context.Context, url string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "make a request")
	}
	req.Header.Set("Content-Type", "application/json")
	return b.doJSON(req, into)
}

func (b *bench) doJSON(req *http.Request, into any) error {
	resp, err := b.http.Do(req)
	if err != nil {
		return eris.Wrapf(err, "%s %s", req.Method, req.URL)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return eris.Errorf("%s %s: status %d", req.Method, req.URL, resp.StatusCode)
	}
	if into == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReply))
		return eris.Wrapf(err, "%s %s", req.Method, req.URL)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(into)
	return eris.Wrapf(err, "%s %s", req.Method, req.URL)
}
