package fbmember

import "time"

// RemoteHeartbeatsPerPeriod is the maximum number of heartbeats that a daemon
// exchanges in a period with the members of all other data centres together. If
// there are more such members, the period and the timeouts of each are multiplied
// accordingly, so that heartbeats across data centres cost the same for any number
// of daemons.
const RemoteHeartbeatsPerPeriod = 8

// IsRemote reports whether the address is that of a member that the platform lists
// in another data centre.
func (d *Directory) IsRemote(address string) bool {
	m := d.members[address]
	return m != nil && m.remote
}

// updatePeriodFactors sets the factors by which the periods and timeouts of the
// members are multiplied: 1 in this data centre, and more in others if there are
// many members there.
func (d *Directory) updatePeriodFactors() {
	remote := 0
	for _, m := range d.members {
		if m.remote {
			remote++
		}
	}
	for _, m := range d.members {
		m.periodFactor = 1
		if m.remote {
			m.periodFactor = time.Duration((remote + RemoteHeartbeatsPerPeriod - 1) / RemoteHeartbeatsPerPeriod)
		}
	}
}

// scaled returns the period or timeout multiplied by the member's factor.
func (m Member) scaled(d time.Duration) time.Duration { return d * max(1, m.periodFactor) }
