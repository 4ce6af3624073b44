package fbnode

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevacuation"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbsched"
)

// evacuationsTimeout is how long a new owner of a pool waits for the evacuations while no
// other daemon can be reached and the store doesn't answer: two calls to the store.
const evacuationsTimeout = 4 * time.Second

// evacuationState is what the daemon knows of the evacuations.
type evacuationState struct {
	state fbevacuation.State
	// inForce holds the evacuated data centres that have been logged, and whether each is
	// a data centre of the fleet.
	inForce map[filbertford.DataCentre]bool
	// endedAt holds when the last evacuation of a data centre has ended.
	endedAt map[filbertford.DataCentre]time.Duration
	// rejected holds the versions of the malformed rows that have been logged.
	rejected map[string]uint64
	// unknownSince is since when a pool of this daemon waits for the evacuations, 0 if
	// none does. unanswered is set when that has lasted for too long.
	unknownSince time.Duration
	unanswered   bool

	published      atomic.Pointer[Evacuations]
	evacuatedPools tally.Gauge
	rejectedRows   tally.Counter
	unknownCentres tally.Counter
}

// Evacuations are the evacuated data centres as of a version of the store.
type Evacuations struct {
	version     uint64
	dataCentres []filbertford.DataCentre
}

// Version returns the version of the store, 0 if the evacuations are unknown.
func (e Evacuations) Version() uint64 { return e.version }

// DataCentres returns the evacuated data centres in ascending order.
func (e Evacuations) DataCentres() []filbertford.DataCentre { return e.dataCentres }

// Evacuations returns the evacuations that the daemon knows.
func (n *Node) Evacuations() Evacuations {
	if e := n.evacuations.published.Load(); e != nil {
		return *e
	}
	return Evacuations{}
}

func newEvacuationState(scope tally.Scope) *evacuationState {
	return &evacuationState{
		inForce: make(map[filbertford.DataCentre]bool), rejected: make(map[string]uint64),
		endedAt:        make(map[filbertford.DataCentre]time.Duration),
		evacuatedPools: scope.Gauge("evacuated_pools"),
		rejectedRows:   scope.Tagged(map[string]string{"cause": "malformed"}).Counter("evacuations_rejected"),
		unknownCentres: scope.Tagged(map[string]string{"cause": "unknown"}).Counter("evacuations_rejected"),
	}
}

// readEvacuations applies the evacuations in a read of the routes table.
func (n *Node) readEvacuations(now time.Duration, full bool, s filbertford.Snapshot) {
	var changes []fbevacuation.Change
	var dataCentres []filbertford.DataCentre
	for _, c := range s.Changes() {
		if !n.deps.Decoder.IsEvacuation(c.Row()) {
			continue
		}
		dc, err := n.deps.Decoder.DecodeEvacuation(c.Row())
		switch {
		case err != nil:
			n.rejectEvacuation(c, err)
		case c.Removed():
			changes = append(changes, fbevacuation.NewEnd(dc, c.Row().Version()))
		default:
			changes = append(changes, fbevacuation.NewBegin(dc, c.Row().Version()))
			dataCentres = append(dataCentres, dc)
		}
	}
	if full {
		n.evacuations.state.Read(s.Version(), dataCentres)
	} else {
		n.evacuations.state.Update(s.Version(), changes)
	}
	n.applyEvacuations(now, "store")
}

// evacuatesOtherThan reports whether any other data centre is evacuated.
func (e *evacuationState) evacuatesOtherThan(dc filbertford.DataCentre) bool {
	for other, known := range e.inForce {
		if known && other != dc {
			return true
		}
	}
	return false
}

// rejectEvacuation logs and counts a malformed row once for each of its versions.
func (n *Node) rejectEvacuation(c filbertford.Change, err error) {
	key := c.Row().Key()
	if c.Removed() {
		delete(n.evacuations.rejected, key)
		return
	}
	if n.evacuations.rejected[key] == c.Row().Version() {
		return
	}
	n.evacuations.rejected[key] = c.Row().Version()
	n.evacuations.rejectedRows.Inc(1)
	fbevent.EvacuationRejected.Log(n.deps.Log, "row", key, "version", c.Row().Version(), "error", err)
}

// receiveEvacuations applies the evacuations that another daemon knows.
func (n *Node) receiveEvacuations(now time.Duration, from filbertford.NodeID, p fblink.EvacuationsPush) {
	n.evacuations.state.Receive(p.Version(), p.DataCentres())
	n.applyEvacuations(now, "peer "+string(from))
}

// sendEvacuations sends the evacuations to a daemon that has an earlier version.
func (n *Node) sendEvacuations(to filbertford.NodeID, p fblink.EvacuationsPull) {
	if e := &n.evacuations.state; e.Known() && e.Version() > p.Have() {
		n.hub.Send(to, fblink.NewEvacuationsPush(e.Version(), e.DataCentres()...))
	}
}

// applyEvacuations passes the evacuations to the coordinator and to the pools, and logs
// those that have begun or ended.
func (n *Node) applyEvacuations(now time.Duration, source string) {
	e := n.evacuations
	if !e.state.Known() {
		return
	}
	e.unknownSince, e.unanswered = 0, false
	n.logEvacuations(now, source)
	e.published.Store(&Evacuations{version: e.state.Version(), dataCentres: e.state.DataCentres()})
	evacuated := 0
	for _, s := range n.specs {
		if s.DataCentre() == "" {
			continue
		}
		in := e.state.Contains(s.DataCentre())
		n.coordinator.SetEvacuated(now, s.ID(), in)
		if p := n.pools[s.ID()]; p != nil {
			p.SetEvacuated(now, in)
			p.SetOthersEvacuated(e.evacuatesOtherThan(s.DataCentre()))
		}
		if in {
			evacuated++
		}
	}
	e.evacuatedPools.Update(float64(evacuated))
}

// logEvacuations logs the evacuations that have begun or ended since the last call. One of
// an unknown data centre has no effect until the data centre is known.
func (n *Node) logEvacuations(now time.Duration, source string) {
	e := n.evacuations
	known := make(map[filbertford.DataCentre]bool)
	for _, s := range n.specs {
		known[s.DataCentre()] = true
	}
	for dc, wasKnown := range e.inForce {
		if e.state.Contains(dc) {
			continue
		}
		delete(e.inForce, dc)
		if wasKnown {
			e.endedAt[dc] = now
			fbevent.EvacuationEnded.Log(n.deps.Log, "zone", dc, "version", e.state.Version(), "source", source)
		}
	}
	for _, dc := range e.state.DataCentres() {
		was, logged := e.inForce[dc]
		switch {
		case logged && was == known[dc]:
			continue
		case known[dc]:
			fbevent.EvacuationBegun.Log(n.deps.Log, "zone", dc, "version", e.state.Version(), "source", source)
		case !logged:
			e.unknownCentres.Inc(1)
			fbevent.EvacuationUnknown.Log(n.deps.Log, "zone", dc, "version", e.state.Version(), "source", source)
		}
		e.inForce[dc] = known[dc]
	}
}

// evacuateNewPool sets whether a pool that the daemon has acquired is evacuated. While that
// is unknown, the pool starts nothing.
func (n *Node) evacuateNewPool(now time.Duration, p *fbsched.Pool) {
	e := n.evacuations
	switch {
	case e.state.Known():
		dc := poolDataCentre(p.ID())
		p.SetEvacuated(now, e.state.Contains(dc))
		p.SetOthersEvacuated(e.evacuatesOtherThan(dc))
		if ended, ok := e.endedAt[dc]; ok {
			p.RampFrom(ended)
		}
	case !e.unanswered:
		p.HoldUntilEvacuationsKnown()
		if e.unknownSince == 0 {
			e.unknownSince = now
		}
	}
}

// tickEvacuations lets the pools start tasks although the evacuations are unknown if neither
// the store nor any other daemon answers.
func (n *Node) tickEvacuations(now time.Duration) {
	e := n.evacuations
	if e.state.Known() || e.unknownSince == 0 {
		return
	}
	if n.reachesAnyDaemon(now) {
		e.unknownSince = now
		return
	}
	if now-e.unknownSince < evacuationsTimeout {
		return
	}
	e.unknownSince, e.unanswered = 0, true
	fbevent.EvacuationsUnanswered.Log(n.deps.Log)
	for _, p := range n.pools {
		p.SetEvacuated(now, false)
	}
}

func (n *Node) reachesAnyDaemon(now time.Duration) bool {
	for _, m := range n.fleet.Members() {
		if alive, _ := n.fleet.Reachability(now, m.Node()); alive {
			return true
		}
	}
	return false
}
