package fbmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Directory is one daemon's knowledge of the others. It is used by one
// goroutine.
type Directory struct {
	self       string
	dc         filbertford.DataCentre
	timeout    time.Duration
	maxLoadAge time.Duration // the silence up to which a member's load is believed
	members    map[string]*Member
	owners     map[filbertford.Incarnation]string
	terminated []filbertford.Incarnation
}

// Member is another daemon as the directory knows it.
type Member struct {
	address          string
	listed           bool
	seed             bool
	leaving          bool
	remote           bool
	periodFactor     time.Duration
	lastHeartbeat    time.Time
	heartbeatSentAt  time.Time
	dueNow           bool // a heartbeat is due whatever the period
	rtt              time.Duration
	state            State
	incarnationSince time.Time // when the present incarnation became known
}

// Address returns the address of the member's peer listener.
func (m Member) Address() string { return m.address }

// State returns what the member last told, the zero State if nothing.
func (m Member) State() State { return m.state }

// LastHeartbeat returns when the member last answered, the zero time if never.
func (m Member) LastHeartbeat() time.Time { return m.lastHeartbeat }

// RoundTrip returns how long a heartbeat and its reply take, smoothed; 0 if
// none was measured.
func (m Member) RoundTrip() time.Duration { return m.rtt }

// Leaving reports whether the platform's list has the member as leaving.
func (m Member) Leaving() bool { return m.leaving }

// Condition tells how a member is.
type Condition string

// The conditions of a member.
const (
	ConditionLive     Condition = "live"
	ConditionStopping Condition = "stopping"
	ConditionSilent   Condition = "silent"
)

// silentAfter is the silence from which on a member is shown as silent.
const silentAfter = 5 * time.Second

// HeartbeatAge returns how long the member has not been heard of, 0 if never.
func (m Member) HeartbeatAge(now time.Time) time.Duration {
	if m.lastHeartbeat.IsZero() {
		return 0
	}
	return now.Sub(m.lastHeartbeat)
}

// Condition returns how the member is.
func (m Member) Condition(now time.Time) Condition {
	switch {
	case m.lastHeartbeat.IsZero() || m.HeartbeatAge(now) >= m.scaled(silentAfter):
		return ConditionSilent
	case m.state.stopping:
		return ConditionStopping
	}
	return ConditionLive
}

// NewDirectory returns the directory of the daemon whose peer listener is at
// the address. Members beat once a heartbeat period; one that has not answered
// for the timeout counts as unreachable. Seeds are addresses of members that
// are known from the start.
func NewDirectory(self string, dc filbertford.DataCentre, heartbeat, timeout time.Duration, seeds []string) *Directory {
	d := &Directory{
		self:       self,
		dc:         dc,
		timeout:    timeout,
		maxLoadAge: time.Duration(maxLoadAgePeriods * float64(heartbeat)),
		members:    make(map[string]*Member),
		owners:     make(map[filbertford.Incarnation]string),
	}
	for _, a := range seeds {
		if a != self {
			d.members[a] = &Member{address: a, seed: true}
		}
	}
	return d
}

// SetVMs takes the platform's list. Members that it no longer holds are dropped
// unless they still answer or are seeds.
func (d *Directory) SetVMs(now time.Time, vms []filbertford.VM) {
	for _, m := range d.members {
		m.listed = false
	}
	for _, vm := range vms {
		if vm.Role() != filbertford.RoleEntry || vm.Address() == d.self {
			continue
		}
		m := d.members[vm.Address()]
		if m == nil {
			m = &Member{address: vm.Address()}
			d.members[vm.Address()] = m
		}
		m.listed = true
		m.leaving = vm.State() == filbertford.VMLeaving
		m.remote = vm.DataCentre() != d.dc
	}
	for a, m := range d.members {
		if !m.listed && !m.seed && !d.reachable(now, m) {
			d.removeMember(a)
		}
	}
	d.updatePeriodFactors()
}

// HandleReply takes the state with which the daemon at the address replied to a
// heartbeat. Another incarnation than before proves that the former one is gone
// if it was known when the heartbeat was sent; else the reply is out of date.
func (d *Directory) HandleReply(now, sentAt time.Time, address string, s State) {
	m := d.members[address]
	if m == nil || s.address != address {
		return
	}
	if previous := m.state.incarnation; previous != 0 && previous != s.incarnation {
		if !m.incarnationSince.Before(sentAt) {
			return
		}
		d.terminated = append(d.terminated, previous)
		d.removeOwners(address)
	}
	m.recordRoundTrip(now.Sub(sentAt))
	d.update(now, m, s)
}

// HandleHeartbeat takes the state that a daemon told with a heartbeat of its own. An
// incarnation that differs from the one known at the address is not taken on
// its word: the address is asked next.
func (d *Directory) HandleHeartbeat(now time.Time, s State) {
	m := d.members[s.address]
	if m == nil {
		return
	}
	if previous := m.state.incarnation; previous != 0 && previous != s.incarnation {
		m.lastHeartbeat, m.heartbeatSentAt = time.Time{}, time.Time{}
		return
	}
	d.update(now, m, s)
}

// roundTripSmoothing is the weight of a new round trip, as in TCP's estimate (RFC 6298).
const roundTripSmoothing = 8

// recordRoundTrip takes a round trip into the estimate.
func (m *Member) recordRoundTrip(rtt time.Duration) {
	if m.rtt == 0 {
		m.rtt = rtt
		return
	}
	m.rtt += (rtt - m.rtt) / roundTripSmoothing
}

// RemoteFreeSlots returns the live members of other data centres that are likely to have
// slots free, with how many: a member's part of its data centre's slots less
// what waits and runs there.
func (d *Directory) RemoteFreeSlots(now time.Time) map[string]int {
	memberCount := make(map[filbertford.DataCentre]int)
	for _, m := range d.Reachable(now) {
		memberCount[m.state.dataCentre]++
	}
	out := make(map[string]int)
	for _, m := range d.Reachable(now) {
		s := m.state
		if s.dataCentre == d.dc || s.stopping || m.leaving || m.HeartbeatAge(now) >= m.scaled(d.maxLoadAge) {
			continue
		}
		if free := s.load.Slots()/memberCount[s.dataCentre] - s.load.Waiting() - s.load.Running(); free > 0 {
			out[m.address] = free
		}
	}
	return out
}

// TakeTerminated returns the incarnations that were proved to be gone for good since the
// last call.
func (d *Directory) TakeTerminated() []filbertford.Incarnation {
	terminated := d.terminated
	d.terminated = nil
	return terminated
}

// update keeps a member's state.
func (d *Directory) update(now time.Time, m *Member, s State) {
	if m.state.incarnation != s.incarnation {
		m.incarnationSince = now
	}
	m.state, m.lastHeartbeat = s, now
	if _, inherited := d.owners[s.incarnation]; !inherited {
		d.owners[s.incarnation] = s.address
	}
	for _, inc := range s.inherited {
		d.owners[inc] = s.address
	}
}

// Owner returns the address of the member that is the incarnation or answers
// for it, or false if no member is known to.
func (d *Directory) Owner(inc filbertford.Incarnation) (string, bool) {
	a, ok := d.owners[inc]
	return a, ok
}

// HasMember reports whether the address is that of a member, so that it may be
// dialled.
func (d *Directory) HasMember(address string) bool { return d.members[address] != nil }

// Members returns all members in the order of their addresses.
func (d *Directory) Members() []Member {
	out := make([]Member, 0, len(d.members))
	for _, m := range d.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.address, b.address) })
	return out
}

// Reachable returns the members of all data centres that answer.
func (d *Directory) Reachable(now time.Time) []Member {
	return slices.DeleteFunc(d.Members(), func(m Member) bool { return !d.reachable(now, &m) })
}

// Live returns the members of a data centre that answer, stopping ones
// excluded.
func (d *Directory) Live(now time.Time, dc filbertford.DataCentre) []Member {
	return slices.DeleteFunc(d.Reachable(now), func(m Member) bool {
		return m.state.stopping || m.state.dataCentre != dc
	})
}

// Successor returns the live member of the data centre that should inherit from
// this daemon: the least loaded one. It returns false if there is none.
func (d *Directory) Successor(now time.Time) (Member, bool) {
	live := d.Live(now, d.dc)
	live = slices.DeleteFunc(live, func(m Member) bool { return m.leaving })
	if len(live) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(live, func(a, b Member) int {
		return cmp.Compare(a.state.load.Waiting()+a.state.load.Running(), b.state.load.Waiting()+b.state.load.Running())
	}), true
}

// PeerTeamTasks returns the waiting and running tasks by team at the other daemons
// of the data centre that answer.
func (d *Directory) PeerTeamTasks(now time.Time) map[string]int {
	out := make(map[string]int)
	for _, m := range d.Live(now, d.dc) {
		for team, n := range m.state.teamTasks {
			out[team] += n
		}
	}
	return out
}

// Position returns the place of this daemon among the live daemons of its data
// centre, in the order of their addresses, and their number.
func (d *Directory) Position(now time.Time) (index, count int) {
	live := d.Live(now, d.dc)
	for _, m := range live {
		if m.address < d.self {
			index++
		}
	}
	return index, len(live) + 1
}

// minLoadRatio is by how much a daemon must be more loaded than another for jobs
// to be steered there.
const minLoadRatio = 2

// maxLoadAgePeriods is the silence, in heartbeat periods, from which on no job is
// steered or spilled to a member.
const maxLoadAgePeriods = 1.5

// PreferredToken returns the token of the least loaded live member of the data centre if
// new jobs are better minted for it than for this daemon of the given load, or
// an empty text.
func (d *Directory) PreferredToken(now time.Time, ownLoad filbertford.Load) string {
	if ownLoad.Waiting() == 0 {
		return ""
	}
	best, lowest := "", ownLoad.Waiting()+ownLoad.Running()
	for _, m := range d.Live(now, d.dc) {
		if m.HeartbeatAge(now) >= d.maxLoadAge {
			continue
		}
		l := m.state.load
		if busy := l.Waiting() + l.Running(); busy*minLoadRatio < lowest && m.state.token != "" {
			best, lowest = m.state.token, busy*minLoadRatio
		}
	}
	return best
}

// extraWaitDivisor is the part of a heartbeat period for which the daemon of the higher
// address leaves the heartbeat of a pair to the other.
const extraWaitDivisor = 2

// DueHeartbeats returns the addresses that a heartbeat should be sent to now: members
// from whom nothing was heard for the period. One heartbeat serves both sides,
// so a pair exchanges one a period, which the daemon of the lower address
// sends. The period is longer for members of other data centres where there are
// many.
func (d *Directory) DueHeartbeats(now time.Time, period time.Duration) []string {
	var out []string
	for a, m := range d.members {
		p := m.scaled(period)
		if a < d.self && !m.lastHeartbeat.IsZero() {
			p += p / extraWaitDivisor
		}
		if m.dueNow || now.Sub(m.lastHeartbeat) >= p && now.Sub(m.heartbeatSentAt) >= p {
			m.heartbeatSentAt, m.dueNow = now, false
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// MakeAllDue makes a heartbeat due to every member.
func (d *Directory) MakeAllDue() {
	for _, m := range d.members {
		m.dueNow = true
	}
}

// MakeLocalDue makes a heartbeat due to the members of the data centre.
func (d *Directory) MakeLocalDue() {
	for _, m := range d.members {
		m.dueNow = m.dueNow || !m.remote
	}
}

func (d *Directory) reachable(now time.Time, m *Member) bool {
	return !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) < m.scaled(d.timeout)
}

func (d *Directory) removeMember(address string) {
	delete(d.members, address)
	d.removeOwners(address)
}

func (d *Directory) removeOwners(address string) {
	for inc, a := range d.owners {
		if a == address {
			delete(d.owners, inc)
		}
	}
}
