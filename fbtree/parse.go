package fbtree

import (
	_ "embed"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxTextBytes is the length in bytes of the longest INI text of a tree.
const MaxTextBytes = 16 << 20

//go:embed default.ini
var defaultText []byte

// Default returns the tree that a new installation begins with, version 0.
func Default() *Tree {
	t, err := Parse(defaultText)
	if err != nil {
		panic("default.ini: " + err.Error())
	}
	return t
}

// Parse reads a tree from INI text. The error is Problems and lists everything
// that is wrong.
func Parse(text []byte) (*Tree, error) {
	if len(text) > MaxTextBytes {
		reason := fmt.Sprintf("text of %d bytes; want at most %d", len(text), MaxTextBytes)
		return nil, Problems{{path: "/", reason: reason}}
	}
	file, err := ini.LoadSources(loadOptions, text)
	if err != nil {
		return nil, Problems{{path: "/", reason: err.Error()}}
	}
	lines, problems := indexLines(string(text))
	nodes := make(map[Path]node, len(file.Sections()))
	for _, section := range file.Sections() {
		problems = append(problems, readSection(nodes, section, lines)...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	t, problems := buildTree(nodes)
	if len(problems) > 0 {
		return nil, addLines(problems, lines)
	}
	return t, nil
}

// loadOptions switch off what would give a line another meaning than the one
// that it shows: continuation, sections that inherit by their names, and other
// delimiters.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	KeyValueDelimiters:      "=",
	ChildSectionDelimiter:   "//",
	PreserveSurroundedQuote: true,
}

// readSection adds the section's node.
func readSection(nodes map[Path]node, section *ini.Section, lines lineIndex) Problems {
	name := section.Name()
	if name == ini.DefaultSection {
		return keysWithoutSection(section, lines)
	}
	p, err := ParsePath(name)
	if err != nil || !strings.HasPrefix(name, "/") {
		return Problems{{line: lines[location{section: name}], path: name, reason: ErrBadPath.Error()}}
	}
	n := make(node, len(section.Keys()))
	var problems Problems
	for _, key := range section.Keys() {
		v, err := parseSetting(p, key.Name(), key.Value())
		if err != nil {
			problem := newProblem(p, key.Name(), key.Value(), err)
			problem.line = lines[location{name, key.Name()}]
			problems = append(problems, problem)
			continue
		}
		n[key.Name()] = v
	}
	if len(n) > 0 || p.Level() != LevelVM {
		nodes[p] = n
	}
	return problems
}

// keysWithoutSection refuses settings that stand before the first section.
func keysWithoutSection(section *ini.Section, lines lineIndex) Problems {
	var problems Problems
	for _, key := range section.Keys() {
		line := lines[location{key: key.Name()}]
		problems = append(problems, Problem{line: line, key: key.Name(), reason: "stands in no section; want one such as [/] above it"})
	}
	return problems
}

// parseSetting reads the value of a key that is to stand at the node.
func parseSetting(p Path, name, text string) (value, error) {
	k, ok := LookupKey(name)
	if !ok {
		return value{}, errUnknownKey
	}
	if !k.AllowedAt(p.Level()) {
		return value{}, fmt.Errorf("can't stand at a %s; want level %s", p.Level(), joinLevels(k.levels))
	}
	return k.parse(text)
}

// newProblem returns the problem of a setting, without the value if that is or
// may be a secret.
func newProblem(p Path, name, text string, err error) Problem {
	if k, ok := LookupKey(name); !ok || k.Secret() {
		text = mask
	}
	return Problem{path: p.String(), key: name, value: text, reason: err.Error()}
}

// addLines adds the lines to problems that were found after reading.
func addLines(problems Problems, lines lineIndex) Problems {
	for i, p := range problems {
		line, ok := lines[location{p.path, p.key}]
		if !ok {
			line = lines[location{section: p.path}]
		}
		problems[i].line = line
	}
	return problems
}

func joinLevels(levels []Level) string {
	texts := make([]string, len(levels))
	for i, l := range levels {
		texts[i] = string(l)
	}
	return strings.Join(texts, ", ")
}
