package fbsoak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Requests of callers.
const (
	host = "depot.example"
	// objectiveMS is the constant part of the route's latency objective.
	objectiveMS = 300
	// callerTimeout is the timeout that a caller states in its requests.
	callerTimeout = 4 * time.Second
	// answerMargin is how long after callerTimeout an answer may still arrive.
	answerMargin = time.Second
	// resendDelay is the time after which a job without a final answer is sent again.
	resendDelay = 1300 * time.Millisecond
	// maxSends is the maximum number of times that a job is sent.
	maxSends = 4
	// unreadWindow is the time after sending in which a request may fail without
	// being a violation: a daemon that closes a connection when the request arrives
	// has not read it.
	unreadWindow = 200 * time.Millisecond
	// storedJobTimeout is how long the final check waits for a stored job to end.
	storedJobTimeout      = 14 * time.Second
	storedJobPollInterval = 300 * time.Millisecond
)

// jobOutcome is the outcome of a job according to the answers that its caller received.
type jobOutcome string

const (
	outcomeCompleted jobOutcome = "completed"
	outcomeFailed    jobOutcome = "failed"
	outcomeRefused   jobOutcome = "refused" // every attempt was refused
	outcomeAccepted  jobOutcome = "accepted"
	outcomeUnknown   jobOutcome = "unknown"
)

// submission is a job and its outcome.
type submission struct {
	key     string
	stored  bool
	cancel  bool
	tasks   int
	outcome jobOutcome
}

// clients are the callers of a soak run.
type clients struct {
	soak   *Soak
	http   *http.Client
	random *rand.Rand
	group  errgroup.Group

	mu   sync.Mutex
	jobs []*submission
}

func newClients(s *Soak) *clients {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 256}
	return &clients{
		soak: s, http: &http.Client{Transport: transport, Timeout: callerTimeout + 2*answerMargin},
		random: rand.New(rand.NewPCG(s.opts.Seed, 2)),
	}
}

// run submits jobs until the context ends, and waits for their answers.
func (c *clients) run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second / time.Duration(c.soak.opts.Rate))
	defer ticker.Stop()
	for number := 1; ; number++ {
		select {
		case <-ctx.Done():
			return c.group.Wait()
		case <-ticker.C:
			c.submitRandomJob(context.WithoutCancel(ctx), number)
		}
	}
}

// submitRandomJob generates a random job and starts to submit it.
func (c *clients) submitRandomJob(ctx context.Context, number int) {
	j := &submission{
		key: fmt.Sprintf("%016x", c.soak.opts.Seed<<32|uint64(number)), stored: c.random.IntN(4) == 0,
		tasks: 1 + c.random.IntN(4), outcome: outcomeUnknown,
	}
	j.cancel = j.stored && c.random.IntN(8) == 0
	body := fmt.Sprintf(`{"spec":"{\"run_ms\":%d,\"cpu\":%d}","steps":[{"count":%d,"cpu":%d,"memMb":8,"estimateMs":%d}],"bestEffort":%t}`,
		randomRunMS(c.random), taskCPU, j.tasks, taskCPU, typicalRunMS, !j.stored)
	order := c.random.Perm(len(c.soak.nodes))
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	c.group.Go(func() error {
		c.submit(ctx, j, body, order)
		return nil
	})
}

// Demand of tasks.
const (
	taskCPU      = 1000
	typicalRunMS = 80
)

func randomRunMS(r *rand.Rand) int { return 30 + r.IntN(typicalRunMS) }

// submit sends a job until an answer gives its outcome, up to maxSends times. It
// sends it to the daemons in the given order.
func (c *clients) submit(ctx context.Context, j *submission, body string, order []int) {
	refused := 0
	for i := range maxSends {
		status, state := c.call(ctx, order[i%len(order)], http.MethodPost, j.key, body)
		switch {
		case status == http.StatusOK && j.stored:
			j.outcome = outcomeAccepted
			if j.cancel {
				c.call(ctx, order[(i+1)%len(order)], http.MethodDelete, j.key, "")
			}
			return
		case status == http.StatusOK:
			j.outcome = jobOutcome(state)
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			if refused++; refused == i+1 {
				j.outcome = outcomeRefused
			} else {
				j.outcome = outcomeUnknown
			}
			return
		}
		c.soak.sleep(ctx, resendDelay)
	}
}

// call sends a request about a job to a daemon. It returns the answer's status, or
// 0 if there is no answer, and the job's state in the answer.
func (c *clients) call(ctx context.Context, node int, method, key, body string) (status int, state string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.soak.nodes[node].callers.Address()+"/jobs/"+key, strings.NewReader(body))
	if err != nil {
		c.soak.violationf("request for %s: %v", key, err)
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	startedAt := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		c.checkMissingAnswer(node, key, startedAt, err)
		return 0, ""
	}
	defer resp.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	data, err := io.ReadAll(resp.Body)
	if err == nil {
		err = json.Unmarshal(data, &answer)
	}
	if err != nil {
		c.checkMissingAnswer(node, key, startedAt, err)
		return 0, ""
	}
	if elapsed := time.Since(startedAt); elapsed > callerTimeout+answerMargin && !c.soak.isImpacted(node, startedAt, time.Now(), false) {
		c.soak.judgeDelay(node, startedAt, callerTimeout+answerMargin,
			fmt.Sprintf("job %s was answered only after %v by daemon %d", key, elapsed.Round(time.Millisecond), node))
	}
	return resp.StatusCode, answer.State
}

// checkMissingAnswer reports a violation for a request without a complete answer, if
// it didn't fail within unreadWindow and no fault other than a planned stop affected
// the daemon.
func (c *clients) checkMissingAnswer(node int, key string, startedAt time.Time, err error) {
	if time.Since(startedAt) <= unreadWindow || c.soak.isImpacted(node, startedAt, time.Now(), true) {
		return
	}
	what := fmt.Sprintf("job %s got no answer from daemon %d after %v: %v", key, node, time.Since(startedAt).Round(time.Millisecond), err)
	if !errors.Is(err, context.DeadlineExceeded) {
		c.soak.violationf("%s", what)
		return
	}
	c.soak.judgeDelay(node, startedAt, callerTimeout+answerMargin, what)
}
