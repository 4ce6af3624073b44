package fbtree

import "fmt"

// Source is a node that sets a key, or the key's default.
type Source struct {
	path      Path
	isDefault bool
	value     string
}

// Path returns the node that sets the value, the zero Path for a default.
func (s Source) Path() Path { return s.path }

// Default reports whether the value is the key's default, which no node sets.
func (s Source) Default() bool { return s.isDefault }

// Value returns the value in canonical form.
func (s Source) Value() string { return s.value }

// String returns the level and path of the node, or "default".
func (s Source) String() string {
	if s.isDefault {
		return "default"
	}
	return fmt.Sprintf("%s %s", s.path.Level(), s.path)
}

// Explain returns the sources of the key's value at the node: first the one in
// force, then those that it overrides. The last one is the key's default. The
// error is Problems if the key or node is unknown or the key does not apply to the
// node's level.
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
