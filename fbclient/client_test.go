package fbclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbclient"
)

// scriptedTransport is a transport that returns the replies in order and records
// the submission ID and time of each job request.
type scriptedTransport struct {
	replies []string
	sentIDs []string
	sentAt  []time.Time
}

const (
	complete         = `{"id":"ID","code":"FB1000","class":"complete","results":[{"output":1,"target":"t1"}]}`
	otherSubmission  = `{"id":"other","code":"FB1000","class":"complete","results":[{"output":1,"target":"t1"}]}`
	missingResults   = `{"id":"ID","code":"FB1000","class":"complete","results":[]}`
	overloaded       = `{"id":"ID","code":"FB3001","class":"not-run","retry_after_ms":300}`
	cannotRun        = `{"id":"ID","code":"FB3003","class":"not-run"}`
	ownerGone        = `{"id":"ID","code":"FB4006","class":"delivery-started-nothing"}`
	ownerUnconfirmed = `{"id":"ID","code":"FB4013","class":"delivery-started-nothing","retry_after_ms":300}`
	malformed        = `{"id":"ID","code":"FB4001","class":"delivery-started-nothing"}`
	brokenConn       = "broken"
	dialRefused      = "refused"
	noReply          = "silent"
)

func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == "/v1/token" {
		token := filbertford.NewToken(7, 0, "nordnes", "127.0.0.1:7101")
		return newResponse(fmt.Sprintf(`{"token":%q}`, token)), nil
	}
	if r.GetBody != nil {
		return nil, errors.New("request has GetBody, so a transport could resend it")
	}
	if len(s.replies) == 0 {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	next := s.replies[0]
	s.replies = s.replies[1:]
	if next == dialRefused {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	id := r.Header.Get("Idempotency-Key")
	s.sentIDs = append(s.sentIDs, id)
	s.sentAt = append(s.sentAt, time.Now())
	if next == brokenConn {
		return nil, io.ErrUnexpectedEOF
	}
	if next == noReply {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return newResponse(strings.ReplaceAll(next, "ID", id)), nil
}

func newResponse(body string) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
}

func oneTaskJob() filbertford.Job {
	return filbertford.NewJob("depot", "ordering", filbertford.NewTask([]byte(`{"sku":"a<b"}`), time.Millisecond))
}

func TestSubmitRetries(t *testing.T) {
	type result struct {
		Code       filbertford.Code
		IDs        int
		Deliveries int
	}
	tests := map[string]struct {
		replies []string
		want    result
		err     error
	}{
		"complete":                     {[]string{complete}, result{"FB1000", 1, 1}, nil},
		"broken connection, same ID":   {[]string{brokenConn, brokenConn, complete}, result{"FB1000", 1, 3}, nil},
		"other submission, same ID":    {[]string{otherSubmission, complete}, result{"FB1000", 1, 2}, nil},
		"missing results, same ID":     {[]string{missingResults, complete}, result{"FB1000", 1, 2}, nil},
		"not run, new ID":              {[]string{overloaded, complete}, result{"FB1000", 2, 2}, nil},
		"broken, then not run, new ID": {[]string{brokenConn, overloaded, complete}, result{"FB1000", 2, 3}, nil},
		"cannot run, no retry":         {[]string{cannotRun}, result{"FB3003", 1, 1}, nil},
		"owner gone, first delivery":   {[]string{ownerGone, complete}, result{"FB1000", 2, 2}, nil},
		"owner gone, second delivery":  {[]string{brokenConn, ownerGone, complete}, result{"FB2004", 1, 2}, nil},
		"malformed":                    {[]string{malformed, complete}, result{"FB4001", 1, 1}, nil},
		"malformed, second delivery":   {[]string{brokenConn, malformed, complete}, result{"FB2004", 1, 2}, nil},
		"dial refused, not a delivery": {[]string{dialRefused, ownerGone, complete}, result{"FB1000", 2, 2}, nil},
		"nothing sent":                 {[]string{dialRefused, dialRefused, dialRefused, dialRefused}, result{"", 0, 0}, fbclient.ErrNotSent},
		"refused on every attempt":     {[]string{overloaded, overloaded, overloaded, overloaded}, result{"FB3001", 4, 4}, nil},
		"broken on every attempt":      {[]string{brokenConn, brokenConn, brokenConn, brokenConn}, result{"FB2004", 1, 4}, fbclient.ErrOutcomeUnknown},
		"no reply before the deadline": {[]string{}, result{"FB2004", 1, 1}, fbclient.ErrOutcomeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedTransport{replies: tt.replies}
				c, err := fbclient.New([]string{"http://a", "http://b"}, fbclient.WithTransport(s), fbclient.WithAttempts(4))
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				a, trace, err := c.SubmitTraced(ctx, oneTaskJob())
				if !errors.Is(err, tt.err) {
					t.Errorf("SubmitTraced error = %v, want %v", err, tt.err)
				}
				got := result{Code: a.Code(), IDs: trace.IDs(), Deliveries: trace.Deliveries()}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestSubmitAsKeepsID(t *testing.T) {
	tests := map[string]struct {
		replies []string
		want    filbertford.Code
	}{
		"broken, then complete":     {[]string{brokenConn, dialRefused, complete}, "FB1000"},
		"not run":                   {[]string{overloaded, complete}, "FB3001"},
		"nothing started":           {[]string{dialRefused, ownerGone, complete}, "FB4006"},
		"owner unconfirmed twice":   {[]string{ownerUnconfirmed, ownerUnconfirmed, complete}, "FB1000"},
		"owner unconfirmed always":  {[]string{ownerUnconfirmed, ownerUnconfirmed, ownerUnconfirmed, ownerUnconfirmed}, "FB4013"},
		"broken, owner unconfirmed": {[]string{brokenConn, ownerUnconfirmed, malformed}, "FB2004"},
		"broken, nothing started":   {[]string{brokenConn, ownerGone, complete}, "FB2004"},
	}
	id, err := filbertford.ParseID("order-17")
	if err != nil {
		t.Fatal(err)
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedTransport{replies: tt.replies}
				c, err := fbclient.New([]string{"http://a"}, fbclient.WithTransport(s), fbclient.WithAttempts(4))
				if err != nil {
					t.Fatal(err)
				}
				a, _, err := c.SubmitAs(t.Context(), id, oneTaskJob())
				if a.Code() != tt.want || err != nil {
					t.Errorf("SubmitAs = %s, %v, want %s, nil", a.Code(), err, tt.want)
				}
				for _, sent := range s.sentIDs {
					if sent != id.String() {
						t.Errorf("sent under ID %q, want only the given ID", sent)
					}
				}
			})
		})
	}
}

// preferringTransport is a transport to two daemons, 127.0.0.1 and 127.0.0.2. All
// answers carry the token of the second as the preferred one, even while it is
// down.
type preferringTransport struct {
	deliveries []string
	secondDown bool
}

func (s *preferringTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.secondDown && r.URL.Hostname() == "127.0.0.2" {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	ownToken := filbertford.NewToken(7, 0, "nordnes", r.URL.Hostname()+":7101").String()
	if r.URL.Path == "/v1/token" {
		return newResponse(fmt.Sprintf(`{"token":%q}`, ownToken)), nil
	}
	id, err := filbertford.ParseID(r.Header.Get("Idempotency-Key"))
	if err != nil {
		return nil, err
	}
	owner, _, _ := net.SplitHostPort(id.Token().Address())
	s.deliveries = append(s.deliveries, r.URL.Hostname()+" for "+owner)
	resp := newResponse(strings.ReplaceAll(complete, "ID", id.String()))
	resp.Header.Set("Filbertford-Token", filbertford.NewToken(8, 0, "nordnes", "127.0.0.2:7101").String())
	return resp, nil
}

func TestSubmitSendsToOwnerOfPreferredToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &preferringTransport{}
		c, err := fbclient.New([]string{"http://127.0.0.1:7100", "http://127.0.0.2:7100"}, fbclient.WithTransport(s))
		if err != nil {
			t.Fatal(err)
		}
		for i := range 9 {
			if i == 4 {
				time.Sleep(2 * time.Second)
			}
			s.secondDown = i >= 6
			if _, err := c.Submit(t.Context(), oneTaskJob()); err != nil {
				t.Fatal(err)
			}
		}
		const first, second = "127.0.0.1 for 127.0.0.1", "127.0.0.2 for 127.0.0.2"
		want := []string{first, second, second, second, first, second, first, first, first}
		if diff := cmp.Diff(want, s.deliveries); diff != "" {
			t.Error(diff)
		}
	})
}

func TestSubmitWaitsForRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{replies: []string{overloaded, complete}}
		c, err := fbclient.New([]string{"http://a"}, fbclient.WithTransport(s), fbclient.WithBackoff(0))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Submit(t.Context(), oneTaskJob()); err != nil {
			t.Fatal(err)
		}
		if got := s.sentAt[1].Sub(s.sentAt[0]); got != 300*time.Millisecond {
			t.Errorf("job resent after %v, want 300ms", got)
		}
		s.replies = []string{overloaded, complete}
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		a, err := c.Submit(ctx, oneTaskJob())
		if a.Code() != filbertford.CodeOverloaded || err != nil || ctx.Err() != nil {
			t.Errorf("Submit = %s, %v, want the refusal before the deadline", a.Code(), err)
		}
	})
}

func TestSubmitResendsAfterAnswerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{replies: []string{noReply, complete}}
		c, err := fbclient.New([]string{"http://a"}, fbclient.WithTransport(s), fbclient.WithBackoff(0))
		if err != nil {
			t.Fatal(err)
		}
		a, trace, err := c.SubmitTraced(t.Context(), oneTaskJob().WithTimeout(2*time.Second))
		if a.Code() != filbertford.CodeComplete || err != nil || trace.IDs() != 1 {
			t.Errorf("SubmitTraced = %s under %d IDs, %v, want a complete answer under 1 ID", a.Code(), trace.IDs(), err)
		}
		if got, want := s.sentAt[1].Sub(s.sentAt[0]), 2*time.Second+fbclient.DefaultTimeoutMargin; got != want {
			t.Errorf("job resent after %v, want %v", got, want)
		}
	})
}

func TestRetryBudgetLimitsRetriesOfRefusedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{}
		c, err := fbclient.New([]string{"http://a"}, fbclient.WithTransport(s))
		if err != nil {
			t.Fatal(err)
		}
		const jobs = 500
		for range jobs {
			s.replies = []string{overloaded, overloaded, overloaded, overloaded, overloaded, overloaded, overloaded, overloaded}
			if _, err := c.Submit(t.Context(), oneTaskJob()); err != nil {
				t.Fatal(err)
			}
		}
		if maxDeliveries := jobs + 100 + jobs/5; len(s.sentIDs) > maxDeliveries {
			t.Errorf("got %d deliveries for %d jobs, want at most %d", len(s.sentIDs), jobs, maxDeliveries)
		}
	})
}

// TestBrokenConnectionCountsAsOneDelivery guards against a request that
// http.Transport sends twice. When a reused connection breaks after the server
// read the request, the transport resends it if it has an Idempotency-Key and a
// GetBody function.
func TestBrokenConnectionCountsAsOneDelivery(t *testing.T) {
	var posts atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := filbertford.NewToken(7, 0, "nordnes", "127.0.0.1:7101")
		if r.URL.Path == "/v1/token" {
			fmt.Fprintf(w, `{"token":%q}`, token)
			return
		}
		n := posts.Add(1)
		id := r.Header.Get("Idempotency-Key")
		_, _ = io.Copy(io.Discard, r.Body)
		if n == 2 {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_ = conn.Close()
			return
		}
		text := complete
		if n > 2 {
			text = ownerGone
		}
		_, _ = io.WriteString(w, strings.ReplaceAll(text, "ID", id))
	}))
	defer server.Close()
	c, err := fbclient.New([]string{server.URL})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if a, err := c.Submit(t.Context(), oneTaskJob()); a.Code() != filbertford.CodeComplete || err != nil {
		t.Fatalf("Submit of the first job = %s, %v, want a complete answer", a.Code(), err)
	}
	a, trace, _ := c.SubmitTraced(t.Context(), oneTaskJob())
	if a.Code() != filbertford.CodeOutcomeUnknown || trace.IDs() != 1 {
		t.Errorf("job with the broken delivery: got %s under %d IDs, want an unknown outcome under 1 ID", a.Code(), trace.IDs())
	}
	if got, want := int(posts.Load()), 1+trace.Deliveries(); got != want {
		t.Errorf("daemon received %d requests, want the %d that the client counted", got, want)
	}
}

func TestStatusAndCancel(t *testing.T) {
	id, err := filbertford.ParseID("order-17")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/jobs/order-17" || r.Header.Get("Authorization") != "Bearer k" {
			t.Errorf("unexpected request for %s with authorization %q", r.URL.Path, r.Header.Get("Authorization"))
		}
		answer := map[string]any{"id": id.String(), "code": "FB2003", "class": "failed"}
		if r.Method == http.MethodGet {
			delete(answer, "id")
			answer = map[string]any{"id": id.String(), "state": "over", "answer": answer}
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer server.Close()
	c, err := fbclient.New([]string{"http://127.0.0.1:1", server.URL}, fbclient.WithKey("k"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s, err := c.Status(t.Context(), id)
	if err != nil || s.State() != filbertford.StateFinished || s.Answer().Code() != filbertford.CodeCancelled {
		t.Errorf("Status = %s %s, %v, want over FB2003, nil", s.State(), s.Answer().Code(), err)
	}
	a, err := c.Cancel(t.Context(), id)
	if err != nil || a.Code() != filbertford.CodeCancelled {
		t.Errorf("Cancel = %s, %v, want FB2003, nil", a.Code(), err)
	}
}

func ExampleClient_Submit() {
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/token" {
			fmt.Fprintf(w, `{"token":%q}`, filbertford.NewToken(7, 0, "nordnes", "127.0.0.1:7101"))
			return
		}
		_, _ = io.WriteString(w, strings.ReplaceAll(complete, "ID", r.Header.Get("Idempotency-Key")))
	}))
	defer daemon.Close()

	client, err := fbclient.New([]string{daemon.URL})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	job := filbertford.NewJob("depot", "ordering", filbertford.NewTask([]byte(`{"sku": "cadmium-red"}`), 60*time.Millisecond))
	answer, err := client.Submit(context.Background(), job)
	fmt.Println(answer.Code(), len(answer.Results()), err)
	// Output: FB1000 1 <nil>
}
