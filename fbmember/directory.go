package fbmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Directory is one daemon's record of the other daemons. It is not safe for
// concurrent use.
type Directory struct {
	self       string
	dc         filbertford.DataCentre
	timeout    time.Duration
	maxLoadAge time.Duration // heartbeat age from which on a member's load is out of date
	members    map[string]*Member
	owners     map[filbertford.Incarnation]string
	terminated []filbertford.Incarnation
}

// Member is the directory's record of another daemon.
type Member struct {
	address          string
	listed           bool
	seed             bool
	leaving          bool
	remote           bool
	periodFactor     time.Duration
	lastHeartbeat    time.Time
	heartbeatSentAt  time.Time
	dueNow           bool // a heartbeat is due regardless of the period
	rtt              time.Duration
	state            State
	incarnationSince time.Time // when the present incarnation became known
}

// Address returns the address of the member's peer listener.
func (m Member) Address() string { return m.address }

// State returns the state that the member last sent, the zero State if none.
func (m Member) State() State { return m.state }

// LastHeartbeat returns when the member's state was last received, the zero time
// if never.
func (m Member) LastHeartbeat() time.Time { return m.lastHeartbeat }

// RoundTrip returns the smoothed round-trip time of heartbeats, 0 if none was
// measured.
func (m Member) RoundTrip() time.Duration { return m.rtt }

// Leaving reports whether the platform lists the member as leaving.
func (m Member) Leaving() bool { return m.leaving }

// Condition is the condition of a member as operators see it.
type Condition string

// The conditions of a member.
const (
	ConditionLive     Condition = "live"
	ConditionStopping Condition = "stopping"
	ConditionSilent   Condition = "silent"
)

// silentAfter is the heartbeat age from which on a member is shown as silent.
const silentAfter = 5 * time.Second

// HeartbeatAge returns the time since the member's state was last received, 0 if
// it never was.
func (m Member) HeartbeatAge(now time.Time) time.Duration {
	if m.lastHeartbeat.IsZero() {
		return 0
	}
	return now.Sub(m.lastHeartbeat)
}

// Condition returns the member's condition.
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
// the address. Members send one heartbeat a period; a member from which none was
// received for the timeout counts as unreachable. Seeds are addresses of members
// that are known from the start.
func NewDirectory(self string, dc filbertford.DataCentre, heartbeatPeriod, timeout time.Duration, seeds []string) *Directory {
	d := &Directory{
		self:       self,
		dc:         dc,
		timeout:    timeout,
		maxLoadAge: time.Duration(maxLoadAgePeriods * float64(heartbeatPeriod)),
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

// SetVMs sets the platform's list of VMs. Members that are no longer in the list
// are removed unless they are reachable or are seeds.
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

// HandleReply handles the state with which the daemon at the address replied to a
// heartbeat. A different incarnation proves that the previous one has terminated
// if that one was known when the heartbeat was sent; otherwise the reply is out
// of date and is ignored.
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

// HandleHeartbeat handles the state that a daemon sent with a heartbeat. If its
// incarnation differs from the one known at the address, the state is ignored and
// a heartbeat to the address becomes due. Its reply shows which incarnation runs
// there.
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

// roundTripSmoothing is the inverse weight of a new round trip in the smoothed
// one, as in TCP's estimate (RFC 6298).
const roundTripSmoothing = 8

// recordRoundTrip updates the smoothed round-trip time.
func (m *Member) recordRoundTrip(rtt time.Duration) {
	if m.rtt == 0 {
		m.rtt = rtt
		return
	}
	m.rtt += (rtt - m.rtt) / roundTripSmoothing
}

// RemoteFreeSlots returns the addresses of the live members of other data centres
// that are likely to have free slots, with the number: a member's share of its
// data centre's slots minus its waiting and running tasks.
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

// TakeTerminated returns the incarnations that were proved to have terminated for
// good since the last call.
func (d *Directory) TakeTerminated() []filbertford.Incarnation {
	terminated := d.terminated
	d.terminated = nil
	return terminated
}

// update stores a member's state and the incarnations that it answers for.
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

// Owner returns the address of the member that is the incarnation or answers for
// it, or false if no such member is known.
func (d *Directory) Owner(inc filbertford.Incarnation) (string, bool) {
	a, ok := d.owners[inc]
	return a, ok
}

// HasMember reports whether the address is that of a member, so that connections
// to it are allowed.
func (d *Directory) HasMember(address string) bool { return d.members[address] != nil }

// Members returns all members sorted by address.
func (d *Directory) Members() []Member {
	out := make([]Member, 0, len(d.members))
	for _, m := range d.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.address, b.address) })
	return out
}

// Reachable returns the reachable members of all data centres.
func (d *Directory) Reachable(now time.Time) []Member {
	return slices.DeleteFunc(d.Members(), func(m Member) bool { return !d.reachable(now, &m) })
}

// Live returns the reachable members of a data centre except those that are
// stopping.
func (d *Directory) Live(now time.Time, dc filbertford.DataCentre) []Member {
	return slices.DeleteFunc(d.Reachable(now), func(m Member) bool {
		return m.state.stopping || m.state.dataCentre != dc
	})
}

// Successor returns the live member of the data centre that should take over the
// submissions of this daemon: the least loaded one that is not leaving. It returns
// false if there is none.
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

// PeerTeamTasks returns the number of waiting and running tasks by team at the
// other live daemons of the data centre.
func (d *Directory) PeerTeamTasks(now time.Time) map[string]int {
	out := make(map[string]int)
	for _, m := range d.Live(now, d.dc) {
		for team, n := range m.state.teamTasks {
			out[team] += n
		}
	}
	return out
}

// Position returns the index of this daemon among the live daemons of its data
// centre, sorted by address, and the number of those daemons.
func (d *Directory) Position(now time.Time) (index, count int) {
	live := d.Live(now, d.dc)
	for _, m := range live {
		if m.address < d.self {
			index++
		}
	}
	return index, len(live) + 1
}

// minLoadRatio is the ratio of this daemon's load to another's above which new
// jobs are directed to the other.
const minLoadRatio = 2

// maxLoadAgePeriods is the heartbeat age, in heartbeat periods, from which on no
// job is directed or spilled to a member.
const maxLoadAgePeriods = 1.5

// PreferredToken returns the token of the least loaded live member of the data
// centre if IDs of new jobs should be minted from it rather than from the token
// of this daemon, whose load is ownLoad. Otherwise it returns an empty string.
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

// extraWaitDivisor divides the heartbeat period to give the extra time for which
// the daemon with the higher address of a pair waits for the other's heartbeat
// before it sends one itself.
const extraWaitDivisor = 2

// DueHeartbeats returns the addresses that a heartbeat should be sent to now,
// sorted, and records that it is sent: those of members from which no state was
// received for the period. One heartbeat and its reply carry the state of both
// sides, so a pair exchanges one a period, which the daemon with the lower address
// normally sends. For members of other data centres the period is longer if there
// are many, see RemoteHeartbeatsPerPeriod.
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

// MakeAllDue makes a heartbeat to every member due immediately.
func (d *Directory) MakeAllDue() {
	for _, m := range d.members {
		m.dueNow = true
	}
}

// MakeLocalDue makes a heartbeat to each member of this data centre due
// immediately.
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
