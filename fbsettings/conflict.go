package fbsettings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/filbertford/filbertford/fbtree"
)

// Conflict is a setting that two operators changed concurrently.
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

// Key returns the key, empty if the rejected edit adds or removes the node.
func (c Conflict) Key() string { return c.key }

// Yours returns the value of the rejected edit, with secrets masked.
func (c Conflict) Yours() string { return c.yours }

// Theirs returns the value in force, with secrets masked.
func (c Conflict) Theirs() string { return c.theirs }

// Operator returns the operator whose edit was accepted.
func (c Conflict) Operator() string { return c.operator }

// Version returns the version of the accepted edit.
func (c Conflict) Version() uint64 { return c.version }

// String returns the conflict as one line.
func (c Conflict) String() string {
	where := strings.TrimSpace(c.path.String() + " " + c.key)
	return fmt.Sprintf("%s: yours is %s, theirs is %s (version %d by %s)", where, c.yours, c.theirs, c.version, c.operator)
}

// ConflictError is returned for an edit of settings that another operator's edit
// changed first. No part of the edit was accepted.
type ConflictError struct {
	conflicts []Conflict
}

// Conflicts returns the conflicting settings.
func (e *ConflictError) Conflicts() []Conflict { return e.conflicts }

// Error returns a summary and the conflicts, one per line.
func (e *ConflictError) Error() string {
	lines := []string{"another edit was accepted first; nothing of this one is in force"}
	for _, c := range e.conflicts {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n")
}

// rebase returns the changes that remain to be applied to the tree. The entries
// were accepted after the base of the changes and are part of the tree. It returns
// a *ConflictError if one of them changed the same setting differently.
func rebase(changes []fbtree.Change, entries []Entry, tree *fbtree.Tree) ([]fbtree.Change, error) {
	var remaining []fbtree.Change
	var conflicts []Conflict
	for _, c := range changes {
		e, theirs, ok := findOverlap(c, entries)
		switch {
		case !ok:
			remaining = append(remaining, c)
		case theirs == c:
			// An identical change was accepted already.
		default:
			conflicts = append(conflicts, newConflict(c, theirs, e, tree))
		}
	}
	if len(conflicts) > 0 {
		return nil, &ConflictError{conflicts: conflicts}
	}
	return remaining, nil
}

// findOverlap returns the newest accepted change that overlaps c, and its entry.
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

// overlap reports whether two changes depend on each other: both change the same
// key, both add the same node, or one removes the node of the other or a node above
// it.
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

// describeChange returns the result of a change for a conflict message, with
// secrets masked.
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
