package fbcommand

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbsettings"
	"github.com/filbertford/filbertford/fbtree"
)

func newSettingsGet(s Streams) *ffcli.Command {
	var f settingsFlags
	fs := newFlagSet("get", s)
	f.register(fs)
	version := fs.Uint64("version", 0, "`version` to show; 0 for the newest")
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "filbertford settings get [flags] [PATH [KEY]]",
		ShortHelp:  "Prints the tree, the subtree at a path, or the value of a key in force at a path.",
		LongHelp:   example("filbertford settings get /depot", "filbertford settings get /depot/ordering timeout"),
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 2 {
				return eris.Errorf("unexpected argument %q", args[2])
			}
			p, err := parsePath(append(args, "/")[0])
			if err != nil {
				return err
			}
			return f.withStore(ctx, func(ctx context.Context, store *fbsettings.Store) error {
				tree, err := treeAt(ctx, store, *version)
				if err != nil {
					return err
				}
				if len(args) == 2 {
					return f.printValue(s, tree, p, args[1])
				}
				return f.printTree(s, tree, p, len(args) == 0)
			})
		},
	}
}

// treeAt returns a version of the tree, or the newest one if version is 0.
func treeAt(ctx context.Context, store *fbsettings.Store, version uint64) (*fbtree.Tree, error) {
	if version == 0 {
		return store.Newest(ctx)
	}
	return store.TreeAt(ctx, version)
}

func parsePath(text string) (fbtree.Path, error) {
	p, err := fbtree.ParsePath(text)
	return p, eris.Wrapf(err, "path %q", text)
}

// treeOutput is the JSON form of a tree.
type treeOutput struct {
	Version uint64                       `json:"version"`
	Nodes   map[string]map[string]string `json:"nodes"`
}

// printTree prints the nodes at and below p, or all nodes if all is set.
func (f *settingsFlags) printTree(s Streams, tree *fbtree.Tree, p fbtree.Path, all bool) error {
	if !all && !tree.Has(p) {
		return eris.Errorf("there is no node %s", p)
	}
	if f.json {
		out := treeOutput{Version: tree.Version(), Nodes: make(map[string]map[string]string)}
		for _, q := range tree.Paths() {
			if all || p.Contains(q) {
				out.Nodes[q.String()] = settingsAt(tree, q)
			}
		}
		return printJSON(s.out, out)
	}
	text := tree.EncodeSubtree(p)
	if all {
		text = tree.Encode()
	}
	_, err := fmt.Fprintf(s.out, versionLineFormat+"\n%s", tree.Version(), text)
	return eris.Wrap(err, "write the tree")
}

// settingsAt returns the settings at a node, without those that it inherits.
func settingsAt(tree *fbtree.Tree, p fbtree.Path) map[string]string {
	out := make(map[string]string)
	for _, k := range fbtree.Keys() {
		if value, ok := tree.Get(p, k.Name()); ok {
			out[k.Name()] = value
		}
	}
	return out
}

// sourceOutput is the JSON form of a level that sets a key to a value.
type sourceOutput struct {
	Value   string `json:"value"`
	From    string `json:"from"`
	InForce bool   `json:"in_force"`
}

func (f *settingsFlags) printValue(s Streams, tree *fbtree.Tree, p fbtree.Path, key string) error {
	sources, err := tree.Explain(p, key)
	if err != nil {
		return err
	}
	if f.json {
		return printJSON(s.out, sourceOutput{Value: sources[0].Value(), From: sources[0].String(), InForce: true})
	}
	out := &printer{out: s.out}
	out.line("%s", sources[0].Value())
	return out.err
}

func newSettingsExplain(s Streams) *ffcli.Command {
	var f settingsFlags
	fs := newFlagSet("explain", s)
	f.register(fs)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "filbertford settings explain [flags] PATH KEY",
		ShortHelp:  "Shows from which level a value comes, and which values it overrides.",
		LongHelp:   example("filbertford settings explain /depot/ordering/stock-check timeout"),
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return eris.Errorf("got %d arguments, want a path and a key", len(args))
			}
			p, err := parsePath(args[0])
			if err != nil {
				return err
			}
			return f.withStore(ctx, func(ctx context.Context, store *fbsettings.Store) error {
				tree, err := store.Newest(ctx)
				if err != nil {
					return err
				}
				sources, err := tree.Explain(p, args[1])
				if err != nil {
					return err
				}
				return f.printSources(s, sources)
			})
		},
	}
}

func (f *settingsFlags) printSources(s Streams, sources []fbtree.Source) error {
	if f.json {
		var out []sourceOutput
		for i, source := range sources {
			out = append(out, sourceOutput{Value: source.Value(), From: source.String(), InForce: i == 0})
		}
		return printJSON(s.out, out)
	}
	p := &printer{out: s.out}
	for i, source := range sources {
		state := "overridden"
		if i == 0 {
			state = "in force"
		}
		p.line("%-12s %-16s from %s", state, source.Value(), source)
	}
	return p.err
}

func newSettingsDiff(s Streams) *ffcli.Command {
	var f settingsFlags
	fs := newFlagSet("diff", s)
	f.register(fs)
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "filbertford settings diff [flags] FROM [TO]",
		ShortHelp:  "Shows the changes that lead from one tree to another.",
		LongHelp: "FROM and TO are versions or files, - for the standard input. Without TO, the changes lead from FROM to the newest " +
			"version if FROM is a version, and from the newest version to FROM if it is a file.\n\n" +
			example("filbertford settings diff 41", "filbertford settings diff 41 43", "filbertford settings diff tree.ini"),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 || len(args) > 2 {
				return eris.Errorf("got %d arguments, want one or two versions or files", len(args))
			}
			return f.withStore(ctx, func(ctx context.Context, store *fbsettings.Store) error {
				from, to, err := diffTrees(ctx, s, store, args)
				if err != nil {
					return err
				}
				return f.printDiff(s, from, to)
			})
		},
	}
}

// diffTrees returns the two trees that the command diff compares.
func diffTrees(ctx context.Context, s Streams, store *fbsettings.Store, args []string) (from, to *fbtree.Tree, err error) {
	from, isFile, err := loadTree(ctx, s, store, args[0])
	if err != nil {
		return nil, nil, err
	}
	if len(args) == 2 {
		to, _, err = loadTree(ctx, s, store, args[1])
		return from, to, err
	}
	newest, err := store.Newest(ctx)
	if isFile {
		return newest, from, err
	}
	return from, newest, err
}

func loadTree(ctx context.Context, s Streams, store *fbsettings.Store, name string) (tree *fbtree.Tree, isFile bool, err error) {
	if version, err := strconv.ParseUint(name, 10, 64); err == nil {
		tree, err := store.TreeAt(ctx, version)
		return tree, false, err
	}
	tree, _, err = readTree(s, name)
	return tree, true, err
}

// changeOutput is the JSON form of a change. Old is the previous value, if there
// was one.
type changeOutput struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Key   string `json:"key,omitempty"`
	Value string `json:"value,omitempty"`
	Old   string `json:"old,omitempty"`
}

func (f *settingsFlags) printDiff(s Streams, from, to *fbtree.Tree) error {
	changes := fbtree.Diff(from, to)
	if f.json {
		out := make([]changeOutput, 0, len(changes))
		for _, c := range changes {
			old, _ := from.Get(c.Path(), c.Key())
			out = append(out, newChangeOutput(c, old))
		}
		return printJSON(s.out, out)
	}
	p := &printer{out: s.out}
	for _, c := range changes {
		line := c.String()
		if old, ok := from.Get(c.Path(), c.Key()); ok {
			line += fmt.Sprintf(" (was %s)", fbtree.MaskValue(c.Key(), old))
		}
		p.line("%s", line)
	}
	return p.err
}

func newChangeOutput(c fbtree.Change, old string) changeOutput {
	out := changeOutput{Op: string(c.Op()), Path: c.Path().String(), Key: c.Key()}
	if c.Value() != "" {
		out.Value = fbtree.MaskValue(c.Key(), c.Value())
	}
	if old != "" {
		out.Old = fbtree.MaskValue(c.Key(), old)
	}
	return out
}

// entryOutput is the JSON form of an accepted edit.
type entryOutput struct {
	Version uint64         `json:"version"`
	At      time.Time      `json:"at"`
	Who     string         `json:"who"`
	Note    string         `json:"note,omitempty"`
	Changes []changeOutput `json:"changes"`
}

func newSettingsHistory(s Streams) *ffcli.Command {
	var f settingsFlags
	fs := newFlagSet("history", s)
	f.register(fs)
	n := fs.Uint64("n", 20, "`number` of versions to show, the newest first")
	return &ffcli.Command{
		Name:       "history",
		ShortUsage: "filbertford settings history [flags]",
		ShortHelp:  "Shows the newest changes, with their operators and times.",
		LongHelp: fmt.Sprintf("The platform keeps the last %d versions.\n\n", fbsettings.HistoryLength) +
			example("filbertford settings history -n 5"),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			return f.withStore(ctx, func(ctx context.Context, store *fbsettings.Store) error {
				head, err := store.Head(ctx)
				if err != nil {
					return err
				}
				last := head.Version()
				first := last - min(last, *n, fbsettings.HistoryLength) + 1
				entries, err := store.Entries(ctx, first, last)
				if err != nil {
					return err
				}
				return f.printHistory(s, entries)
			})
		},
	}
}

func (f *settingsFlags) printHistory(s Streams, entries []fbsettings.Entry) error {
	entryOutputs := make([]entryOutput, 0, len(entries))
	p := &printer{out: s.out}
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		out := entryOutput{Version: e.Version(), At: e.At(), Who: e.Operator(), Note: e.Note(), Changes: []changeOutput{}}
		for _, c := range e.Changes() {
			out.Changes = append(out.Changes, newChangeOutput(c, valueBefore(e, c)))
		}
		entryOutputs = append(entryOutputs, out)
		if !f.json {
			printEntry(p, e)
		}
	}
	if f.json {
		return printJSON(s.out, entryOutputs)
	}
	return p.err
}

// maxShownChanges is the maximum number of changes of a version that are printed
// as text.
const maxShownChanges = 20

func printEntry(p *printer, e fbsettings.Entry) {
	p.line("version %d  %s  %s  %s", e.Version(), e.At().Format(time.RFC3339), e.Operator(), e.Note())
	for i, c := range e.Changes() {
		if i == maxShownChanges {
			p.line("  and %d more changes", len(e.Changes())-i)
			return
		}
		line := c.String()
		if old := valueBefore(e, c); old != "" {
			line += fmt.Sprintf(" (was %s)", fbtree.MaskValue(c.Key(), old))
		}
		p.line("  %s", line)
	}
}

// valueBefore returns the value that a change of an entry replaced, or an empty
// string if there was none.
func valueBefore(e fbsettings.Entry, c fbtree.Change) string {
	if c.Key() == "" {
		return ""
	}
	for _, u := range e.Undo() {
		if u.Path() == c.Path() && u.Key() == c.Key() {
			return u.Value()
		}
	}
	return ""
}
