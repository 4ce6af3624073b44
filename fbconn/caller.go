package fbconn

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/filbertford/filbertford"
)

// contextKey is the key of the connection in the context of a request.
type contextKey struct{}

// NewContext returns a copy of ctx that carries the connection. It has the signature of
// http.Server's ConnContext.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the caller at the other side of the connection that ctx carries. A caller
// without a connection that can be observed never counts as disconnected.
func FromContext(ctx context.Context) filbertford.Caller {
	c, _ := ctx.Value(contextKey{}).(syscall.Conn)
	return caller{conn: c}
}

// caller is the other side of a connection, which may be nil.
type caller struct{ conn syscall.Conn }

// Disconnected implements filbertford.Caller. It asks the kernel, since an HTTP server reads the
// end of a connection only some time after it has passed the last request on.
func (c caller) Disconnected() bool {
	if c.conn == nil {
		return false
	}
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		ended = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || errors.Is(err, net.ErrClosed)
}
