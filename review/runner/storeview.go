package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
)

// startAll starts daemons in the zones named, and for each zone a listener of the store. The
// listener of a zone shows the workers' addresses for that zone.
func (s *setting) startAll(ctx context.Context, zones ...string) error {
	handler := s.store.Handler()
	addresses := make(map[string]string)
	for _, zone := range zoneNames {
		address, err := s.listen(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodGet || r.URL.Query().Get("table") != "servers" {
				handler.ServeHTTP(rw, r)
				return
			}
			rec := httptest.NewRecorder()
			handler.ServeHTTP(rec, r)
			for k, v := range rec.Header() {
				if k != "Content-Length" {
					rw.Header()[k] = v
				}
			}
			rw.WriteHeader(rec.Code)
			_, _ = rw.Write(s.showAddresses(zone, rec.Body.Bytes())) // fails if the caller is gone
		}))
		if err != nil {
			return err
		}
		addresses[zone] = address
	}
	return s.startNodes(ctx, addresses, zones...)
}

// showAddresses replaces the addresses of the workers in an answer about their rows by those
// for a zone.
func (s *setting) showAddresses(zone string, data []byte) []byte {
	var body map[string]json.RawMessage
	var rows []map[string]json.RawMessage
	if json.Unmarshal(data, &body) != nil || json.Unmarshal(body["rows"], &rows) != nil {
		return data
	}
	for _, row := range rows {
		var value []byte
		if json.Unmarshal(row["value"], &value) != nil || len(value) == 0 {
			continue
		}
		for _, w := range s.workers {
			value = bytes.ReplaceAll(value, []byte(`"`+w.addresses[w.zone]+`"`), []byte(`"`+w.addresses[zone]+`"`))
		}
		row["value"], _ = json.Marshal(value) // bytes only
	}
	body["rows"], _ = json.Marshal(rows) // was decoded before
	out, err := json.Marshal(body)
	if err != nil || !strings.Contains(string(out), "rows") {
		return data
	}
	return out
}
