package fbsched

import (
	"fmt"
	"time"
)

// runLost handles the loss of a run with its target, on which others ran beside it.
func (p *Pool) runLost(now time.Duration, r *run, others int, reason string) {
	p.emitEvent(Event{
		Kind: EventRunLost, Task: r.key, Target: r.target.id(), Started: r.target.startedAt, Run: r.number, Fence: p.fence,
		Reason: fmt.Sprintf("%s; %d other runs there", reason, others), Age: now - r.startedAt,
	})
}
