package fblimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbconfig"
)

// maxBody is the limit of a body in bytes in these tests.
const maxBody = 10_000

// testOptions leave room for one body of maxBody at a time.
func testOptions() Options {
	return Options{
		Connections: 4, Memory: 4*ConnectionBytes + DecodedFactor*(maxBody+1),
		BodyTimeout: 10 * time.Second, BodyRate: 1000, WriteTimeout: 10 * time.Second,
	}
}

// server is an HTTP server with limits that answers with the length of the body.
type server struct {
	t       *testing.T
	limiter *Limiter
	address string
}

func startServer(t *testing.T, opts Options) *server {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, limiter: New(opts, log.New(io.Discard), tally.NoopScope), address: l.Addr().String()}
	h := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r, maxBody)
		if err == nil {
			err = Hold(r.Context(), 100)
		}
		switch {
		case errors.Is(err, ErrExhausted):
			Refuse(w)
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			Refuse(w)
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
		fmt.Fprint(w, len(body))
	})}
	s.limiter.Attach(h)
	var g errgroup.Group
	g.Go(func() error { return h.Serve(s.limiter.Limit(l)) })
	t.Cleanup(func() {
		_ = h.Close()
		_ = g.Wait() // http.ErrServerClosed
	})
	return s
}

// send opens a connection and sends a request without waiting for the answer.
func (s *server) send(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// post returns the text of a request whose body has the given length, of which it holds a part.
func post(length, part int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", part))
}

// status returns the status of the answer, 0 if the connection was closed without one.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestRequestReturnsItsMemory guards against memory that stays in the account after a request.
func TestRequestReturnsItsMemory(t *testing.T) {
	opts := testOptions()
	opts.BodyTimeout = 200 * time.Millisecond
	tests := map[string]struct {
		request string
		leaves  bool
		want    int
	}{
		"served":   {request: post(maxBody, maxBody), want: http.StatusOK},
		"chunked":  {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + strings.Repeat("x", 5000) + "\r\n0\r\n\r\n", want: http.StatusOK},
		"too long": {request: post(maxBody+1, 0), want: http.StatusBadRequest},
		"stalled":  {request: post(maxBody, maxBody/2), want: http.StatusBadRequest},
		"left":     {request: post(maxBody, maxBody/2), leaves: true},
		"fields":   {request: "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: b\r\n", 50) + "\r\n", want: http.StatusOK},
		"header":   {request: "GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 8000) + "\r\n\r\n", want: http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, opts)
			c := s.send(tt.request)
			if !tt.leaves {
				if got := status(c); got != tt.want {
					t.Errorf("got status %d, want %d", got, tt.want)
				}
			}
			_ = c.Close()
			for start := time.Now(); !s.limiter.memory.TryAcquire(int64(opts.Memory)); time.Sleep(time.Millisecond) {
				if time.Since(start) > 10*time.Second {
					t.Fatalf("the account still has %d bytes", s.limiter.recorder.held.Load())
				}
			}
		})
	}
}

// TestStalledBodyGivesWay checks that a body whose caller has stopped doesn't keep others from
// being served, and that those that come too early are refused.
func TestStalledBodyGivesWay(t *testing.T) {
	s := startServer(t, testOptions())
	s.send(post(maxBody, maxBody-1))
	got := 0
	for start := time.Now(); got != http.StatusOK && time.Since(start) < 10*time.Second; {
		if got = status(s.send(post(maxBody, maxBody))); got != http.StatusOK && got != http.StatusServiceUnavailable {
			t.Errorf("got status %d, want 200 or 503", got)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if got != http.StatusOK {
		t.Error("a body is refused as long as another one has stalled")
	}
}

// TestSlowBodyIsServed checks that a body may take longer than BodyTimeout.
func TestSlowBodyIsServed(t *testing.T) {
	opts := testOptions()
	opts.BodyTimeout, opts.BodyRate = time.Second, 100
	c := startServer(t, opts).send(post(1000, 0))
	for range 20 {
		if _, err := io.WriteString(c, strings.Repeat("x", 50)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if got := status(c); got != http.StatusOK {
		t.Errorf("got status %d, want 200", got)
	}
}

// TestNewConnectionIsServedAtLimit checks that connections without a request give way.
func TestNewConnectionIsServedAtLimit(t *testing.T) {
	opts := testOptions()
	s := startServer(t, opts)
	for range 3 * opts.Connections {
		s.send("")
	}
	if got := status(s.send(post(10, 10))); got != http.StatusOK {
		t.Errorf("got status %d, want 200", got)
	}
}

func TestOptionsNeedRoomForOneBody(t *testing.T) {
	cfg, err := fbconfig.LoadNode("", "limits.memory-percent=1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := NewOptions(cfg, 256<<20, 1<<20); err == nil {
		t.Error("limits of 2.6 MB for callers and 1 MB for a body: got no error")
	}
}
