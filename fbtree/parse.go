package fbtree

import (
	_ "embed"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxTextBytes is the maximum length in bytes of the INI text of a tree.
const MaxTextBytes = 16 << 20

//go:embed default.ini
var defaultText []byte

// Default returns the tree of a new installation, with version 0.
func Default() *Tree {
	t, err := Parse(defaultText)
	if err != nil {
		panic("default.ini: " + err.Error())
	}
	return t
}

// Parse parses a tree from INI text. The error is Problems, which lists all
// problems found.
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

// loadOptions disables the features of the INI library by which a line could mean
// something else than its literal content: continuation lines, sections that
// inherit from others by their names, and other delimiters than "=".
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	KeyValueDelimiters:      "=",
	ChildSectionDelimiter:   "//",
	PreserveSurroundedQuote: true,
}

// readSection adds the section's node to nodes.
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

// keysWithoutSection returns a problem for each key before the first section.
func keysWithoutSection(section *ini.Section, lines lineIndex) Problems {
	var problems Problems
	for _, key := range section.Keys() {
		line := lines[location{key: key.Name()}]
		problems = append(problems, Problem{line: line, key: key.Name(), reason: "key before the first section; want a section such as [/] above it"})
	}
	return problems
}

// parseSetting parses a value of the key and checks that the key can be set at
// the node.
func parseSetting(p Path, name, text string) (value, error) {
	k, ok := LookupKey(name)
	if !ok {
		return value{}, errUnknownKey
	}
	if !k.AllowedAt(p.Level()) {
		return value{}, fmt.Errorf("can't be set at level %s; want level %s", p.Level(), joinLevels(k.levels))
	}
	return k.parse(text)
}

// newProblem returns the problem of a setting. It masks the value if the key is
// secret or unknown.
func newProblem(p Path, name, text string, err error) Problem {
	if k, ok := LookupKey(name); !ok || k.Secret() {
		text = mask
	}
	return Problem{path: p.String(), key: name, value: text, reason: err.Error()}
}

// addLines sets the lines of problems that were found after parsing.
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
