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

// answerOutput is an answer as commands print it.
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
	w := answerOutput{ID: id}
	if a.Code() == "" {
		return w
	}
	w.Code, w.Class, w.Text = string(a.Code()), string(a.Code().Class()), a.Code().Text()
	w.Detail, w.RetryAfterMS = a.Detail(), a.RetryAfter().Milliseconds()
	for _, r := range a.Results() {
		w.Results = append(w.Results, resultOutput{Output: r.Output(), Target: string(r.Target())})
	}
	return w
}

// printAnswer writes an answer for people or as JSON.
func printAnswer(out io.Writer, w answerOutput, asJSON bool) error {
	if asJSON {
		return printJSON(out, w)
	}
	p := &printer{out: out}
	if w.State != "" {
		p.line("state    %s", w.State)
	}
	if w.Code != "" {
		p.line("answer   %s %s: %s", w.Code, w.Class, w.Text)
	}
	if w.Detail != "" {
		p.line("detail   %s", w.Detail)
	}
	if w.RetryAfterMS > 0 {
		p.line("retry    after %s", time.Duration(w.RetryAfterMS)*time.Millisecond)
	}
	p.line("id       %s", w.ID)
	if w.Deliveries > 0 {
		p.line("took     %s, deliveries %d", time.Duration(w.TookMS)*time.Millisecond, w.Deliveries)
	}
	for i, r := range w.Results {
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

// finding is what a command about one submission prints, and the error that it
// ends with after that, nil for success.
type finding struct {
	printed answerOutput
	exit    error
}

// newAboutOne returns a command about one submission, whose ID is its argument.
func newAboutOne(s Streams, c *ffcli.Command, ask func(ctx context.Context, client *fbclient.Client, id filbertford.SubmissionID) (finding, error)) *ffcli.Command {
	var to access
	c.FlagSet = newFlagSet(c.Name, s)
	to.register(c.FlagSet)
	asJSON := c.FlagSet.Bool("json", false, "print JSON")
	c.ShortUsage = "filbertford " + c.Name + " [flags] ID"
	c.LongHelp += "\n\n" + example("filbertford "+c.Name+" fb1.AAAA.order-17")
	c.Options = fromEnvironment()
	c.Exec = func(ctx context.Context, args []string) error {
		id, err := oneID(args)
		if err != nil {
			return err
		}
		client, err := to.client(s)
		if err != nil {
			return err
		}
		defer client.Close()
		found, err := ask(ctx, client, id)
		if err != nil {
			return err
		}
		if err := printAnswer(s.out, found.printed, *asJSON); err != nil {
			return err
		}
		return found.exit
	}
	return c
}

func newStatus(s Streams) *ffcli.Command {
	return newAboutOne(s, &ffcli.Command{
		Name:      "status",
		ShortHelp: "Prints what the owner knows of a submission.",
		LongHelp:  "The exit code is 0 for a running job, else that of its answer as for submit.",
	}, askStatus)
}

func askStatus(ctx context.Context, client *fbclient.Client, id filbertford.SubmissionID) (finding, error) {
	status, err := client.Status(ctx, id)
	if err != nil {
		return finding{}, err
	}
	out := newAnswerOutput(id.String(), status.Answer())
	out.State = string(status.State())
	if status.State() == filbertford.StateRunning {
		return finding{printed: out}, nil
	}
	return finding{printed: out, exit: exitOf(status.Answer())}, nil
}

func newCancel(s Streams) *ffcli.Command {
	return newAboutOne(s, &ffcli.Command{
		Name:      "cancel",
		ShortHelp: "Cancels a submission and prints its answer.",
		LongHelp:  "The exit code is 0 if the job is cancelled, else that of its answer as for submit.",
	}, askCancel)
}

func askCancel(ctx context.Context, client *fbclient.Client, id filbertford.SubmissionID) (finding, error) {
	a, err := client.Cancel(ctx, id)
	if err != nil {
		return finding{}, err
	}
	out := newAnswerOutput(id.String(), a)
	if a.Code() == filbertford.CodeCancelled {
		return finding{printed: out}, nil
	}
	return finding{printed: out, exit: exitOf(a)}, nil
}
