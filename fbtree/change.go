package fbtree

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Op is what a change does.
type Op string

// The operations of changes.
const (
	// OpAdd adds a node without settings.
	OpAdd Op = "add"
	// OpRemove removes a node and everything below it.
	OpRemove Op = "remove"
	// OpSet sets a key at a node. A VM's node needs no adding.
	OpSet Op = "set"
	// OpUnset removes a key from a node, which then inherits it.
	OpUnset Op = "unset"
)

var (
	errNodeNotFound = errors.New("there is no such node")
	errNodeExists   = errors.New("the node is there already")
	errKeyNotSet    = errors.New("the key is not set at this node")
	errAddVMNode    = errors.New("a VM's node is added by setting a key of it")
	errUnknownOp    = errors.New("unknown operation; want add, remove, set or unset")
)

// Change is one step from a tree to the next.
type Change struct {
	op    Op
	path  Path
	key   string
	value string
}

// Add returns the change that adds a node.
func Add(p Path) Change { return Change{op: OpAdd, path: p} }

// Remove returns the change that removes a node and everything below it.
func Remove(p Path) Change { return Change{op: OpRemove, path: p} }

// Set returns the change that sets a key at a node.
func Set(p Path, key, value string) Change {
	return Change{op: OpSet, path: p, key: key, value: value}
}

// Unset returns the change that removes a key from a node.
func Unset(p Path, key string) Change { return Change{op: OpUnset, path: p, key: key} }

// Op returns what the change does.
func (c Change) Op() Op { return c.op }

// Path returns the node that is changed.
func (c Change) Path() Path { return c.path }

// Key returns the key that is set or unset.
func (c Change) Key() string { return c.key }

// Value returns the value that is set.
func (c Change) Value() string { return c.value }

// String returns the change as one line, without secrets.
func (c Change) String() string {
	switch c.op {
	case OpSet:
		return fmt.Sprintf("set %s %s = %s", c.path, c.key, MaskValue(c.key, c.value))
	case OpUnset:
		return fmt.Sprintf("unset %s %s", c.path, c.key)
	default:
		return fmt.Sprintf("%s %s", c.op, c.path)
	}
}

// MaskValue returns the value as it may be shown: values of secret and unknown
// keys are hidden.
func MaskValue(key, value string) string {
	if k, ok := LookupKey(key); ok && !k.Secret() {
		return value
	}
	return mask
}

// Apply returns the tree after the changes, applied in their order, under the
// same version. All of them are applied or none; the error is Problems.
func (t *Tree) Apply(changes ...Change) (*Tree, error) {
	nodes := maps.Clone(t.nodes)
	if nodes == nil {
		nodes = make(map[Path]node)
	}
	var problems Problems
	var changedPaths []Path
	for _, c := range changes {
		changedPaths = append(changedPaths, c.path)
		if err := apply(nodes, c); err != nil {
			problems = append(problems, newProblem(c.path, c.key, c.value, err))
		}
	}
	if len(problems) > 0 {
		return nil, problems
	}
	out, problems := t.rebuild(nodes, changedPaths)
	if len(problems) > 0 {
		return nil, problems
	}
	return out.WithVersion(t.version), nil
}

// apply changes nodes. It replaces the maps of single nodes, which older trees
// share.
func apply(nodes map[Path]node, c Change) error {
	_, exists := nodes[c.path]
	exists = exists || c.path == Path{}
	switch {
	case c.op == OpAdd:
		return addNode(nodes, c.path, exists)
	case !exists && (c.op != OpSet || c.path.Level() != LevelVM):
		return errNodeNotFound
	case c.op == OpRemove:
		return removeNode(nodes, c.path)
	case c.op == OpSet:
		return setKey(nodes, c)
	case c.op == OpUnset:
		return unsetKey(nodes, c)
	default:
		return errUnknownOp
	}
}

func addNode(nodes map[Path]node, p Path, exists bool) error {
	if exists {
		return errNodeExists
	}
	if p.Level() == LevelVM {
		return errAddVMNode
	}
	nodes[p] = node{}
	return nil
}

func removeNode(nodes map[Path]node, p Path) error {
	if p.Level() == LevelOrganisation {
		return errors.New("the organisation can't be removed")
	}
	for q := range nodes {
		if p.Contains(q) {
			delete(nodes, q)
		}
	}
	return nil
}

func setKey(nodes map[Path]node, c Change) error {
	v, err := parseSetting(c.path, c.key, c.value)
	if err != nil {
		return err
	}
	n := maps.Clone(nodes[c.path])
	if n == nil {
		n = make(node)
	}
	n[c.key] = v
	nodes[c.path] = n
	return nil
}

func unsetKey(nodes map[Path]node, c Change) error {
	if _, ok := nodes[c.path][c.key]; !ok {
		return errKeyNotSet
	}
	n := maps.Clone(nodes[c.path])
	delete(n, c.key)
	nodes[c.path] = n
	if len(n) == 0 && c.path.Level() == LevelVM {
		delete(nodes, c.path)
	}
	return nil
}

// Diff returns the changes that lead from a tree to another, in an order in
// which they can be applied.
func Diff(from, to *Tree) []Change {
	changes := removals(from, to)
	for p, n := range to.nodes {
		changes = append(changes, diffNode(p, from, n)...)
	}
	if _, ok := to.nodes[Path{}]; !ok {
		changes = append(changes, diffNode(Path{}, from, nil)...)
	}
	slices.SortFunc(changes, compareChanges)
	return changes
}

// removals returns the nodes that are gone, without those that go with a node
// above them.
func removals(from, to *Tree) []Change {
	var changes []Change
	for p := range from.nodes {
		parent := p.Parent()
		removedWithParent := p.Level() != LevelVM && !to.Has(parent)
		if !to.Has(p) && !removedWithParent {
			changes = append(changes, Remove(p))
		}
	}
	return changes
}

// diffNode returns the changes that give the node at p the settings n.
func diffNode(p Path, from *Tree, n node) []Change {
	var changes []Change
	if !from.Has(p) && p.Level() != LevelVM {
		changes = append(changes, Add(p))
	}
	old := from.nodes[p]
	for key := range old {
		if _, ok := n[key]; !ok {
			changes = append(changes, Unset(p, key))
		}
	}
	for key, v := range n {
		if u, ok := old[key]; !ok || u.text != v.text {
			changes = append(changes, Set(p, key, v.text))
		}
	}
	return changes
}

// compareChanges puts removals first, then nodes in the order of their paths,
// with a node's adding before its settings.
func compareChanges(a, b Change) int {
	if (a.op == OpRemove) != (b.op == OpRemove) {
		if a.op == OpRemove {
			return -1
		}
		return 1
	}
	if c := a.path.Compare(b.path); c != 0 {
		return c
	}
	if c := strings.Compare(a.key, b.key); c != 0 {
		return c
	}
	return strings.Compare(string(a.op), string(b.op))
}
