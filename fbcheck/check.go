package fbcheck

import (
	"fmt"
	"slices"
	"strings"
)

// Severity is the severity of a finding.
type Severity string

// The severities.
const (
	// SeverityError is the severity of an entry that is invalid or has no effect.
	SeverityError Severity = "error"
	// SeverityWarning is the severity of an entry that may be intended.
	SeverityWarning Severity = "warning"
)

// Finding is a problem of a configuration.
type Finding struct {
	severity Severity
	entry    string
	reason   string
}

// Severity returns the severity.
func (f Finding) Severity() Severity { return f.severity }

// Entry returns the entry that the finding is about: the host and prefix of a route, the
// name of a service, "limits" or "version".
func (f Finding) Entry() string { return f.entry }

// Reason returns what is wrong.
func (f Finding) Reason() string { return f.reason }

// checker collects the findings of a configuration.
type checker struct {
	findings []Finding
}

func (c *checker) errorf(entry, format string, args ...any) {
	c.findings = append(c.findings, Finding{SeverityError, entry, fmt.Sprintf(format, args...)})
}

func (c *checker) warnf(entry, format string, args ...any) {
	c.findings = append(c.findings, Finding{SeverityWarning, entry, fmt.Sprintf(format, args...)})
}

// Check returns the problems of a configuration. Targets is the number of targets of each
// service, nil if it is not known.
func Check(c Config, targets map[string]int) []Finding {
	var out checker
	if c.version == 0 {
		out.errorf("version", "is missing or 0")
	}
	out.checkServices(c, targets)
	first := make(map[string]int)
	for i, r := range c.routes {
		out.checkMatch(c, r)
		out.checkPolicy(r)
		if j, ok := first[r.name()]; ok {
			out.errorf(r.name(), "route %d never matches: route %d has the same host and prefix", i+1, j+1)
			continue
		}
		first[r.name()] = i
	}
	out.checkLimits(c)
	return out.findings
}

func (c *checker) checkServices(cfg Config, targets map[string]int) {
	seen := make(map[string]bool)
	for _, name := range cfg.services {
		switch {
		case name == "":
			c.errorf("services", "a service has no name")
		case seen[name]:
			c.errorf(name, "service is listed twice")
		case targets != nil && targets[name] == 0:
			c.warnf(name, "service has no targets")
		}
		seen[name] = true
	}
}

// checkMatch reports a route that no request can match, or whose service doesn't exist.
func (c *checker) checkMatch(cfg Config, r Route) {
	switch {
	case r.host == "":
		c.errorf(r.name(), "has no host")
	case strings.Contains(r.host, ":"):
		c.errorf(r.name(), "never matches: hosts are compared without the port")
	}
	switch {
	case !strings.HasPrefix(r.prefix, "/"):
		c.errorf(r.name(), "never matches: the prefix doesn't begin with a slash")
	case strings.ContainsAny(r.prefix, "?#"):
		c.errorf(r.name(), "never matches: a path has no query or fragment")
	case !strings.HasSuffix(r.prefix, "/"):
		c.warnf(r.name(), "prefix doesn't end with a slash, so that it matches longer names too")
	}
	if !slices.Contains(cfg.services, r.service) {
		c.errorf(r.name(), "service %q doesn't exist", r.service)
	}
}

func (c *checker) checkPolicy(r Route) {
	if r.priority < 0 {
		c.errorf(r.name(), "priority is %d; the highest is 0", r.priority)
	}
	if r.attempts < 1 {
		c.errorf(r.name(), "attempts is %d, must be at least 1", r.attempts)
	}
	if r.stretch < 1 {
		c.errorf(r.name(), "stretch is %v, must be at least 1", r.stretch)
	}
	if r.slack < 0 {
		c.errorf(r.name(), "objective's constant part is %v, must not be negative", r.slack)
	}
	switch {
	case r.timeout < 0:
		c.errorf(r.name(), "timeout is %v, must not be negative", r.timeout)
	case r.timeout > 0 && r.timeout <= r.slack:
		c.errorf(r.name(), "timeout %v is not longer than the objective's constant part %v", r.timeout, r.slack)
	}
}

func (c *checker) checkLimits(cfg Config) {
	l := cfg.limits
	if l.Body() < 0 || l.Header() < 0 {
		c.errorf("limits", "a size is negative: body %d, header %d", l.Body(), l.Header())
	}
	if l.Idle() < 0 || l.Read() < 0 {
		c.errorf("limits", "a timeout is negative: idle %v, header %v", l.Idle(), l.Read())
	}
	if l.Idle() > 0 && l.Read() > l.Idle() {
		c.errorf("limits", "header timeout %v is longer than the idle timeout %v, which closes the connection first", l.Read(), l.Idle())
	}
}
