package fbtree

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/filbertford/filbertford"
)

// jobTreeLevels lists the levels that rules are inherited along, from the top.
var jobTreeLevels = []Level{LevelOrganisation, LevelTeam, LevelService, LevelKind}

// maxChangedPaths is the greatest number of touched paths for which only the rules at
// and below them are resolved again.
const maxChangedPaths = 16

// buildTree makes a tree of checked nodes. It returns the problems that show only
// where several settings meet.
func buildTree(nodes map[Path]node) (*Tree, Problems) {
	rules := make(map[rulesKey]filbertford.Rules, len(nodes))
	return resolveTree(nodes, rules, func(Path) bool { return true })
}

// rebuild makes a tree of nodes that differ from t's at and below the touched
// paths only.
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

// resolveTree makes a tree of checked nodes. Rules holds those of the nodes that
// are not stale.
func resolveTree(nodes map[Path]node, rules map[rulesKey]filbertford.Rules, stale func(Path) bool) (*Tree, Problems) {
	if _, ok := nodes[Path{}]; !ok {
		nodes[Path{}] = node{}
	}
	if len(nodes) > MaxNodes {
		reason := fmt.Sprintf("%d nodes; a tree may have 1 to %d", len(nodes), MaxNodes)
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

// index records the settings that are not rules.
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

// resolve records the rules of the node, whose parent is resolved already.
func (t *Tree) resolve(p Path) Problems {
	r := defaultRules
	if p.Level() != LevelOrganisation {
		parent, ok := t.rules[p.Parent().rulesKey()]
		if !ok {
			return Problems{{path: p.String(), reason: fmt.Sprintf("there is no %s %s above it", p.Parent().Level(), p.Parent())}}
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

// checkRules returns the problems of settings that contradict each other, at
// the node where the contradiction begins.
func checkRules(p Path, n node, r filbertford.Rules) Problems {
	_, setsTimeout := n[KeyTimeout]
	_, setsMaxTimeout := n[KeyMaxTimeout]
	if r.Timeout() <= r.MaxTimeout() || !setsTimeout && !setsMaxTimeout {
		return nil
	}
	reason := fmt.Sprintf("want at most max-timeout, which is %v here", r.MaxTimeout())
	return Problems{{path: p.String(), key: KeyTimeout, value: r.Timeout().String(), reason: reason}}
}

// rulesKey returns what the rules of the node are looked up by.
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

// defaultRules holds the defaults of all keys.
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
