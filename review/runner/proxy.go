package main

import (
	"bytes"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// proxy forwards the connections of other daemons to one daemon. The first bytes of a
// connection name the sender, so that the link between two zones can be cut. A cut
// resets connections, also new ones.
type proxy struct {
	setting  *setting
	node     *node
	address  string
	listener net.Listener

	mu    sync.Mutex
	cut   string // the zone that is cut off from the others
	conns map[*proxyConn]bool
}

// proxyConn is a connection through a proxy.
type proxyConn struct {
	client net.Conn
	server net.Conn
	sender *node // nil while it isn't known
}

// maxSniffed is the number of bytes in which the name of the sender is searched.
const maxSniffed = 2048

func newProxy(s *setting, n *node) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{setting: s, node: n, address: l.Addr().String(), listener: l, conns: make(map[*proxyConn]bool)}
	s.group.Go(p.accept)
	s.group.Go(func() error {
		<-s.ctx.Done()
		p.mu.Lock()
		defer p.mu.Unlock()
		for c := range p.conns {
			c.reset()
		}
		return l.Close()
	})
	return p, nil
}

func (p *proxy) accept() error {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return nil // the case has ended
		}
		p.setting.group.Go(func() error {
			p.serve(client)
			return nil
		})
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.node.peers)
	if err != nil {
		resetConn(client)
		return
	}
	c := &proxyConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		c.reset()
		delete(p.conns, c)
	}()
	var g errgroup.Group
	g.Go(func() error { return p.forward(c, server, client, true) })
	g.Go(func() error { return p.forward(c, client, server, false) })
	_ = g.Wait() // a connection ends with an error
}

// forward copies bytes until one side ends, and then ends the other one.
func (p *proxy) forward(c *proxyConn, dst, src net.Conn, fromClient bool) error {
	defer c.reset()
	buf := make([]byte, 16<<10)
	var sniffed []byte
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if fromClient && len(sniffed) < maxSniffed {
				sniffed = append(sniffed, buf[:n]...)
				p.identify(c, sniffed)
			}
			if p.isCut(c) {
				return net.ErrClosed
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}

// identify finds the sender of a connection.
func (p *proxy) identify(c *proxyConn, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.sender != nil {
		return
	}
	first := -1 // the sender is named before the daemons that it tells of
	for _, n := range p.setting.nodes {
		if i := bytes.Index(data, []byte(n.name)); i >= 0 && (first < 0 || i < first) {
			c.sender, first = n, i
		}
	}
}

func (p *proxy) isCut(c *proxyConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut != "" && c.sender != nil && (c.sender.zone == p.cut) != (p.node.zone == p.cut)
}

func (c *proxyConn) reset() {
	resetConn(c.client)
	resetConn(c.server)
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails if the connection is closed
	}
	_ = c.Close()
}

// cutZone cuts the links between the daemons and workers of a zone and those of the others,
// or heals them.
func (s *setting) cutZone(zone string, cut bool) {
	s.record.printf("zone %s is cut off: %v", zone, cut)
	for _, w := range s.workers {
		w.mu.Lock()
		w.cut = ""
		if cut {
			w.cut = zone
		}
		w.mu.Unlock()
	}
	for _, n := range s.nodes {
		p := n.proxy
		p.mu.Lock()
		p.cut = ""
		if cut {
			p.cut = zone
			for c := range p.conns {
				if c.sender == nil || (c.sender.zone == zone) != (n.zone == zone) {
					c.reset()
				}
			}
		}
		p.mu.Unlock()
	}
}
