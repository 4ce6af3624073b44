package fbconn

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
)

// TestDisconnectedBeforeEndIsRead guards against callers that count as present until their
// connection's end has been read.
func TestDisconnectedBeforeEndIsRead(t *testing.T) {
	for name, tt := range map[string]struct {
		leave func(c *net.TCPConn) error
		want  bool
	}{
		"open":   {leave: func(*net.TCPConn) error { return nil }},
		"closed": {leave: (*net.TCPConn).Close, want: true},
		"reset": {leave: func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}, want: true},
		"closed for writing": {leave: (*net.TCPConn).CloseWrite, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			server, client := connect(t)
			if _, err := client.Write([]byte("request")); err != nil {
				t.Fatal(err)
			}
			if err := tt.leave(client); err != nil {
				t.Fatal(err)
			}
			c := FromContext(NewContext(t.Context(), server))
			waitFor(t, c, tt.want)
			if _, err := io.ReadFull(server, make([]byte, len("request"))); err != nil && name != "reset" {
				t.Fatal(err)
			}
			if got := c.Disconnected(); got != tt.want {
				t.Errorf("Disconnected() = %v after the request was read, want %v", got, tt.want)
			}
		})
	}
}

// TestDisconnectedWhileServerReads checks that a blocked read of the connection doesn't delay the
// result, and that the own end counts too.
func TestDisconnectedWhileServerReads(t *testing.T) {
	server, _ := connect(t)
	c := FromContext(NewContext(t.Context(), server))
	var reads errgroup.Group
	reads.Go(func() error {
		_, err := server.Read(make([]byte, 1))
		return err
	})
	waitFor(t, c, false)
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	if err := reads.Wait(); err == nil {
		t.Error("the read ended without an error")
	}
	if !c.Disconnected() {
		t.Error("Disconnected() = false after the connection was closed, want true")
	}
}

func TestCallerWithoutConnection(t *testing.T) {
	if FromContext(context.Background()).Disconnected() {
		t.Error("Disconnected() = true without a connection, want false")
	}
}

// waitFor waits until the caller counts as disconnected, or 50 ms if it must not.
func waitFor(t *testing.T, c filbertford.Caller, want bool) {
	t.Helper()
	limit := 5 * time.Second
	if !want {
		limit = 50 * time.Millisecond
	}
	for start := time.Now(); time.Since(start) < limit && !c.Disconnected(); {
		time.Sleep(time.Millisecond)
	}
	if got := c.Disconnected(); got != want {
		t.Fatalf("Disconnected() = %v, want %v", got, want)
	}
}

// connect returns both sides of a connection.
func connect(t *testing.T) (server net.Conn, client *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close() // a test may have closed it
		_ = server.Close()
	})
	return server, conn.(*net.TCPConn)
}
