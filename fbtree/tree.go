package fbtree

import (
	"crypto/sha256"
	"iter"
	"maps"
	"slices"

	"github.com/filbertford/filbertford"
)

// MaxNodes is the greatest number of nodes that a tree may have.
const MaxNodes = 100_000

// Tree is one version of the settings. It is immutable and safe for concurrent
// use. Its zero value holds the organisation without any setting.
type Tree struct {
	version    uint64
	nodes      map[Path]node
	rules      map[rulesKey]filbertford.Rules
	callerKeys map[string]map[hash]struct{}
	draining   map[filbertford.TargetID]struct{}
}

// node holds the settings that stand at one node. It is never changed.
type node map[string]value

// hash is the SHA-256 hash of a key.
type hash [sha256.Size]byte

// rulesKey names what rules are looked up for. The kind is empty for a service's
// own rules, the service and kind are empty for a team's.
type rulesKey struct {
	team, service, kind string
}

var _ filbertford.Settings = (*Tree)(nil)

// Version returns the version of the tree, 0 if it has none yet.
func (t *Tree) Version() uint64 { return t.version }

// WithVersion returns the same tree under another version.
func (t *Tree) WithVersion(v uint64) *Tree {
	out := *t
	out.version = v
	return &out
}

// Rules returns the rules for a job, or false if the tree knows no such team,
// service or job kind. An empty kind asks for the service's own. It does not
// allocate.
func (t *Tree) Rules(team, service, kind string) (filbertford.Rules, bool) {
	if service == "" {
		return filbertford.Rules{}, false
	}
	r, ok := t.rules[rulesKey{team, service, kind}]
	return r, ok
}

// TeamRules returns the rules that a team's services inherit, or false if there
// is no such team.
func (t *Tree) TeamRules(team string) (filbertford.Rules, bool) {
	r, ok := t.rules[rulesKey{team: team}]
	return r, ok && team != ""
}

// Draining reports whether operators want the target to get no new work.
func (t *Tree) Draining(target filbertford.TargetID) bool {
	_, ok := t.draining[target]
	return ok
}

// Authorized reports whether the caller's key is good for the team. A team that
// has no keys takes any.
func (t *Tree) Authorized(team, key string) bool {
	hashes, ok := t.callerKeys[team]
	if !ok {
		return true
	}
	_, ok = hashes[sha256.Sum256([]byte(key))]
	return ok
}

// AuthorizedOperator reports whether the key is one of the operator's. A tree
// that names no operators takes any.
func (t *Tree) AuthorizedOperator(name, key string) bool {
	v, ok := t.nodes[Path{}][KeyOperatorKeys]
	if !ok {
		return true
	}
	return slices.Contains(v.hashes, namedHash{name: name, sum: sha256.Sum256([]byte(key))})
}

// Has reports whether the tree has the node. The organisation is always there.
func (t *Tree) Has(p Path) bool {
	_, ok := t.nodes[p]
	return ok || p == Path{}
}

// Get returns the value that stands at the node itself, in canonical form, or
// false if the node does not set the key.
func (t *Tree) Get(p Path, key string) (string, bool) {
	v, ok := t.nodes[p][key]
	return v.text, ok
}

// Paths returns the paths of all nodes, each before those below it.
func (t *Tree) Paths() []Path {
	paths := slices.SortedFunc(maps.Keys(t.nodes), Path.Compare)
	if !slices.Contains(paths, Path{}) {
		paths = slices.Insert(paths, 0, Path{})
	}
	return paths
}

// Children returns the nodes directly below p, in order.
func (t *Tree) Children(p Path) iter.Seq[Path] {
	return func(yield func(Path) bool) {
		for _, q := range t.Paths() {
			isChild := q != p && q.Parent() == p && q.Level() != LevelVM
			if isChild && !yield(q) {
				return
			}
		}
	}
}

// Equal reports whether the trees hold the same nodes and settings. Versions
// don't count.
func (t *Tree) Equal(u *Tree) bool {
	return len(Diff(t, u)) == 0
}
