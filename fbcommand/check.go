package fbcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcheck"
	"github.com/filbertford/filbertford/platform"
)

// checkReport is the result of a check as JSON.
type checkReport struct {
	Version     uint64            `json:"version"`
	InForce     uint64            `json:"in_force,omitempty"`
	Findings    []checkFinding    `json:"findings"`
	Differences []checkDifference `json:"differences,omitempty"`
}

type checkFinding struct {
	Severity string `json:"severity"`
	Entry    string `json:"entry"`
	Reason   string `json:"reason"`
}

type checkDifference struct {
	Entry  string `json:"entry"`
	Change string `json:"change"`
}

func newCheck(s Streams) *ffcli.Command {
	fs := newFlagSet("check", s)
	store := fs.String("store", "", "`address` of the platform's store; if set, the file is compared with the version in force and with the targets there")
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "filbertford check [flags] FILE",
		ShortHelp:  "Checks a configuration of routes before it is sent.",
		LongHelp: "Reports invalid values, routes that no request can match, limits that contradict each other and,\n" +
			"with -store, services without targets and what differs from the version in force. Exit code 2 if\n" +
			"there is an error; warnings and differences are none.\n\n" +
			example("filbertford check -store 127.0.0.1:7000 routes.json"),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return eris.Errorf("got %d arguments, want one file", len(args))
			}
			value, err := os.ReadFile(args[0])
			if err != nil {
				return eris.Wrap(err, "read the configuration")
			}
			cfg, err := platform.DecodeConfig(value)
			if err != nil {
				return eris.Wrap(err, args[0])
			}
			report, err := checkConfig(ctx, cfg, *store)
			if err != nil {
				return err
			}
			return printCheck(s, report, *asJSON)
		},
	}
}

// checkConfig checks a configuration, also against the store if its address is given.
func checkConfig(ctx context.Context, cfg fbcheck.Config, address string) (checkReport, error) {
	report := checkReport{Version: cfg.Version(), Findings: []checkFinding{}}
	var targets map[string]int
	if address != "" {
		store := platform.NewStore(address)
		defer store.Close()
		inForce, err := readConfig(ctx, store)
		if err != nil {
			return report, err
		}
		if targets, err = countTargets(ctx, store); err != nil {
			return report, err
		}
		report.InForce = inForce.Version()
		for _, d := range fbcheck.Compare(inForce, cfg) {
			report.Differences = append(report.Differences, checkDifference{d.Entry(), d.Change()})
		}
	}
	for _, f := range fbcheck.Check(cfg, targets) {
		report.Findings = append(report.Findings, checkFinding{string(f.Severity()), f.Entry(), f.Reason()})
	}
	return report, nil
}

// readConfig returns the configuration in force, the zero Config if there is none.
func readConfig(ctx context.Context, store *platform.Store) (fbcheck.Config, error) {
	snap, err := store.List(ctx, filbertford.TableRoutes, "")
	if err != nil {
		return fbcheck.Config{}, eris.Wrap(err, "read the version in force")
	}
	for _, c := range snap.Changes() {
		if platform.IsRoutes(c.Row()) {
			return platform.DecodeConfig(c.Row().Value())
		}
	}
	return fbcheck.Config{}, nil
}

// countTargets returns the number of targets of each service. It leaves out malformed
// records and targets that are draining.
func countTargets(ctx context.Context, store *platform.Store) (map[string]int, error) {
	snap, err := store.List(ctx, filbertford.TableTargets, "")
	if err != nil {
		return nil, eris.Wrap(err, "read the targets")
	}
	out := make(map[string]int)
	for _, c := range snap.Changes() {
		if rec, err := platform.DecodeTarget(c.Row().Key(), c.Row().Value()); err == nil && !rec.Draining() {
			out[rec.Service()]++
		}
	}
	return out, nil
}

func printCheck(s Streams, r checkReport, asJSON bool) error {
	failed := false
	for _, f := range r.Findings {
		failed = failed || f.Severity == string(fbcheck.SeverityError)
	}
	if asJSON {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return eris.Wrap(err, "encode the report")
		}
		_, _ = fmt.Fprintf(s.out, "%s\n", data)
	} else {
		for _, f := range r.Findings {
			_, _ = fmt.Fprintf(s.out, "%-8s %s: %s\n", f.Severity, f.Entry, f.Reason)
		}
		for _, d := range r.Differences {
			_, _ = fmt.Fprintf(s.out, "%-8s %s: %s\n", "differs", d.Entry, d.Change)
		}
	}
	if failed {
		return exitError{ExitFailed}
	}
	return nil
}
