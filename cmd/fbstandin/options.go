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

// serveMode selects the stand-ins that the process serves.
type serveMode string

const (
	serveBoth     serveMode = "both"
	servePlatform serveMode = "platform"
	serveTargets  serveMode = "targets"
)

// options are the options of the command line.
type options struct {
	serve          serveMode
	platform       string
	targets        int
	targetBase     string
	slots          int
	conns          int
	rack           int
	seed           uint64
	vmLag          time.Duration
	dataCentres    []filbertford.DataCentre
	runTimeFactors []float64
	entries        []entryDaemon
}

// entryDaemon is an entry daemon of the VM list.
type entryDaemon struct {
	dataCentre filbertford.DataCentre
	address    string
}

// parseOptions parses the flags. Flags that aren't given are read from the INI file
// named by -config.
func parseOptions(args []string) (options, error) {
	var o options
	var serve, dataCentres, factors, entries string
	fs := flag.NewFlagSet("fbstandin", flag.ContinueOnError)
	fs.String("config", "", "INI `file` with values for these flags")
	fs.StringVar(&serve, "serve", string(serveBoth), "what to serve: both, platform or targets")
	fs.StringVar(&o.platform, "platform", "127.0.0.1:7000", "`address` of the platform")
	fs.IntVar(&o.targets, "targets", 4, "number of targets")
	fs.StringVar(&o.targetBase, "target-base", "127.0.0.1:7200", "`address` of the first target; the others follow on the next ports")
	fs.IntVar(&o.slots, "slots", 8, "slots of a target")
	fs.IntVar(&o.conns, "conns", 64, "connections of a target")
	fs.IntVar(&o.rack, "rack", 6, "targets in a rack")
	fs.Uint64Var(&o.seed, "seed", 1, "seed for the choice of the targets' run-time factors")
	fs.DurationVar(&o.vmLag, "vm-lag", 2*time.Second, "time after which a change of the VM list is visible")
	fs.StringVar(&dataCentres, "centres", "nordnes", "data centres, separated by commas")
	fs.StringVar(&factors, "speeds", "1", "run-time factors, separated by commas, assigned to the targets at random")
	fs.StringVar(&entries, "entries", "", "entry daemons as centre=host:port, separated by commas")
	err := ff.Parse(fs, args, ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(parseINI))
	if err != nil {
		return options{}, err
	}
	if fs.NArg() > 0 {
		return options{}, eris.Errorf("unexpected argument %q", fs.Arg(0))
	}
	o.serve = serveMode(serve)
	for _, c := range splitList(dataCentres) {
		o.dataCentres = append(o.dataCentres, filbertford.DataCentre(c))
	}
	if o.runTimeFactors, err = parseFactors(factors); err != nil {
		return options{}, err
	}
	if o.entries, err = parseEntries(entries); err != nil {
		return options{}, err
	}
	return o, o.check()
}

// check returns an error for the first option that is out of range.
func (o options) check() error {
	switch {
	case o.serve != serveBoth && o.serve != servePlatform && o.serve != serveTargets:
		return eris.Errorf("-serve %q is not both, platform or targets", o.serve)
	case o.targets < 0 || o.targets > 10_000:
		return eris.Errorf("-targets %d is not in 0 to 10000", o.targets)
	case o.slots < 1 || o.conns < 1 || o.rack < 1:
		return eris.New("-slots, -conns and -rack must be at least 1")
	case o.vmLag < 0:
		return eris.Errorf("-vm-lag %v is negative", o.vmLag)
	case len(o.dataCentres) == 0:
		return eris.New("-centres names no data centre")
	case len(o.runTimeFactors) == 0:
		return eris.New("-speeds holds no factor")
	}
	return nil
}

// parseINI calls set with each key and value of an INI file's unnamed section.
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

func parseFactors(s string) ([]float64, error) {
	var factors []float64
	for _, text := range splitList(s) {
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || !(x > 0 && x <= 1000) {
			return nil, eris.Errorf("-speeds: %q is not a factor above 0 and up to 1000", text)
		}
		factors = append(factors, x)
	}
	return factors, nil
}

func parseEntries(s string) ([]entryDaemon, error) {
	var entries []entryDaemon
	for _, text := range splitList(s) {
		dataCentre, address, _ := strings.Cut(text, "=")
		if _, _, err := net.SplitHostPort(address); err != nil || dataCentre == "" {
			return nil, eris.Errorf("-entries: %q is not centre=host:port", text)
		}
		entries = append(entries, entryDaemon{dataCentre: filbertford.DataCentre(dataCentre), address: address})
	}
	return entries, nil
}

// splitList splits s at commas, trims spaces and omits empty elements.
func splitList(s string) []string {
	var out []string
	for _, part := range strings.Split(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
