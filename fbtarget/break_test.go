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
	answer        action = "answer"
	answerTwice   action = "answer twice"
	answerWrongID action = "answer with wrong id"
	answerOver    action = "answer and close"
	cutUnread     action = "cut before reading"
	cutPart       action = "cut after reading a part"
	cutRead       action = "cut after the task started"
	cutReply      action = "cut in the reply"
	cutHeader     action = "cut in the reply's header"
	redirect      action = "redirect"
	switchOver    action = "switch protocols"
	earlyHints    action = "early hints"
	refuse        action = "refuse without a reply's body"
	overlong      action = "overlong reply"
	longHeader    action = "overlong header"
)

var actions = []action{
	answer, answerTwice, answerWrongID, answerOver, cutUnread, cutPart, cutRead,
	cutReply, cutHeader, redirect, switchOver, earlyHints, refuse,
}

// breaker is a target that breaks connections. It takes the action for each
// request from a list and answers once the list is empty. It counts a start
// for each request that it has read whole.
type breaker struct {
	listener net.Listener
	group    errgroup.Group

	mu      sync.Mutex
	actions []action
	starts  map[string]int
	conns   []net.Conn
}

func newBreaker(t testing.TB, actions ...action) *breaker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &breaker{listener: l, actions: actions, starts: make(map[string]int)}
	b.group.Go(b.accept)
	return b
}

func (b *breaker) vm() filbertford.VM {
	return filbertford.NewVM("t1", filbertford.RoleTarget, "nordnes", b.listener.Addr().String())
}

// finish handles what was sent so far, once the client's connections are closed.
func (b *breaker) finish() {
	_ = b.listener.Close()
	_ = b.group.Wait()
}

// close ends the breaker and waits for its goroutines.
func (b *breaker) close() {
	_ = b.listener.Close()
	b.mu.Lock()
	for _, c := range b.conns {
		_ = c.Close()
	}
	b.mu.Unlock()
	_ = b.group.Wait()
}

func (b *breaker) accept() error {
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
func (b *breaker) handle(c net.Conn, r *bufio.Reader) bool {
	if _, err := r.Peek(1); err != nil {
		return false
	}
	a := b.next()
	if a == cutUnread {
		return false
	}
	if a == cutPart {
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
	b.count(start.ID)
	return b.reply(c, a, start.ID)
}

// reply answers the start of the ID and reports whether the connection lives on.
func (b *breaker) reply(c net.Conn, a action, id string) bool {
	body := fmt.Sprintf(`{"id": %q, "status": "done", "output": 1, "ran_us": 5, "free": 3}`, id)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	alive := true
	switch a {
	case answerTwice:
		text += text
	case answerWrongID:
		b.reply(c, answer, id+"x")
		return true
	case answerOver:
		alive = false
	case cutRead:
		return false
	case cutReply:
		text, alive = text[:len(text)-5], false
	case cutHeader:
		text, alive = text[:20], false
	case redirect:
		text = "HTTP/1.1 307 Temporary Redirect\r\nLocation: /v1/start\r\nContent-Length: 0\r\n\r\n"
	case switchOver:
		text = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
	case earlyHints:
		text = "HTTP/1.1 103 Early Hints\r\n\r\n" + text
	case refuse:
		text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	case longHeader:
		text = strings.Replace(text, "\r\n", "\r\nX: "+strings.Repeat("x", 1<<20)+"\r\n", 1)
	case overlong:
		text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", fbtarget.MaxReply+1)
		text += string(make([]byte, fbtarget.MaxReply+1))
	}
	_, err := io.WriteString(c, text)
	return alive && err == nil
}

func (b *breaker) next() action {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.actions) == 0 {
		return answer
	}
	a := b.actions[0]
	b.actions = b.actions[1:]
	return a
}

func (b *breaker) count(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts[id]++
}

func (b *breaker) started(id string) int {
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

func TestStartIsSentOnceWhereverItBreaks(t *testing.T) {
	tests := map[action]struct {
		outcome filbertford.Outcome
		starts  int
	}{
		answer:        {outcome: filbertford.OutcomeDone, starts: 1},
		answerTwice:   {outcome: filbertford.OutcomeDone, starts: 1},
		answerWrongID: {outcome: filbertford.OutcomeUnknown, starts: 1},
		answerOver:    {outcome: filbertford.OutcomeDone, starts: 1},
		cutUnread:     {outcome: filbertford.OutcomeUnknown, starts: 0},
		cutPart:       {outcome: filbertford.OutcomeUnknown, starts: 0},
		cutRead:       {outcome: filbertford.OutcomeUnknown, starts: 1},
		cutReply:      {outcome: filbertford.OutcomeUnknown, starts: 1},
		cutHeader:     {outcome: filbertford.OutcomeUnknown, starts: 1},
		redirect:      {outcome: filbertford.OutcomeUnknown, starts: 1},
		switchOver:    {outcome: filbertford.OutcomeUnknown, starts: 1},
		earlyHints:    {outcome: filbertford.OutcomeDone, starts: 1},
		refuse:        {outcome: filbertford.OutcomeUnknown, starts: 1},
		longHeader:    {outcome: filbertford.OutcomeUnknown, starts: 1},
		overlong:      {outcome: filbertford.OutcomeUnknown, starts: 1},
	}
	for a, tt := range tests {
		for kept, before := range map[string][]action{"new connection": nil, "kept connection": {answer}} {
			t.Run(string(a)+" on a "+kept, func(t *testing.T) {
				b := newBreaker(t, append(before, a)...)
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

func TestStartKeepsItsPromisesOverAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.SampledFrom(actions), 1, 12).Draw(rt, "actions")
		cancelled := rapid.SliceOfN(rapid.Bool(), len(drawn), len(drawn)).Draw(rt, "cancelled")
		b := newBreaker(t, drawn...)
		client := newClient(t)
		var outcomes []filbertford.Outcome
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
		b.finish()
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

func TestStartAtNobodyIsUnreached(t *testing.T) {
	b := newBreaker(t)
	b.close()
	client := newClient(t)
	got := client.Start(t.Context(), b.vm(), newStart("s1", "1"))
	if got.Outcome() != filbertford.OutcomeUnreached || got.Detail() == "" {
		t.Errorf("outcome %q (%s), want unreached", got.Outcome(), got.Detail())
	}
}
