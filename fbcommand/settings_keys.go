package fbcommand

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbsettings"
	"github.com/filbertford/filbertford/fbtree"
)

const (
	// keyBytes is the number of random bytes in a new key.
	keyBytes = 32
	// minPrefixDigits is the minimum length of a prefix that selects a hash.
	minPrefixDigits = 8
	// maxKeyConflicts is how often a change of keys is retried after a conflict
	// with another operator.
	maxKeyConflicts = 10
)

func newSettingsKeys(s Streams) *ffcli.Command {
	keys := &ffcli.Command{
		Name:       "keys",
		ShortUsage: "filbertford settings keys COMMAND [flags] [arguments]",
		ShortHelp:  "Creates, lists and removes the keys of callers and operators.",
		LongHelp: "Only hashes of keys are stored. A team without keys accepts every caller, a tree without operator keys every operator.\n\n" +
			example("filbertford settings keys add -operator ada depot"),
		FlagSet: newFlagSet("keys", s),
		Subcommands: []*ffcli.Command{
			newKeysChangeCommand(s, "add", "TEAM", "Creates a caller's key for a team and prints it once.", addCallerKey),
			newKeysChangeCommand(s, "remove", "TEAM PREFIX", "Removes the caller's key whose hash begins with PREFIX.", removeCallerKey),
			newKeysChangeCommand(s, "add-operator", "NAME", "Creates a key for an operator and prints it once.", addOperatorKey),
			newKeysChangeCommand(s, "remove-operator", "NAME", "Removes all keys of an operator.", removeOperatorKeys),
			newKeysList(s),
		},
	}
	return requireSubcommand(keys, s)
}

// keyChangeFunc returns the change that a keys command makes to a tree, and the new
// key, if there is one.
type keyChangeFunc func(tree *fbtree.Tree, args []string) (fbtree.Change, string, error)

func newKeysChangeCommand(s Streams, name, arguments, help string, change keyChangeFunc) *ffcli.Command {
	var e settingsEditFlags
	fs := newFlagSet(name, s)
	e.register(fs)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "filbertford settings keys " + name + " [flags] " + arguments,
		ShortHelp:  help,
		LongHelp:   example("filbertford settings keys " + name + " -operator ada " + arguments),
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if n := len(strings.Fields(arguments)); len(args) != n {
				return eris.Errorf("want the arguments %s, got %d arguments", arguments, len(args))
			}
			return e.withStore(ctx, func(ctx context.Context, store *fbsettings.Store) error {
				return e.changeKeys(ctx, s, store, change, args)
			})
		},
	}
}

// keyOutput is the JSON form of a new key.
type keyOutput struct {
	acceptedOutput
	Key string `json:"key"`
}

// changeKeys commits a change of keys. All keys of a team are in one list, so a
// change of another key conflicts with this one. In this case changeKeys computes
// the change again from the newest tree.
func (e *settingsEditFlags) changeKeys(ctx context.Context, s Streams, store *fbsettings.Store, change keyChangeFunc, args []string) error {
	if e.retry != "" || e.base != 0 {
		return eris.New("-retry and -base can't be used here: a key is not printed if the outcome of its edit is unknown")
	}
	for conflicts := 0; ; conflicts++ {
		tree, err := store.Newest(ctx)
		if err != nil {
			return err
		}
		c, key, err := change(tree, args)
		if err != nil {
			return err
		}
		request := fbsettings.NewRequest(tree.Version())
		result, err := e.commit(ctx, store, request, []fbtree.Change{c})
		var conflict *fbsettings.ConflictError
		if errors.As(err, &conflict) && conflicts < maxKeyConflicts {
			continue
		}
		if err != nil || key == "" {
			return e.printOutcome(s, request, result, err)
		}
		if e.json {
			return printJSON(s.out, keyOutput{acceptedOutput{result.Version(), result.Changed(), request.String()}, key})
		}
		p := &printer{out: s.out}
		p.line("%s", key)
		p = &printer{out: s.err}
		p.line("version %d accepted; the key is shown only now", result.Version())
		return nil
	}
}

func addCallerKey(tree *fbtree.Tree, args []string) (fbtree.Change, string, error) {
	p, err := teamPath(tree, args[0])
	if err != nil {
		return fbtree.Change{}, "", err
	}
	key := newKey()
	hashes := append(hashesAt(tree, p, fbtree.KeyCallerKeys), fbtree.Hash(key))
	return fbtree.Set(p, fbtree.KeyCallerKeys, strings.Join(hashes, ",")), key, nil
}

func removeCallerKey(tree *fbtree.Tree, args []string) (fbtree.Change, string, error) {
	p, err := teamPath(tree, args[0])
	if err != nil {
		return fbtree.Change{}, "", err
	}
	prefix := strings.ToLower(args[1])
	if len(prefix) < minPrefixDigits {
		return fbtree.Change{}, "", eris.Errorf("prefix %q; want at least %d digits of the hash", prefix, minPrefixDigits)
	}
	hashes := hashesAt(tree, p, fbtree.KeyCallerKeys)
	remaining := slices.DeleteFunc(slices.Clone(hashes), func(h string) bool { return strings.HasPrefix(h, prefix) })
	if len(hashes)-len(remaining) != 1 {
		return fbtree.Change{}, "", eris.Errorf("%d keys of %s have a hash that begins with %q; want one", len(hashes)-len(remaining), p, prefix)
	}
	return newHashesChange(p, fbtree.KeyCallerKeys, remaining), "", nil
}

func addOperatorKey(tree *fbtree.Tree, args []string) (fbtree.Change, string, error) {
	key := newKey()
	hashes := append(hashesAt(tree, fbtree.Path{}, fbtree.KeyOperatorKeys), args[0]+":"+fbtree.Hash(key))
	return fbtree.Set(fbtree.Path{}, fbtree.KeyOperatorKeys, strings.Join(hashes, ",")), key, nil
}

func removeOperatorKeys(tree *fbtree.Tree, args []string) (fbtree.Change, string, error) {
	hashes := hashesAt(tree, fbtree.Path{}, fbtree.KeyOperatorKeys)
	remaining := slices.DeleteFunc(slices.Clone(hashes), func(h string) bool { return strings.HasPrefix(h, args[0]+":") })
	if len(remaining) == len(hashes) {
		return fbtree.Change{}, "", eris.Errorf("operator %q has no key", args[0])
	}
	return newHashesChange(fbtree.Path{}, fbtree.KeyOperatorKeys, remaining), "", nil
}

// newHashesChange returns the change that sets a key to the hashes, or unsets it
// if there are none.
func newHashesChange(p fbtree.Path, key string, hashes []string) fbtree.Change {
	if len(hashes) == 0 {
		return fbtree.Unset(p, key)
	}
	return fbtree.Set(p, key, strings.Join(hashes, ","))
}

func teamPath(tree *fbtree.Tree, team string) (fbtree.Path, error) {
	p, err := parsePath(team)
	if err != nil {
		return fbtree.Path{}, err
	}
	if p.Level() != fbtree.LevelTeam || !tree.Has(p) {
		return fbtree.Path{}, eris.Errorf("there is no team %s", p)
	}
	return p, nil
}

func hashesAt(tree *fbtree.Tree, p fbtree.Path, key string) []string {
	value, ok := tree.Get(p, key)
	if !ok {
		return nil
	}
	return strings.Split(value, ",")
}

// newKey returns a new random key.
func newKey() string {
	b := make([]byte, keyBytes)
	// rand.Read never returns an error; it ends the program instead.
	_, _ = rand.Read(b)
	return "fbk_" + base64.RawURLEncoding.EncodeToString(b)
}

// keysOutput is the JSON form of the keys of a node.
type keysOutput struct {
	Path   string   `json:"path"`
	Hashes []string `json:"hashes"`
}

func newKeysList(s Streams) *ffcli.Command {
	var f settingsFlags
	fs := newFlagSet("list", s)
	f.register(fs)
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "filbertford settings keys list [flags]",
		ShortHelp:  "Lists the hashes of all keys.",
		LongHelp:   example("filbertford settings keys list"),
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			return f.withStore(ctx, func(ctx context.Context, store *fbsettings.Store) error {
				tree, err := store.Newest(ctx)
				if err != nil {
					return err
				}
				return f.printKeys(s, tree)
			})
		},
	}
}

func (f *settingsFlags) printKeys(s Streams, tree *fbtree.Tree) error {
	out := []keysOutput{}
	p := &printer{out: s.out}
	for _, q := range tree.Paths() {
		hashes := append(hashesAt(tree, q, fbtree.KeyOperatorKeys), hashesAt(tree, q, fbtree.KeyCallerKeys)...)
		if len(hashes) == 0 {
			continue
		}
		out = append(out, keysOutput{Path: q.String(), Hashes: hashes})
		for _, h := range hashes {
			if !f.json {
				p.line("%s  %s", q, h)
			}
		}
	}
	if f.json {
		return printJSON(s.out, out)
	}
	return p.err
}
