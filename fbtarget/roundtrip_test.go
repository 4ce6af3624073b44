package fbtarget

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
)

// failingTransport is a Transport that fails on the connections in turn. It writes
// to those that are marked, and to all of them once more when asked to.
type failingTransport struct {
	conns  []*conn
	writes []bool
}

func (l *failingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := httptrace.ContextClientTrace(r.Context())
	for i, c := range l.conns {
		trace.GotConn(httptrace.GotConnInfo{Conn: c})
		if l.writes[i] {
			_, _ = c.Write([]byte("x"))
		}
	}
	return nil, io.ErrUnexpectedEOF
}

func TestRoundTripReportsWhetherRequestWasSent(t *testing.T) {
	tests := map[string]struct {
		writes []bool
		sent   bool
	}{
		"no connection":          {},
		"unwritten connection":   {writes: []bool{false}},
		"written connection":     {writes: []bool{true}, sent: true},
		"written and one more":   {writes: []bool{true, false}, sent: true},
		"unwritten and one more": {writes: []bool{false, true}, sent: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := &failingTransport{writes: tt.writes}
			for range tt.writes {
				client, server := net.Pipe()
				_ = server.Close()
				l.conns = append(l.conns, &conn{Conn: client})
			}
			got := roundTrip(t.Context(), l, "127.0.0.1:1", "/", nil, MaxReplyBytes)
			if got.err == nil || got.sent != tt.sent {
				t.Errorf("sent %v with error %v, want %v", got.sent, got.err, tt.sent)
			}
			for _, c := range l.conns {
				if _, err := c.Write([]byte("late")); !errors.Is(err, errAborted) {
					t.Errorf("a write after the round trip gives %v, want %v", err, errAborted)
				}
			}
		})
	}
}

// A second write would cost a packet and a wake-up of the target for each start.
func TestRequestIsSentInOneWrite(t *testing.T) {
	client, server := net.Pipe()
	transport := newTransport(1)
	transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		return &conn{Conn: client}, nil
	}
	var g errgroup.Group
	var request string
	g.Go(func() error {
		// A read from a pipe returns what one write has brought.
		b := make([]byte, 4096)
		n, err := server.Read(b)
		request = string(b[:n])
		return errors.Join(err, server.Close())
	})
	got := roundTrip(t.Context(), transport, "127.0.0.1:1", "/v1/start", []byte(`{"id":"s"}`), MaxReplyBytes)
	if err := g.Wait(); err != nil || !got.sent || !strings.HasSuffix(request, `{"id":"s"}`) {
		t.Errorf("first write %q, sent %v, %v", request, got.sent, err)
	}
}

func TestDecodeReply(t *testing.T) {
	unknown := filbertford.OutcomeUnknown
	tests := map[string]struct {
		status int
		body   string
		want   filbertford.StartOutcome
	}{
		"done":             {status: 200, body: `{"id":"s","status":"done","free":0}`, want: filbertford.OutcomeDone},
		"stopped":          {status: 200, body: `{"id":"s","status":"stopped","free":0}`, want: filbertford.OutcomeStopped},
		"no slot":          {status: 503, body: `{"id":"s","status":"no-slot","free":0}`, want: filbertford.OutcomeNoSlot},
		"no slot as 200":   {status: 200, body: `{"id":"s","status":"no-slot","free":0}`, want: unknown},
		"done as 503":      {status: 503, body: `{"id":"s","status":"done","free":0}`, want: unknown},
		"unreached":        {status: 503, body: `{"id":"s","status":"unreached","free":0}`, want: unknown},
		"no status":        {status: 200, body: `{"id":"s","free":0}`, want: unknown},
		"other id":         {status: 200, body: `{"id":"S","status":"done","free":0}`, want: unknown},
		"other id refused": {status: 503, body: `{"id":"S","status":"leaving","free":0}`, want: unknown},
		"no free":          {status: 200, body: `{"id":"s","status":"done"}`, want: unknown},
		"negative free":    {status: 200, body: `{"id":"s","status":"done","free":-1}`, want: unknown},
		"negative run":     {status: 200, body: `{"id":"s","status":"done","free":0,"ran_us":-1}`, want: unknown},
		"huge run":         {status: 200, body: `{"id":"s","status":"done","free":0,"ran_us":9223372036854775807}`, want: unknown},
		"two replies":      {status: 200, body: `{"id":"s","status":"done","free":0}{}`, want: unknown},
		"cut":              {status: 200, body: `{"id":"s","status":"done","free"`, want: unknown},
		"empty":            {status: 200, body: ``, want: unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := decodeReply("s", tt.status, []byte(tt.body))
			if diff := cmp.Diff(tt.want, got.Outcome()); diff != "" {
				t.Errorf("%s: %s", diff, got.Detail())
			}
		})
	}
}

func FuzzDecodeReply(f *testing.F) {
	f.Add(200, []byte(`{"id":"s","status":"done","output":{"a":[1]},"detail":"d","ran_us":5,"free":3}`))
	f.Add(503, []byte(`{"id":"s","status":"no-slot","free":0}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		r := decodeReply("s", status, body)
		free, ok := r.FreeSlots()
		switch o := r.Outcome(); {
		case o == filbertford.OutcomeUnknown:
			if r.Detail() == "" {
				t.Error("unknown without a detail")
			}
		case o.NotStarted() && status != http.StatusServiceUnavailable:
			t.Errorf("%q from status %d", o, status)
		case !ok || free < 0 || r.RunTime() < 0 || r.RunTime() > maxRunTime:
			t.Errorf("free %d (%v), ran %v", free, ok, r.RunTime())
		}
	})
}
