package fbsettings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/filbertford/filbertford/fbtree"
)

// Conflict is one setting that two operators changed at the same time.
type Conflict struct {
	path     fbtree.Path
	key      string
	yours    string
	theirs   string
	operator string
	version  uint64
}

// Path returns the node of the setting.
func (c Conflict) Path() fbtree.Path { return c.path }

// Key returns the key, empty if the node itself was added or removed.
func (c Conflict) Key() string { return c.key }

// Yours returns the value that the refused edit would have given, as it may be
// shown.
func (c Conflict) Yours() string { return c.yours }

// Theirs returns the value that is in force, as it may be shown.
func (c Conflict) Theirs() string { return c.theirs }

// Operator returns the operator whose edit was accepted.
func (c Conflict) Operator() string { return c.operator }

// Version returns the version that the other edit made.
func (c Conflict) Version() uint64 { return c.version }

// String returns the conflict as one line.
func (c Conflict) String() string {
	where := strings.TrimSpace(c.path.String() + " " + c.key)
	return fmt.Sprintf("%s: yours is %s, theirs is %s (version %d by %s)", where, c.yours, c.theirs, c.version, c.operator)
}

// ConflictError is returned for an edit that another operator's edit has
// overtaken. Nothing of it was accepted.
type ConflictError struct {
	conflicts []Conflict
}

// Conflicts returns the settings that both edits changed.
func (e *ConflictError) Conflicts() []Conflict { return e.conflicts }

// Error returns the conflicts, one a line.
func (e *ConflictError) Error() string {
	lines := []string{"another edit was accepted first; nothing of this one is in force"}
	for _, c := range e.conflicts {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n")
}

// rebase returns the changes that are left to do on top of the tree, which holds
// the entries that were accepted after the changes' base. It returns a
// ConflictError if one of the entries decided on the same setting otherwise.
func rebase(changes []fbtree.Change, entries []Entry, tree *fbtree.Tree) ([]fbtree.Change, error) {
	var remaining []fbtree.Change
	var conflicts []Conflict
	for _, c := range changes {
		e, theirs, ok := findOverlap(c, entries)
		switch {
		case !ok:
			remaining = append(remaining, c)
		case theirs == c:
			// Both want the same, and it is in force.
		default:
			conflicts = append(conflicts, newConflict(c, theirs, e, tree))
		}
	}
	if len(conflicts) > 0 {
		return nil, &ConflictError{conflicts: conflicts}
	}
	return remaining, nil
}

// findOverlap returns the newest accepted change that decides on what c decides
// on.
func findOverlap(c fbtree.Change, entries []Entry) (Entry, fbtree.Change, bool) {
	for _, e := range slices.Backward(entries) {
		for _, theirs := range slices.Backward(e.changes) {
			if overlap(c, theirs) {
				return e, theirs, true
			}
		}
	}
	return Entry{}, fbtree.Change{}, false
}

// overlap reports whether two changes can't be made independently: they concern
// the same key, or the same node, or one removes a node that holds the other's.
func overlap(a, b fbtree.Change) bool {
	if a.Path() == b.Path() {
		return a.Key() == b.Key() || a.Op() == fbtree.OpRemove || b.Op() == fbtree.OpRemove
	}
	return a.Op() == fbtree.OpRemove && a.Path().Contains(b.Path()) ||
		b.Op() == fbtree.OpRemove && b.Path().Contains(a.Path())
}

func newConflict(yours, theirs fbtree.Change, e Entry, tree *fbtree.Tree) Conflict {
	c := Conflict{path: yours.Path(), key: yours.Key(), operator: e.operator, version: e.version, yours: describeChange(yours)}
	value, ok := tree.Get(c.path, c.key)
	switch {
	case c.key == "" || !tree.Has(c.path):
		c.theirs = describeChange(theirs)
	case ok:
		c.theirs = fbtree.MaskValue(c.key, value)
	default:
		c.theirs = "unset"
	}
	return c
}

// describeChange returns what a change makes of its setting.
func describeChange(c fbtree.Change) string {
	switch c.Op() {
	case fbtree.OpSet:
		return fbtree.MaskValue(c.Key(), c.Value())
	case fbtree.OpUnset:
		return "unset"
	case fbtree.OpRemove:
		return "removal of " + c.Path().String()
	default:
		return "an added node"
	}
}
