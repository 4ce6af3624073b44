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

func newStatus(s Streams) *ffcli.Command {
	var to access
	fs := newFlagSet("status", s)
	to.register(fs)
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "filbertford status [flags] ID",
		ShortHelp:  "Prints what the owner knows of a submission.",
		LongHelp: "The exit code is 0 for a running job, else that of its answer as for submit.\n\n" +
			example("filbertford status fb1.AAAA.order-17"),
		FlagSet: fs,
		Options: fromEnvironment(),
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneID(args)
			if err != nil {
				return err
			}
			client, err := to.client(s)
			if err != nil {
				return err
			}
			defer client.Close()
			status, err := client.Status(ctx, id)
			if err != nil {
				return err
			}
			w := newAnswerOutput(id.String(), status.Answer())
			w.State = string(status.State())
			if err := printAnswer(s.out, w, *asJSON); err != nil {
				return err
			}
			if status.State() == filbertford.StateRunning {
				return nil
			}
			return exitOf(status.Answer())
		},
	}
}

func newCancel(s Streams) *ffcli.Command {
	var to access
	fs := newFlagSet("cancel", s)
	to.register(fs)
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "cancel",
		ShortUsage: "filbertford cancel [flags] ID",
		ShortHelp:  "Cancels a submission and prints its answer.",
		LongHelp: "The exit code is 0 if the job is cancelled, else that of its answer as for submit.\n\n" +
			example("filbertford cancel fb1.AAAA.order-17"),
		FlagSet: fs,
		Options: fromEnvironment(),
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneID(args)
			if err != nil {
				return err
			}
			client, err := to.client(s)
			if err != nil {
				return err
			}
			defer client.Close()
			a, err := client.Cancel(ctx, id)
			if err != nil {
				return err
			}
			if err := printAnswer(s.out, newAnswerOutput(id.String(), a), *asJSON); err != nil {
				return err
			}
			if a.Code() == filbertford.CodeCancelled {
				return nil
			}
			return exitOf(a)
		},
	}
}
