package fbburn

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// snapshotJSON is the JSON form of a Snapshot. Times are Unix times in seconds.
type snapshotJSON struct {
	Now      int64         `json:"now_unix"`
	Since    int64         `json:"since_unix"`
	Dropped  uint64        `json:"dropped"`
	Services []serviceJSON `json:"services"`
}

// serviceJSON is the JSON form of a Service. The burn rates, the remaining budget
// and the verdict are written for readers of the JSON; decoding ignores them.
type serviceJSON struct {
	Team        string                `json:"team"`
	Service     string                `json:"service"`
	Kind        string                `json:"kind,omitempty"`
	Share       float64               `json:"objective_share"`
	ObjectiveMS float64               `json:"objective_ms"`
	Verdict     Verdict               `json:"verdict"`
	BudgetLeft  float64               `json:"budget_left"`
	Windows     map[Window]windowJSON `json:"windows"`
	Minutes     [][4]uint64           `json:"minutes,omitempty"`
	Hours       [][4]uint64           `json:"hours,omitempty"`
}

// windowJSON is the JSON form of the counts of a window.
type windowJSON struct {
	Good      uint64  `json:"good"`
	Bad       uint64  `json:"bad"`
	OverQuota uint64  `json:"over_quota"`
	Burn      float64 `json:"burn"`
}

// MarshalJSON implements json.Marshaler.
func (s Snapshot) MarshalJSON() ([]byte, error) {
	out := snapshotJSON{Now: s.now.Unix(), Since: s.since.Unix(), Dropped: s.dropped, Services: []serviceJSON{}}
	for _, service := range s.services {
		out.Services = append(out.Services, encodeService(service))
	}
	return json.Marshal(out)
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Snapshot) UnmarshalJSON(data []byte) error {
	var in snapshotJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return eris.Wrap(err, "decode a burn snapshot")
	}
	*s = Snapshot{now: time.Unix(in.Now, 0).UTC(), since: time.Unix(in.Since, 0).UTC(), dropped: in.Dropped}
	for _, service := range in.Services {
		if service.Share < 0 || service.Share >= 1 {
			return eris.Errorf("objective_share of %s/%s is %v, want 0 to below 1", service.Team, service.Service, service.Share)
		}
		s.services = append(s.services, decodeService(service))
	}
	s.sort()
	return nil
}

func encodeService(s Service) serviceJSON {
	out := serviceJSON{
		Team: s.key.team, Service: s.key.service, Kind: s.key.kind,
		Share:       s.objective.share,
		ObjectiveMS: float64(s.objective.maxLatency) / float64(time.Millisecond),
		Verdict:     s.Verdict(),
		BudgetLeft:  s.BudgetLeft(),
		Windows:     make(map[Window]windowJSON),
		Minutes:     encodePoints(s.minutes),
		Hours:       encodePoints(s.hours),
	}
	for w, c := range s.windows {
		out.Windows[w] = windowJSON{Good: c.good, Bad: c.bad, OverQuota: c.overQuota, Burn: s.BurnRate(w)}
	}
	return out
}

func decodeService(in serviceJSON) Service {
	out := Service{
		key:       NewKey(in.Team, in.Service, in.Kind),
		objective: NewObjective(in.Share, time.Duration(in.ObjectiveMS*float64(time.Millisecond))),
		windows:   make(map[Window]Counts),
		minutes:   decodePoints(in.Minutes),
		hours:     decodePoints(in.Hours),
	}
	for _, w := range Windows() {
		c := in.Windows[w]
		out.windows[w] = NewCounts(c.Good, c.Bad, c.OverQuota)
	}
	return out
}

// encodePoints returns each point as its start in Unix seconds and its counts of
// good, bad and over-quota answers.
func encodePoints(points []Point) [][4]uint64 {
	out := make([][4]uint64, len(points))
	for i, p := range points {
		out[i] = [4]uint64{uint64(p.start.Unix()), p.counts.good, p.counts.bad, p.counts.overQuota}
	}
	return out
}

func decodePoints(in [][4]uint64) []Point {
	var out []Point
	for _, p := range in {
		out = append(out, Point{start: time.Unix(int64(p[0]), 0).UTC(), counts: NewCounts(p[1], p[2], p[3])})
	}
	return out
}
