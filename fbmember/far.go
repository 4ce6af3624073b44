package fbmember

import "time"

// FarPerPeriod is the number of heartbeats that a daemon exchanges with the
// members of all other data centres in a period. Where there are more members,
// the period and the timeouts of each are longer by as much, so that heartbeats
// across data centres cost the same for any number of daemons.
const FarPerPeriod = 8

// Far reports whether the address is that of a member that the platform's list
// has in another data centre.
func (d *Directory) Far(address string) bool {
	m := d.members[address]
	return m != nil && m.far
}

// stretchFar sets by how much the times of the members of other data centres
// are longer.
func (d *Directory) stretchFar() {
	far := 0
	for _, m := range d.members {
		if m.far {
			far++
		}
	}
	for _, m := range d.members {
		m.stretch = 1
		if m.far {
			m.stretch = time.Duration((far + FarPerPeriod - 1) / FarPerPeriod)
		}
	}
}

// stretched returns the period or timeout as it holds for the member.
func (m Member) stretched(d time.Duration) time.Duration { return d * max(1, m.stretch) }
