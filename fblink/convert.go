package fblink

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbwire"
)

// clamp32 returns the number of a message that is closest to n.
func clamp32[T int | int64](n T) uint32 { return uint32(min(max(0, int64(n)), math.MaxUint32)) }

func memberToWire(m fbfleet.Member) *fbwire.Member {
	return &fbwire.Member{
		Node: string(m.Node()), Incarnation: m.Incarnation(), Address: m.Address(),
		Zone: string(m.DataCentre()), Weight: clamp32(m.Weight()),
	}
}

func memberFromWire(m *fbwire.Member) fbfleet.Member {
	return fbfleet.NewMember(filbertford.NodeID(m.GetNode()), m.GetIncarnation(), m.GetAddress(),
		filbertford.DataCentre(m.GetZone()), int(m.GetWeight()))
}

// nameHash returns the hash of a daemon's name, which heartbeats contain instead of
// the name.
func nameHash(n filbertford.NodeID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n)) // never returns an error
	return h.Sum32()
}

// toWire returns the wire form of a message, or an error if its type has none.
func toWire(m Message) (*fbwire.Message, error) {
	switch v := m.(type) {
	case *fbwire.Message:
		return v, nil
	case Heartbeat:
		return &fbwire.Message{Kind: &fbwire.Message_Beat{Beat: heartbeatToWire(v)}}, nil
	case Roster:
		r := &fbwire.Roster{}
		for _, member := range v.members {
			r.Members = append(r.Members, memberToWire(member))
		}
		return &fbwire.Message{Kind: &fbwire.Message_Roster{Roster: r}}, nil
	case fbsched.Batch:
		return &fbwire.Message{Kind: &fbwire.Message_Batch{Batch: batchToWire(v)}}, nil
	case fbsched.Withdrawal:
		w := &fbwire.Withdrawal{Pool: string(v.Pool()), Job: string(v.Job())}
		return &fbwire.Message{Kind: &fbwire.Message_Withdrawal{Withdrawal: w}}, nil
	case fbsched.Recall:
		r := &fbwire.Recall{Pool: string(v.Pool()), Job: string(v.Job()), Fence: v.Fence()}
		return &fbwire.Message{Kind: &fbwire.Message_Recall{Recall: r}}, nil
	case fbsched.Report:
		return &fbwire.Message{Kind: &fbwire.Message_Report{Report: reportToWire(v)}}, nil
	case fbsched.Confirm:
		return &fbwire.Message{Kind: &fbwire.Message_Confirm{Confirm: confirmToWire(v)}}, nil
	case StoredJobRequest:
		return &fbwire.Message{Kind: &fbwire.Message_StoredRequest{StoredRequest: storedJobRequestToWire(v)}}, nil
	case StoredJobReply:
		r := &fbwire.StoredReply{Number: v.requestID, State: v.state, Accepted: v.accepted, Waiting: uint32(v.waiting)}
		return &fbwire.Message{Kind: &fbwire.Message_StoredReply{StoredReply: r}}, nil
	case RoutesPull:
		return &fbwire.Message{Kind: &fbwire.Message_RoutesPull{RoutesPull: &fbwire.RoutesPull{Have: v.have}}}, nil
	case RoutesPush:
		p := &fbwire.RoutesPush{Version: v.version, Value: v.value}
		return &fbwire.Message{Kind: &fbwire.Message_RoutesPush{RoutesPush: p}}, nil
	case EvacuationsPull:
		return &fbwire.Message{Kind: &fbwire.Message_EvacuationsPull{EvacuationsPull: &fbwire.EvacuationsPull{Have: v.have}}}, nil
	case TargetsPull, TargetsPush:
		return targetsToWire(v), nil
	case EvacuationsPush:
		p := &fbwire.EvacuationsPush{Version: v.version}
		for _, d := range v.dataCentres {
			p.Zones = append(p.Zones, string(d))
		}
		return &fbwire.Message{Kind: &fbwire.Message_EvacuationsPush{EvacuationsPush: p}}, nil
	}
	return nil, eris.Errorf("message of type %T has no wire form", m)
}

// fromWire returns the message that the sender has sent to the daemon named self.
func fromWire(sender fbfleet.Member, self filbertford.NodeID, m *fbwire.Message) (Message, error) {
	switch v := m.GetKind().(type) {
	case *fbwire.Message_Beat:
		return heartbeatFromWire(sender, self, v.Beat), nil
	case *fbwire.Message_Roster:
		var members []fbfleet.Member
		for _, member := range v.Roster.GetMembers() {
			members = append(members, memberFromWire(member))
		}
		return NewRoster(members), nil
	case *fbwire.Message_Batch:
		return batchFromWire(v.Batch), nil
	case *fbwire.Message_Withdrawal:
		return fbsched.NewWithdrawal(filbertford.PoolID(v.Withdrawal.GetPool()), filbertford.JobKey(v.Withdrawal.GetJob())), nil
	case *fbwire.Message_Recall:
		return fbsched.NewRecall(filbertford.PoolID(v.Recall.GetPool()), filbertford.JobKey(v.Recall.GetJob()), v.Recall.GetFence()), nil
	case *fbwire.Message_Report:
		return reportFromWire(v.Report), nil
	case *fbwire.Message_Confirm:
		return confirmFromWire(v.Confirm), nil
	case *fbwire.Message_StoredRequest:
		return storedJobRequestFromWire(v.StoredRequest), nil
	case *fbwire.Message_StoredReply:
		r := v.StoredReply
		return NewStoredJobReply(r.GetNumber(), r.GetState(), r.GetAccepted(), int(r.GetWaiting())), nil
	case *fbwire.Message_RoutesPull:
		return NewRoutesPull(v.RoutesPull.GetHave()), nil
	case *fbwire.Message_RoutesPush:
		return NewRoutesPush(v.RoutesPush.GetVersion(), v.RoutesPush.GetValue()), nil
	case *fbwire.Message_EvacuationsPull:
		return NewEvacuationsPull(v.EvacuationsPull.GetHave()), nil
	case *fbwire.Message_TargetsPull:
		return NewTargetsPull(v.TargetsPull.GetAfter()), nil
	case *fbwire.Message_TargetsPush:
		return targetsPushFromWire(v.TargetsPush), nil
	case *fbwire.Message_EvacuationsPush:
		var dataCentres []filbertford.DataCentre
		for _, name := range v.EvacuationsPush.GetZones() {
			dataCentres = append(dataCentres, filbertford.DataCentre(name))
		}
		return NewEvacuationsPush(v.EvacuationsPush.GetVersion(), dataCentres...), nil
	}
	return nil, eris.New("message has an unknown kind")
}

func heartbeatToWire(h Heartbeat) *fbwire.Beat {
	w := &fbwire.Beat{
		Starting: h.heartbeat.Starting(), Draining: h.heartbeat.Draining(), Routes: h.routesVersion,
		PeriodMs: uint32(h.heartbeat.Period().Milliseconds()), Evacuations: h.evacuationsVersion,
		Targets: h.targetsVersion, WithoutTargets: h.heartbeat.Targets() == fbfleet.TargetsUnknown,
	}
	for n := range h.heartbeat.ReceivesFrom() {
		w.Heard = append(w.Heard, nameHash(n))
	}
	for _, c := range h.heartbeat.Claims() {
		claim := &fbwire.Claim{Pool: string(c.Pool()), Fence: c.Fence()}
		for _, capacity := range h.capacities[c.Pool()] {
			claim.Rooms = append(claim.Rooms, capacityToWire(capacity))
		}
		w.Claims = append(w.Claims, claim)
	}
	return w
}

// heartbeatFromWire returns a heartbeat. Of the daemons whose heartbeats the sender
// receives, it names only the daemon self.
func heartbeatFromWire(sender fbfleet.Member, self filbertford.NodeID, w *fbwire.Beat) Heartbeat {
	receivesFrom := make(map[filbertford.NodeID]bool)
	selfHash := nameHash(self)
	for _, h := range w.GetHeard() {
		if h == selfHash {
			receivesFrom[self] = true
		}
	}
	capacities := make(map[filbertford.PoolID][]fbsched.Capacity)
	var claims []fbfleet.Claim
	for _, c := range w.GetClaims() {
		pool := filbertford.PoolID(c.GetPool())
		claims = append(claims, fbfleet.NewClaim(pool, c.GetFence()))
		for _, r := range c.GetRooms() {
			capacities[pool] = append(capacities[pool], capacityFromWire(r))
		}
	}
	heartbeat := fbfleet.NewHeartbeat(sender, w.GetDraining(), receivesFrom, claims).WithStarting(w.GetStarting()).
		WithPeriod(time.Duration(w.GetPeriodMs()) * time.Millisecond).WithTargets(targetKnowledge(w))
	return NewHeartbeat(heartbeat, capacities, w.GetRoutes()).WithEvacuationsVersion(w.GetEvacuations()).
		WithTargetsVersion(w.GetTargets())
}

func capacityToWire(c fbsched.Capacity) *fbwire.Room {
	w := &fbwire.Room{Service: c.Service(), Total: clamp32(c.Total()), BacklogUs: clamp32(c.Backlog().Microseconds()), Rate: clamp32(c.Rate())}
	for _, waiting := range c.Waiting() {
		w.Waiting = append(w.Waiting, &fbwire.Waiting{Priority: uint32(waiting.Priority()), BacklogUs: clamp32(waiting.Backlog().Microseconds())})
	}
	w.DelayUs = clamp32(c.Delay().Microseconds())
	w.Fastest = uint32(math.Round(c.Fastest() * fastestUnit))
	type group struct{ free, factor uint32 }
	exact, known := len(c.Free()) <= maxExactTargets, len(c.Factors()) == len(c.Free())
	counts := make(map[group]uint32)
	var groups []group
	for i, f := range c.Free() {
		g := group{free: clamp32(f)}
		if !exact {
			g.free = clamp32(f / freeStep * freeStep)
		}
		if known {
			g.factor = factorToWire(c.Factors()[i], exact)
		}
		if counts[g]++; exact || counts[g] == 1 {
			groups = append(groups, g)
		}
	}
	slices.SortStableFunc(groups, func(a, b group) int {
		if exact || a.factor != b.factor {
			return cmp.Compare(a.factor, b.factor)
		}
		return cmp.Compare(a.free, b.free)
	})
	for _, g := range groups {
		w.Free = append(w.Free, g.free)
		if !exact {
			w.Counts = append(w.Counts, counts[g])
		}
		last := len(w.Factors) - 1
		switch {
		case !known:
		case last >= 0 && w.Factors[last] == g.factor:
			w.FactorEntries[last]++
		default:
			w.Factors, w.FactorEntries = append(w.Factors, g.factor), append(w.FactorEntries, 1)
		}
	}
	return w
}

// factorToWire returns a factor in hundredths, rounded up, so that no target seems faster
// than it is, and to a multiple of factorStep unless it is to be exact.
func factorToWire(f float64, exact bool) uint32 {
	hundredths := int(math.Ceil(min(f, maxFactor) * factorUnit))
	if !exact {
		hundredths = (hundredths + factorStep - 1) / factorStep * factorStep
	}
	return uint32(hundredths)
}

const (
	fastestUnit = 1000
	factorUnit  = 100
	// factorStep is the difference between the factors, in hundredths, that are told apart in
	// a pool with more than maxExactTargets targets. It is less than that between machine
	// kinds, and keeps the number of groups small.
	factorStep = 25
	// maxFactor is the highest factor that is sent. No task ends in time on such a target.
	maxFactor = 100
)

// The free capacity of a pool with more than maxExactTargets targets is sent as the
// number of targets with the same free capacity, rounded down to a multiple of
// freeStep thousandths of a core. So the size of the message doesn't grow with the
// pool.
const (
	maxExactTargets = 16
	freeStep        = 250
	// maxTargets is the largest number of targets that a message may describe.
	maxTargets = 10_000
)

func capacityFromWire(w *fbwire.Room) fbsched.Capacity {
	free := make([]int, 0, len(w.GetFree()))
	var entryFactors, factors []float64
	for i, n := range w.GetFactorEntries() {
		for range min(int(n), len(w.GetFree())-len(entryFactors)) {
			if i < len(w.GetFactors()) {
				entryFactors = append(entryFactors, float64(w.GetFactors()[i])/factorUnit)
			}
		}
	}
	known := len(entryFactors) == len(w.GetFree())
	for i, f := range w.GetFree() {
		count := uint32(1)
		if i < len(w.GetCounts()) {
			count = w.GetCounts()[i]
		}
		for range min(int(count), maxTargets-len(free)) {
			free = append(free, int(f))
			if known {
				factors = append(factors, entryFactors[i])
			}
		}
	}
	var waiting []fbsched.WaitingWork
	for _, p := range w.GetWaiting() {
		waiting = append(waiting, fbsched.NewWaitingWork(int(p.GetPriority()), time.Duration(p.GetBacklogUs())*time.Microsecond))
	}
	return fbsched.NewCapacity(w.GetService(), free, int(w.GetTotal()), time.Duration(w.GetBacklogUs())*time.Microsecond).
		WithRate(int(w.GetRate()), waiting...).
		WithFactors(float64(w.GetFastest())/fastestUnit, factors).
		WithDelay(time.Duration(w.GetDelayUs()) * time.Microsecond)
}

func batchToWire(b fbsched.Batch) *fbwire.Batch {
	s := b.Step()
	w := &fbwire.Batch{
		Pool: string(b.Pool()), Job: string(b.Job()), Occurrence: uint32(b.Occurrence()), Number: uint32(b.StepNumber()),
		Spec: b.Spec(), Service: b.Service(), Attempts: uint32(b.Attempts()), Priority: uint32(b.Priority()),
		DueUs: b.Due().Microseconds(), EndUs: b.Timeout().Microseconds(), Resume: b.Resume(),
		Fence: b.Fence(), OrphanedUs: uint64(max(0, b.OwnerSilence()).Microseconds()),
		Durable: b.Stored(), Search: b.Search(), Keeper: b.ShardFence(), Step: stepToWire(s), Offer: b.OfferNumber(),
	}
	anyFailures, anyRuns, anyCrashes, anyRefuted, anyTargets := false, false, false, false, false
	for _, i := range b.Items() {
		w.Indexes = append(w.Indexes, uint32(i.Index()))
		anyFailures, anyRuns = anyFailures || i.Failures() > 0, anyRuns || i.FailedRun() > 0
		anyCrashes, anyRefuted = anyCrashes || i.Crashes() > 0, anyRefuted || i.RefutedCrashes() > 0
		anyTargets = anyTargets || i.Target() != ""
	}
	if anyTargets {
		for _, i := range b.Items() {
			w.Targets = append(w.Targets, string(i.Target()))
		}
	}
	if anyFailures {
		for _, i := range b.Items() {
			w.Failures = append(w.Failures, uint32(i.Failures()))
		}
	}
	if anyRuns {
		for _, i := range b.Items() {
			w.FailedRuns = append(w.FailedRuns, i.FailedRun())
		}
	}
	if anyCrashes {
		for _, i := range b.Items() {
			w.Crashes = append(w.Crashes, uint32(i.Crashes()))
		}
	}
	if anyRefuted {
		for _, i := range b.Items() {
			w.RefutedCrashes = append(w.RefutedCrashes, uint32(i.RefutedCrashes()))
		}
	}
	return w
}

func batchFromWire(w *fbwire.Batch) fbsched.Batch {
	step := stepFromWire(w.GetStep())
	items := make([]fbsched.Item, len(w.GetIndexes()))
	for i, index := range w.GetIndexes() {
		failures := 0
		if i < len(w.GetFailures()) {
			failures = int(w.GetFailures()[i])
		}
		items[i] = fbsched.NewItem(int(index), failures)
		if i < len(w.GetFailedRuns()) {
			items[i] = items[i].WithFailedRun(w.GetFailedRuns()[i])
		}
		if i < len(w.GetCrashes()) {
			items[i] = items[i].WithCrashes(int(w.GetCrashes()[i]))
		}
		if i < len(w.GetRefutedCrashes()) {
			items[i] = items[i].WithRefutedCrashes(int(w.GetRefutedCrashes()[i]))
		}
		if i < len(w.GetTargets()) {
			items[i] = items[i].WithTarget(filbertford.TargetID(w.GetTargets()[i]))
		}
	}
	b := fbsched.NewBatch(filbertford.PoolID(w.GetPool()), filbertford.JobKey(w.GetJob()), int(w.GetOccurrence()), int(w.GetNumber()), step, items).
		WithWork(w.GetSpec(), w.GetService(), int(w.GetAttempts())).
		WithPriority(int(w.GetPriority())).
		WithTimes(time.Duration(w.GetDueUs())*time.Microsecond, time.Duration(w.GetEndUs())*time.Microsecond).
		WithFence(w.GetFence()).WithStored(w.GetDurable(), w.GetSearch()).WithShardFence(w.GetKeeper()).WithOfferNumber(w.GetOffer())
	if w.GetResume() {
		return b.WithResume(time.Duration(w.GetOrphanedUs()) * time.Microsecond)
	}
	return b
}

func reportToWire(r fbsched.Report) *fbwire.Report {
	k := r.Task()
	return &fbwire.Report{
		Pool: string(r.Pool()), Job: string(k.Job()), Occurrence: uint32(k.Occurrence()), Step: uint32(k.Step()),
		Index: uint32(k.Index()), Verdict: string(r.Status()), Failures: uint32(r.Failures()), Fence: r.Fence(),
		Started: r.Started(), Target: string(r.Target()), Crashes: uint32(r.Crashes()), Offer: r.OfferNumber(), FailedRun: r.FailedRun(),
		RefutedCrashes: uint32(r.RefutedCrashes()),
	}
}

func reportFromWire(w *fbwire.Report) fbsched.Report {
	key := filbertford.NewTaskKey(filbertford.JobKey(w.GetJob()), int(w.GetOccurrence()), int(w.GetStep()), int(w.GetIndex()))
	return fbsched.NewReport(filbertford.PoolID(w.GetPool()), w.GetFence(), key, fbsched.Status(w.GetVerdict()), int(w.GetFailures())).WithStarted(w.GetStarted()).
		WithTarget(filbertford.TargetID(w.GetTarget())).WithCrashes(int(w.GetCrashes())).WithRefutedCrashes(int(w.GetRefutedCrashes())).
		WithOfferNumber(w.GetOffer()).WithFailedRun(w.GetFailedRun())
}

func stepToWire(s filbertford.Step) *fbwire.Step {
	w := &fbwire.Step{
		Count: uint32(s.Count()), Cpu: clamp32(s.Demand().CPU()), Memory: clamp32(s.Demand().Memory()), Gpu: clamp32(s.Demand().GPU()),
		EstimateUs: uint64(s.Estimate().Microseconds()), Label: s.Label(), Rack: s.Rack(), MaxPerTarget: clamp32(s.MaxPerTarget()),
	}
	for _, a := range s.After() {
		w.After = append(w.After, uint32(a))
	}
	return w
}

func stepFromWire(s *fbwire.Step) filbertford.Step {
	after := make([]int, len(s.GetAfter()))
	for i, a := range s.GetAfter() {
		after[i] = int(a)
	}
	return filbertford.NewStep(int(s.GetCount()), filbertford.NewResources(int(s.GetCpu()), int(s.GetMemory()), int(s.GetGpu())),
		time.Duration(s.GetEstimateUs())*time.Microsecond).
		WithPlacement(s.GetLabel(), s.GetRack(), int(s.GetMaxPerTarget())).
		WithAfter(after...)
}

func confirmToWire(c fbsched.Confirm) *fbwire.Confirm {
	k := c.Task()
	return &fbwire.Confirm{
		Pool: string(c.Pool()), Job: string(k.Job()), Occurrence: uint32(k.Occurrence()), Step: uint32(k.Step()), Index: uint32(k.Index()),
		Done: c.Done(), Failures: uint32(c.Failures()), Crashes: uint32(c.Crashes()), FailedRun: c.FailedRun(),
	}
}

func confirmFromWire(w *fbwire.Confirm) fbsched.Confirm {
	key := filbertford.NewTaskKey(filbertford.JobKey(w.GetJob()), int(w.GetOccurrence()), int(w.GetStep()), int(w.GetIndex()))
	return fbsched.NewConfirm(filbertford.PoolID(w.GetPool()), key, w.GetDone(), int(w.GetFailures())).WithCrashes(int(w.GetCrashes())).WithFailedRun(w.GetFailedRun())
}

func storedJobRequestToWire(r StoredJobRequest) *fbwire.StoredRequest {
	w := &fbwire.StoredRequest{Number: r.id, Shard: string(r.shard), Kind: string(r.kind), Job: string(r.workload.Key()), Spec: r.workload.Spec()}
	for _, s := range r.workload.Steps() {
		w.Steps = append(w.Steps, stepToWire(s))
	}
	w.Route = &fbwire.Route{
		Host: r.route.Host(), Prefix: r.route.Prefix(), Service: r.route.Service(), Priority: uint32(r.route.Priority()),
		Attempts: uint32(r.route.Attempts()), Stretch: r.route.Stretch(), SlackUs: r.route.Slack().Microseconds(),
	}
	return w
}

func storedJobRequestFromWire(w *fbwire.StoredRequest) StoredJobRequest {
	steps := make([]filbertford.Step, len(w.GetSteps()))
	for i, s := range w.GetSteps() {
		steps[i] = stepFromWire(s)
	}
	r := w.GetRoute()
	route := filbertford.NewRoute(r.GetHost(), r.GetPrefix(), r.GetService()).
		WithPolicy(int(r.GetPriority()), int(r.GetAttempts())).
		WithObjective(r.GetStretch(), time.Duration(r.GetSlackUs())*time.Microsecond, 0)
	return NewStoredJobRequest(w.GetNumber(), filbertford.PoolID(w.GetShard()), RequestKind(w.GetKind()), route,
		filbertford.NewWorkload(filbertford.JobKey(w.GetJob()), w.GetSpec(), steps...))
}
