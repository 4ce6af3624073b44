package fbcheck

import (
	"fmt"
	"maps"
	"slices"
)

// Difference is a difference between two configurations.
type Difference struct {
	entry  string
	change string
}

// Entry returns the entry that differs, as in Finding.
func (d Difference) Entry() string { return d.entry }

// Change returns what differs.
func (d Difference) Change() string { return d.change }

// Compare returns what differs between the configuration in force and a newer one, sorted
// by entry.
func Compare(inForce, next Config) []Difference {
	out := compareServices(inForce.services, next.services)
	old, updated := byName(inForce.routes), byName(next.routes)
	for _, name := range slices.Sorted(maps.Keys(old)) {
		r, ok := updated[name]
		if !ok {
			out = append(out, Difference{name, "route is removed"})
			continue
		}
		for _, change := range compareRoutes(old[name], r) {
			out = append(out, Difference{name, change})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(updated)) {
		if _, ok := old[name]; !ok {
			out = append(out, Difference{name, "route is added, to service " + updated[name].service})
		}
	}
	if a, b := inForce.limits, next.limits; a != b {
		out = append(out, Difference{"limits", fmt.Sprintf("body %d -> %d, header %d -> %d, idle %v -> %v, header timeout %v -> %v",
			a.Body(), b.Body(), a.Header(), b.Header(), a.Idle(), b.Idle(), a.Read(), b.Read())})
	}
	if next.version <= inForce.version {
		out = append(out, Difference{"version", fmt.Sprintf("%d isn't newer than %d; it would be ignored", next.version, inForce.version)})
	}
	return out
}

// byName returns the routes by host and prefix. Of routes with the same name the first one
// is in force.
func byName(routes []Route) map[string]Route {
	out := make(map[string]Route, len(routes))
	for _, r := range routes {
		if _, ok := out[r.name()]; !ok {
			out[r.name()] = r
		}
	}
	return out
}

func compareServices(old, updated []string) []Difference {
	var out []Difference
	for _, name := range slices.Sorted(slices.Values(old)) {
		if !slices.Contains(updated, name) {
			out = append(out, Difference{name, "service is removed"})
		}
	}
	for _, name := range slices.Sorted(slices.Values(updated)) {
		if !slices.Contains(old, name) {
			out = append(out, Difference{name, "service is added"})
		}
	}
	return out
}

func compareRoutes(old, updated Route) []string {
	var out []string
	add := func(name string, a, b any) {
		if a != b {
			out = append(out, fmt.Sprintf("%s %v -> %v", name, a, b))
		}
	}
	add("service", old.service, updated.service)
	add("priority", old.priority, updated.priority)
	add("attempts", old.attempts, updated.attempts)
	add("stretch", old.stretch, updated.stretch)
	add("objective's constant part", old.slack, updated.slack)
	add("timeout", old.timeout, updated.timeout)
	return out
}
