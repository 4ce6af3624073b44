package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbstandin"
)

// readHeaderTimeout is the time that a client has to send a request's header.
const readHeaderTimeout = 10 * time.Second

// server serves one stand-in on one listener.
type server struct {
	name         string
	listener     net.Listener
	http         *http.Server
	closeStandIn func()
}

// newServers opens the listeners of the stand-ins that the options select.
func newServers(o options) ([]*server, error) {
	vms, err := targetVMs(o)
	if err != nil {
		return nil, err
	}
	var servers []*server
	if o.serve != serveTargets {
		p := fbstandin.NewPlatform(o.vmLag)
		p.Seed(vms...)
		p.Seed(entryVMs(o.entries)...)
		s, err := listen("platform", o.platform, p.Handler(), p.Close)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	if o.serve == servePlatform {
		return servers, nil
	}
	random := rand.New(rand.NewPCG(o.seed, 0))
	for _, vm := range vms {
		factor := o.runTimeFactors[random.IntN(len(o.runTimeFactors))]
		t := fbstandin.NewTarget(filbertford.TargetID(vm.ID()), o.slots, factor)
		s, err := listen("target "+string(vm.ID()), vm.Address(), t.Handler(), t.Close)
		if err != nil {
			return nil, closeAll(servers, err)
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// closeAll closes the listeners and returns the cause, joined with errors of closing.
func closeAll(servers []*server, cause error) error {
	for _, s := range servers {
		cause = errors.Join(cause, s.listener.Close())
	}
	return cause
}

func listen(name, address string, h http.Handler, closeStandIn func()) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for the %s", name)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	return &server{name: name, listener: l, http: s, closeStandIn: closeStandIn}, nil
}

// serve handles requests until stop is called.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "serve the %s", s.name)
}

// stop stops the stand-in, its tasks and its server.
func (s *server) stop(error) {
	s.closeStandIn()
	// The process exits next, so an error of closing has no effect.
	_ = s.http.Close()
}

// targetVMs returns the targets' entries of the VM list, assigned to the data
// centres in turn.
func targetVMs(o options) ([]filbertford.VM, error) {
	host, portText, err := net.SplitHostPort(o.targetBase)
	if err != nil {
		return nil, eris.Wrap(err, "-target-base")
	}
	port, err := strconv.Atoi(portText)
	if err != nil || port < 1 || port+o.targets > 1<<16 {
		return nil, eris.Errorf("-target-base: %d targets don't fit from port %q on", o.targets, portText)
	}
	vms := make([]filbertford.VM, 0, o.targets)
	for i := range o.targets {
		dataCentre := o.dataCentres[i%len(o.dataCentres)]
		id := filbertford.VMID(fmt.Sprintf("t%d", i+1))
		rack := fmt.Sprintf("%s-r%d", dataCentre, i/len(o.dataCentres)/o.rack+1)
		address := net.JoinHostPort(host, strconv.Itoa(port+i))
		vm := filbertford.NewVM(id, filbertford.RoleTarget, dataCentre, address)
		vms = append(vms, vm.WithRack(rack).WithCapacity(o.slots, o.conns))
	}
	return vms, nil
}

// entryVMs returns the entry daemons' entries of the VM list.
func entryVMs(entries []entryDaemon) []filbertford.VM {
	vms := make([]filbertford.VM, 0, len(entries))
	for i, e := range entries {
		id := filbertford.VMID(fmt.Sprintf("entry-%d", i+1))
		vms = append(vms, filbertford.NewVM(id, filbertford.RoleEntry, e.dataCentre, e.address))
	}
	return vms
}
