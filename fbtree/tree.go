package fbtree

import (
	"crypto/sha256"
	"iter"
	"maps"
	"slices"

	"github.com/filbertford/filbertford"
)

// MaxNodes is the maximum number of nodes in a tree.
const MaxNodes = 100_000

// Tree is one version of the settings. It is immutable and safe for concurrent
// use. The zero Tree has one node, the organisation, without settings.
type Tree struct {
	version    uint64
	nodes      map[Path]node
	rules      map[rulesKey]filbertford.Rules
	callerKeys map[string]map[hash]struct{}
	draining   map[filbertford.TargetID]struct{}
}

// node maps the keys that are set at one node to their values. It is never
// modified, since trees share nodes.
type node map[string]value

// hash is the SHA-256 hash of a caller's key.
type hash [sha256.Size]byte

// rulesKey is the key of rules in Tree.rules. The kind is empty for the rules of a
// service, the service and kind are empty for those of a team.
type rulesKey struct {
	team, service, kind string
}

var _ filbertford.Settings = (*Tree)(nil)

// Version returns the version of the tree, 0 if it has none.
func (t *Tree) Version() uint64 { return t.version }

// WithVersion returns a copy of the tree with another version.
func (t *Tree) WithVersion(v uint64) *Tree {
	out := *t
	out.version = v
	return &out
}

// Rules returns the rules for a job, or false if the tree has no such team,
// service or job kind. For an empty kind it returns the rules of the service. It
// does not allocate.
func (t *Tree) Rules(team, service, kind string) (filbertford.Rules, bool) {
	if service == "" {
		return filbertford.Rules{}, false
	}
	r, ok := t.rules[rulesKey{team, service, kind}]
	return r, ok
}

// TeamRules returns the rules that a team's services inherit, or false if the
// tree has no such team.
func (t *Tree) TeamRules(team string) (filbertford.Rules, bool) {
	r, ok := t.rules[rulesKey{team: team}]
	return r, ok && team != ""
}

// Draining reports whether the target is set to get no new tasks.
func (t *Tree) Draining(target filbertford.TargetID) bool {
	_, ok := t.draining[target]
	return ok
}

// Authorized reports whether the caller's key is valid for the team. A team
// without caller keys accepts any key.
func (t *Tree) Authorized(team, key string) bool {
	hashes, ok := t.callerKeys[team]
	if !ok {
		return true
	}
	_, ok = hashes[sha256.Sum256([]byte(key))]
	return ok
}

// AuthorizedOperator reports whether the key is one of the operator's keys. A tree
// without operator keys accepts any operator and key.
func (t *Tree) AuthorizedOperator(name, key string) bool {
	v, ok := t.nodes[Path{}][KeyOperatorKeys]
	if !ok {
		return true
	}
	return slices.Contains(v.hashes, namedHash{name: name, sum: sha256.Sum256([]byte(key))})
}

// Has reports whether the tree has the node. Every tree has the organisation.
func (t *Tree) Has(p Path) bool {
	_, ok := t.nodes[p]
	return ok || p == Path{}
}

// Get returns the value that the node itself sets, in canonical form, or false if
// it does not set the key.
func (t *Tree) Get(p Path, key string) (string, bool) {
	v, ok := t.nodes[p][key]
	return v.text, ok
}

// Paths returns the paths of all nodes in the order of Path.Compare.
func (t *Tree) Paths() []Path {
	paths := slices.SortedFunc(maps.Keys(t.nodes), Path.Compare)
	if !slices.Contains(paths, Path{}) {
		paths = slices.Insert(paths, 0, Path{})
	}
	return paths
}

// Children returns the nodes directly below p in the order of Path.Compare. VMs are
// not children of the organisation.
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

// Equal reports whether the trees have the same nodes and settings. It ignores
// their versions.
func (t *Tree) Equal(u *Tree) bool {
	return len(Diff(t, u)) == 0
}
