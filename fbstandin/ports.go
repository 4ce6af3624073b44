package fbstandin

import (
	"net"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

// Ports of the programs that tests start. The range lies below the kernel's ephemeral
// ports: an outgoing connection could otherwise occupy a port before a program listens at
// it, or listens again after a restart.
const (
	minPort = 12000
	maxPort = 32000
	// portBlock is the number of ports that a process reserves at a time.
	portBlock = 100
)

// ports hands out the ports of blocks that no other process uses. The first port of each
// block is the guard: the process that listens at it has reserved the block until it ends.
type ports struct {
	mu     sync.Mutex
	guards []net.Listener
	next   int // port to try next
	end    int // end of the block that next is in
}

var processPorts ports

// FreeAddress returns a loopback address for a program that the caller starts. No two calls
// return the same address, in this process or in others that run at the same time. It
// fails if all blocks of ports are reserved.
func FreeAddress() (string, error) { return processPorts.free() }

func (p *ports) free() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			if err := p.reserveBlock(); err != nil {
				return "", err
			}
		}
		address := loopbackAddress(p.next)
		p.next++
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
}

// reserveBlock reserves the first block whose guard is free.
func (p *ports) reserveBlock() error {
	for first := minPort; first < maxPort; first += portBlock {
		l, err := net.Listen("tcp", loopbackAddress(first))
		if err != nil {
			continue // reserved
		}
		p.guards = append(p.guards, l)
		p.next, p.end = first+1, first+portBlock
		return nil
	}
	return eris.Errorf("all ports from %d to %d are reserved", minPort, maxPort)
}

func loopbackAddress(port int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}
