// Package fbcheck checks a configuration of routes before an operator sends it, and
// compares it with the one in force. It does no input or output.
package fbcheck

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Route is a route as an operator wrote it, with values that may be invalid.
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

// NewRoute returns a route of a host and a path prefix to a service.
func NewRoute(host, prefix, service string) Route {
	return Route{host: host, prefix: prefix, service: service}
}

// WithPolicy returns a copy of r with the priority and the number of attempts at a task.
func (r Route) WithPolicy(priority, attempts int) Route {
	r.priority, r.attempts = priority, attempts
	return r
}

// WithObjective returns a copy of r with the factor and the constant part of the latency
// objective, and with the timeout of a request, 0 for none.
func (r Route) WithObjective(stretch float64, slack, timeout time.Duration) Route {
	r.stretch, r.slack, r.timeout = stretch, slack, timeout
	return r
}

func (r Route) name() string { return r.host + r.prefix }

// Config is a version of the configuration.
type Config struct {
	version  uint64
	routes   []Route
	services []string
	limits   filbertford.RequestLimits
}

// NewConfig returns a version with its routes, the names of its services and the limits
// of requests.
func NewConfig(version uint64, routes []Route, services []string, limits filbertford.RequestLimits) Config {
	return Config{version: version, routes: routes, services: services, limits: limits}
}

// Version returns the version.
func (c Config) Version() uint64 { return c.version }
