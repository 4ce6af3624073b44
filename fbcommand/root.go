package fbcommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbclient"
)

// Exit codes of the program.
const (
	// ExitComplete means that the command succeeded; for a job, that its answer
	// is complete.
	ExitComplete = 0
	// ExitError means a usage error, or that no daemon could be reached.
	ExitError = 1
	// ExitFailed means that the job failed and ran or may have run.
	ExitFailed = 2
	// ExitNotRun means that no task of the job ran.
	ExitNotRun = 3
	// ExitNotStarted means that this delivery started nothing.
	ExitNotStarted = 4
)

// Defaults of flags, and the prefix of the environment variables that set flags.
const (
	defaultEndpoints  = "http://127.0.0.1:7100"
	defaultOperations = "http://127.0.0.1:7102"
	envPrefix         = "FILBERTFORD"
)

// Streams are the streams of a command. Results go to the output, progress and
// errors to the error output.
type Streams struct {
	in       io.Reader
	out, err io.Writer
}

// NewStreams returns streams with the given input, output and error output.
func NewStreams(in io.Reader, out, err io.Writer) Streams {
	return Streams{in: in, out: out, err: err}
}

// In returns the input.
func (s Streams) In() io.Reader { return s.in }

// Out returns the output for results.
func (s Streams) Out() io.Writer { return s.out }

// Err returns the output for progress and errors.
func (s Streams) Err() io.Writer { return s.err }

// exitError sets the exit code of the program. Its message is not printed.
type exitError struct {
	code int
}

func (e exitError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// Run runs the command line, without the program's name, and returns the exit
// code.
func Run(ctx context.Context, args []string, s Streams) int {
	root := newRoot(s)
	err := root.ParseAndRun(ctx, args)
	var exit exitError
	switch {
	case err == nil:
		return ExitComplete
	case errors.As(err, &exit):
		return exit.code
	case errors.Is(err, errUsagePrinted):
		return ExitError
	case errors.Is(err, flag.ErrHelp):
		return ExitComplete
	default:
		_, _ = fmt.Fprintf(s.err, "filbertford: %v\n", err)
		return ExitError
	}
}

// errUsagePrinted is the error of a command that was given no subcommand and has
// printed its usage.
var errUsagePrinted = errors.New("a command is needed")

// newRoot returns the program's command.
func newRoot(s Streams) *ffcli.Command {
	fs := newFlagSet("filbertford", s)
	root := &ffcli.Command{
		Name:       "filbertford",
		ShortUsage: "filbertford COMMAND [flags] [arguments]",
		ShortHelp:  "Submits jobs and operates filbertford's daemons.",
		LongHelp: "Flags can also be set by environment variables: -endpoints by FILBERTFORD_ENDPOINTS and so on.\n\n" +
			example("filbertford submit -team depot -service ordering -kind stock-check -tasks 3 -run 50ms"),
		FlagSet: fs,
		Subcommands: []*ffcli.Command{
			newSubmit(s),
			newStatus(s),
			newCancel(s),
			newReady(s),
			newVMs(s),
			newTargets(s),
			newEvacuations(s),
			newBurn(s),
			NewSettings(s),
			newLoad(s),
			newReport(s),
			newExplain(s),
			newCheck(s),
		},
	}
	root.Exec = func(context.Context, []string) error {
		_, _ = fmt.Fprintln(s.err, ffcli.DefaultUsageFunc(root))
		return errUsagePrinted
	}
	return root
}

// newFlagSet returns a flag set that reports errors to the error output.
func newFlagSet(name string, s Streams) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(s.err)
	return fs
}

// envOptions returns options that let environment variables set a command's flags.
func envOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
}

// example formats the examples of a command's help.
func example(lines ...string) string {
	return "EXAMPLE\n  " + strings.Join(lines, "\n  ")
}

// callerFlags are the flags of commands that send requests as a caller.
type callerFlags struct {
	endpoints string
	key       string
}

func (f *callerFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.endpoints, "endpoints", defaultEndpoints, "`URLs` of entry daemons, separated by commas")
	fs.StringVar(&f.key, "key", "", "the caller's `key`")
}

// client returns a client that logs its retries to the error output.
func (f *callerFlags) client(s Streams, options ...fbclient.Option) (*fbclient.Client, error) {
	options = append([]fbclient.Option{fbclient.WithKey(f.key), fbclient.WithLogger(log.New(s.err))}, options...)
	return fbclient.New(splitList(f.endpoints), options...)
}

// splitList splits text at commas and drops empty parts and trailing slashes.
func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, strings.TrimRight(part, "/"))
		}
	}
	return out
}

// exitErrorOf returns the error that sets the exit code to that of the answer's
// class, nil for a complete answer.
func exitErrorOf(a filbertford.Answer) error {
	switch a.Code().Class() {
	case filbertford.ClassComplete:
		return nil
	case filbertford.ClassNotRun:
		return exitError{ExitNotRun}
	case filbertford.ClassNotStarted:
		return exitError{ExitNotStarted}
	default:
		return exitError{ExitFailed}
	}
}

// parseIDArgument parses a command's only argument, a submission ID.
func parseIDArgument(args []string) (filbertford.SubmissionID, error) {
	if len(args) != 1 {
		return filbertford.SubmissionID{}, eris.Errorf("got %d arguments, want one submission ID", len(args))
	}
	id, err := filbertford.ParseID(args[0])
	return id, eris.Wrapf(err, "submission ID %q", args[0])
}

// rejectArguments returns an error if a command that takes no arguments was given
// any.
func rejectArguments(args []string) error {
	if len(args) > 0 {
		return eris.Errorf("unexpected argument %q", args[0])
	}
	return nil
}
