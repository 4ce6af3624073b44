package fbtree

import "fmt"

// Source is a level that gives a key a value.
type Source struct {
	path      Path
	isDefault bool
	value     string
}

// Path returns the node where the value stands.
func (s Source) Path() Path { return s.path }

// Default reports whether the value is the key's default and stands at no node.
func (s Source) Default() bool { return s.isDefault }

// Value returns the value in canonical form.
func (s Source) Value() string { return s.value }

// String returns where the value comes from.
func (s Source) String() string {
	if s.isDefault {
		return "default"
	}
	return fmt.Sprintf("%s %s", s.path.Level(), s.path)
}

// Explain returns the sources of the key's value at the node, the one in force
// first, then those that it overrides. The last is the key's default.
func (t *Tree) Explain(p Path, key string) ([]Source, error) {
	k, ok := LookupKey(key)
	if !ok {
		return nil, Problems{newProblem(p, key, "", errUnknownKey)}
	}
	if !t.Has(p) && p.Level() != LevelVM {
		return nil, Problems{newProblem(p, "", "", errNodeNotFound)}
	}
	if (p.Level() == LevelVM) != k.AllowedAt(LevelVM) {
		return nil, Problems{newProblem(p, key, "", fmt.Errorf("does not apply to a %s", p.Level()))}
	}
	var sources []Source
	for q := p; ; q = q.Parent() {
		if v, ok := t.nodes[q][key]; ok {
			sources = append(sources, Source{path: q, value: v.text})
		}
		if q.Level() == LevelOrganisation || q.Level() == LevelVM {
			break
		}
	}
	return append(sources, Source{isDefault: true, value: k.defaultValue}), nil
}
