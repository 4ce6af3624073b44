package fbtree

import (
	"fmt"
	"strings"
)

// Problem is an error in a tree or in a change to a tree.
type Problem struct {
	line   int
	path   string
	key    string
	value  string
	reason string
}

// Line returns the line of the INI text, counted from 1, or 0 if it is unknown.
func (p Problem) Line() int { return p.line }

// Path returns the path of the node as it appears in the input.
func (p Problem) Path() string { return p.path }

// Key returns the key, empty if the problem is with the node itself.
func (p Problem) Key() string { return p.key }

// Value returns the rejected value. It is masked if the key is secret or unknown.
func (p Problem) Value() string { return p.value }

// Reason returns the cause. For a value out of range it names the range.
func (p Problem) Reason() string { return p.reason }

// Error returns the problem as one line.
func (p Problem) Error() string {
	var b strings.Builder
	if p.line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.line)
	}
	b.WriteString(p.path)
	if p.key != "" {
		fmt.Fprintf(&b, " %s", p.key)
	}
	if p.value != "" {
		fmt.Fprintf(&b, " = %q", p.value)
	}
	fmt.Fprintf(&b, ": %s", p.reason)
	return b.String()
}

// Problems is an error that lists all problems of a tree or of a list of changes.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// err returns p as an error, or nil if p is empty.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
