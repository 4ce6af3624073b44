package fbcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbclient"
)

// answerOutput is the printed form of an answer.
type answerOutput struct {
	ID           string         `json:"id"`
	State        string         `json:"state,omitempty"`
	Code         string         `json:"code,omitempty"`
	Class        string         `json:"class,omitempty"`
	Text         string         `json:"text,omitempty"`
	Detail       string         `json:"detail,omitempty"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
	Results      []resultOutput `json:"results,omitempty"`
	Deliveries   int            `json:"deliveries,omitempty"`
	TookMS       int64          `json:"took_ms,omitempty"`
}

type resultOutput struct {
	Output json.RawMessage `json:"output"`
	Target string          `json:"target"`
}

func newAnswerOutput(id string, a filbertford.Answer) answerOutput {
	out := answerOutput{ID: id}
	if a.Code() == "" {
		return out
	}
	out.Code, out.Class, out.Text = string(a.Code()), string(a.Code().Class()), a.Code().Text()
	out.Detail, out.RetryAfterMS = a.Detail(), a.RetryAfter().Milliseconds()
	for _, r := range a.Results() {
		out.Results = append(out.Results, resultOutput{Output: r.Output(), Target: string(r.Target())})
	}
	return out
}

// printAnswer writes an answer as text or as JSON.
func printAnswer(out io.Writer, answer answerOutput, asJSON bool) error {
	if asJSON {
		return printJSON(out, answer)
	}
	p := &printer{out: out}
	if answer.State != "" {
		p.line("state    %s", answer.State)
	}
	if answer.Code != "" {
		p.line("answer   %s %s: %s", answer.Code, answer.Class, answer.Text)
	}
	if answer.Detail != "" {
		p.line("detail   %s", answer.Detail)
	}
	if answer.RetryAfterMS > 0 {
		p.line("retry    after %s", time.Duration(answer.RetryAfterMS)*time.Millisecond)
	}
	p.line("id       %s", answer.ID)
	if answer.Deliveries > 0 {
		p.line("took     %s, deliveries %d", time.Duration(answer.TookMS)*time.Millisecond, answer.Deliveries)
	}
	for i, r := range answer.Results {
		p.line("task %-4d%s  %s", i, r.Target, r.Output)
	}
	return p.err
}

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(v), "write the result")
}

// printer writes lines and keeps the first error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format+"\n", args...)
	}
}

// submissionResult is the output of a command about one submission and the error
// that it returns after printing the output, nil for success.
type submissionResult struct {
	output  answerOutput
	exitErr error
}

// newSubmissionCommand completes c as a command about one submission, whose ID is
// its argument. The command prints the result of call.
func newSubmissionCommand(s Streams, c *ffcli.Command, call func(ctx context.Context, client *fbclient.Client, id filbertford.SubmissionID) (submissionResult, error)) *ffcli.Command {
	var caller callerFlags
	c.FlagSet = newFlagSet(c.Name, s)
	caller.register(c.FlagSet)
	asJSON := c.FlagSet.Bool("json", false, "print JSON")
	c.ShortUsage = "filbertford " + c.Name + " [flags] ID"
	c.LongHelp += "\n\n" + example("filbertford "+c.Name+" fb1.AAAA.order-17")
	c.Options = envOptions()
	c.Exec = func(ctx context.Context, args []string) error {
		id, err := parseIDArgument(args)
		if err != nil {
			return err
		}
		client, err := caller.client(s)
		if err != nil {
			return err
		}
		defer client.Close()
		result, err := call(ctx, client, id)
		if err != nil {
			return err
		}
		if err := printAnswer(s.out, result.output, *asJSON); err != nil {
			return err
		}
		return result.exitErr
	}
	return c
}

func newStatus(s Streams) *ffcli.Command {
	return newSubmissionCommand(s, &ffcli.Command{
		Name:      "status",
		ShortHelp: "Prints the state of a submission as its owner reports it.",
		LongHelp:  "The exit code is 0 for a running job, else that of its answer, as for submit.",
	}, submissionStatus)
}

func submissionStatus(ctx context.Context, client *fbclient.Client, id filbertford.SubmissionID) (submissionResult, error) {
	status, err := client.Status(ctx, id)
	if err != nil {
		return submissionResult{}, err
	}
	out := newAnswerOutput(id.String(), status.Answer())
	out.State = string(status.State())
	if status.State() == filbertford.StateRunning {
		return submissionResult{output: out}, nil
	}
	return submissionResult{output: out, exitErr: exitErrorOf(status.Answer())}, nil
}

func newCancel(s Streams) *ffcli.Command {
	return newSubmissionCommand(s, &ffcli.Command{
		Name:      "cancel",
		ShortHelp: "Cancels a submission and prints its answer.",
		LongHelp:  "The exit code is 0 if the job is cancelled, else that of its answer, as for submit.",
	}, cancelSubmission)
}

func cancelSubmission(ctx context.Context, client *fbclient.Client, id filbertford.SubmissionID) (submissionResult, error) {
	a, err := client.Cancel(ctx, id)
	if err != nil {
		return submissionResult{}, err
	}
	out := newAnswerOutput(id.String(), a)
	if a.Code() == filbertford.CodeCancelled {
		return submissionResult{output: out}, nil
	}
	return submissionResult{output: out, exitErr: exitErrorOf(a)}, nil
}
