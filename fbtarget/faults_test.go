package fbtarget_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbtarget"
)

// action is how a faultyTarget handles a request.
type action string

const (
	reply                 action = "answer"
	replyTwice            action = "reply twice"
	replyWrongID          action = "reply with wrong id"
	replyAndClose         action = "reply and close"
	closeBeforeRead       action = "close before reading"
	closeAfterPartialRead action = "close after partial read"
	closeAfterStart       action = "close after start"
	closeInReply          action = "close within reply body"
	closeInHeader         action = "close within reply header"
	redirect              action = "redirect"
	switchProtocols       action = "switch protocols"
	earlyHints            action = "early hints"
	refuseWithoutBody     action = "refuse without reply body"
	overlongReply         action = "overlong reply"
	overlongHeader        action = "overlong header"
)

var actions = []action{
	reply, replyTwice, replyWrongID, replyAndClose, closeBeforeRead, closeAfterPartialRead, closeAfterStart,
	closeInReply, closeInHeader, redirect, switchProtocols, earlyHints, refuseWithoutBody,
}

// faultyTarget is a target that sends faulty replies and closes connections. It
// takes the action for each request from a list, and replies correctly when the
// list is empty. It counts a start for each request that it has read completely.
type faultyTarget struct {
	listener net.Listener
	group    errgroup.Group

	mu      sync.Mutex
	actions []action
	starts  map[string]int
	conns   []net.Conn
}

func newFaultyTarget(t testing.TB, actions ...action) *faultyTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faultyTarget{listener: l, actions: actions, starts: make(map[string]int)}
	f.group.Go(f.accept)
	return f
}

func (f *faultyTarget) vm() filbertford.VM {
	return filbertford.NewVM("t1", filbertford.RoleTarget, "nordnes", f.listener.Addr().String())
}

// waitForRequests stops accepting connections and waits until all requests that
// were sent are handled. The client must have closed its connections.
func (f *faultyTarget) waitForRequests() {
	_ = f.listener.Close()
	_ = f.group.Wait()
}

// close closes all connections and waits for the goroutines.
func (f *faultyTarget) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	for _, c := range f.conns {
		_ = c.Close()
	}
	f.mu.Unlock()
	_ = f.group.Wait()
}

func (f *faultyTarget) accept() error {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return nil
		}
		f.mu.Lock()
		f.conns = append(f.conns, c)
		f.mu.Unlock()
		f.group.Go(func() error {
			defer c.Close()
			r := bufio.NewReader(c)
			for f.handle(c, r) {
			}
			return nil
		})
	}
}

// handle applies the next action to a request and reports whether the connection
// stays open.
func (f *faultyTarget) handle(c net.Conn, r *bufio.Reader) bool {
	if _, err := r.Peek(1); err != nil {
		return false
	}
	a := f.next()
	if a == closeBeforeRead {
		return false
	}
	if a == closeAfterPartialRead {
		_, _ = io.CopyN(io.Discard, r, 40)
		return false
	}
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	var body struct{ ID string }
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return false
	}
	f.recordStart(body.ID)
	return f.reply(c, a, body.ID)
}

// reply replies to the start with the given ID and reports whether the connection
// stays open.
func (f *faultyTarget) reply(c net.Conn, a action, id string) bool {
	body := fmt.Sprintf(`{"id": %q, "status": "done", "output": 1, "ran_us": 5, "free": 3}`, id)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	alive := true
	switch a {
	case replyTwice:
		text += text
	case replyWrongID:
		f.reply(c, reply, id+"x")
		return true
	case replyAndClose:
		alive = false
	case closeAfterStart:
		return false
	case closeInReply:
		text, alive = text[:len(text)-5], false
	case closeInHeader:
		text, alive = text[:20], false
	case redirect:
		text = "HTTP/1.1 307 Temporary Redirect\r\nLocation: /v1/start\r\nContent-Length: 0\r\n\r\n"
	case switchProtocols:
		text = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
	case earlyHints:
		text = "HTTP/1.1 103 Early Hints\r\n\r\n" + text
	case refuseWithoutBody:
		text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	case overlongHeader:
		text = strings.Replace(text, "\r\n", "\r\nX: "+strings.Repeat("x", 1<<20)+"\r\n", 1)
	case overlongReply:
		text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", fbtarget.MaxReplyBytes+1)
		text += string(make([]byte, fbtarget.MaxReplyBytes+1))
	}
	_, err := io.WriteString(c, text)
	return alive && err == nil
}

func (f *faultyTarget) next() action {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.actions) == 0 {
		return reply
	}
	a := f.actions[0]
	f.actions = f.actions[1:]
	return a
}

func (f *faultyTarget) recordStart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts[id]++
}

func (f *faultyTarget) started(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[id]
}

func newClient(t testing.TB) *fbtarget.Client {
	t.Helper()
	client, err := fbtarget.NewClient(3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func TestStartIsSentAtMostOnce(t *testing.T) {
	tests := map[action]struct {
		outcome filbertford.StartOutcome
		starts  int
	}{
		reply:                 {outcome: filbertford.OutcomeDone, starts: 1},
		replyTwice:            {outcome: filbertford.OutcomeDone, starts: 1},
		replyWrongID:          {outcome: filbertford.OutcomeUnknown, starts: 1},
		replyAndClose:         {outcome: filbertford.OutcomeDone, starts: 1},
		closeBeforeRead:       {outcome: filbertford.OutcomeUnknown, starts: 0},
		closeAfterPartialRead: {outcome: filbertford.OutcomeUnknown, starts: 0},
		closeAfterStart:       {outcome: filbertford.OutcomeUnknown, starts: 1},
		closeInReply:          {outcome: filbertford.OutcomeUnknown, starts: 1},
		closeInHeader:         {outcome: filbertford.OutcomeUnknown, starts: 1},
		redirect:              {outcome: filbertford.OutcomeUnknown, starts: 1},
		switchProtocols:       {outcome: filbertford.OutcomeUnknown, starts: 1},
		earlyHints:            {outcome: filbertford.OutcomeDone, starts: 1},
		refuseWithoutBody:     {outcome: filbertford.OutcomeUnknown, starts: 1},
		overlongHeader:        {outcome: filbertford.OutcomeUnknown, starts: 1},
		overlongReply:         {outcome: filbertford.OutcomeUnknown, starts: 1},
	}
	for a, tt := range tests {
		for connection, before := range map[string][]action{"new connection": nil, "reused connection": {reply}} {
			t.Run(string(a)+" on a "+connection, func(t *testing.T) {
				target := newFaultyTarget(t, append(before, a)...)
				defer target.close()
				client := newClient(t)
				for range before {
					client.Start(t.Context(), target.vm(), newStart("first", "1"))
				}
				got := client.Start(t.Context(), target.vm(), newStart("second", "1"))
				if got.Outcome() != tt.outcome || target.started("second") != tt.starts {
					t.Errorf("got outcome %q (%s) with %d starts, want %q with %d",
						got.Outcome(), got.Detail(), target.started("second"), tt.outcome, tt.starts)
				}
			})
		}
	}
}

func TestStartOutcomeMatchesStartsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.SampledFrom(actions), 1, 12).Draw(rt, "actions")
		cancelled := rapid.SliceOfN(rapid.Bool(), len(drawn), len(drawn)).Draw(rt, "cancelled")
		target := newFaultyTarget(t, drawn...)
		client := newClient(t)
		var outcomes []filbertford.StartOutcome
		for i := range drawn {
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			if cancelled[i] {
				// The context is cancelled at any point of the start.
				g.Go(func() error {
					cancel()
					return nil
				})
			}
			id := filbertford.StartID(fmt.Sprintf("s%d", i))
			outcomes = append(outcomes, client.Start(ctx, target.vm(), newStart(id, `{}`)).Outcome())
			_ = g.Wait()
			cancel()
		}
		// All requests that were sent must be handled before the counts are compared.
		client.Close()
		target.waitForRequests()
		for i, o := range outcomes {
			starts := target.started(fmt.Sprintf("s%d", i))
			switch {
			case starts > 1:
				rt.Fatalf("start %d: got %d starts, want at most 1", i, starts)
			case o.NotStarted() && starts > 0:
				rt.Fatalf("start %d: got outcome %q, but the task was started", i, o)
			case o == filbertford.OutcomeDone && starts == 0:
				rt.Fatalf("start %d: got outcome done, but the task was not started", i)
			}
		}
	})
}

func TestStartWithoutListenerIsNotSent(t *testing.T) {
	target := newFaultyTarget(t)
	target.close()
	client := newClient(t)
	got := client.Start(t.Context(), target.vm(), newStart("s1", "1"))
	if got.Outcome() != filbertford.OutcomeNotSent || got.Detail() == "" {
		t.Errorf("got outcome %q (%s), want unreached with a detail", got.Outcome(), got.Detail())
	}
}
