package fblink

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbwire"
)

// Limits and timeouts of links.
const (
	// maxFrameBytes is the size in bytes of the largest frame.
	maxFrameBytes = 16 << 20
	// queueLength is the number of messages that may wait for a slow peer. When
	// the queue is full, the stream is closed, so that both sides are notified
	// that messages were lost.
	queueLength = 8192
	// maxFrameMessages is the largest number of messages in a frame.
	maxFrameMessages = 256
	// dialTimeout is the time that a connection may take to be established.
	dialTimeout = 300 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the time between two dials, which
	// doubles after each failure.
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
	// tcpUserTimeout is the time that sent bytes may stay unacknowledged before
	// the connection is closed.
	tcpUserTimeout = 600 * time.Millisecond
)

// Receiver receives the messages and events of links. Its methods are called by
// several goroutines at the same time and must not block.
type Receiver interface {
	// Receive handles messages of a daemon. The first call for a stream has
	// newStream set.
	Receive(from fbfleet.Member, messages []Message, newStream bool)
	// Connected reports that a stream to the daemon was opened.
	Connected(node filbertford.NodeID)
	// ConnectionRefused reports that the daemon's address refuses connections.
	ConnectionRefused(m fbfleet.Member)
	// Malformed reports that a message could not be decoded or encoded.
	Malformed(from filbertford.NodeID, err error)
}

// Hub manages the links of a daemon to the others.
type Hub struct {
	self     fbfleet.Member
	receiver Receiver
	group    *errgroup.Group
	ctx      context.Context

	mu    sync.Mutex
	links map[filbertford.NodeID]*link
}

// link is the connection to one daemon.
type link struct {
	hub    *Hub
	member fbfleet.Member
	queue  chan Message
	cancel context.CancelFunc
	redial chan struct{}
}

// NewHub returns a hub without links.
func NewHub(self fbfleet.Member, r Receiver) *Hub {
	return &Hub{self: self, receiver: r, links: make(map[filbertford.NodeID]*link)}
}

// Run accepts streams of other daemons and keeps the links open until the context
// ends.
func (h *Hub) Run(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	h.mu.Lock()
	h.group, h.ctx = group, ctx
	h.mu.Unlock()
	mux := drpcmux.New()
	if err := fbwire.DRPCRegisterNode(mux, &server{hub: h, newest: make(map[filbertford.NodeID]uint64)}); err != nil {
		return eris.Wrap(err, "registering the node service")
	}
	opts := drpcserver.Options{Manager: managerOptions()}
	group.Go(func() error { return drpcserver.NewWithOptions(mux, opts).Serve(ctx, &numberedListener{Listener: l}) })
	return group.Wait()
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxFrameBytes}}
}

// SetMembers replaces the daemons to which links are kept open.
func (h *Hub) SetMembers(members []fbfleet.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx == nil || h.ctx.Err() != nil {
		return
	}
	wanted := make(map[filbertford.NodeID]fbfleet.Member, len(members))
	for _, m := range members {
		wanted[m.Node()] = m
	}
	for id, l := range h.links {
		if m, ok := wanted[id]; !ok || m.Incarnation() != l.member.Incarnation() || m.Address() != l.member.Address() {
			l.cancel()
			delete(h.links, id)
		}
	}
	for id, m := range wanted {
		if _, ok := h.links[id]; !ok {
			h.addLink(m)
		}
	}
}

// addLink starts a link; the caller holds the lock.
func (h *Hub) addLink(m fbfleet.Member) {
	ctx, cancel := context.WithCancel(h.ctx)
	l := &link{hub: h, member: m, queue: make(chan Message, queueLength), cancel: cancel, redial: make(chan struct{}, 1)}
	h.links[m.Node()] = l
	h.group.Go(func() error {
		l.run(ctx)
		return nil
	})
}

// Prepare returns the wire form of a message, so that a message to many daemons is
// converted only once. A message without a wire form is returned as it is.
func (h *Hub) Prepare(m Message) Message {
	w, err := toWire(m)
	if err != nil {
		h.receiver.Malformed(h.self.Node(), err)
		return m
	}
	return w
}

// Send queues a message to a daemon. The message is dropped if there is no link to
// the daemon or no stream.
func (h *Hub) Send(to filbertford.NodeID, m Message) {
	h.mu.Lock()
	l := h.links[to]
	h.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.queue <- m:
	default:
		l.breakStream()
	}
}

// Redial replaces the stream to a daemon, for example to one that no longer
// answers.
func (h *Hub) Redial(node filbertford.NodeID) {
	h.mu.Lock()
	l := h.links[node]
	h.mu.Unlock()
	if l != nil {
		l.breakStream()
	}
}

func (l *link) breakStream() {
	select {
	case l.redial <- struct{}{}:
	default:
	}
}

// run keeps a stream open until the context ends.
func (l *link) run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		conn, err := l.dial(ctx)
		if err == nil {
			delay = minRedialDelay
			l.discardQueue()
			l.sendQueued(ctx, conn)
			continue
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.hub.receiver.ConnectionRefused(l.member)
		}
		l.discardQueue()
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// discardQueue drops the messages and redial requests queued for an earlier stream.
func (l *link) discardQueue() {
	for {
		select {
		case <-l.queue:
		case <-l.redial:
		default:
			return
		}
	}
}

func (l *link) dial(ctx context.Context) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", l.member.Address())
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if ctlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}

// sendQueued opens a stream and sends the queued messages until the stream breaks.
func (l *link) sendQueued(ctx context.Context, raw net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer raw.Close()
	conn := drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	defer conn.Close()
	stream, err := fbwire.NewDRPCNodeClient(conn).Send(ctx)
	if err != nil {
		return
	}
	if err := stream.Send(&fbwire.Frame{Sender: memberToWire(l.hub.self)}); err != nil {
		return
	}
	l.hub.receiver.Connected(l.member.Node())
	for {
		select {
		case <-ctx.Done():
			return
		case <-conn.Closed():
			return
		case <-l.redial:
			return
		case m := <-l.queue:
			if err := stream.Send(l.nextFrame(m)); err != nil {
				return
			}
		}
	}
}

// nextFrame returns a frame with the message and others that are queued.
func (l *link) nextFrame(first Message) *fbwire.Frame {
	f := &fbwire.Frame{}
	for m := first; ; {
		w, err := toWire(m)
		if err != nil {
			l.hub.receiver.Malformed(l.hub.self.Node(), err)
		} else {
			f.Messages = append(f.Messages, w)
		}
		if len(f.Messages) >= maxFrameMessages {
			return f
		}
		select {
		case m = <-l.queue:
		default:
			return f
		}
	}
}

// server receives the streams of other daemons. A daemon has one stream to this one at a time:
// when a newer one has begun, an earlier one may still hold messages that were delayed on the way,
// and these no longer count.
type server struct {
	hub *Hub

	mu     sync.Mutex
	newest map[filbertford.NodeID]uint64 // number of the newest connection of each daemon
}

var _ fbwire.DRPCNodeServer = (*server)(nil)

// Send implements fbwire.DRPCNodeServer.
func (s *server) Send(stream fbwire.DRPCNode_SendStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetSender().GetNode() == "" {
		return eris.New("the stream names no sender")
	}
	sender, number := memberFromWire(first.GetSender()), connNumber(stream.Context())
	if !s.receive(sender, number, first, true) {
		return errReplaced
	}
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		if !s.receive(sender, number, frame, false) {
			return errReplaced
		}
	}
}

// errReplaced ends a stream whose sender has opened a newer one.
var errReplaced = eris.New("the sender has opened a newer stream")

// receive passes a frame on, and returns false if the stream is not the sender's newest one.
func (s *server) receive(sender fbfleet.Member, number uint64, f *fbwire.Frame, newStream bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number < s.newest[sender.Node()] {
		return false
	}
	s.newest[sender.Node()] = number
	messages := make([]Message, 0, len(f.GetMessages()))
	for _, w := range f.GetMessages() {
		m, err := fromWire(sender, s.hub.self.Node(), w)
		if err != nil {
			s.hub.receiver.Malformed(sender.Node(), err)
			continue
		}
		messages = append(messages, m)
	}
	s.hub.receiver.Receive(sender, messages, newStream)
	return true
}

// numberedListener numbers the connections that it accepts, in order.
type numberedListener struct {
	net.Listener
	accepted uint64
}

// numberedConn is an accepted connection.
type numberedConn struct {
	net.Conn
	number uint64
}

// Accept implements net.Listener.
func (l *numberedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted++
	return numberedConn{Conn: conn, number: l.accepted}, nil
}

// connNumber returns the number of the connection that a stream came over.
func connNumber(ctx context.Context) uint64 {
	transport, _ := drpcctx.Transport(ctx)
	conn, ok := transport.(numberedConn)
	if !ok {
		return 0
	}
	return conn.number
}
