package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// server is an HTTP server of a stand-in.
type server struct {
	address string
	http    *http.Server
}

// serve serves the handler on a free loopback address.
func (l *lab) serve(h http.Handler) (*server, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	s := &server{address: ln.Addr().String(), http: &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}}
	l.tasks.Go(func() {
		if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			l.note("a stand-in has ended: %v", err)
		}
	})
	return s, nil
}

func (s *server) close() { _ = s.http.Close() }

func decode(r *http.Request, into any) error { return json.NewDecoder(r.Body).Decode(into) }

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // a stand-in replies only with values that can be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// hang leaves a request without an answer until the given context ends, and closes its connection.
func hang(ctx context.Context, r *http.Request) {
	select {
	case <-ctx.Done():
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}
