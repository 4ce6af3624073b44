package fbconfig

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Config holds the settings of a daemon, each within its allowed range.
type Config struct {
	values map[string]string
}

// Problem is an error in a settings file.
type Problem struct {
	file    string
	section string
	key     string
	reason  string
}

// Error returns a text with the file, the section, the key and the reason.
func (p Problem) Error() string {
	if p.section == "" {
		return fmt.Sprintf("%s: %s", p.file, p.reason)
	}
	return fmt.Sprintf("%s: section [%s], key %q: %s", p.file, p.section, p.key, p.reason)
}

// Problems holds all errors in a settings file.
type Problems []Problem

// Error returns the texts of the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads the settings file of an entry daemon. If file is empty, it returns
// the embedded defaults. Overrides, of the form section.key=value, take precedence
// over the file. The error is a Problems that holds all errors found.
func Load(file string, overrides ...string) (*Config, error) {
	return load(file, daemonKeys, checkDaemon, overrides)
}

// LoadNode is like Load for the settings file of a daemon of a fleet.
func LoadNode(file string, overrides ...string) (*Config, error) {
	return load(file, nodeKeys, nil, overrides)
}

func load(file string, keys []Key, check func(*parser), overrides []string) (*Config, error) {
	var text []byte
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, Problems{{file: file, reason: err.Error()}}
		}
		text = data
	}
	return parse(file, text, keys, check, overrides)
}

// Parse is like Load for the text of a settings file. The name of the file is used
// in errors.
func Parse(name string, text []byte, overrides ...string) (*Config, error) {
	return parse(name, text, daemonKeys, checkDaemon, overrides)
}

// ParseNode is like Parse for the settings file of a daemon of a fleet.
func ParseNode(name string, text []byte, overrides ...string) (*Config, error) {
	return parse(name, text, nodeKeys, nil, overrides)
}

func parse(name string, text []byte, keys []Key, check func(*parser), overrides []string) (*Config, error) {
	if name == "" {
		name = "defaults"
	}
	file, err := ini.LoadSources(ini.LoadOptions{}, text)
	if err != nil {
		return nil, Problems{{file: name, reason: err.Error()}}
	}
	p := &parser{name: name, keys: keys, values: defaults(keys)}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			p.set(name, section.Name(), key.Name(), key.Value())
		}
	}
	for _, override := range overrides {
		p.applyOverride(override)
	}
	if check != nil && len(p.problems) == 0 {
		check(p)
	}
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return &Config{values: p.values}, nil
}

// Text returns the text of a setting. Like the other accessors, it panics if the
// key does not exist.
func (c *Config) Text(section, key string) string {
	v, ok := c.values[section+"."+key]
	if !ok {
		panic("fbconfig: no setting " + section + "." + key)
	}
	return v
}

// List returns the items of a comma-separated setting. It leaves out empty items.
func (c *Config) List(section, key string) []string { return splitList(c.Text(section, key)) }

// Int returns the value of an integer setting.
func (c *Config) Int(section, key string) int {
	n, err := strconv.Atoi(c.Text(section, key))
	if err != nil {
		panic("fbconfig: " + section + "." + key + " is not an integer")
	}
	return n
}

// Float returns the value of a floating-point setting.
func (c *Config) Float(section, key string) float64 {
	n, err := strconv.ParseFloat(c.Text(section, key), 64)
	if err != nil {
		panic("fbconfig: " + section + "." + key + " is not a number")
	}
	return n
}

// Duration returns the value of a duration setting.
func (c *Config) Duration(section, key string) time.Duration {
	d, err := time.ParseDuration(c.Text(section, key))
	if err != nil {
		panic("fbconfig: " + section + "." + key + " is not a duration")
	}
	return d
}

// parser collects the values and problems of a settings file.
type parser struct {
	name     string
	keys     []Key
	values   map[string]string
	problems Problems
}

func defaults(keys []Key) map[string]string {
	out := make(map[string]string, len(keys))
	for _, k := range keys {
		out[k.section+"."+k.name] = k.defaultText
	}
	return out
}

func (p *parser) set(source, section, name, value string) {
	for _, k := range p.keys {
		if k.section != section || k.name != name {
			continue
		}
		if err := k.validate(value); err != nil {
			reason := fmt.Sprintf("%q %v (allowed: %s)", value, err, k.allowed)
			p.problems = append(p.problems, Problem{source, section, name, reason})
			return
		}
		p.values[section+"."+name] = value
		return
	}
	p.problems = append(p.problems, Problem{source, section, name, "no such setting"})
}

func (p *parser) applyOverride(override string) {
	path, value, ok := strings.Cut(override, "=")
	section, name, hasSection := strings.Cut(path, ".")
	if !ok || !hasSection {
		p.problems = append(p.problems, Problem{file: "-set " + override, reason: "is not of the form section.key=value"})
		return
	}
	p.set("-set", section, name, value)
}

// checkDaemon adds a problem for each pair of inconsistent settings.
func checkDaemon(p *parser) {
	c := Config{values: p.values}
	if c.Duration("membership", "timeout") <= c.Duration("membership", "heartbeat") {
		p.problems = append(p.problems, Problem{p.name, "membership", "timeout", "must be longer than heartbeat"})
	}
	if c.Duration("membership", "clock-drift") >= c.Duration("membership", "view-lease") {
		p.problems = append(p.problems, Problem{p.name, "membership", "clock-drift", "must be shorter than view-lease"})
	}
	p.checkDataCentre(&c)
	p.checkOperatorKey(&c)
}

// checkOperatorKey requires a key if the operations listener can be reached from other
// machines.
func (p *parser) checkOperatorKey(c *Config) {
	if c.Text("daemon", "operator-key") != "" {
		return
	}
	address := c.Text("daemon", "operations")
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return // reported as a problem of its own
	}
	if ip := net.ParseIP(host); host == "localhost" || ip != nil && ip.IsLoopback() {
		return
	}
	p.problems = append(p.problems, Problem{p.name, "daemon", "operator-key", "must be set, because operations listens at " + address + ", which is not a loopback address"})
}

func (p *parser) checkDataCentre(c *Config) {
	dc := c.Text("daemon", "data-centre")
	for _, name := range c.List("daemon", "data-centres") {
		if name == dc {
			return
		}
	}
	p.problems = append(p.problems, Problem{p.name, "daemon", "data-centres", "does not name data-centre " + strconv.Quote(dc)})
}
