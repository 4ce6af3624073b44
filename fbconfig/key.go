package fbconfig

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// Key describes a setting of a settings file.
type Key struct {
	section     string
	name        string
	defaultText string
	allowed     string
	description string
	validate    func(text string) error
}

// Section returns the section of the key.
func (k Key) Section() string { return k.section }

// Name returns the key's name within its section.
func (k Key) Name() string { return k.name }

// Default returns the text that applies if the file does not set the key.
func (k Key) Default() string { return k.defaultText }

// Allowed returns the allowed values.
func (k Key) Allowed() string { return k.allowed }

// Description returns the description of the setting for the documentation.
func (k Key) Description() string { return k.description }

// Keys returns all keys of the settings file of an entry daemon, in the order of
// the documentation.
func Keys() []Key { return daemonKeys }

// NodeKeys returns all keys of the settings file of a daemon of a fleet, in the
// order of the documentation.
func NodeKeys() []Key { return nodeKeys }

var nodeKeys = []Key{
	textKey("node", "name", "node-1", "the name of the daemon in its fleet"),
	textKey("node", "data-centre", "nordnes", "the data centre that the daemon runs in"),
	textListKey("node", "data-centres", "nordnes", "all data centres; each has a pool of targets"),
	addressKey("node", "callers", "127.0.0.1:7200", "the listener for callers"),
	addressKey("node", "readiness", "127.0.0.1:7201", "the listener for the readiness probes of the load balancer"),
	addressKey("node", "peers", "127.0.0.1:7202", "the listener for other daemons, which connect to this address unless advertise is set"),
	optionalAddressKey("node", "advertise", "the address at which other daemons reach the listener for peers, if it differs from peers"),
	addressKey("node", "metrics", "127.0.0.1:7203", "the listener for metrics"),
	addressListKey("node", "seeds", "", "peer listeners of other daemons, contacted at startup in case the store is unreachable"),
	addressKey("node", "store", "127.0.0.1:7000", "the platform's store"),
	floatKey("node", "processor", "1", 0.001, 1024, "the number of cores of the daemon; daemons with more cores are preferred as owners of pools"),
	intKey("node", "memory-mb", "256", 16, 65536, "the maximum memory of the process in megabytes"),
	intKey("node", "owner-gc-percent", "100", 50, 1000, "by how many percent the heap may grow between two garbage collections while the daemon owns a pool; a higher value takes more memory, up to memory-mb, and less processor time"),
	durationKey("node", "grace", "6s", 0, time.Minute, "the time from the stop request until the process is killed"),

	intKey("limits", "max-header", "16384", 1024, 1<<20, "the maximum size of a request's headers in bytes"),
	maxConnectionsKey,
	maxDescriptorsKey,
	memoryPercentKey,
	intKey("limits", "stored-percent", "20", 1, 75, "the part of the memory of the process that the stored jobs of its shards may take, in percent; further ones are refused"),
	bodyTimeoutKey,
	bodyRateKey,
	writeTimeoutKey,

	choiceKey("scheduling", "admission", "backlog", []string{"backlog", "objective"}, "which jobs are accepted: all but those that the shortest queue makes useless, or only those that are expected to meet their objective or to end late without delaying others"),
	choiceKey("scheduling", "order", "deadline", []string{"deadline", "priority"}, "the order in which a pool starts waiting tasks: by the latest start that meets the objective, or by the priority of the route first"),
	choiceKey("scheduling", "placement", "fastest", []string{"fastest", "in-time"}, "the target of a task: the one on which it ends first or, while capacity is scarce, the slowest one on which it meets its objective"),
	choiceKey("scheduling", "backfill", "off", []string{"off", "on"}, "whether a pool reserves targets for large tasks and fills the time until their start with small ones"),
	choiceKey("scheduling", "rebalance", "off", []string{"off", "on"}, "whether waiting tasks are moved to pools with free capacity"),
	choiceKey("log", "format", "logfmt", []string{"logfmt", "json"}, "the format of log lines"),
}

// Keys of the limits on callers, which both daemons have.
var (
	maxConnectionsKey = intKey("limits", "max-connections", "4096", 1, 1<<20, "the maximum number of open connections of callers; it is never more than half of the descriptors, or than the memory for callers allows")
	maxDescriptorsKey = intKey("limits", "max-descriptors", "0", 0, 1<<20, "the maximum number of descriptors of the process, if it is lower than that of the operating system; 0 for that one")
	memoryPercentKey  = intKey("limits", "memory-percent", "20", 1, 75, "the part of the memory of the process that connections and requests of callers may take together, in percent")
	bodyTimeoutKey    = durationKey("limits", "body-timeout", "10s", 100*time.Millisecond, 10*time.Minute, "the longest time by which the body of a request may be behind body-rate")
	bodyRateKey       = intKey("limits", "body-rate", "1024", 1, 1<<30, "the number of bytes of a body that a caller must send in a second")
	writeTimeoutKey   = durationKey("limits", "write-timeout", "10s", 100*time.Millisecond, 10*time.Minute, "the longest time that a caller may take to read 16 KB of an answer")
)

var daemonKeys = []Key{
	textKey("daemon", "vm", "entry-1", "the name of the VM in the platform's list"),
	textKey("daemon", "data-centre", "nordnes", "the data centre that the VM runs in"),
	addressKey("daemon", "callers", "127.0.0.1:7100", "the listener for callers"),
	addressKey("daemon", "peers", "127.0.0.1:7101", "the listener for other entry daemons; its address is part of owner tokens"),
	addressKey("daemon", "operations", "127.0.0.1:7102", "the listener for operators and metrics"),
	addressKey("daemon", "platform", "127.0.0.1:7000", "the platform's table service, object store and VM list"),
	addressListKey("daemon", "seeds", "", "peer listeners of other daemons, contacted at startup in case the platform is unreachable"),
	textListKey("daemon", "data-centres", "nordnes,sandviken", "all data centres, the same at every daemon; opaque keys are divided among them"),
	textKey("daemon", "operator-key", "", "the key that requests to the operations listener must carry; may be empty only if operations listens at a loopback address; then every request is accepted"),

	intKey("limits", "max-body", "1048576", 1024, 64<<20, "the maximum size of a request body in bytes"),
	intKey("limits", "max-header", "16384", 1024, 1<<20, "the maximum size of a request's headers in bytes"),
	maxConnectionsKey,
	maxDescriptorsKey,
	memoryPercentKey,
	bodyTimeoutKey,
	bodyRateKey,
	writeTimeoutKey,
	durationKey("limits", "read-timeout", "10s", time.Millisecond, time.Minute, "the timeout for reading the header of a caller's request"),
	durationKey("limits", "idle-timeout", "2m", time.Second, time.Hour, "the time after which an idle connection is closed"),
	intKey("limits", "max-submissions", "120000", 1, 10_000_000, "the maximum number of submission IDs remembered in full"),
	intKey("limits", "max-answers", "16777216", 0, 1<<30, "the maximum size of the results kept for resubmissions in bytes"),
	intKey("limits", "memory", "134217728", 32<<20, 64<<30, "the soft memory limit of the process in bytes; the garbage collector runs more often near it"),
	intKey("limits", "max-events", "8192", 16, 1<<20, "the maximum number of events queued for the control goroutine"),

	durationKey("ownership", "epoch", "1m", time.Second, time.Hour, "the length of a token epoch"),
	intKey("ownership", "horizon", "5", 1, 1440, "the number of token epochs after its own for which an ID is remembered"),
	intKey("ownership", "opaque-horizon", "1440", 1, 100_000, "the number of token epochs for which an opaque key is remembered as used"),

	durationKey("membership", "vm-poll", "2s", 10*time.Millisecond, time.Minute, "the time between two reads of the VM list"),
	durationKey("membership", "heartbeat", "2s", 10*time.Millisecond, time.Minute, "the time between two heartbeats of a pair of daemons; longer between data centres with many daemons"),
	durationKey("membership", "timeout", "5s", 20*time.Millisecond, 5*time.Minute, "the time without a heartbeat after which a daemon counts as unreachable; lengthened by the same factor as heartbeat"),
	durationKey("membership", "view-lease", "12s", 50*time.Millisecond, time.Minute, "the time for which a confirmed view of opaque keys is valid"),
	durationKey("membership", "clock-drift", "250ms", 0, 10*time.Second, "the maximum drift between two clocks within a view lease"),

	durationKey("settings", "poll", "1s", 10*time.Millisecond, time.Minute, "the time between two reads of the settings' head row"),
	durationKey("settings", "request-timeout", "2s", 10*time.Millisecond, time.Minute, "the timeout of a request to the platform or a peer"),

	durationKey("stop", "grace", "1s", 0, time.Minute, "the time for which a stopping daemon that reports itself as not ready still accepts first deliveries"),
	durationKey("stop", "drain", "1m", time.Second, time.Hour, "the maximum time that a stopping daemon waits for jobs in flight"),

	choiceKey("policy", "name", "adaptive", []string{"adaptive", "random", "round-robin", "least-outstanding", "two-choices"}, "the placement policy"),
	intKey("policy", "seed", "1", 0, 1<<31, "the seed of the policy's random choices"),
	durationKey("policy", "tick", "10ms", time.Millisecond, time.Second, "the time between two checks of deadlines, leases and stop requests"),
	intKey("policy", "target-connections", "16", 2, 64, "the maximum number of connections from this daemon to one target, within its share of those that the target accepts"),
}

func textKey(section, name, defaultText, description string) Key {
	return Key{section, name, defaultText, "text of up to 255 bytes", description, func(s string) error {
		if len(s) > 255 {
			return fmt.Errorf("is longer than 255 bytes")
		}
		return nil
	}}
}

func textListKey(section, name, defaultText, description string) Key {
	k := textKey(section, name, defaultText, description)
	k.allowed = "comma-separated names"
	return k
}

func addressKey(section, name, defaultText, description string) Key {
	return Key{section, name, defaultText, "host:port", description, checkAddress}
}

func optionalAddressKey(section, name, description string) Key {
	return Key{section, name, "", "host:port or empty", description, func(s string) error {
		if s == "" {
			return nil
		}
		return checkAddress(s)
	}}
}

func addressListKey(section, name, defaultText, description string) Key {
	return Key{section, name, defaultText, "comma-separated list of host:port", description, func(s string) error {
		for _, a := range splitList(s) {
			if err := checkAddress(a); err != nil {
				return err
			}
		}
		return nil
	}}
}

func intKey(section, name, defaultText string, low, high int, description string) Key {
	return Key{section, name, defaultText, fmt.Sprintf("%d to %d", low, high), description, func(s string) error {
		n, err := strconv.Atoi(s)
		if err != nil {
			return fmt.Errorf("is not an integer")
		}
		if n < low || n > high {
			return fmt.Errorf("is not in the range %d to %d", low, high)
		}
		return nil
	}}
}

func floatKey(section, name, defaultText string, low, high float64, description string) Key {
	return Key{section, name, defaultText, fmt.Sprintf("%g to %g", low, high), description, func(s string) error {
		n, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return fmt.Errorf("is not a number")
		}
		if !(n >= low && n <= high) {
			return fmt.Errorf("is not in the range %g to %g", low, high)
		}
		return nil
	}}
}

func durationKey(section, name, defaultText string, low, high time.Duration, description string) Key {
	return Key{section, name, defaultText, fmt.Sprintf("%v to %v", low, high), description, func(s string) error {
		d, err := time.ParseDuration(s)
		if err != nil {
			return fmt.Errorf("is not a duration such as 250ms or 2s")
		}
		if d < low || d > high {
			return fmt.Errorf("is not in the range %v to %v", low, high)
		}
		return nil
	}}
}

func choiceKey(section, name, defaultText string, choices []string, description string) Key {
	allowed := strings.Join(choices, ", ")
	return Key{section, name, defaultText, allowed, description, func(s string) error {
		for _, c := range choices {
			if s == c {
				return nil
			}
		}
		return fmt.Errorf("is not one of %s", allowed)
	}}
}

func checkAddress(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return fmt.Errorf("is not of the form host:port")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("has no port in the range 1 to 65535")
	}
	return nil
}

// splitList returns the items of a comma-separated list, without spaces around
// them and without empty items.
func splitList(s string) []string {
	var out []string
	for item := range strings.SplitSeq(s, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
