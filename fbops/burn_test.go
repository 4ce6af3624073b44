package fbops_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/filbertford/filbertford/fbburn"
	"github.com/filbertford/filbertford/fbdaemon"
	"github.com/filbertford/filbertford/fbops"
)

// burningDaemon is a daemon whose service "ordering" burns its error budget.
type burningDaemon struct{}

func (burningDaemon) Report(context.Context) (fbdaemon.Report, error) { return fbdaemon.Report{}, nil }
func (burningDaemon) Ready() bool                                     { return true }

func (burningDaemon) Burn(withSeries bool) fbburn.Snapshot {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	recorder := fbburn.NewRecorder(now)
	recorder.Record(now, fbburn.NewKey("depot", "ordering", ""), fbburn.NewObjective(0.99, time.Second), fbburn.OutcomeBad)
	return recorder.Snapshot(now, withSeries)
}

func TestBurnEndpoints(t *testing.T) {
	tests := map[string]struct {
		path, key, contentType string
		status, minutes        int
	}{
		"counts":             {path: "/v1/burn", key: "secret", contentType: "application/json", status: http.StatusOK},
		"series":             {path: "/v1/burn?series=1", key: "secret", contentType: "application/json", status: http.StatusOK, minutes: 1},
		"page":               {path: "/burn", key: "secret", contentType: "text/html", status: http.StatusOK},
		"counts without key": {path: "/v1/burn", contentType: "application/json", status: http.StatusUnauthorized},
		"page without key":   {path: "/burn", contentType: "application/json", status: http.StatusUnauthorized},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server, _ := fbops.NewServer(burningDaemon{}, nil, "secret")
			r := httptest.NewRequest(http.MethodGet, tt.path, nil)
			r.Header.Set("Authorization", "Bearer "+tt.key)
			w := httptest.NewRecorder()
			server.Handler.ServeHTTP(w, r)
			if w.Code != tt.status || !strings.HasPrefix(w.Header().Get("Content-Type"), tt.contentType) {
				t.Fatalf("got %d %s, want %d %s", w.Code, w.Header().Get("Content-Type"), tt.status, tt.contentType)
			}
			if tt.status != http.StatusOK || tt.contentType != "application/json" {
				return
			}
			var s fbburn.Snapshot
			if err := json.Unmarshal(w.Body.Bytes(), &s); err != nil {
				t.Fatal(err)
			}
			if service := s.Services()[0]; service.Verdict() != fbburn.VerdictPage || len(service.Minutes()) != tt.minutes {
				t.Errorf("got verdict %s and %d minutes, want page and %d", service.Verdict(), len(service.Minutes()), tt.minutes)
			}
		})
	}
}
