package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// The queue of the clients.
const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	serviceName = "huvo11a"
)

// Times of the clients.
const (
	resendAfter   = 1300 * time.Millisecond
	defaultBudget = 1500 * time.Millisecond
	finishTime    = 14 * time.Second // finish_s
	idleTime      = 3 * time.Second  // for which a job may have nothing running
)

// configure writes the configuration as the operator does.
func (l *lab) configure(attempts int, timeout time.Duration) {
	l.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-3hwrr6x", "host": queueHost, "prefix": queuePrefix, "kind": "non_idempotent", "timeoutMs": timeout.Milliseconds(), "targetDurationMs": 60,
			"priority": 0, "service": serviceName, "attempts": attempts, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "rejectsOverload": true, "spare": false}},
		"limits":   map[string]int{"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	l.note("the operator writes the configuration, attempts %d, timeout %v", attempts, timeout)
}

// step is a step of a client's job. work is how long its tasks take.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"memMb"`
	EstimateMS    int    `json:"estimateMs"`
	After         []int  `json:"after,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	work          int
}

func newStep(count, cpu int, work time.Duration) step {
	return step{Count: count, CPU: cpu, MemMB: 64, EstimateMS: int(work.Milliseconds()), work: int(work.Milliseconds())}
}

type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"bestEffort,omitempty"`
}

func newJob(steps ...step) jobBody {
	spec := taskSpec{CPU: steps[0].CPU, MemMB: steps[0].MemMB}
	for _, s := range steps {
		spec.MS = append(spec.MS, s.work)
	}
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // numbers only
	}
	return jobBody{Spec: string(data), Steps: steps}
}

// newID returns an ID of 16 hexadecimal digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a request to a daemon and returns the status and the body, 0 without an answer.
func (l *lab) call(ctx context.Context, d *daemon, method, path string, body any, budget time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, err.Error()
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	l.note("client sends %s %s to %s", method, path, d.name)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		l.note("client has no answer to %s %s from %s: %v", method, path, d.name, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	l.note("%s answers %s %s with %d %s", d.name, method, path, resp.StatusCode, bytes.TrimSpace(text))
	return resp.StatusCode, string(text)
}

var errNotAccepted = errors.New("a job was not accepted")

// submit hands a stored job in, again after no answer, 502 or 504, and waits until it is accepted.
func (l *lab) submit(ctx context.Context, d *daemon, id string, j jobBody) error {
	for range 8 {
		status, _ := l.call(ctx, d, http.MethodPost, queuePrefix+id, j, defaultBudget)
		switch status {
		case http.StatusOK:
			return nil
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			return fmt.Errorf("%w: %d", errNotAccepted, status)
		}
		if err := sleep(ctx, resendAfter); err != nil {
			return err
		}
	}
	return errNotAccepted
}

// state returns the state of a job as a daemon shows it, "410" if it isn't known and "" without an answer.
func (l *lab) state(ctx context.Context, d *daemon, id string) string {
	status, text := l.call(ctx, d, http.MethodGet, queuePrefix+id, nil, defaultBudget)
	if status == http.StatusGone {
		return "410"
	}
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return ""
	}
	return body.State
}

// waiting returns the number of waiting jobs as a daemon shows it, -1 without one.
func (l *lab) waiting(ctx context.Context, d *daemon) int {
	status, text := l.call(ctx, d, http.MethodGet, queuePrefix, nil, defaultBudget)
	body := struct {
		Waiting int `json:"waiting"`
	}{-1}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return -1
	}
	return body.Waiting
}

// ended reports whether a state is final.
func ended(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// idleJobs waits until finish_s after the end of the traffic, and returns the jobs that haven't ended
// then and for 3 s have nothing running, while under half of the processors are in use.
func (l *lab) idleJobs(ctx context.Context, trafficEnd time.Time, d *daemon, ids []string) ([]string, error) {
	if err := sleep(ctx, time.Until(trafficEnd.Add(finishTime))); err != nil {
		return nil, err
	}
	l.note("finish_s after the end of the traffic: the jobs are asked for")
	var open []string
	for _, id := range ids {
		if !ended(l.state(ctx, d, id)) {
			open = append(open, id)
		}
	}
	from := time.Now()
	busy := false
	for time.Since(from) < idleTime {
		busy = busy || l.usedCPU() >= 0.5
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
	var idle []string
	for _, id := range open {
		if !busy && !l.atWork(id, from) && !ended(l.state(ctx, d, id)) {
			idle = append(idle, id)
			l.note("LOST: job %s has had nothing running for %v", id, idleTime)
		}
	}
	return idle, nil
}
