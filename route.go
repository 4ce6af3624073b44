package filbertford

import (
	"math"
	"strings"
	"time"
)

// Route maps the jobs that callers send to a host and a path prefix to a service.
type Route struct {
	host     string
	prefix   string
	service  string
	priority int
	attempts int
	stretch  float64
	slack    time.Duration
	timeout  time.Duration
}

// NewRoute returns a route to the service.
func NewRoute(host, prefix, service string) Route {
	return Route{host: host, prefix: prefix, service: service, attempts: 1, stretch: 1}
}

// maxObjective is the longest constant and the longest variable part of a latency objective. The sum
// of both and of the time since boot doesn't overflow.
const maxObjective = 100 * 365 * 24 * time.Hour

// WithPolicy returns a copy of r with the priority, 0 first, and the number of
// failed runs of a task after which its job fails, at least 1. Both have 31 bits at most.
func (r Route) WithPolicy(priority, attempts int) Route {
	r.priority, r.attempts = min(max(priority, 0), math.MaxInt32), min(max(attempts, 1), math.MaxInt32)
	return r
}

// WithObjective returns a copy of r with the latency objective of its jobs,
// stretch times the run time of the job's longest chain of dependent tasks plus
// the slack, and with their timeout, 0 for none. The stretch is at least 1.
func (r Route) WithObjective(stretch float64, slack, timeout time.Duration) Route {
	r.stretch, r.slack, r.timeout = max(stretch, 1), min(max(slack, -maxObjective), maxObjective), min(timeout, maxObjective)
	return r
}

// Host returns the host that the route serves.
func (r Route) Host() string { return r.host }

// Prefix returns the path prefix.
func (r Route) Prefix() string { return r.prefix }

// Service returns the service whose targets run the tasks.
func (r Route) Service() string { return r.service }

// Priority returns the priority, 0 first.
func (r Route) Priority() int { return r.priority }

// Attempts returns the number of failed runs of a task after which its job fails.
func (r Route) Attempts() int { return r.attempts }

// Timeout returns the timeout of a request, 0 for none.
func (r Route) Timeout() time.Duration { return r.timeout }

// Stretch returns the factor of the latency objective.
func (r Route) Stretch() float64 { return r.stretch }

// Slack returns the constant part of the latency objective.
func (r Route) Slack() time.Duration { return r.slack }

// Objective returns the latency objective of a job whose longest chain of
// dependent tasks runs for the given time.
func (r Route) Objective(chain time.Duration) time.Duration {
	return time.Duration(min(float64(chain)*r.stretch, float64(maxObjective))) + r.slack
}

// Routes is one version of the routing table. The zero Routes has version 0 and
// no routes.
type Routes struct {
	version uint64
	byHost  map[string][]Route
	limits  RequestLimits
}

// RequestLimits are the limits of callers' requests.
type RequestLimits struct {
	body   int
	header int
	idle   time.Duration
	read   time.Duration
}

// NewRequestLimits returns limits of the body and the header in bytes, of the
// time that a connection may be idle, and of the time to read a header. A limit
// of 0 means none.
func NewRequestLimits(body, header int, idle, read time.Duration) RequestLimits {
	return RequestLimits{body: body, header: header, idle: idle, read: read}
}

// Body returns the size of the largest body in bytes, 0 for no limit.
func (l RequestLimits) Body() int { return l.body }

// Header returns the size of the largest header in bytes, 0 for no limit.
func (l RequestLimits) Header() int { return l.header }

// Idle returns how long a connection may be idle, 0 for no limit.
func (l RequestLimits) Idle() time.Duration { return l.idle }

// Read returns how long reading a header may take, 0 for no limit.
func (l RequestLimits) Read() time.Duration { return l.read }

// NewRoutes returns a version of the routing table.
func NewRoutes(version uint64, limits RequestLimits, routes ...Route) *Routes {
	r := &Routes{version: version, byHost: make(map[string][]Route, len(routes)), limits: limits}
	for _, route := range routes {
		r.byHost[route.host] = append(r.byHost[route.host], route)
	}
	return r
}

// Version returns the version, which increases with each change.
func (r *Routes) Version() uint64 { return r.version }

// Limits returns the limits of requests.
func (r *Routes) Limits() RequestLimits { return r.limits }

// Len returns the number of routes.
func (r *Routes) Len() int {
	n := 0
	for _, list := range r.byHost {
		n += len(list)
	}
	return n
}

// Match returns the route of the host with the longest prefix of the path, and
// the rest of the path. It ignores a port in host.
func (r *Routes) Match(host, path string) (route Route, rest string, ok bool) {
	name, _, _ := strings.Cut(host, ":")
	for _, candidate := range r.byHost[name] {
		if !strings.HasPrefix(path, candidate.prefix) {
			continue
		}
		if !ok || len(candidate.prefix) > len(route.prefix) {
			route, rest, ok = candidate, path[len(candidate.prefix):], true
		}
	}
	return route, rest, ok
}
