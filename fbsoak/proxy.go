package fbsoak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// LinkState tells what a proxy does with the bytes of its connections.
type LinkState string

// The states of a link.
const (
	LinkUp     LinkState = "up"
	LinkSlow   LinkState = "slow"   // bytes come late
	LinkSilent LinkState = "silent" // no byte passes, connections stay open
	LinkDeaf   LinkState = "deaf"   // no byte passes towards the listener's side
	LinkMute   LinkState = "mute"   // no byte comes back
	LinkReset  LinkState = "reset"  // connections are reset, new ones too
)

// Limits of a proxy.
const (
	proxyDial   = time.Second
	proxyBuffer = 16 << 10
	// proxyPoll is the time between two looks at the state of a silent link.
	proxyPoll = 10 * time.Millisecond
)

// Proxy forwards connections to an address, or harms them.
type Proxy struct {
	listener net.Listener
	target   string
	group    *errgroup.Group
	ctx      context.Context

	mu    sync.Mutex
	state LinkState
	delay time.Duration
	conns map[net.Conn]bool
}

// NewProxy returns a proxy to the address that listens on a free port until the
// context ends. Its goroutines belong to the group.
func NewProxy(ctx context.Context, g *errgroup.Group, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, group: g, ctx: ctx, state: LinkUp, conns: make(map[net.Conn]bool)}
	g.Go(p.accept)
	g.Go(func() error {
		<-ctx.Done()
		p.reset()
		return l.Close()
	})
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes what the proxy does with all its connections. The delay counts for
// slow links.
func (p *Proxy) Set(s LinkState, delay time.Duration) {
	p.mu.Lock()
	p.state, p.delay = s, delay
	p.mu.Unlock()
	if s == LinkReset {
		p.reset()
	}
}

func (p *Proxy) current() (LinkState, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.delay
}

// reset ends all connections without their last bytes.
func (p *Proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.cut(c)
	}
}

// cut resets a connection; the caller holds the lock.
func (p *Proxy) cut(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the connection may have ended
	}
	_ = c.Close()
	delete(p.conns, c)
}

func (p *Proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	if p.state == LinkReset || p.ctx.Err() != nil {
		p.cut(c)
	}
}

func (p *Proxy) accept() error {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		p.keep(c)
		p.group.Go(func() error {
			p.serve(c)
			return nil
		})
	}
}

// serve copies both ways until either side ends.
func (p *Proxy) serve(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.target, proxyDial)
	if err != nil {
		p.drop(near)
		return
	}
	p.keep(far)
	var both errgroup.Group
	both.Go(func() error { return p.copy(far, near, LinkDeaf) })
	both.Go(func() error { return p.copy(near, far, LinkMute) })
	_ = both.Wait() // the ends of connections are part of the plan
	p.drop(near)
	p.drop(far)
}

func (p *Proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut(c)
}

// copy forwards bytes in one direction, which the state named blocked holds back.
func (p *Proxy) copy(to, from net.Conn, blocked LinkState) error {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.wait(blocked) {
				return net.ErrClosed
			}
			if _, err := to.Write(buf[:n]); err != nil {
				p.drop(from)
				return err
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) || !p.wait(blocked) {
				p.drop(to)
				return err
			}
			if t, ok := to.(*net.TCPConn); ok {
				return t.CloseWrite()
			}
			return nil
		}
	}
}

// wait holds bytes back as the state demands, and reports whether they may pass.
func (p *Proxy) wait(blocked LinkState) bool {
	for {
		state, delay := p.current()
		switch state {
		case LinkSilent, blocked:
			delay = proxyPoll
		case LinkSlow:
		default:
			return p.ctx.Err() == nil
		}
		select {
		case <-p.ctx.Done():
			return false
		case <-time.After(delay):
		}
		if state == LinkSlow {
			return true
		}
	}
}
