package fbtree

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with a tree or a change of it.
type Problem struct {
	line   int
	path   string
	key    string
	value  string
	reason string
}

// Line returns the line of the INI text, counted from 1, or 0 if it is not
// known.
func (p Problem) Line() int { return p.line }

// Path returns the path of the node, as it was written.
func (p Problem) Path() string { return p.path }

// Key returns the key, empty if the node itself is at fault.
func (p Problem) Key() string { return p.key }

// Value returns the value that was refused. That of a secret key is masked.
func (p Problem) Value() string { return p.value }

// Reason returns what is wrong, with the allowed range of the value.
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

// Problems is the error that lists everything wrong with a tree at once.
type Problems []Problem

// Error returns the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// err returns p as an error, nil if there are no problems.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
