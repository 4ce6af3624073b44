package fbmember

import "time"

// RemoteHeartbeatsPerPeriod is the number of heartbeats that a daemon exchanges with the
// members of all other data centres in a period. Where there are more members,
// the period and the timeouts of each are longer by as much, so that heartbeats
// across data centres cost the same for any number of daemons.
const RemoteHeartbeatsPerPeriod = 8

// IsRemote reports whether the address is that of a member that the platform's list
// has in another data centre.
func (d *Directory) IsRemote(address string) bool {
	m := d.members[address]
	return m != nil && m.remote
}

// updatePeriodFactors sets by how much the times of the members of other data centres
// are longer.
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

// scaled returns the period or timeout as it holds for the member.
func (m Member) scaled(d time.Duration) time.Duration { return d * max(1, m.periodFactor) }
