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

// The names of the keys.
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

// The values of KeyState.
const (
	StateLive     = "live"
	StateDraining = "draining"
)

// MaxHashes is the maximum number of hashes in a value of type TypeHashes.
const MaxHashes = 64

// Key describes a setting: its type, its range, its default and the levels at
// which it can be set.
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

// Unit returns the unit of the value, empty if it has none or the type implies
// it.
func (k Key) Unit() string { return k.unit }

// Range returns a description of the allowed values.
func (k Key) Range() string { return k.limits.describe(k) }

// Default returns the value in force where no node sets the key.
func (k Key) Default() string { return k.defaultValue }

// Levels returns the levels at which the key can be set.
func (k Key) Levels() []Level { return slices.Clone(k.levels) }

// Doc returns a description of the key in a few sentences.
func (k Key) Doc() string { return k.doc }

// Secret reports whether values of the key must not appear in messages and logs.
func (k Key) Secret() bool { return k.typ == TypeHashes }

// AllowedAt reports whether the key can be set at the level.
func (k Key) AllowedAt(l Level) bool { return slices.Contains(k.levels, l) }

// Keys returns all keys in the order of the documentation.
func Keys() []Key { return slices.Clone(registry) }

// LookupKey returns the key with the name, or false if there is none.
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

// maxTimeout is the maximum of the timeouts of jobs and of objective-time.
const maxTimeout = time.Hour

// registry lists all keys in the order of the documentation.
var registry = []Key{
	{
		name: KeyMaxTasks, typ: TypeInt, unit: "tasks", limits: numberRange(1, 10_000), defaultValue: "170", levels: jobLevels,
		doc:   "Maximum number of tasks in a job. A larger job is rejected.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithMaxTasks(int(v.number)) },
	},
	{
		name: KeyMaxQueue, typ: TypeInt, unit: "tasks", limits: numberRange(0, 1_000_000), defaultValue: "10000", levels: jobLevels,
		doc:   "Maximum number of tasks that may wait at one daemon; above it, jobs are rejected as overloaded. 0 sets no limit.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithMaxQueue(int(v.number)) },
	},
	{
		name: KeyQuota, typ: TypeInt, unit: "tasks", limits: numberRange(0, 1_000_000), defaultValue: "0", levels: teamLevels,
		doc:   "Number of tasks that a team may have waiting or running in a data centre; 0 sets no limit.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithQuota(int(v.number), r.Burst()) },
	},
	{
		name: KeyBurst, typ: TypeInt, unit: "tasks", limits: numberRange(0, 1_000_000), defaultValue: "0", levels: teamLevels,
		doc:   "Number of tasks by which a team may exceed its quota for a short time.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithQuota(r.Quota(), int(v.number)) },
	},
	{
		name: KeyTimeout, typ: TypeDuration, limits: durationRange(time.Millisecond, maxTimeout), defaultValue: "10s", levels: jobLevels,
		doc: "Timeout of a job that does not set one. It can't exceed max-timeout.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules {
			return r.WithTimeouts(v.duration(), r.MaxTimeout())
		},
	},
	{
		name: KeyMaxTimeout, typ: TypeDuration, limits: durationRange(time.Millisecond, maxTimeout), defaultValue: "5m0s", levels: jobLevels,
		doc: "Maximum timeout that a job may set.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules {
			return r.WithTimeouts(r.Timeout(), v.duration())
		},
	},
	{
		name: KeyLease, typ: TypeDuration, limits: durationRange(100*time.Millisecond, 10*time.Minute), defaultValue: "10s", levels: []Level{LevelOrganisation},
		doc:   "How long a target runs a daemon's tasks without a renewal of their lease. One lease covers all tasks of a daemon at a target, so it can be set for the organisation only.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithLease(v.duration()) },
	},
	{
		name: KeyMessageWeight, typ: TypeFloat, limits: numberRange(0, 1), defaultValue: "0.5", levels: jobLevels,
		doc:   "Weight of wasted messages against response time: 0 considers response time only, 1 considers messages only.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithMessageWeight(v.number) },
	},
	{
		name: KeySpill, typ: TypeFloat, unit: "round trips", limits: numberRange(0, 100_000), defaultValue: "0", levels: jobLevels,
		doc:   "How long a job waits, in round trips to another data centre, before its tasks are started there; 0 keeps jobs in the data centre where they arrive.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules { return r.WithSpill(v.number) },
	},
	{
		name: KeyObjectiveShare, typ: TypeFloat, limits: numberRange(0, 0.99999), defaultValue: "0.99", levels: jobLevels,
		doc: "Service-level objective: share of jobs that must get a complete answer within objective-time; 0 sets no objective.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules {
			_, within := r.Objective()
			return r.WithObjective(v.number, within)
		},
	},
	{
		name: KeyObjectiveTime, typ: TypeDuration, limits: durationRange(time.Millisecond, maxTimeout), defaultValue: "2s", levels: jobLevels,
		doc: "Service-level objective: time within which jobs must get a complete answer.",
		apply: func(r filbertford.Rules, v value) filbertford.Rules {
			share, _ := r.Objective()
			return r.WithObjective(share, v.duration())
		},
	},
	{
		name: KeyCallerKeys, typ: TypeHashes, levels: []Level{LevelTeam},
		doc: "SHA-256 hashes of the keys that the team's callers may present, separated by commas. A team without any accepts every caller.",
	},
	{
		name: KeyOperatorKeys, typ: TypeHashes, levels: []Level{LevelOrganisation}, namedHashes: true,
		doc: "Operators with the SHA-256 hashes of their keys, as NAME:HASH, separated by commas. A tree without any accepts every operator.",
	},
	{
		name: KeyState, typ: TypeWord, limits: oneOf(StateLive, StateDraining), defaultValue: StateLive, levels: []Level{LevelVM},
		doc: "Whether the target gets new tasks: a draining target finishes those that it runs and gets no more.",
	},
}
