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

// LinkState is how a proxy treats its connections.
type LinkState string

// The states of a link.
const (
	LinkUp                LinkState = "up"
	LinkSlow              LinkState = "slow"   // bytes are delayed
	LinkBlocked           LinkState = "silent" // bytes are held back, connections stay open
	LinkBlockedToTarget   LinkState = "deaf"   // bytes towards the target address are held back
	LinkBlockedFromTarget LinkState = "mute"   // bytes from the target address are held back
	LinkReset             LinkState = "reset"  // connections are reset, including new ones
)

// Limits of a proxy.
const (
	proxyBufferSize = 16 << 10
	// proxyPollInterval is the interval at which a blocked link's state is checked.
	proxyPollInterval = 10 * time.Millisecond
)

// Proxy forwards TCP connections to an address and can delay, block or reset them.
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

// NewProxy returns a proxy to the target address. It listens on a free port until
// the context ends. Its goroutines belong to the group.
func NewProxy(ctx context.Context, g *errgroup.Group, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, group: g, ctx: ctx, state: LinkUp, conns: make(map[net.Conn]bool)}
	g.Go(p.accept)
	g.Go(func() error {
		<-ctx.Done()
		p.resetAll()
		return l.Close()
	})
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set sets the state of the link, for open and new connections. The delay is used
// in the state LinkSlow.
func (p *Proxy) Set(s LinkState, delay time.Duration) {
	p.mu.Lock()
	p.state, p.delay = s, delay
	p.mu.Unlock()
	if s == LinkReset {
		p.resetAll()
	}
}

func (p *Proxy) currentState() (LinkState, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.delay
}

// resetAll resets all connections.
func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.resetConn(c)
	}
}

// resetConn closes a connection with a reset, which discards unsent bytes. The
// caller holds the lock.
func (p *Proxy) resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails if the connection is closed
	}
	_ = c.Close()
	delete(p.conns, c)
}

func (p *Proxy) addConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	if p.state == LinkReset || p.ctx.Err() != nil {
		p.resetConn(c)
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
		p.addConn(c)
		p.group.Go(func() error {
			p.serve(c)
			return nil
		})
	}
}

// serve forwards bytes in both directions until either side closes.
func (p *Proxy) serve(client net.Conn) {
	// Without a timeout: on a loopback address only a lack of processor time delays it.
	server, err := new(net.Dialer).DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		p.removeConn(client)
		return
	}
	p.addConn(server)
	var directions errgroup.Group
	directions.Go(func() error { return p.forward(server, client, LinkBlockedToTarget) })
	directions.Go(func() error { return p.forward(client, server, LinkBlockedFromTarget) })
	_ = directions.Wait() // connections are reset on purpose
	p.removeConn(client)
	p.removeConn(server)
}

func (p *Proxy) removeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetConn(c)
}

// forward copies bytes from src to dst until one of them is closed. It holds them
// back in the states blockingState and LinkBlocked.
func (p *Proxy) forward(dst, src net.Conn, blockingState LinkState) error {
	buf := make([]byte, proxyBufferSize)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !p.waitToForward(blockingState) {
				return net.ErrClosed
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				p.removeConn(src)
				return err
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) || !p.waitToForward(blockingState) {
				p.removeConn(dst)
				return err
			}
			if t, ok := dst.(*net.TCPConn); ok {
				return t.CloseWrite()
			}
			return nil
		}
	}
}

// waitToForward waits while the link is blocked, or for the delay of a slow link. It
// reports whether to forward the bytes, which is false if the proxy's context has
// ended.
func (p *Proxy) waitToForward(blockingState LinkState) bool {
	for {
		state, delay := p.currentState()
		switch state {
		case LinkBlocked, blockingState:
			delay = proxyPollInterval
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
