package fbcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

// Limits of a request to an operations listener; the body is in bytes.
const (
	operationsTimeout = 10 * time.Second
	maxOperationsBody = 16 << 20
)

// operationsFlags are the flags of commands that query operations listeners.
type operationsFlags struct {
	listeners string
	key       string
	json      bool
}

func (o *operationsFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&o.listeners, "operations", defaultOperations, "`URLs` of the daemons' operations listeners, separated by commas")
	fs.StringVar(&o.key, "operations-key", "", "the operator's `key`")
	fs.BoolVar(&o.json, "json", false, "print JSON")
}

func newVMs(s Streams) *ffcli.Command {
	return newListCommand(s, "vms", "/v1/vms", "Lists the entry daemons as each daemon reports them.")
}

func newTargets(s Streams) *ffcli.Command {
	return newListCommand(s, "targets", "/v1/targets", "Lists the targets as each daemon reports them.")
}

// readyPollInterval is the time between two polls of a daemon by ready.
const readyPollInterval = 50 * time.Millisecond

func newReady(s Streams) *ffcli.Command {
	var caller callerFlags
	fs := newFlagSet("ready", s)
	caller.register(fs)
	wait := fs.Duration("wait", 0, "time to wait for all daemons to become ready")
	return &ffcli.Command{
		Name:       "ready",
		ShortUsage: "filbertford ready [flags]",
		ShortHelp:  "Reports whether the daemons accept jobs.",
		LongHelp: "The exit code is 0 if all of them do, else 1.\n\n" +
			example("filbertford ready -endpoints http://127.0.0.1:7100,http://127.0.0.1:7110 -wait 10s"),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, *wait+operationsTimeout)
			defer cancel()
			deadline := time.Now().Add(*wait)
			for _, base := range splitList(caller.endpoints) {
				if err := waitReady(ctx, base, deadline); err != nil {
					return err
				}
				if _, err := fmt.Fprintf(s.out, "%s ready\n", base); err != nil {
					return eris.Wrap(err, "write the result")
				}
			}
			return nil
		},
	}
}

// waitReady polls a daemon until it is ready or the deadline has passed.
func waitReady(ctx context.Context, base string, deadline time.Time) error {
	for {
		_, err := getBody(ctx, base+"/readyz", "")
		if err == nil || !time.Now().Before(deadline) {
			return err
		}
		timer := time.NewTimer(readyPollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// newListCommand returns a command that prints a list from the operations listener
// of each daemon.
func newListCommand(s Streams, name, path, help string) *ffcli.Command {
	var o operationsFlags
	fs := newFlagSet(name, s)
	o.register(fs)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "filbertford " + name + " [flags]",
		ShortHelp:  help,
		LongHelp: "The exit code is 1 if a daemon could not be queried; the lists of the others are still printed.\n\n" +
			example("filbertford "+name+" -operations http://127.0.0.1:7102,http://127.0.0.1:7112"),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			return o.list(ctx, s, path)
		},
	}
}

// list prints the lists of all daemons. It reports a daemon that doesn't answer on
// the error output.
func (o *operationsFlags) list(ctx context.Context, s Streams, path string) error {
	var exitErr error
	lists := make(map[string]json.RawMessage)
	for _, base := range splitList(o.listeners) {
		body, err := o.getJSON(ctx, base+path)
		if err != nil {
			_, _ = fmt.Fprintf(s.err, "filbertford: %v\n", err)
			exitErr = exitError{ExitError}
			continue
		}
		lists[base] = body
		if o.json {
			continue
		}
		if err := printList(s.out, base, body); err != nil {
			return err
		}
	}
	if o.json {
		if err := printJSON(s.out, lists); err != nil {
			return err
		}
	}
	return exitErr
}

// getJSON returns the JSON that an operations listener serves at the URL.
func (o *operationsFlags) getJSON(ctx context.Context, url string) ([]byte, error) {
	body, err := getBody(ctx, url, o.key)
	if err != nil {
		return nil, err
	}
	if !json.Valid(body) {
		return nil, eris.Errorf("the answer of %s is not JSON", url)
	}
	return body, nil
}

// getBody returns the body of a response. It returns an error unless the status is
// 200.
func getBody(ctx context.Context, url, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operationsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create a request")
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "query a daemon")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readBounded(resp.Body, maxOperationsBody)
	if err != nil {
		return nil, eris.Wrapf(err, "read from %s", url)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("%s answered %s: %s", url, resp.Status, bytes.TrimSpace(body))
	}
	return body, nil
}

// printList writes a JSON array of flat objects as a table with the given heading.
// The columns are in the order of the objects' fields.
func printList(out io.Writer, heading string, body []byte) error {
	columns, rows, err := readRows(body)
	if err != nil {
		return eris.Wrapf(err, "read the list of %s", heading)
	}
	if _, err := fmt.Fprintf(out, "%s\n", heading); err != nil {
		return eris.Wrap(err, "write the list")
	}
	if len(rows) == 0 {
		_, err := fmt.Fprintln(out, "  none")
		return eris.Wrap(err, "write the list")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	lines := [][]string{columns}
	for _, row := range rows {
		line := make([]string, len(columns))
		for i, column := range columns {
			line[i] = row[column]
		}
		lines = append(lines, line)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintf(table, "  %s\n", strings.Join(line, "\t")); err != nil {
			return eris.Wrap(err, "write the list")
		}
	}
	return eris.Wrap(table.Flush(), "write the list")
}

// readRows returns the names of the objects' fields in the order of their first
// appearance, and each object's fields as text.
func readRows(body []byte) ([]string, []map[string]string, error) {
	var objects []json.RawMessage
	if err := json.Unmarshal(body, &objects); err != nil {
		return nil, nil, eris.Wrap(err, "not an array of objects")
	}
	var columns []string
	seen := make(map[string]bool)
	rows := make([]map[string]string, 0, len(objects))
	for _, object := range objects {
		row := make(map[string]string)
		err := readFields(object, func(name string, value json.RawMessage) {
			if !seen[name] {
				seen[name] = true
				columns = append(columns, name)
			}
			row[name] = formatCell(value)
		})
		if err != nil {
			return nil, nil, err
		}
		rows = append(rows, row)
	}
	return columns, rows, nil
}

// readFields calls f with each field of an object in turn.
func readFields(object []byte, f func(string, json.RawMessage)) error {
	dec := json.NewDecoder(bytes.NewReader(object))
	if token, err := dec.Token(); err != nil || token != json.Delim('{') {
		return eris.New("not an array of objects")
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return eris.Wrap(err, "read a field's name")
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return eris.Wrapf(err, "read the field %v", name)
		}
		f(name.(string), value)
	}
	return nil
}

// formatCell returns a JSON value as the text of a table cell. Strings have no
// quotes. Control characters are replaced, since the value comes from another
// process.
func formatCell(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) != nil {
		var compact bytes.Buffer
		if json.Compact(&compact, value) != nil {
			return string(value)
		}
		text = compact.String()
	}
	return printable(text)
}

// printable returns the text with a question mark in place of each control
// character.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, text)
}
