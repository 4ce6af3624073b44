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

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

// logTimePattern matches the time of a log line in either log format.
var logTimePattern = regexp.MustCompile(`time"?[=:]"?([0-9:.TZ+-]+)`)

// stateEvents are events that can explain what happened to a job without naming
// it, such as an unreachable daemon.
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
	withStateEvents := fs.Bool("beliefs", true, "also show events between the job's lines that may explain them, such as an unreachable daemon")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "filbertford explain [flags] ID LOGFILE...",
		ShortHelp:  "Prints the log lines about a job from several daemons, sorted by time.",
		LongHelp: "Each file is the standard output of a daemon. Daemons do not share a clock: lines of\n" +
			"different daemons are in order only up to the difference of their clocks.\n\n" +
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
		return nil, eris.Wrap(err, "read a log")
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
	return out, eris.Wrapf(sc.Err(), "read %s", file)
}

// explain writes the lines that contain the ID and, if withStateEvents is set, the
// state events between the first and the last of them, sorted by time.
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
		return eris.Errorf("no line contains %s; log lines may have been omitted (FE7007)", id)
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
