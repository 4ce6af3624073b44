package fbcommand

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/platform"
)

// evacuationsFlags are the flags of the command evacuations.
type evacuationsFlags struct {
	store string
	nodes string
	json  bool
}

// evacuationRow is an evacuation in the store.
type evacuationRow struct {
	Zone    string `json:"zone"`
	Version uint64 `json:"version"`
	Problem string `json:"problem,omitempty"`
}

func newEvacuations(s Streams) *ffcli.Command {
	var f evacuationsFlags
	fs := newFlagSet("evacuations", s)
	fs.StringVar(&f.store, "store", "127.0.0.1:7000", "`address` of the platform's store, host:port")
	fs.StringVar(&f.nodes, "nodes", "", "`URLs` of the metrics listeners of the fleet's daemons, separated by commas; asks them instead of the store")
	fs.BoolVar(&f.json, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "evacuations",
		ShortUsage: "filbertford evacuations [flags]",
		ShortHelp:  "Lists the evacuations of data centres that are in force.",
		LongHelp: "With -nodes, it lists those that each daemon knows, with the version of the store; version 0 means that the daemon " +
			"knows of none yet. The exit code is 1 if the store or a daemon could not be queried, or if a row is malformed.\n\n" +
			example("filbertford evacuations -store 127.0.0.1:7000", "filbertford evacuations -nodes http://127.0.0.1:7203,http://127.0.0.1:7213"),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			if f.nodes != "" {
				o := operationsFlags{listeners: f.nodes, json: f.json}
				return o.list(ctx, s, "/evacuations")
			}
			return f.listStore(ctx, s)
		},
	}
}

// listStore prints the evacuations that operators have written to the store.
func (f *evacuationsFlags) listStore(ctx context.Context, s Streams) error {
	ctx, cancel := context.WithTimeout(ctx, operationsTimeout)
	defer cancel()
	store := platform.NewStore(f.store)
	defer store.Close()
	snap, err := store.List(ctx, filbertford.TableRoutes, "")
	if err != nil {
		return eris.Wrapf(err, "read the store at %s", f.store)
	}
	var exitErr error
	rows := []evacuationRow{}
	for _, c := range snap.Changes() {
		if !platform.IsEvacuation(c.Row()) {
			continue
		}
		dc, err := platform.DecodeEvacuation(c.Row())
		row := evacuationRow{Zone: string(dc), Version: c.Row().Version()}
		if err != nil {
			row.Problem, exitErr = err.Error(), exitError{ExitError}
		}
		rows = append(rows, row)
	}
	body, err := json.Marshal(rows)
	if err != nil {
		return eris.Wrap(err, "encode the evacuations")
	}
	if f.json {
		err = printJSON(s.out, json.RawMessage(body))
	} else {
		err = printList(s.out, fmt.Sprintf("store %s, version %d", f.store, snap.Version()), body)
	}
	if err != nil {
		return err
	}
	return exitErr
}
