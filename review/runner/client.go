package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// taskDemand is the size of a task. The stand-in's clients write it into the spec too,
// since a start doesn't tell it.
type taskDemand struct {
	CPU    int `json:"cpu"`
	Memory int `json:"memMb"`
}

// step is a step of a job as clients send it.
type step struct {
	Count int `json:"count"`
	taskDemand
	EstimateMS    int    `json:"estimateMs"`
	After         []int  `json:"after,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	MaxPerServer  int    `json:"maxPerServer,omitempty"`
}

// job is a job of a client.
type job struct {
	id         string
	steps      []step
	spec       map[string]any
	bestEffort bool
}

// reply is the answer to a request. The status is 0 if there was none.
type reply struct {
	sentAt     time.Duration
	answeredAt time.Duration
	status     int
	state      string
	text       string
}

// accepted reports whether the request was answered with 2xx.
func (r reply) accepted() bool { return r.status >= 200 && r.status < 300 }

func jobID(kind, number int) string { return fmt.Sprintf("%08x%08x", 0xc0de0000+kind, number) }

// request sends a request about a job to a daemon and records it with its answer.
func (s *setting) request(ctx context.Context, n *node, method, id string, body any, timeout time.Duration) reply {
	return s.requestWith(ctx, s.client, n, method, id, body, timeout)
}

// requestWith does the same over the channels of the given client.
func (s *setting) requestWith(ctx context.Context, client *http.Client, n *node, method, id string, body any, timeout time.Duration) reply {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // maps and texts only
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := reply{sentAt: s.record.now()}
	s.record.printf("client: %s %s to %s", method, id, n.name)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+prefix+id, bytes.NewReader(data))
	if err != nil {
		return r
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var text []byte
		if text, err = io.ReadAll(resp.Body); err == nil {
			var state struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(text, &state) // the body of a refusal has none
			r.status, r.state, r.text = resp.StatusCode, state.State, string(bytes.TrimSpace(text))
		}
	}
	r.answeredAt = s.record.now()
	if err != nil {
		s.record.printf("client: no answer to %s %s from %s: %v", method, id, n.name, err)
	} else {
		s.record.printf("client: answer to %s %s from %s: %d %s", method, id, n.name, r.status, r.text)
	}
	return r
}

// submit sends a job.
func (s *setting) submit(ctx context.Context, n *node, j job, timeout time.Duration) reply {
	return s.submitWith(ctx, s.client, n, j, timeout)
}

// submitWith does the same over the channels of the given client.
func (s *setting) submitWith(ctx context.Context, client *http.Client, n *node, j job, timeout time.Duration) reply {
	spec := map[string]any{"cpu": j.steps[0].CPU, "memMb": j.steps[0].Memory}
	for k, v := range j.spec {
		spec[k] = v
	}
	text, _ := json.Marshal(spec) // numbers and truth values only
	body := map[string]any{"spec": string(text), "steps": j.steps}
	if j.bestEffort {
		body["bestEffort"] = true
	}
	return s.requestWith(ctx, client, n, http.MethodPost, j.id, body, timeout)
}

// state asks for the state of a job.
func (s *setting) state(ctx context.Context, n *node, id string, timeout time.Duration) reply {
	return s.request(ctx, n, http.MethodGet, id, nil, timeout)
}

// cancelJob cancels a job.
func (s *setting) cancelJob(ctx context.Context, n *node, id string, timeout time.Duration) reply {
	return s.request(ctx, n, http.MethodDelete, id, nil, timeout)
}
