package fbcommand

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

// maxLogLineBytes is the length of the longest log line that is read, in bytes.
const maxLogLineBytes = 1 << 20

// logTimePattern finds the time of a line in either format.
var logTimePattern = regexp.MustCompile(`time"?[=:]"?([0-9:.TZ+-]+)`)

// stateEvents are the events that explain what a job met without naming it.
var stateEvents = []string{
	"FE5002", "FE7005", "FE7007", "FE7011", "FE7012", "FE7022", "FE7031", "FE7032", "FE7033", "FE7044", "FE7046",
}

// logLine is a line of a daemon's log.
type logLine struct {
	time   string
	source string
	text   string
}

func newExplain(s Streams) *ffcli.Command {
	fs := newFlagSet("explain", s)
	withStateEvents := fs.Bool("beliefs", true, "show changes of what the daemons believed in between, too")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "filbertford explain [flags] ID LOGFILE...",
		ShortHelp:  "Puts the log lines about a job in order, across daemons.",
		LongHelp: "Each file is the standard output of a daemon. Without a clock that all share, lines of\n" +
			"different daemons are in order up to the difference of their clocks.\n\n" +
			example("filbertford explain 5128e16b3e823e0b logs/*.log"),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return eris.New("an ID and at least one log file are needed")
			}
			var all []logLine
			for _, file := range args[1:] {
				lines, err := readLog(file)
				if err != nil {
					return err
				}
				all = append(all, lines...)
			}
			return explain(s.out, args[0], all, *withStateEvents)
		},
	}
}

func readLog(file string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "reading a log")
	}
	defer f.Close()
	var out []logLine
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLogLineBytes)
	for sc.Scan() {
		l := logLine{source: strings.TrimSuffix(filepath.Base(file), ".log"), text: sc.Text()}
		if m := logTimePattern.FindStringSubmatch(l.text); m != nil {
			l.time = m[1]
		}
		out = append(out, l)
	}
	return out, eris.Wrapf(sc.Err(), "reading %s", file)
}

// explain writes the lines that name the ID, and the changes of beliefs between
// the first and the last of them.
func explain(w io.Writer, id string, lines []logLine, withStateEvents bool) error {
	first, last := "", ""
	for _, l := range lines {
		if l.time != "" && strings.Contains(l.text, id) {
			if first == "" || l.time < first {
				first = l.time
			}
			last = max(last, l.time)
		}
	}
	if first == "" {
		return eris.Errorf("no line names %s; lines may have been left out (FE7007)", id)
	}
	lines = slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool {
		if strings.Contains(l.text, id) {
			return false
		}
		return !withStateEvents || l.time < first || l.time > last || !isStateEvent(l.text)
	})
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%-10s %s\n", l.source, l.text); err != nil {
			return err
		}
	}
	return nil
}

func isStateEvent(text string) bool {
	return slices.ContainsFunc(stateEvents, func(e string) bool { return strings.Contains(text, e) })
}
