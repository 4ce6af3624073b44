package fbtree

import (
	"cmp"
	"errors"
	"strings"
)

// MaxNameBytes is the maximum length in bytes of the name of a team, service, job
// kind or VM.
const MaxNameBytes = 64

// VMBranch is the name of the branch that holds the settings of VMs. A team can't
// have this name.
const VMBranch = "vms"

// ErrBadPath is returned for a malformed path.
var ErrBadPath = errors.New("malformed path: want /, /TEAM, /TEAM/SERVICE, /TEAM/SERVICE/KIND or /vms/NAME, " +
	"with names of 1 to 64 letters, digits, '-', '_' and '.' that begin with a letter or digit")

// Level is the level of a node in the tree.
type Level string

// The levels of the tree.
const (
	LevelOrganisation Level = "organisation"
	LevelTeam         Level = "team"
	LevelService      Level = "service"
	LevelKind         Level = "kind"
	LevelVM           Level = "vm"
)

// Path identifies a node of a tree. The zero Path is the organisation.
type Path struct {
	text string
}

// NewPath returns the path of up to three names: a team, a service of the team
// and a job kind of the service. It returns ErrBadPath if one is not valid.
func NewPath(names ...string) (Path, error) {
	return ParsePath(strings.Join(names, "/"))
}

// ParsePath parses a path such as /depot/ordering. The leading slash is optional.
func ParsePath(s string) (Path, error) {
	s = strings.TrimPrefix(s, "/")
	if s == "" {
		return Path{}, nil
	}
	names := strings.Split(s, "/")
	for _, name := range names {
		if !validName(name) {
			return Path{}, ErrBadPath
		}
	}
	isVM := names[0] == VMBranch
	if isVM && len(names) != 2 || len(names) > 3 {
		return Path{}, ErrBadPath
	}
	return Path{text: s}, nil
}

// String returns the path with its leading slash.
func (p Path) String() string { return "/" + p.text }

// Level returns the level of the node.
func (p Path) Level() Level {
	if p.text == "" {
		return LevelOrganisation
	}
	if strings.HasPrefix(p.text, VMBranch+"/") {
		return LevelVM
	}
	switch strings.Count(p.text, "/") {
	case 0:
		return LevelTeam
	case 1:
		return LevelService
	default:
		return LevelKind
	}
}

// Parent returns the path of the node above. For VMs and for the organisation
// itself it returns the organisation.
func (p Path) Parent() Path {
	i := strings.LastIndexByte(p.text, '/')
	if i < 0 || p.Level() == LevelVM {
		return Path{}
	}
	return Path{text: p.text[:i]}
}

// Name returns the last name of the path, empty for the organisation.
func (p Path) Name() string {
	return p.text[strings.LastIndexByte(p.text, '/')+1:]
}

// Contains reports whether q is p or below p. The organisation does not contain
// VMs.
func (p Path) Contains(q Path) bool {
	if p.text == "" {
		return q.Level() != LevelVM
	}
	return q.text == p.text || strings.HasPrefix(q.text, p.text+"/")
}

// Compare compares paths in depth-first order: a node comes before the nodes
// below it, and these come before the next node of its level.
func (p Path) Compare(q Path) int {
	a, b := p.text, q.text
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return cmp.Compare(sortRank(a[i]), sortRank(b[i]))
		}
	}
	return cmp.Compare(len(a), len(b))
}

// sortRank returns the rank of a byte in the order of paths. A slash sorts before
// every byte that a name may contain.
func sortRank(c byte) byte {
	if c == '/' {
		return 0
	}
	return c
}

func validName(s string) bool {
	if s == "" || len(s) > MaxNameBytes || strings.IndexByte("-_.", s[0]) >= 0 {
		return false
	}
	for i := range len(s) {
		if !isNameByte(s[i]) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
}
