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

// failingTransport is a Transport that uses the connections in turn and then
// fails. It writes a byte to those for which writes is set.
type failingTransport struct {
	conns  []*conn
	writes []bool
}

func (f *failingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := httptrace.ContextClientTrace(r.Context())
	for i, c := range f.conns {
		trace.GotConn(httptrace.GotConnInfo{Conn: c})
		if f.writes[i] {
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
		"no connection":           {},
		"unwritten connection":    {writes: []bool{false}},
		"written connection":      {writes: []bool{true}, sent: true},
		"written, then unwritten": {writes: []bool{true, false}, sent: true},
		"unwritten, then written": {writes: []bool{false, true}, sent: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			transport := &failingTransport{writes: tt.writes}
			for range tt.writes {
				client, server := net.Pipe()
				_ = server.Close()
				transport.conns = append(transport.conns, &conn{Conn: client})
			}
			got := roundTrip(t.Context(), transport, "127.0.0.1:1", "/", nil, MaxReplyBytes)
			if got.err == nil || got.sent != tt.sent {
				t.Errorf("got sent %v with error %v, want sent %v with an error", got.sent, got.err, tt.sent)
			}
			for _, c := range transport.conns {
				if _, err := c.Write([]byte("late")); !errors.Is(err, errAborted) {
					t.Errorf("write after the round trip: got error %v, want %v", err, errAborted)
				}
			}
		})
	}
}

// A second write would cost an extra packet and an extra wake-up of the target for
// each start.
func TestRequestIsSentInOneWrite(t *testing.T) {
	client, server := net.Pipe()
	transport := newTransport(1)
	transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		return &conn{Conn: client}, nil
	}
	var g errgroup.Group
	var request string
	g.Go(func() error {
		// A read from a pipe returns the data of one write only.
		b := make([]byte, 4096)
		n, err := server.Read(b)
		request = string(b[:n])
		return errors.Join(err, server.Close())
	})
	got := roundTrip(t.Context(), transport, "127.0.0.1:1", "/v1/start", []byte(`{"id":"s"}`), MaxReplyBytes)
	if err := g.Wait(); err != nil || !got.sent || !strings.HasSuffix(request, `{"id":"s"}`) {
		t.Errorf("got first write %q, sent %v, error %v, want the whole request", request, got.sent, err)
	}
}

func TestDecodeReply(t *testing.T) {
	unknown := filbertford.OutcomeUnknown
	tests := map[string]struct {
		status int
		body   string
		want   filbertford.StartOutcome
	}{
		"done":              {status: 200, body: `{"id":"s","status":"done","free":0}`, want: filbertford.OutcomeDone},
		"stopped":           {status: 200, body: `{"id":"s","status":"stopped","free":0}`, want: filbertford.OutcomeStopped},
		"no slot":           {status: 503, body: `{"id":"s","status":"no-slot","free":0}`, want: filbertford.OutcomeNoSlot},
		"no slot with 200":  {status: 200, body: `{"id":"s","status":"no-slot","free":0}`, want: unknown},
		"done with 503":     {status: 503, body: `{"id":"s","status":"done","free":0}`, want: unknown},
		"unreached":         {status: 503, body: `{"id":"s","status":"unreached","free":0}`, want: unknown},
		"no status":         {status: 200, body: `{"id":"s","free":0}`, want: unknown},
		"other id":          {status: 200, body: `{"id":"S","status":"done","free":0}`, want: unknown},
		"other id refused":  {status: 503, body: `{"id":"S","status":"leaving","free":0}`, want: unknown},
		"no free":           {status: 200, body: `{"id":"s","status":"done"}`, want: unknown},
		"negative free":     {status: 200, body: `{"id":"s","status":"done","free":-1}`, want: unknown},
		"negative run time": {status: 200, body: `{"id":"s","status":"done","free":0,"ran_us":-1}`, want: unknown},
		"huge run time":     {status: 200, body: `{"id":"s","status":"done","free":0,"ran_us":9223372036854775807}`, want: unknown},
		"two replies":       {status: 200, body: `{"id":"s","status":"done","free":0}{}`, want: unknown},
		"cut":               {status: 200, body: `{"id":"s","status":"done","free"`, want: unknown},
		"empty":             {status: 200, body: ``, want: unknown},
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
				t.Error("got outcome unknown without a detail")
			}
		case o.NotStarted() && status != http.StatusServiceUnavailable:
			t.Errorf("got outcome %q for status %d", o, status)
		case !ok || free < 0 || r.RunTime() < 0 || r.RunTime() > maxReplyRunTime:
			t.Errorf("got invalid free slots %d (%v) or run time %v", free, ok, r.RunTime())
		}
	})
}
