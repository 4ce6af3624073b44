package fbsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of faults. Faults of links, the store and targets end after their
// duration; daemons that were killed or stopped are started again.
const (
	FaultKill        FaultKind = "kill"
	FaultKillAll     FaultKind = "kill-all"
	FaultStop        FaultKind = "stop"
	FaultPause       FaultKind = "pause"
	FaultReload      FaultKind = "reload"
	FaultPeers       FaultKind = "peers"       // the link to a daemon's listener for other daemons
	FaultStoreLink   FaultKind = "store-link"  // a daemon's link to the store
	FaultTargetLink  FaultKind = "target-link" // the link to a target
	FaultStoreBusy   FaultKind = "store-busy"
	FaultStoreSilent FaultKind = "store-silent"
	FaultStoreSlow   FaultKind = "store-slow"
	FaultStoreLoses  FaultKind = "store-loses"
	FaultCompact     FaultKind = "compact"
	FaultTargetFails FaultKind = "target-fails"
	FaultTargetHangs FaultKind = "target-hangs"
	FaultTargetLoses FaultKind = "target-loses"
	FaultTargetLate  FaultKind = "target-late"
	FaultRoutes      FaultKind = "routes" // a new version of the routes

	FaultTargetRestarts FaultKind = "target-restarts" // a target crashes and starts again under its ID
	FaultTargetReplaced FaultKind = "target-replaced" // it starts under another ID at its address
	FaultTargetSlow     FaultKind = "target-slow"
	FaultTargetsLate    FaultKind = "targets-late" // many calls to all targets are carried out late
	FaultCallers        FaultKind = "callers"      // the connections of callers to a daemon are reset

	FaultEvacuation FaultKind = "evacuation" // the data centre of a daemon is evacuated
)

// firstSeedOfLaterKinds is the first seed whose plans have laterKinds too. Those of lower
// seeds stay as they were.
const firstSeedOfLaterKinds = 10_000

// laterKinds are the kinds of faults that were added last.
var laterKinds = []FaultKind{
	FaultTargetRestarts, FaultTargetRestarts, FaultTargetReplaced, FaultTargetReplaced, FaultTargetSlow,
	FaultTargetsLate, FaultTargetsLate, FaultTargetsLate, FaultCallers, FaultCallers,
}

// firstSeedOfEvacuations is the first seed whose plans have evacuations too, and whose
// daemons schedule under contention.
const firstSeedOfEvacuations = 20_000

// contentionSettings are the settings by which daemons schedule under contention.
var contentionSettings = []string{
	"scheduling.admission=objective", "scheduling.order=priority", "scheduling.placement=in-time", "scheduling.backfill=on", "scheduling.rebalance=on",
}

// Limits of drawn faults.
const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// maxLinkDelay is the maximum delay of a slow link.
	maxLinkDelay = 120 * time.Millisecond
	// minLateness and maxLateness limit how late FaultTargetsLate makes calls.
	minLateness = 500 * time.Millisecond
	maxLateness = 3 * time.Second
	// evacuationWeight is the weight of evacuations; that of most other faults is 1 to 3.
	evacuationWeight = 8
	// rollingInterval is the time between two planned restarts: a daemon stops within
	// a few seconds, so that the next one begins to stop soon after.
	rollingInterval = 3 * time.Second
)

// meanIntervals are the mean intervals between faults, of which each run draws one.
// With the shorter ones most faults overlap.
var meanIntervals = []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second}

// Fault is one fault of a plan.
type Fault struct {
	At       time.Duration
	Kind     FaultKind
	Index    int // of the daemon or target
	Duration time.Duration
	Link     LinkState     // set for faults of links
	Delay    time.Duration // of a slow link's bytes, or of late calls
}

// String returns the fault's time, kind, index, duration and link state.
func (f Fault) String() string {
	s := fmt.Sprintf("%v %s %d for %v", f.At.Round(time.Millisecond), f.Kind, f.Index, f.Duration.Round(time.Millisecond))
	if f.Link != "" {
		s += " " + string(f.Link)
	}
	return s
}

// RollingPlan returns planned restarts of all daemons in turn, again and again.
func RollingPlan(length time.Duration, nodes int) []Fault {
	var faults []Fault
	for at := time.Second; at < length; at += rollingInterval {
		faults = append(faults, Fault{At: at, Kind: FaultStop, Index: len(faults) % nodes})
	}
	return faults
}

// Plan returns the faults of a run, drawn from the seed and ordered by time.
func Plan(seed uint64, length time.Duration, nodes, targets int) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	kinds := []FaultKind{
		FaultKill, FaultKill, FaultStop, FaultStop, FaultPause, FaultPause, FaultReload, FaultPeers, FaultPeers, FaultPeers,
		FaultStoreLink, FaultStoreLink, FaultTargetLink, FaultTargetLink, FaultStoreBusy, FaultStoreSilent, FaultStoreSlow,
		FaultStoreLoses, FaultCompact, FaultTargetFails, FaultTargetHangs, FaultTargetLoses, FaultTargetLate, FaultRoutes, FaultRoutes,
	}
	if seed >= firstSeedOfLaterKinds {
		kinds = append(kinds, laterKinds...)
	}
	if seed >= firstSeedOfEvacuations {
		kinds = append(kinds, slices.Repeat([]FaultKind{FaultEvacuation}, evacuationWeight)...)
	}
	links := []LinkState{LinkSlow, LinkBlocked, LinkBlockedToTarget, LinkBlockedFromTarget, LinkReset}
	meanInterval := meanIntervals[r.IntN(len(meanIntervals))]
	var faults []Fault
	for at := time.Second; at < length; at += time.Duration(r.ExpFloat64() * float64(meanInterval)) {
		f := Fault{
			At: at, Kind: kinds[r.IntN(len(kinds))],
			Duration: minFaultDuration + randomDuration(r, maxFaultDuration-minFaultDuration),
		}
		switch f.Kind {
		case FaultTargetLink, FaultTargetFails, FaultTargetHangs, FaultTargetLoses, FaultTargetLate, FaultTargetRestarts, FaultTargetReplaced, FaultTargetSlow:
			f.Index = r.IntN(targets)
		default:
			f.Index = r.IntN(nodes)
		}
		if slices.Contains([]FaultKind{FaultPeers, FaultStoreLink, FaultTargetLink}, f.Kind) {
			f.Link, f.Delay = links[r.IntN(len(links))], randomDuration(r, maxLinkDelay)
		}
		if f.Kind == FaultTargetsLate {
			f.Delay = minLateness + randomDuration(r, maxLateness-minLateness)
		}
		faults = append(faults, f)
		if r.IntN(6) == 0 && f.Kind != FaultKillAll { // repeat the fault while it is active
			f.At += randomDuration(r, f.Duration)
			faults = append(faults, f)
		}
	}
	if r.IntN(3) == 0 {
		faults = append(faults, Fault{At: randomDuration(r, length), Kind: FaultKillAll, Duration: minFaultDuration + randomDuration(r, time.Second)})
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}
