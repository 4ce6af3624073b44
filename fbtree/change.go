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
	// OpSet sets a key at a node. It creates the node of a VM if needed.
	OpSet Op = "set"
	// OpUnset removes a key from a node, which then inherits it.
	OpUnset Op = "unset"
)

var (
	errNodeNotFound = errors.New("no such node")
	errNodeExists   = errors.New("node already exists")
	errKeyNotSet    = errors.New("key is not set at this node")
	errAddVMNode    = errors.New("a VM's node can't be added; set one of its keys instead")
	errUnknownOp    = errors.New("unknown operation; want add, remove, set or unset")
)

// Change is one operation on one node of a tree.
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

// String returns the change as one line, with secret values masked.
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

// MaskValue returns the value, or a placeholder if the key is secret or unknown.
func MaskValue(key, value string) string {
	if k, ok := LookupKey(key); ok && !k.Secret() {
		return value
	}
	return mask
}

// Apply returns the tree that results from applying the changes in order, with
// the version of t. If any of them is not valid it returns Problems and no tree.
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

// apply applies a change to nodes. It replaces the map of a node instead of
// changing it, because other trees share it.
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

// Diff returns the changes that turn the tree from into the tree to, in an order
// in which they can be applied.
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

// removals returns a removal for each node of from that to does not have, except
// for nodes that are removed together with their parent.
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

// diffNode returns the changes that turn the node of from at p into n.
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

// compareChanges orders removals first, then changes by path. The change that
// adds a node comes before those that set its keys.
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
