package fbtarget_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/filbertford/filbertford"
)

const benchReply = `{"id":"s1","status":"done","output":{"echo":17,"target":"t1"},"ran_us":5000,"free":7}`

// newFixedReplyTarget starts a target that sends a fixed reply, so that benchmarks
// mainly measure the client.
func newFixedReplyTarget(b *testing.B) string {
	b.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, benchReply)
	}))
	b.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// BenchmarkRawRoundTrip measures the round trip of net/http alone, for comparison
// with BenchmarkStart. The allocations of both include those of the server.
func BenchmarkRawRoundTrip(b *testing.B) {
	url := "http://" + newFixedReplyTarget(b) + "/v1/start"
	transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableCompression: true}
	defer transport.CloseIdleConnections()
	body := []byte(`{"id":"s1","owner":"0000000000000007","service":"ordering","args":{"run_ms":5},"lease_ms":60000}`)
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}

func BenchmarkStart(b *testing.B) {
	vm := filbertford.NewVM("t1", filbertford.RoleTarget, "nordnes", newFixedReplyTarget(b))
	client := newClient(b)
	start := newStart("s1", `{"run_ms":5}`)
	b.ReportAllocs()
	for b.Loop() {
		if r := client.Start(b.Context(), vm, start); r.Outcome() != filbertford.OutcomeDone {
			b.Fatal(r.Detail())
		}
	}
}
