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
	"github.com/filbertford/filbertford/fbstand"
)

// readHeaderTimeout bounds how long a client takes to send a header.
const readHeaderTimeout = 10 * time.Second

// server serves one stand-in on one listener.
type server struct {
	what     string
	listener net.Listener
	http     *http.Server
	close    func()
}

// newServers opens the listeners of all stand-ins that the options ask for.
func newServers(o options) ([]*server, error) {
	vms, err := targetVMs(o)
	if err != nil {
		return nil, err
	}
	var servers []*server
	if o.serve != partTargets {
		p := fbstand.NewPlatform(o.lag)
		p.Seed(vms...)
		p.Seed(entryVMs(o.entries)...)
		s, err := listen("platform", o.platform, p.Handler(), p.Close)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	if o.serve == partPlatform {
		return servers, nil
	}
	speeds := rand.New(rand.NewPCG(o.seed, 0))
	for _, vm := range vms {
		speed := o.speeds[speeds.IntN(len(o.speeds))]
		t := fbstand.NewTarget(filbertford.TargetID(vm.ID()), o.slots, speed)
		s, err := listen("target "+string(vm.ID()), vm.Address(), t.Handler(), t.Close)
		if err != nil {
			return nil, closeAll(servers, err)
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// closeAll closes the listeners and returns the cause.
func closeAll(servers []*server, cause error) error {
	for _, s := range servers {
		cause = errors.Join(cause, s.listener.Close())
	}
	return cause
}

func listen(what, address string, h http.Handler, closeStandIn func()) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for the %s", what)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	return &server{what: what, listener: l, http: s, close: closeStandIn}, nil
}

// serve answers requests until stop.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "serve the %s", s.what)
}

// stop ends the stand-in with all that it runs.
func (s *server) stop(error) {
	s.close()
	// The process ends after this, so that an error of the end tells nothing.
	_ = s.http.Close()
}

// targetVMs returns the targets' entries of the VM list, spread over the data
// centres in turn.
func targetVMs(o options) ([]filbertford.VM, error) {
	host, portText, err := net.SplitHostPort(o.base)
	if err != nil {
		return nil, eris.Wrap(err, "-target-base")
	}
	port, err := strconv.Atoi(portText)
	if err != nil || port < 1 || port+o.targets > 1<<16 {
		return nil, eris.Errorf("-target-base: %d targets don't fit from port %q on", o.targets, portText)
	}
	vms := make([]filbertford.VM, 0, o.targets)
	for i := range o.targets {
		centre := o.centres[i%len(o.centres)]
		id := filbertford.VMID(fmt.Sprintf("t%d", i+1))
		rack := fmt.Sprintf("%s-r%d", centre, i/len(o.centres)/o.rack+1)
		address := net.JoinHostPort(host, strconv.Itoa(port+i))
		vm := filbertford.NewVM(id, filbertford.RoleTarget, centre, address)
		vms = append(vms, vm.WithRack(rack).WithCapacity(o.slots, o.conns))
	}
	return vms, nil
}

// entryVMs returns the entry daemons' entries of the VM list.
func entryVMs(entries []entry) []filbertford.VM {
	vms := make([]filbertford.VM, 0, len(entries))
	for i, e := range entries {
		id := filbertford.VMID(fmt.Sprintf("entry-%d", i+1))
		vms = append(vms, filbertford.NewVM(id, filbertford.RoleEntry, e.centre, e.address))
	}
	return vms
}
