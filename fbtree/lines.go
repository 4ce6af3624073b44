package fbtree

import (
	"errors"
	"strconv"
	"strings"
)

var errUnknownKey = errors.New("no such key")

// linePlace names a section, or a key in a section.
type linePlace struct {
	section, key string
}

// lineIndex gives the first line of each section and key, counted from 1.
type lineIndex map[linePlace]int

// indexLines finds the lines of sections and keys, which the INI library does
// not tell. It returns a problem for each that stands twice, because the library
// would keep only one.
func indexLines(text string) (lineIndex, Problems) {
	index := make(lineIndex)
	var problems Problems
	place := linePlace{}
	number := 0
	for line := range strings.Lines(text) {
		number++
		next, ok := readPlace(place.section, strings.TrimSpace(line))
		if !ok {
			continue
		}
		place = next
		if first, twice := index[place]; twice {
			problems = append(problems, Problem{line: number, path: place.section, key: place.key, reason: "stands twice; see line " + strconv.Itoa(first)})
			continue
		}
		index[place] = number
	}
	return index, problems
}

// readPlace tells what a line of the section begins.
func readPlace(section, line string) (linePlace, bool) {
	if line == "" || line[0] == '#' || line[0] == ';' {
		return linePlace{}, false
	}
	if line[0] == '[' {
		end := strings.IndexByte(line, ']')
		return linePlace{section: line[1:max(end, 1)]}, end > 0
	}
	key, _, ok := strings.Cut(line, "=")
	return linePlace{section: section, key: strings.TrimSpace(key)}, ok
}
