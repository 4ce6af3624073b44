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

// action is what a breaker does with a request.
type action string

const (
	reply                 action = "answer"
	replyTwice            action = "answer twice"
	replyWrongID          action = "answer with wrong id"
	replyAndClose         action = "answer and close"
	closeBeforeRead       action = "cut before reading"
	closeAfterPartialRead action = "cut after reading a part"
	closeAfterStart       action = "cut after the task started"
	closeInReply          action = "cut in the reply"
	closeInHeader         action = "cut in the reply's header"
	redirect              action = "redirect"
	switchProtocols       action = "switch protocols"
	earlyHints            action = "early hints"
	refuseWithoutBody     action = "refuse without a reply's body"
	overlongReply         action = "overlong reply"
	overlongHeader        action = "overlong header"
)

var actions = []action{
	reply, replyTwice, replyWrongID, replyAndClose, closeBeforeRead, closeAfterPartialRead, closeAfterStart,
	closeInReply, closeInHeader, redirect, switchProtocols, earlyHints, refuseWithoutBody,
}

// faultyTarget is a target that breaks connections. It takes the action for each
// request from a list and answers once the list is empty. It counts a start
// for each request that it has read whole.
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
	b := &faultyTarget{listener: l, actions: actions, starts: make(map[string]int)}
	b.group.Go(b.accept)
	return b
}

func (b *faultyTarget) vm() filbertford.VM {
	return filbertford.NewVM("t1", filbertford.RoleTarget, "nordnes", b.listener.Addr().String())
}

// waitForRequests handles what was sent so far, once the client's connections are closed.
func (b *faultyTarget) waitForRequests() {
	_ = b.listener.Close()
	_ = b.group.Wait()
}

// close ends the breaker and waits for its goroutines.
func (b *faultyTarget) close() {
	_ = b.listener.Close()
	b.mu.Lock()
	for _, c := range b.conns {
		_ = c.Close()
	}
	b.mu.Unlock()
	_ = b.group.Wait()
}

func (b *faultyTarget) accept() error {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return nil
		}
		b.mu.Lock()
		b.conns = append(b.conns, c)
		b.mu.Unlock()
		b.group.Go(func() error {
			defer c.Close()
			r := bufio.NewReader(c)
			for b.handle(c, r) {
			}
			return nil
		})
	}
}

// handle does the next action and reports whether the connection lives on.
func (b *faultyTarget) handle(c net.Conn, r *bufio.Reader) bool {
	if _, err := r.Peek(1); err != nil {
		return false
	}
	a := b.next()
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
	var start struct{ ID string }
	if err := json.NewDecoder(request.Body).Decode(&start); err != nil {
		return false
	}
	b.recordStart(start.ID)
	return b.reply(c, a, start.ID)
}

// reply answers the start of the ID and reports whether the connection lives on.
func (b *faultyTarget) reply(c net.Conn, a action, id string) bool {
	body := fmt.Sprintf(`{"id": %q, "status": "done", "output": 1, "ran_us": 5, "free": 3}`, id)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	alive := true
	switch a {
	case replyTwice:
		text += text
	case replyWrongID:
		b.reply(c, reply, id+"x")
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

func (b *faultyTarget) next() action {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.actions) == 0 {
		return reply
	}
	a := b.actions[0]
	b.actions = b.actions[1:]
	return a
}

func (b *faultyTarget) recordStart(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts[id]++
}

func (b *faultyTarget) started(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts[id]
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
		for connection, before := range map[string][]action{"new connection": nil, "kept connection": {reply}} {
			t.Run(string(a)+" on a "+connection, func(t *testing.T) {
				b := newFaultyTarget(t, append(before, a)...)
				defer b.close()
				client := newClient(t)
				for range before {
					client.Start(t.Context(), b.vm(), newStart("first", "1"))
				}
				got := client.Start(t.Context(), b.vm(), newStart("second", "1"))
				if got.Outcome() != tt.outcome || b.started("second") != tt.starts {
					t.Errorf("outcome %q (%s) with %d starts, want %q with %d",
						got.Outcome(), got.Detail(), b.started("second"), tt.outcome, tt.starts)
				}
			})
		}
	}
}

func TestStartOutcomeMatchesStartsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.SampledFrom(actions), 1, 12).Draw(rt, "actions")
		cancelled := rapid.SliceOfN(rapid.Bool(), len(drawn), len(drawn)).Draw(rt, "cancelled")
		b := newFaultyTarget(t, drawn...)
		client := newClient(t)
		var outcomes []filbertford.StartOutcome
		for i := range drawn {
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			if cancelled[i] {
				// The cancellation races with the start at any of its points.
				g.Go(func() error {
					cancel()
					return nil
				})
			}
			id := filbertford.StartID(fmt.Sprintf("s%d", i))
			outcomes = append(outcomes, client.Start(ctx, b.vm(), newStart(id, `{}`)).Outcome())
			_ = g.Wait()
			cancel()
		}
		// Requests that have left are handled before the counts are compared.
		client.Close()
		b.waitForRequests()
		for i, o := range outcomes {
			starts := b.started(fmt.Sprintf("s%d", i))
			switch {
			case starts > 1:
				rt.Fatalf("start %d: %d starts", i, starts)
			case o.NotStarted() && starts > 0:
				rt.Fatalf("start %d: outcome %q of a start that happened", i, o)
			case o == filbertford.OutcomeDone && starts == 0:
				rt.Fatalf("start %d: done without a start", i)
			}
		}
	})
}

func TestStartWithoutListenerIsUnreached(t *testing.T) {
	b := newFaultyTarget(t)
	b.close()
	client := newClient(t)
	got := client.Start(t.Context(), b.vm(), newStart("s1", "1"))
	if got.Outcome() != filbertford.OutcomeNotSent || got.Detail() == "" {
		t.Errorf("outcome %q (%s), want unreached", got.Outcome(), got.Detail())
	}
}
