package fbtree

import (
	"errors"
	"strconv"
	"strings"
)

var errUnknownKey = errors.New("no such key")

// location identifies a section, or a key in a section.
type location struct {
	section, key string
}

// lineIndex maps each section and key to its first line, counted from 1.
type lineIndex map[location]int

// indexLines returns the lines of sections and keys, which the INI library does
// not report. It returns a problem for each duplicate, because the library keeps
// only one of the values and returns no error.
func indexLines(text string) (lineIndex, Problems) {
	index := make(lineIndex)
	var problems Problems
	current := location{}
	lineNumber := 0
	for line := range strings.Lines(text) {
		lineNumber++
		next, ok := parseLocation(current.section, strings.TrimSpace(line))
		if !ok {
			continue
		}
		current = next
		if firstLine, duplicate := index[current]; duplicate {
			problems = append(problems, Problem{line: lineNumber, path: current.section, key: current.key, reason: "duplicate of line " + strconv.Itoa(firstLine)})
			continue
		}
		index[current] = lineNumber
	}
	return index, problems
}

// parseLocation returns the section or key that begins in a line of the section,
// or false if none does.
func parseLocation(section, line string) (location, bool) {
	if line == "" || line[0] == '#' || line[0] == ';' {
		return location{}, false
	}
	if line[0] == '[' {
		end := strings.IndexByte(line, ']')
		return location{section: line[1:max(end, 1)]}, end > 0
	}
	key, _, ok := strings.Cut(line, "=")
	return location{section: section, key: strings.TrimSpace(key)}, ok
}
