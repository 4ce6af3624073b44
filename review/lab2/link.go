package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// firstBytes is how much of a stream between daemons is read to find the name of its sender.
const firstBytes = 512

// link is a proxy before a daemon's address for other daemons. It can cut the streams from and to
// single daemons: their bytes are lost, and their connections end once the cut is over.
type link struct {
	lab      *lab
	listener net.Listener
	owner    *daemon
	target   string

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (l *lab) newLink(owner *daemon, target string) (*link, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	k := &link{lab: l, listener: ln, owner: owner, target: target, conns: make(map[net.Conn]bool)}
	l.tasks.Go(k.accept)
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// close closes the proxy and all of its connections.
func (k *link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.Close()
	}
}

func (k *link) add(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns[c] = true
	if k.lab.ctx.Err() != nil {
		_ = c.Close()
	}
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.add(c)
		k.lab.tasks.Go(func() { k.forward(c) })
	}
}

// forward forwards a connection whose sender names itself in its first bytes.
func (k *link) forward(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", k.target)
	if err != nil {
		return // refused, as without a proxy
	}
	k.add(server)
	defer server.Close()
	first := make([]byte, 0, firstBytes)
	sender := ""
	buf := make([]byte, 16<<10)
	k.lab.tasks.Go(func() {
		_, _ = io.Copy(client, server) // daemons send nothing but acknowledgements this way
		_ = client.Close()
	})
	for {
		n, err := client.Read(buf)
		if n > 0 {
			if sender == "" {
				first = append(first, buf[:min(n, firstBytes)]...)
				sender = k.lab.senderIn(first)
			}
			if k.waitForCut(sender) {
				return
			}
			if _, err := server.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// senderIn returns the name of the daemon that stands first in the first bytes of a stream.
func (l *lab) senderIn(first []byte) string {
	sender, at := "", len(first)
	for _, d := range l.daemons {
		if i := bytes.Index(first, []byte(d.name)); i >= 0 && i < at {
			sender, at = d.name, i
		}
	}
	return sender
}

// waitForCut waits while the sender or the receiver is cut off, and reports whether it was.
func (k *link) waitForCut(sender string) bool {
	waited := false
	for k.lab.ctx.Err() == nil && k.lab.isCut(sender, k.owner.name) {
		waited = true
		time.Sleep(10 * time.Millisecond)
	}
	return waited
}

// setCut cuts a daemon off from all others, or ends that.
func (l *lab) setCut(d *daemon, cut bool) {
	l.mu.Lock()
	if l.cuts == nil {
		l.cuts = make(map[string]bool)
	}
	l.cuts[d.name] = cut
	l.mu.Unlock()
	l.note("%s is cut off from the other daemons: %v", d.name, cut)
}

func (l *lab) isCut(a, b string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[a] || l.cuts[b]
}
