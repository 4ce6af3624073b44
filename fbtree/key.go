package fbtree

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Type is the type of a key's values.
type Type string

// The types of values.
const (
	TypeInt      Type = "int"
	TypeFloat    Type = "float"
	TypeDuration Type = "duration"
	TypeWord     Type = "word"
	TypeHashes   Type = "hashes"
)

// Names of keys that code outside this package asks for.
const (
	KeyMaxTasks       = "max-tasks"
	KeyMaxQueue       = "max-queue"
	KeyQuota          = "quota"
	KeyBurst          = "burst"
	KeyTimeout        = "timeout"
	KeyMaxTimeout     = "max-timeout"
	KeyLease          = "lease"
	KeyMessageWeight  = "message-weight"
	KeySpill          = "spill"
	KeyObjectiveShare = "objective-share"
	KeyObjectiveTime  = "objective-time"
	KeyCallerKeys     = "caller-keys"
	KeyOperatorKeys   = "operator-keys"
	KeyState          = "state"
)

// Words of the key state.
const (
	StateLive     = "live"
	StateDraining = "draining"
)

// MaxHashes is the greatest number of hashes that one key holds.
const MaxHashes = 64

// Key describes a setting: its type, its range and the levels where it may
// stand.
type Key struct {
	name         string
	typ          Type
	unit         string
	limits       limits
	defaultValue string
	levels       []Level
	doc          string
	namedHashes  bool
	apply        func(filbertford.Rules, value) filbertford.Rules
}

// Name returns the key's name.
func (k Key) Name() string { return k.name }

// Type returns the type of the key's values.
func (k Key) Type() Type { return k.typ }

// Unit returns the unit of the value, empty if it has none or the type tells.
func (k Key) Unit() string { return k.unit }

// Range returns the allowed values in words.
func (k Key) Range() string { return k.limits.describe(k) }

// Default returns the value that holds where no level sets one.
func (k Key) Default() string { return k.defaultValue }

// Levels returns the levels where the key may stand.
func (k Key) Levels() []Level { return slices.Clone(k.levels) }

// Doc returns what the key does, in a sentence or two.
func (k Key) Doc() string { return k.doc }

// Secret reports whether values of the key are kept out of messages and logs.
func (k Key) Secret() bool { return k.typ == TypeHashes }

// AllowedAt reports whether the key may stand at the level.
func (k Key) AllowedAt(l Level) bool { return slices.Contains(k.levels, l) }

// Keys returns all keys in the order of the documentation.
func Keys() []Key { return slices.Clone(registry) }

// LookupKey returns the key of a name.
func LookupKey(name string) (Key, bool) {
	i, ok := keyIndex[name]
	if !ok {
		return Key{}, false
	}
	return registry[i], true
}

var keyIndex = indexKeys(registry)

func indexKeys(keys []Key) map[string]int {
	out := make(map[string]int, len(keys))
	for i, k := range keys {
		out[k.name] = i
	}
	return out
}

var (
	jobLevels  = []Level{LevelOrganisation, LevelTeam, LevelService, LevelKind}
	teamLevels = []Level{LevelOrganisation, LevelTeam}
)

// maxTimeout bounds the durations of jobs and of objectives.
const maxTimeout = time.Hour

// registry lists every key.
var registry = []Key{
	{
		name: KeyMaxTasks, typ: TypeInt, unit: "tasks", limits: numberRange(1, 10_000), defaultValue: "170", levels: jobLevels,
		doc:   "Most tasks that a job may have. A larger job is refused.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithMaxTasks(int(v.number)) },
	},
	{
		name: KeyMaxQueue, typ: TypeInt, unit: "tasks", limits: numberRange(0, 1_000_000), defaultValue: "10000", levels: jobLevels,
		doc:   "Most tasks that may wait at one daemon before jobs are refused as overloaded; 0 sets no bound.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithMaxQueue(int(v.number)) },
	},
	{
		name: KeyQuota, typ: TypeInt, unit: "tasks", limits: numberRange(0, 1_000_000), defaultValue: "0", levels: teamLevels,
		doc:   "Tasks of a team that may wait and run in a data centre; 0 sets no bound.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithQuota(int(v.number), r.Burst()) },
	},
	{
		name: KeyBurst, typ: TypeInt, unit: "tasks", limits: numberRange(0, 1_000_000), defaultValue: "0", levels: teamLevels,
		doc:   "Tasks by which a team may exceed its quota for a short time.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithQuota(r.Quota(), int(v.number)) },
	},
	{
		name: KeyTimeout, typ: TypeDuration, limits: durationRange(time.Millisecond, maxTimeout), defaultValue: "10s", levels: jobLevels,
		doc: "Timeout of a job that states none. It can't exceed max-timeout.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules {
			return r.WithTimeouts(v.duration(), r.MaxTimeout())
		},
	},
	{
		name: KeyMaxTimeout, typ: TypeDuration, limits: durationRange(time.Millisecond, maxTimeout), defaultValue: "5m0s", levels: jobLevels,
		doc: "Longest timeout that a job may state.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules {
			return r.WithTimeouts(r.Timeout(), v.duration())
		},
	},
	{
		name: KeyLease, typ: TypeDuration, limits: durationRange(100*time.Millisecond, 10*time.Minute), defaultValue: "10s", levels: []Level{LevelOrganisation},
		doc:   "How long a target lets a daemon's tasks run without a renewal. One lease covers all tasks of a daemon at a target, so it is set for the organisation only.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithLease(v.duration()) },
	},
	{
		name: KeyMessageWeight, typ: TypeFloat, limits: numberRange(0, 1), defaultValue: "0.5", levels: jobLevels,
		doc:   "Weight of wasted messages against response time: 0 looks at response time only, 1 at messages only.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithMessageWeight(v.number) },
	},
	{
		name: KeySpill, typ: TypeFloat, unit: "round trips", limits: numberRange(0, 100_000), defaultValue: "0", levels: jobLevels,
		doc:   "Wait, in round trips to another data centre, from which on a job is better started there; 0 keeps jobs where they arrive.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithSpill(v.number) },
	},
	{
		name: KeyObjectiveShare, typ: TypeFloat, limits: numberRange(0, 0.99999), defaultValue: "0.99", levels: jobLevels,
		doc: "Service-level objective: share of jobs that are answered complete within objective-time. 0 means that there is no objective.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules {
			_, within := r.Objective()
			return r.WithObjective(v.number, within)
		},
	},
	{
		name: KeyObjectiveTime, typ: TypeDuration, limits: durationRange(time.Millisecond, maxTimeout), defaultValue: "2s", levels: jobLevels,
		doc: "Service-level objective: the time within which jobs are to be answered complete.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules {
			share, _ := r.Objective()
			return r.WithObjective(share, v.duration())
		},
	},
	{
		name: KeyCallerKeys, typ: TypeHashes, levels: []Level{LevelTeam},
		doc: "SHA-256 hashes of the keys that the team's callers may present, separated by commas. A team without any takes every caller.",
	},
	{
		name: KeyOperatorKeys, typ: TypeHashes, levels: []Level{LevelOrganisation}, namedHashes: true,
		doc: "Operators with the SHA-256 hashes of their keys, NAME:HASH, separated by commas. A tree without any takes every operator.",
	},
	{
		name: KeyState, typ: TypeWord, limits: oneOf(StateLive, StateDraining), defaultValue: StateLive, levels: []Level{LevelVM},
		doc: "Whether the target gets new work: a draining one finishes what it runs and gets no more.",
	},
}
