package fbsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// What callers do.
const (
	host = "depot.example"
	// objectiveMS is the constant part of the route's objective.
	objectiveMS = 300
	// patience is how long a caller waits for an answer, as it tells.
	patience = 4 * time.Second
	// answerSlack is how much later than that an answer may come.
	answerSlack = time.Second
	// resendPause is the time after which a job without an answer is sent again.
	resendPause = 1300 * time.Millisecond
	// sends is how often a job is sent at most.
	sends = 4
	// lossSlack is the time within which a connection that is closed as a request
	// arrives has not read it.
	lossSlack = 200 * time.Millisecond
	// finishTerm is the time after the last fault in which stored jobs must end.
	finishTerm = 14 * time.Second
	storedPoll = 300 * time.Millisecond
)

// verdict is what a caller knows of its job.
type verdict string

const (
	verdictCompleted verdict = "completed"
	verdictFailed    verdict = "failed"
	verdictRefused   verdict = "refused" // every attempt was
	verdictAccepted  verdict = "accepted"
	verdictUnknown   verdict = "unknown"
)

// submission is a job and what became of it.
type submission struct {
	key     string
	stored  bool
	cancel  bool
	tasks   int
	verdict verdict
}

// clients are the callers of a run.
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
		soak: s, http: &http.Client{Transport: transport, Timeout: patience + 2*answerSlack},
		random: rand.New(rand.NewPCG(s.opts.Seed, 2)),
	}
}

// run hands jobs in until the context ends, and waits for their answers.
func (c *clients) run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second / time.Duration(c.soak.opts.Rate))
	defer ticker.Stop()
	for number := 1; ; number++ {
		select {
		case <-ctx.Done():
			return c.group.Wait()
		case <-ticker.C:
			c.begin(context.WithoutCancel(ctx), number)
		}
	}
}

// begin draws a job and hands it in.
func (c *clients) begin(ctx context.Context, number int) {
	j := &submission{
		key: fmt.Sprintf("%016x", c.soak.opts.Seed<<32|uint64(number)), stored: c.random.IntN(4) == 0,
		tasks: 1 + c.random.IntN(4), verdict: verdictUnknown,
	}
	j.cancel = j.stored && c.random.IntN(8) == 0
	body := fmt.Sprintf(`{"spec":"{\"run_ms\":%d,\"cpu\":%d}","steps":[{"count":%d,"cpu":%d,"memMb":8,"estimateMs":%d}],"bestEffort":%t}`,
		runMS(c.random), taskCPU, j.tasks, taskCPU, usualRunMS, !j.stored)
	order := c.random.Perm(len(c.soak.nodes))
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	c.group.Go(func() error {
		c.handIn(ctx, j, body, order)
		return nil
	})
}

// What tasks take.
const (
	taskCPU    = 1000
	usualRunMS = 80
)

func runMS(r *rand.Rand) int { return 30 + r.IntN(usualRunMS) }

// handIn sends a job until it has an answer that says what became of it.
func (c *clients) handIn(ctx context.Context, j *submission, body string, order []int) {
	refused := 0
	for i := range sends {
		status, state := c.call(ctx, order[i%len(order)], http.MethodPost, j.key, body)
		switch {
		case status == http.StatusOK && j.stored:
			j.verdict = verdictAccepted
			if j.cancel {
				c.call(ctx, order[(i+1)%len(order)], http.MethodDelete, j.key, "")
			}
			return
		case status == http.StatusOK:
			j.verdict = verdict(state)
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			if refused++; refused == i+1 {
				j.verdict = verdictRefused
			} else {
				j.verdict = verdictUnknown
			}
			return
		}
		c.soak.pause(ctx, resendPause)
	}
}

// call makes a request about a job to a daemon and returns the answer's status, 0
// without an answer, and the state that it tells.
func (c *clients) call(ctx context.Context, node int, method, key, body string) (status int, state string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.soak.nodes[node].ports["callers"]+"/jobs/"+key, strings.NewReader(body))
	if err != nil {
		c.soak.find("request for %s: %v", key, err)
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	begun := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		c.checkLoss(node, key, begun, err)
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
		c.checkLoss(node, key, begun, err)
		return 0, ""
	}
	if took := time.Since(begun); took > patience+answerSlack && !c.soak.harmedIn(node, begun, time.Now(), false) {
		c.soak.find("job %s was answered after %v by daemon %d", key, took.Round(time.Millisecond), node)
	}
	return resp.StatusCode, answer.State
}

// checkLoss finds a request that got no whole answer though nothing but planned
// stops befell the daemon.
func (c *clients) checkLoss(node int, key string, begun time.Time, err error) {
	if time.Since(begun) > lossSlack && !c.soak.harmedIn(node, begun, time.Now(), true) {
		c.soak.find("job %s got no answer from daemon %d after %v: %v", key, node, time.Since(begun).Round(time.Millisecond), err)
	}
}
