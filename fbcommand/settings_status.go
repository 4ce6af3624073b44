package fbcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbsettings"
)

// settingsReply is a daemon's reply about its settings.
type settingsReply struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"version"`
	Newest     uint64 `json:"newest"`
	Reason     string `json:"reason"`
}

// daemonSettingsOutput is the JSON form of the settings at a daemon.
type daemonSettingsOutput struct {
	Daemon     string `json:"daemon"`
	VM         string `json:"vm,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	Version    uint64 `json:"version"`
	InForce    bool   `json:"in_force"`
	Reason     string `json:"reason,omitempty"`
}

// settingsStatusOutput is the JSON form of the settings status: the newest version
// and the version at each daemon.
type settingsStatusOutput struct {
	Accepted uint64                 `json:"accepted"`
	Platform string                 `json:"platform"`
	Daemons  []daemonSettingsOutput `json:"daemons"`
}

func newSettingsStatus(s Streams) *ffcli.Command {
	var o operationsFlags
	fs := newFlagSet("status", s)
	o.register(fs)
	platform := fs.String("platform", defaultPlatform, "`URL` of the platform")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "filbertford settings status [flags]",
		ShortHelp:  "Shows at which daemons the newest version is not yet in force, and why.",
		LongHelp: "The exit code is 1 unless the newest version is in force at all daemons. If the platform can't be read, the newest " +
			"version known to a daemon is used instead.\n\n" +
			example("filbertford settings status -operations http://127.0.0.1:7102,http://127.0.0.1:7112"),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			status := o.settingsStatus(ctx, *platform)
			return o.printStatus(s, status)
		},
	}
}

// settingsStatus queries the platform and all daemons.
func (o *operationsFlags) settingsStatus(ctx context.Context, platform string) settingsStatusOutput {
	out := settingsStatusOutput{Platform: "up"}
	flags := settingsFlags{platform: platform}
	err := flags.withStore(ctx, func(ctx context.Context, store *fbsettings.Store) error {
		head, err := store.Head(ctx)
		out.Accepted = head.Version()
		return err
	})
	if err != nil {
		out.Platform = err.Error()
	}
	for _, base := range splitList(o.listeners) {
		reply, err := o.daemonSettings(ctx, base)
		d := daemonSettingsOutput{Daemon: base, VM: reply.VM, DataCentre: reply.DataCentre, Version: reply.Version, Reason: reply.Reason}
		if err != nil {
			d.Reason = err.Error()
		}
		out.Accepted = max(out.Accepted, reply.Newest, reply.Version)
		out.Daemons = append(out.Daemons, d)
	}
	for i, d := range out.Daemons {
		out.Daemons[i].InForce = d.Version == out.Accepted && d.Version > 0
		if !out.Daemons[i].InForce && d.Reason == "" {
			out.Daemons[i].Reason = "it has not arrived yet"
		}
	}
	return out
}

func (o *operationsFlags) daemonSettings(ctx context.Context, base string) (settingsReply, error) {
	body, err := o.getJSON(ctx, base+"/v1/settings")
	if err != nil {
		return settingsReply{}, err
	}
	var reply settingsReply
	err = json.Unmarshal(body, &reply)
	return reply, eris.Wrapf(err, "decode the settings of %s", base)
}

func (o *operationsFlags) printStatus(s Streams, status settingsStatusOutput) error {
	var exitErr error
	for _, d := range status.Daemons {
		if !d.InForce {
			exitErr = exitError{ExitError}
		}
	}
	if o.json {
		if err := printJSON(s.out, status); err != nil {
			return err
		}
		return exitErr
	}
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	p := &printer{out: table}
	p.line("newest version %d, platform %s", status.Accepted, status.Platform)
	p.line("daemon\tVM\tdata centre\tversion\tin force\twhy")
	for _, d := range status.Daemons {
		p.line("%s\t%s\t%s\t%d\t%s\t%s", d.Daemon, d.VM, d.DataCentre, d.Version, formatBool(d.InForce), formatCell([]byte(fmt.Sprintf("%q", d.Reason))))
	}
	if p.err != nil {
		return eris.Wrap(p.err, "write the status")
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "write the status")
	}
	return exitErr
}

func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
