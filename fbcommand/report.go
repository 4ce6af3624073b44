package fbcommand

import (
	"context"
	"encoding/json"
	"os"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbload"
	"github.com/filbertford/filbertford/fbreport"
)

func newReport(s Streams) *ffcli.Command {
	fs := newFlagSet("report", s)
	out := fs.String("out", "report.html", "`file` that the report is written to")
	title := fs.String("title", "filbertford: policies side by side", "`title` of the report")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "filbertford report [flags] RESULT.json...",
		ShortHelp:  "Writes an HTML report that compares results of load.",
		LongHelp:   example("filbertford report -out report.html adaptive-depot-0.8.json random-depot-0.8.json"),
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(_ context.Context, args []string) error {
			results, err := readResults(args)
			if err != nil {
				return err
			}
			page, err := fbreport.ComparisonPage(*title, results)
			if err != nil {
				return err
			}
			if err := os.WriteFile(*out, page, outputFileMode); err != nil {
				return eris.Wrap(err, "-out")
			}
			fbevent.ReportWritten.Log(log.New(s.err), "file", *out)
			return nil
		},
	}
}

// readResults reads the results in the files.
func readResults(files []string) ([]fbload.Result, error) {
	if len(files) == 0 {
		return nil, eris.New("at least one file with a result of load is needed")
	}
	results := make([]fbload.Result, len(files))
	for i, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrap(err, "read a result")
		}
		if err := json.Unmarshal(b, &results[i]); err != nil {
			return nil, eris.Wrapf(err, "decode the result in %s", file)
		}
	}
	return results, nil
}
