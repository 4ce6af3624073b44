package fbburn

import (
	"cmp"
	"slices"
	"time"
)

// Key identifies what an objective is set for: a service or one of its job kinds.
type Key struct {
	team, service, kind string
}

// NewKey returns the key of a job kind of a team's service. The kind is empty
// for jobs without a kind.
func NewKey(team, service, kind string) Key {
	return Key{team: team, service: service, kind: kind}
}

// Team returns the team's name.
func (k Key) Team() string { return k.team }

// Service returns the service's name.
func (k Key) Service() string { return k.service }

// Kind returns the job kind, which may be empty.
func (k Key) Kind() string { return k.kind }

// String returns the names, separated by slashes.
func (k Key) String() string {
	s := k.team + "/" + k.service
	if k.kind != "" {
		s += "/" + k.kind
	}
	return s
}

// Objective is the share of jobs that must be answered complete within a maximum
// latency. A share of 0 means that there is no objective.
type Objective struct {
	share      float64
	maxLatency time.Duration
}

// NewObjective returns an objective with the given share and maximum latency.
func NewObjective(share float64, maxLatency time.Duration) Objective {
	return Objective{share: share, maxLatency: maxLatency}
}

// Share returns the share of jobs, from 0 to below 1.
func (o Objective) Share() float64 { return o.share }

// MaxLatency returns the time within which jobs must be answered.
func (o Objective) MaxLatency() time.Duration { return o.maxLatency }

// stricter returns the objective with the greater share, or with the lower
// maximum latency if the shares are equal.
func stricter(a, b Objective) Objective {
	if c := cmp.Or(cmp.Compare(b.share, a.share), cmp.Compare(a.maxLatency, b.maxLatency)); c > 0 {
		return b
	}
	return a
}

// Service holds the counts of a key's answers at one time.
type Service struct {
	key       Key
	objective Objective
	windows   map[Window]Counts
	minutes   []Point
	hours     []Point
}

// WithObjective returns a copy of s with another objective. The outcomes of the
// counted answers stay as they are.
func (s Service) WithObjective(o Objective) Service {
	s.objective = o
	return s
}

// Key returns the key.
func (s Service) Key() Key { return s.key }

// Objective returns the objective.
func (s Service) Objective() Objective { return s.objective }

// Counts returns the counts of a window.
func (s Service) Counts(w Window) Counts { return s.windows[w] }

// Minutes returns the counts of each minute of the last six hours that had
// answers, oldest first. The list is empty if the snapshot was taken without
// series.
func (s Service) Minutes() []Point { return s.minutes }

// Hours returns the counts of each hour of the last three days that had answers,
// oldest first. The list is empty if the snapshot was taken without series.
func (s Service) Hours() []Point { return s.hours }

// BurnRate returns the burn rate over a window.
func (s Service) BurnRate(w Window) float64 { return s.windows[w].BurnRate(s.objective.share) }

// BudgetLeft returns the share of the error budget of the last three days that
// is left: 1 if no answer was bad, below 0 if more answers were bad than the
// objective allows.
func (s Service) BudgetLeft() float64 { return 1 - s.BurnRate(Window3d) }

// Verdict returns how urgent the burn rates are.
func (s Service) Verdict() Verdict {
	if s.objective.share <= 0 || s.windows[Window3d].Total() == 0 {
		return VerdictNone
	}
	for _, a := range alerts {
		if s.BurnRate(a.long) >= a.burnRate && s.BurnRate(a.short) >= a.burnRate {
			return a.verdict
		}
	}
	return VerdictOK
}

// Snapshot holds the counts of one or more daemons at one time.
type Snapshot struct {
	now      time.Time
	since    time.Time
	dropped  uint64
	services []Service
}

// Now returns the time of the snapshot, the latest one if it is of several
// daemons.
func (s Snapshot) Now() time.Time { return s.now }

// Since returns the time since which answers are counted, the earliest one if the
// snapshot is of several daemons.
func (s Snapshot) Since() time.Time { return s.since }

// Dropped returns the number of answers that were not counted because there
// were too many services.
func (s Snapshot) Dropped() uint64 { return s.dropped }

// Services returns the services, sorted by key.
func (s Snapshot) Services() []Service { return s.services }

// WithServices returns a copy of s with additional services, whose keys must not
// be in s.
func (s Snapshot) WithServices(services ...Service) Snapshot {
	s.services = slices.Concat(s.services, services)
	s.sort()
	return s
}

// Merge adds up the snapshots of several daemons. While a change of the settings
// spreads, daemons may have different objectives for a service; Merge uses the
// stricter one.
func Merge(snapshots ...Snapshot) Snapshot {
	var out Snapshot
	services := make(map[Key]Service)
	for i, s := range snapshots {
		if i == 0 || s.now.After(out.now) {
			out.now = s.now
		}
		if i == 0 || s.since.Before(out.since) {
			out.since = s.since
		}
		out.dropped += s.dropped
		for _, service := range s.services {
			if existing, ok := services[service.key]; ok {
				service = mergeServices(existing, service)
			}
			services[service.key] = service
		}
	}
	for _, s := range services {
		out.services = append(out.services, s)
	}
	out.sort()
	return out
}

// sort sorts the services by key.
func (s *Snapshot) sort() {
	slices.SortFunc(s.services, func(a, b Service) int {
		return cmp.Or(
			cmp.Compare(a.key.team, b.key.team),
			cmp.Compare(a.key.service, b.key.service),
			cmp.Compare(a.key.kind, b.key.kind),
		)
	})
}

func mergeServices(a, b Service) Service {
	out := Service{
		key:       a.key,
		objective: stricter(a.objective, b.objective),
		windows:   make(map[Window]Counts),
		minutes:   mergePoints(a.minutes, b.minutes),
		hours:     mergePoints(a.hours, b.hours),
	}
	for _, w := range Windows() {
		out.windows[w] = a.windows[w].Add(b.windows[w])
	}
	return out
}

// mergePoints merges two lists that are sorted by time. It adds up points with
// the same start.
func mergePoints(a, b []Point) []Point {
	out := make([]Point, 0, max(len(a), len(b)))
	for len(a) > 0 && len(b) > 0 {
		switch c := a[0].start.Compare(b[0].start); {
		case c < 0:
			out, a = append(out, a[0]), a[1:]
		case c > 0:
			out, b = append(out, b[0]), b[1:]
		default:
			out = append(out, Point{start: a[0].start, counts: a[0].counts.Add(b[0].counts)})
			a, b = a[1:], b[1:]
		}
	}
	return append(append(out, a...), b...)
}
