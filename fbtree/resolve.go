package fbtree

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/filbertford/filbertford"
)

// jobTreeLevels lists the levels through which rules are inherited, top first.
var jobTreeLevels = []Level{LevelOrganisation, LevelTeam, LevelService, LevelKind}

// maxChangedPaths is the maximum number of changed paths for which rebuild resolves
// only the rules at and below them. With more it resolves all rules.
const maxChangedPaths = 16

// buildTree returns the tree of the nodes, whose settings are valid one by one. It
// returns a problem for each node whose settings contradict each other or whose
// parent is missing.
func buildTree(nodes map[Path]node) (*Tree, Problems) {
	rules := make(map[rulesKey]filbertford.Rules, len(nodes))
	return resolveTree(nodes, rules, func(Path) bool { return true })
}

// rebuild returns the tree of nodes that differ from those of t only at and below
// the changed paths.
func (t *Tree) rebuild(nodes map[Path]node, changedPaths []Path) (*Tree, Problems) {
	if len(changedPaths) > maxChangedPaths || t.rules == nil {
		return buildTree(nodes)
	}
	stale := func(p Path) bool {
		return slices.ContainsFunc(changedPaths, func(q Path) bool { return q.Contains(p) })
	}
	rules := maps.Clone(t.rules)
	for p := range t.nodes {
		if stale(p) {
			delete(rules, p.rulesKey())
		}
	}
	return resolveTree(nodes, rules, stale)
}

// resolveTree returns the tree of the nodes. The map rules holds the resolved
// rules of all nodes that are not stale; resolveTree adds those of the stale ones.
func resolveTree(nodes map[Path]node, rules map[rulesKey]filbertford.Rules, stale func(Path) bool) (*Tree, Problems) {
	if _, ok := nodes[Path{}]; !ok {
		nodes[Path{}] = node{}
	}
	if len(nodes) > MaxNodes {
		reason := fmt.Sprintf("%d nodes; want 1 to %d", len(nodes), MaxNodes)
		return nil, Problems{{path: "/", reason: reason}}
	}
	t := &Tree{
		nodes:      nodes,
		rules:      rules,
		callerKeys: make(map[string]map[hash]struct{}),
		draining:   make(map[filbertford.TargetID]struct{}),
	}
	byLevel := make(map[Level][]Path, len(jobTreeLevels))
	for p, n := range nodes {
		level := p.Level()
		t.index(p, level, n)
		if stale(p) {
			byLevel[level] = append(byLevel[level], p)
		}
	}
	var problems Problems
	for _, level := range jobTreeLevels {
		for _, p := range byLevel[level] {
			problems = append(problems, t.resolve(p)...)
		}
	}
	slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.path, b.path) })
	return t, problems
}

// index adds a team's caller keys and the state of a draining VM, which are not part
// of the rules, to the indexes of t.
func (t *Tree) index(p Path, level Level, n node) {
	if level != LevelTeam && level != LevelVM {
		return
	}
	if v, ok := n[KeyCallerKeys]; ok {
		hashes := make(map[hash]struct{}, len(v.hashes))
		for _, h := range v.hashes {
			hashes[h.sum] = struct{}{}
		}
		t.callerKeys[p.Name()] = hashes
	}
	if n[KeyState].text == StateDraining {
		t.draining[filbertford.TargetID(p.Name())] = struct{}{}
	}
}

// resolve adds the rules of the node to t. Its parent must have been resolved
// before.
func (t *Tree) resolve(p Path) Problems {
	r := defaultRules
	if p.Level() != LevelOrganisation {
		parent, ok := t.rules[p.Parent().rulesKey()]
		if !ok {
			return Problems{{path: p.String(), reason: fmt.Sprintf("parent node is missing: no %s %s", p.Parent().Level(), p.Parent())}}
		}
		r = parent
	}
	for name, v := range t.nodes[p] {
		if apply := registry[keyIndex[name]].apply; apply != nil {
			r = apply(r, v)
		}
	}
	t.rules[p.rulesKey()] = r
	return checkRules(p, t.nodes[p], r)
}

// checkRules returns a problem if the timeout exceeds max-timeout. It reports that
// only at a node that sets one of the two keys itself, not at the nodes below, which
// inherit them.
func checkRules(p Path, n node, r filbertford.Rules) Problems {
	_, setsTimeout := n[KeyTimeout]
	_, setsMaxTimeout := n[KeyMaxTimeout]
	if r.Timeout() <= r.MaxTimeout() || !setsTimeout && !setsMaxTimeout {
		return nil
	}
	reason := fmt.Sprintf("want at most max-timeout, which is %v here", r.MaxTimeout())
	return Problems{{path: p.String(), key: KeyTimeout, value: r.Timeout().String(), reason: reason}}
}

// rulesKey returns the key of the node's rules in Tree.rules.
func (p Path) rulesKey() rulesKey {
	var names [3]string
	rest := p.text
	for i := range names {
		var more bool
		names[i], rest, more = strings.Cut(rest, "/")
		if !more {
			break
		}
	}
	return rulesKey{names[0], names[1], names[2]}
}

// defaultRules are the rules of a tree that sets no key.
var defaultRules = resolveDefaults()

func resolveDefaults() filbertford.Rules {
	var r filbertford.Rules
	for _, k := range registry {
		if k.apply == nil {
			continue
		}
		v, err := k.parse(k.defaultValue)
		if err != nil {
			panic(fmt.Sprintf("default of %s: %v", k.name, err))
		}
		r = k.apply(r, v)
	}
	return r
}
