package fbtarget

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
)

// maxControlReplyBytes is the size of the largest accepted reply to a stop or
// renewal.
const maxControlReplyBytes = 64 << 10

type startRequest struct {
	ID      filbertford.StartID `json:"id"`
	Owner   string              `json:"owner"`
	Service string              `json:"service"`
	Args    json.RawMessage     `json:"args,omitempty"`
	LeaseMS int64               `json:"lease_ms"`
}

type startReply struct {
	ID     filbertford.StartID      `json:"id"`
	Status filbertford.StartOutcome `json:"status"`
	Output json.RawMessage          `json:"output"`
	Detail string                   `json:"detail"`
	RanUS  int64                    `json:"ran_us"`
	Free   *int                     `json:"free"`
}

type stopRequest struct {
	IDs []filbertford.StartID `json:"ids"`
}

type renewRequest struct {
	Owner   string `json:"owner"`
	LeaseMS int64  `json:"lease_ms"`
}

func encodeRequest(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encode request to target")
	}
	return b, nil
}

func encodeStart(request filbertford.StartRequest) ([]byte, error) {
	return encodeRequest(startRequest{
		ID:      request.ID(),
		Owner:   request.Owner().String(),
		Service: request.Service(),
		Args:    request.Args(),
		LeaseMS: request.Lease().Milliseconds(),
	})
}

// decodeReply returns the result of the start with the given ID from a reply. The
// outcome is OutcomeUnknown if the reply is not a valid one to that start.
func decodeReply(id filbertford.StartID, status int, body []byte) filbertford.StartResult {
	var r startReply
	if err := json.Unmarshal(body, &r); err != nil {
		return unknownResult(eris.Wrapf(err, "reply of status %d", status))
	}
	if err := r.validate(id, status); err != nil {
		return unknownResult(err)
	}
	result := filbertford.NewStartResult(r.Status).
		WithDetail(r.Detail).
		WithRunTime(time.Duration(r.RanUS) * time.Microsecond).
		WithFreeSlots(*r.Free)
	if r.Status == filbertford.OutcomeDone {
		result = result.WithOutput(r.Output)
	}
	return result
}

// validate returns an error if the reply is not a valid one to the start with the
// given ID.
func (r startReply) validate(id filbertford.StartID, status int) error {
	switch {
	case r.ID != id:
		return eris.Errorf("reply to start %q in place of %q", r.ID, id)
	case r.Free == nil || *r.Free < 0:
		return eris.New("reply without the number of free slots")
	case r.RanUS < 0 || r.RanUS > int64(maxReplyRunTime/time.Microsecond):
		return eris.Errorf("run time of %d us in the reply", r.RanUS)
	case !validStatus(status, r.Status):
		return eris.Errorf("reply of status %d says %q", status, r.Status)
	}
	return nil
}

// maxReplyRunTime is the longest run time that is accepted in a reply.
const maxReplyRunTime = 24 * time.Hour

// validStatus reports whether a reply with the HTTP status may have the outcome.
func validStatus(status int, o filbertford.StartOutcome) bool {
	switch o {
	case filbertford.OutcomeDone, filbertford.OutcomeTaskFailed, filbertford.OutcomeStopped:
		return status == http.StatusOK
	case filbertford.OutcomeNoSlot, filbertford.OutcomeLeaving:
		return status == http.StatusServiceUnavailable
	default:
		return false
	}
}
