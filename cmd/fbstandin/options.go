package main

import (
	"flag"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/filbertford/filbertford"
)

// part names what the process serves.
type part string

const (
	partBoth     part = "both"
	partPlatform part = "platform"
	partTargets  part = "targets"
)

// options are the command line of the program.
type options struct {
	serve    part
	platform string
	targets  int
	base     string
	slots    int
	conns    int
	rack     int
	seed     uint64
	lag      time.Duration
	centres  []filbertford.DataCentre
	speeds   []float64
	entries  []entry
}

// entry is an entry daemon of the VM list.
type entry struct {
	centre  filbertford.DataCentre
	address string
}

// parseOptions reads the flags, and from the INI file that -config names those
// that aren't given.
func parseOptions(args []string) (options, error) {
	var o options
	var serve, centres, speeds, entries string
	fs := flag.NewFlagSet("fbstandin", flag.ContinueOnError)
	fs.String("config", "", "INI `file` with values for these flags")
	fs.StringVar(&serve, "serve", string(partBoth), "what to serve: both, platform or targets")
	fs.StringVar(&o.platform, "platform", "127.0.0.1:7000", "`address` of the platform")
	fs.IntVar(&o.targets, "targets", 4, "number of targets")
	fs.StringVar(&o.base, "target-base", "127.0.0.1:7200", "`address` of the first target; the others follow on the next ports")
	fs.IntVar(&o.slots, "slots", 8, "slots of a target")
	fs.IntVar(&o.conns, "conns", 64, "connections of a target")
	fs.IntVar(&o.rack, "rack", 6, "targets in a rack")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the draw of the targets' speed factors")
	fs.DurationVar(&o.lag, "vm-lag", 2*time.Second, "time after which a change of the VM list shows")
	fs.StringVar(&centres, "centres", "nordnes", "data centres, separated by commas")
	fs.StringVar(&speeds, "speeds", "1", "factors of run time that targets draw from, separated by commas")
	fs.StringVar(&entries, "entries", "", "entry daemons as centre=host:port, separated by commas")
	err := ff.Parse(fs, args, ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(parseINI))
	if err != nil {
		return options{}, err
	}
	if fs.NArg() > 0 {
		return options{}, eris.Errorf("unexpected argument %q", fs.Arg(0))
	}
	o.serve = part(serve)
	for _, c := range list(centres) {
		o.centres = append(o.centres, filbertford.DataCentre(c))
	}
	if o.speeds, err = parseSpeeds(speeds); err != nil {
		return options{}, err
	}
	if o.entries, err = parseEntries(entries); err != nil {
		return options{}, err
	}
	return o, o.check()
}

// check returns what is out of range, or nil.
func (o options) check() error {
	switch {
	case o.serve != partBoth && o.serve != partPlatform && o.serve != partTargets:
		return eris.Errorf("-serve %q is not both, platform or targets", o.serve)
	case o.targets < 0 || o.targets > 10_000:
		return eris.Errorf("-targets %d is not in 0 to 10000", o.targets)
	case o.slots < 1 || o.conns < 1 || o.rack < 1:
		return eris.New("-slots, -conns and -rack must be at least 1")
	case o.lag < 0:
		return eris.Errorf("-vm-lag %v is negative", o.lag)
	case len(o.centres) == 0:
		return eris.New("-centres names no data centre")
	case len(o.speeds) == 0:
		return eris.New("-speeds holds no factor")
	}
	return nil
}

// parseINI hands the keys of an INI file's unnamed section to set.
func parseINI(r io.Reader, set func(name, value string) error) error {
	file, err := ini.Load(r)
	if err != nil {
		return eris.Wrap(err, "read INI file")
	}
	for _, key := range file.Section("").Keys() {
		if err := set(key.Name(), key.String()); err != nil {
			return err
		}
	}
	return nil
}

func parseSpeeds(s string) ([]float64, error) {
	var speeds []float64
	for _, text := range list(s) {
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || !(x > 0 && x <= 1000) {
			return nil, eris.Errorf("-speeds: %q is not a factor above 0 and up to 1000", text)
		}
		speeds = append(speeds, x)
	}
	return speeds, nil
}

func parseEntries(s string) ([]entry, error) {
	var entries []entry
	for _, text := range list(s) {
		centre, address, _ := strings.Cut(text, "=")
		if _, _, err := net.SplitHostPort(address); err != nil || centre == "" {
			return nil, eris.Errorf("-entries: %q is not centre=host:port", text)
		}
		entries = append(entries, entry{centre: filbertford.DataCentre(centre), address: address})
	}
	return entries, nil
}

// list splits s at commas and drops empty parts.
func list(s string) []string {
	var out []string
	for _, part := range strings.Split(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
