package fbcommand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbsettings"
	"github.com/filbertford/filbertford/fbtree"
)

func newSettingsSet(s Streams) *ffcli.Command {
	return newChangeCommand(s, fbtree.OpSet, "PATH KEY VALUE", "Sets a key at a node.",
		"filbertford settings set -operator ada -note 'autumn orders' /depot quota 2000")
}

func newSettingsUnset(s Streams) *ffcli.Command {
	return newChangeCommand(s, fbtree.OpUnset, "PATH KEY", "Removes a key from a node, which then inherits its value.",
		"filbertford settings unset -operator ada /depot quota")
}

func newSettingsAdd(s Streams) *ffcli.Command {
	return newChangeCommand(s, fbtree.OpAdd, "PATH", "Adds a team, service or job kind.",
		"filbertford settings add -operator ada /depot/returns")
}

func newSettingsRemove(s Streams) *ffcli.Command {
	return newChangeCommand(s, fbtree.OpRemove, "PATH", "Removes a team, service or job kind and all nodes below it.",
		"filbertford settings remove -operator ada /depot/returns")
}

// newChangeCommand returns a command that makes one change.
func newChangeCommand(s Streams, op fbtree.Op, arguments, help, exampleLine string) *ffcli.Command {
	var e settingsEditFlags
	fs := newFlagSet(string(op), s)
	e.register(fs)
	return &ffcli.Command{
		Name:       string(op),
		ShortUsage: fmt.Sprintf("filbertford settings %s [flags] %s", op, arguments),
		ShortHelp:  help,
		LongHelp:   example(exampleLine),
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			change, err := parseChange(append([]string{string(op)}, args...))
			if err != nil {
				return err
			}
			return e.withStore(ctx, func(ctx context.Context, store *fbsettings.Store) error {
				return e.commitAndPrint(ctx, s, store, change)
			})
		},
	}
}

// changeWordCounts holds the number of words of each change, its name included.
var changeWordCounts = map[fbtree.Op]int{fbtree.OpAdd: 2, fbtree.OpRemove: 2, fbtree.OpSet: 4, fbtree.OpUnset: 3}

// parseChange parses the words of a change.
func parseChange(words []string) (fbtree.Change, error) {
	op := fbtree.Op(words[0])
	n, ok := changeWordCounts[op]
	if !ok {
		return fbtree.Change{}, eris.Errorf("unknown change %q; want set, unset, add or remove", op)
	}
	if len(words) != n {
		return fbtree.Change{}, eris.Errorf("%s needs %d arguments, not %d", op, n-1, len(words)-1)
	}
	p, err := fbtree.ParsePath(words[1])
	if err != nil {
		return fbtree.Change{}, eris.Wrapf(err, "path %q", words[1])
	}
	switch op {
	case fbtree.OpAdd:
		return fbtree.Add(p), nil
	case fbtree.OpRemove:
		return fbtree.Remove(p), nil
	case fbtree.OpUnset:
		return fbtree.Unset(p, words[2]), nil
	default:
		return fbtree.Set(p, words[2], words[3]), nil
	}
}

func newSettingsEdit(s Streams) *ffcli.Command {
	var e settingsEditFlags
	fs := newFlagSet("edit", s)
	e.register(fs)
	return &ffcli.Command{
		Name:       "edit",
		ShortUsage: "filbertford settings edit [flags] < CHANGES",
		ShortHelp:  "Makes several changes atomically, as one version.",
		LongHelp: "Reads one change per line: set PATH KEY VALUE, unset PATH KEY, add PATH, remove PATH. " +
			"Empty lines and lines that begin with # are skipped.\n\n" +
			example("filbertford settings edit -operator ada < changes.txt"),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			changes, err := readChanges(s.in)
			if err != nil {
				return err
			}
			return e.withStore(ctx, func(ctx context.Context, store *fbsettings.Store) error {
				return e.commitAndPrint(ctx, s, store, changes...)
			})
		},
	}
}

// readChanges reads changes, one per line.
func readChanges(in io.Reader) ([]fbtree.Change, error) {
	text, err := readBounded(in, fbtree.MaxTextBytes)
	if err != nil {
		return nil, eris.Wrap(err, "read changes")
	}
	var changes []fbtree.Change
	number := 0
	for line := range bytes.Lines(text) {
		number++
		words := strings.Fields(string(line))
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		change, err := parseChange(words)
		if err != nil {
			return nil, eris.Wrapf(err, "line %d", number)
		}
		changes = append(changes, change)
	}
	if len(changes) == 0 {
		return nil, eris.New("the input has no changes")
	}
	return changes, nil
}

// versionLineFormat is the format of the first line of a tree that get prints. The
// command apply reads from it the version that a file is based on.
const versionLineFormat = "; settings version %d\n"

func newSettingsApply(s Streams) *ffcli.Command {
	var e settingsEditFlags
	fs := newFlagSet("apply", s)
	e.register(fs)
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "filbertford settings apply [flags] FILE",
		ShortHelp:  "Makes the tree equal to a file, as one version.",
		LongHelp: "The file is a whole tree as get prints it; - stands for the standard input. Its first line names the version " +
			"that it is based on: later changes by others are kept; if they concern the same settings, that is a conflict.\n\n" +
			example("filbertford settings get > tree.ini", "filbertford settings apply -operator ada tree.ini"),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return eris.Errorf("got %d arguments, want one file", len(args))
			}
			return e.withStore(ctx, func(ctx context.Context, store *fbsettings.Store) error {
				return e.apply(ctx, s, store, args[0])
			})
		},
	}
}

// apply commits the changes that lead from the base version to the tree in a file.
func (e *settingsEditFlags) apply(ctx context.Context, s Streams, store *fbsettings.Store, file string) error {
	tree, version, err := readTree(s, file)
	if err != nil {
		return e.printRejection(s, fbsettings.Request{}, err)
	}
	if e.base == 0 {
		e.base = version
	}
	request, err := e.request(ctx, store)
	if err != nil {
		return err
	}
	base := fbtree.Default()
	if request.Base() > 0 {
		if base, err = store.TreeAt(ctx, request.Base()); err != nil {
			return err
		}
	}
	result, err := e.commit(ctx, store, request, fbtree.Diff(base, tree))
	return e.printOutcome(s, request, result, err)
}

// readTree reads a tree from a file. It also returns the version that the tree is
// based on, or 0 if the file does not name it.
func readTree(s Streams, file string) (*fbtree.Tree, uint64, error) {
	var text []byte
	var err error
	if file == "-" {
		text, err = readBounded(s.in, fbtree.MaxTextBytes)
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, 0, eris.Wrap(err, "read the tree")
	}
	tree, err := fbtree.Parse(text)
	if err != nil {
		return nil, 0, err
	}
	var version uint64
	// Without the line, version stays 0.
	_, _ = fmt.Sscanf(string(text), versionLineFormat, &version)
	return tree, version, nil
}

func newSettingsRollback(s Streams) *ffcli.Command {
	var e settingsEditFlags
	fs := newFlagSet("rollback", s)
	e.register(fs)
	return &ffcli.Command{
		Name:       "rollback",
		ShortUsage: "filbertford settings rollback [flags] VERSION",
		ShortHelp:  "Makes the tree equal to an older version, as a new version.",
		LongHelp:   example("filbertford settings rollback -operator ada -note 'quota was too low' 41"),
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			version, err := parseVersionArgument(args)
			if err != nil {
				return err
			}
			return e.withStore(ctx, func(ctx context.Context, store *fbsettings.Store) error {
				return e.rollback(ctx, s, store, version)
			})
		},
	}
}

func (e *settingsEditFlags) rollback(ctx context.Context, s Streams, store *fbsettings.Store, version uint64) error {
	request, err := e.request(ctx, store)
	if err != nil {
		return err
	}
	if request.Base() == 0 {
		return eris.Wrapf(fbsettings.ErrVersionNotFound, "version %d", version)
	}
	older, err := store.TreeAt(ctx, version)
	if err != nil {
		return err
	}
	base, err := store.TreeAt(ctx, request.Base())
	if err != nil {
		return err
	}
	if e.note == "" {
		e.note = fmt.Sprintf("rollback to version %d", version)
	}
	result, err := e.commit(ctx, store, request, fbtree.Diff(base, older))
	return e.printOutcome(s, request, result, err)
}

// parseVersionArgument parses a command's only argument, a version.
func parseVersionArgument(args []string) (uint64, error) {
	if len(args) != 1 {
		return 0, eris.Errorf("got %d arguments, want one version", len(args))
	}
	v, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil || v == 0 {
		return 0, eris.Errorf("invalid version %q, want a number from 1", args[0])
	}
	return v, nil
}
