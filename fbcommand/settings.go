package fbcommand

import (
	"context"
	"errors"
	"flag"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbplatform"
	"github.com/filbertford/filbertford/fbsettings"
	"github.com/filbertford/filbertford/fbtimer"
	"github.com/filbertford/filbertford/fbtree"
)

// Exit codes of the settings commands, besides ExitComplete and ExitError.
const (
	// ExitConflict means that another operator changed the same settings first.
	// The edit was rejected as a whole.
	ExitConflict = 5
	// ExitUnknown means that the edit may or may not have been accepted. It can
	// be retried with -retry.
	ExitUnknown = 6
)

// Timeouts of the settings commands.
const (
	platformTimeout = 2 * time.Second
	settingsTimeout = 15 * time.Second
)

// NewSettings returns the command that shows and changes the settings.
func NewSettings(s Streams) *ffcli.Command {
	settings := &ffcli.Command{
		Name:       "settings",
		ShortUsage: "filbertford settings COMMAND [flags] [arguments]",
		ShortHelp:  "Shows and changes the settings tree.",
		LongHelp: "Paths are /, /TEAM, /TEAM/SERVICE, /TEAM/SERVICE/KIND and /vms/NAME. docs/SETTINGS.md lists the keys.\n\n" +
			example("filbertford settings set -operator ada /depot quota 2000"),
		FlagSet: newFlagSet("settings", s),
		Subcommands: []*ffcli.Command{
			newSettingsGet(s), newSettingsExplain(s), newSettingsDiff(s), newSettingsHistory(s), newSettingsStatus(s),
			newSettingsSet(s), newSettingsUnset(s), newSettingsAdd(s), newSettingsRemove(s),
			newSettingsEdit(s), newSettingsApply(s), newSettingsRollback(s), newSettingsKeys(s),
		},
	}
	return requireSubcommand(settings, s)
}

// requireSubcommand makes a command print its usage if it is given no subcommand,
// and return an error for an unknown one.
func requireSubcommand(c *ffcli.Command, s Streams) *ffcli.Command {
	c.Exec = func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return eris.Errorf("%s has no command %q", c.Name, args[0])
		}
		p := &printer{out: s.err}
		p.line("%s", ffcli.DefaultUsageFunc(c))
		return errUsagePrinted
	}
	return c
}

// settingsFlags are the flags of commands that read the settings.
type settingsFlags struct {
	platform string
	json     bool
}

func (f *settingsFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.platform, "platform", defaultPlatform, "`URL` of the platform")
	fs.BoolVar(&f.json, "json", false, "print JSON")
}

// withStore calls fn with the settings stored on the platform.
func (f *settingsFlags) withStore(ctx context.Context, fn func(context.Context, *fbsettings.Store) error) error {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	address := strings.TrimRight(strings.TrimPrefix(f.platform, "http://"), "/")
	client := fbplatform.NewClient(address, platformTimeout)
	defer client.Close()
	timer := fbtimer.NewService()
	var group errgroup.Group
	group.Go(func() error { return timer.Run(ctx) })
	err := fn(ctx, fbsettings.NewStore(client, client, timer))
	cancel()
	// The timer returns the error of the cancelled context.
	_ = group.Wait()
	return err
}

// settingsEditFlags are the flags of commands that change the settings.
type settingsEditFlags struct {
	settingsFlags
	operator string
	key      string
	note     string
	base     uint64
	retry    string
}

func (e *settingsEditFlags) register(fs *flag.FlagSet) {
	e.settingsFlags.register(fs)
	fs.StringVar(&e.operator, "operator", "", "the operator's `name`")
	fs.StringVar(&e.key, "operator-key", "", "the operator's `key`; set FILBERTFORD_OPERATOR_KEY instead to keep it out of process lists")
	fs.StringVar(&e.note, "note", "", "`text` for the history")
	fs.Uint64Var(&e.base, "base", 0, "`version` that the change is based on; 0 for the newest")
	fs.StringVar(&e.retry, "retry", "", "`request` of an edit whose outcome is unknown, to retry it")
}

// request returns the request of an edit: that of -retry, or a new one based on
// -base or on the newest version.
func (e *settingsEditFlags) request(ctx context.Context, store *fbsettings.Store) (fbsettings.Request, error) {
	if e.retry != "" {
		return fbsettings.ParseRequest(e.retry)
	}
	if e.base > 0 {
		return fbsettings.NewRequest(e.base), nil
	}
	head, err := store.Head(ctx)
	if err != nil {
		return fbsettings.Request{}, err
	}
	return fbsettings.NewRequest(head.Version()), nil
}

// commitAndPrint commits changes and prints the outcome.
func (e *settingsEditFlags) commitAndPrint(ctx context.Context, s Streams, store *fbsettings.Store, changes ...fbtree.Change) error {
	request, err := e.request(ctx, store)
	if err != nil {
		return err
	}
	result, err := e.commit(ctx, store, request, changes)
	return e.printOutcome(s, request, result, err)
}

func (e *settingsEditFlags) commit(ctx context.Context, store *fbsettings.Store, r fbsettings.Request, changes []fbtree.Change) (fbsettings.CommitResult, error) {
	edit := fbsettings.NewEdit(r, e.operator, time.Now(), changes...).WithKey(e.key).WithNote(e.note)
	return store.Commit(ctx, edit)
}

// acceptedOutput is the printed form of an accepted edit.
type acceptedOutput struct {
	Version uint64 `json:"version"`
	Changed bool   `json:"changed"`
	Request string `json:"request"`
}

// rejectedOutput is the printed form of an edit that failed.
type rejectedOutput struct {
	Error     string           `json:"error"`
	Text      string           `json:"text"`
	Request   string           `json:"request"`
	Conflicts []conflictOutput `json:"conflicts,omitempty"`
	Problems  []problemOutput  `json:"problems,omitempty"`
}

type conflictOutput struct {
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Yours   string `json:"yours"`
	Theirs  string `json:"theirs"`
	Who     string `json:"who"`
	Version uint64 `json:"version"`
}

type problemOutput struct {
	Line   int    `json:"line,omitempty"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Value  string `json:"value,omitempty"`
	Reason string `json:"reason"`
}

// printOutcome prints the outcome of an edit and returns the error that sets the
// exit code.
func (e *settingsEditFlags) printOutcome(s Streams, r fbsettings.Request, result fbsettings.CommitResult, err error) error {
	if err != nil {
		return e.printRejection(s, r, err)
	}
	if e.json {
		return printJSON(s.out, acceptedOutput{Version: result.Version(), Changed: result.Changed(), Request: r.String()})
	}
	p := &printer{out: s.out}
	if result.Changed() {
		p.line("version %d accepted", result.Version())
	} else {
		p.line("version %d already contains this change", result.Version())
	}
	return p.err
}

func (e *settingsEditFlags) printRejection(s Streams, r fbsettings.Request, err error) error {
	out := rejectedOutput{Error: "error", Text: err.Error(), Request: r.String()}
	code := ExitError
	var conflict *fbsettings.ConflictError
	var unknown *fbsettings.CommitUnknownError
	var problems fbtree.Problems
	switch {
	case errors.As(err, &conflict):
		out.Error, out.Conflicts, code = "conflict", newConflictOutputs(conflict), ExitConflict
	case errors.As(err, &unknown):
		out.Error, code = "unknown", ExitUnknown
	case errors.As(err, &problems):
		out.Error, out.Problems = "invalid", newProblemOutputs(problems)
	}
	if e.json {
		if err := printJSON(s.out, out); err != nil {
			return err
		}
		return exitError{code}
	}
	p := &printer{out: s.err}
	p.line("filbertford: %s", out.Text)
	if code == ExitUnknown {
		p.line("repeat the same command with -retry %s", r)
	}
	return exitError{code}
}

func newConflictOutputs(err *fbsettings.ConflictError) []conflictOutput {
	var out []conflictOutput
	for _, c := range err.Conflicts() {
		out = append(out, conflictOutput{
			Path:    c.Path().String(),
			Key:     c.Key(),
			Yours:   c.Yours(),
			Theirs:  c.Theirs(),
			Who:     c.Operator(),
			Version: c.Version(),
		})
	}
	return out
}

func newProblemOutputs(problems fbtree.Problems) []problemOutput {
	var out []problemOutput
	for _, p := range problems {
		out = append(out, problemOutput{Line: p.Line(), Path: p.Path(), Key: p.Key(), Value: p.Value(), Reason: p.Reason()})
	}
	return out
}
