// Package fbtarget is the client that starts, stops and renews tasks at
// targets over HTTP. It sends each request at most once.
//
// net/http's Transport may by itself send a request again when a kept-alive
// connection breaks. It does so only if the body can be had again (GetBody),
// and then if the method is idempotent, if the header Idempotency-Key is
// present or if nothing was written. Requests of this package have no GetBody,
// so that the Transport never sends one twice. Redirects aren't followed.
package fbtarget

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
)

// Limits of the client.
const (
	// MaxReplyBytes is the size of the largest reply to a start in bytes.
	MaxReplyBytes = 1 << 20
	// MinConns is the least number of connections to a target: one for starts
	// and one that stops and renewals never share with them.
	MinConns = 2

	// maxHeaderBytes is the size of the largest header of a reply, in bytes.
	maxHeaderBytes = 64 << 10

	dialTimeout = time.Second
	// idleTimeout is shorter than the usual idle timeouts of HTTP servers, so
	// that a kept-alive connection is seldom closed by the target first.
	idleTimeout = 30 * time.Second
)

// Client starts and stops tasks at targets.
type Client struct {
	starts  *http.Transport
	control *http.Transport
}

var (
	_ filbertford.Starter = (*Client)(nil)
	_ filbertford.Stopper = (*Client)(nil)
)

// NewClient returns a client that holds up to conns connections to each target
// and keeps idle ones for reuse. One of them is kept apart for stops and
// renewals. A start that finds no free connection waits for one. It returns an
// error if conns is below MinConns.
func NewClient(conns int) (*Client, error) {
	if conns < MinConns {
		return nil, eris.Errorf("%d connections to a target; at least %d are needed", conns, MinConns)
	}
	return &Client{starts: newTransport(conns - 1), control: newTransport(1)}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.starts.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Start sends one start to the target and waits for its end.
func (c *Client) Start(ctx context.Context, target filbertford.VM, s filbertford.StartRequest) filbertford.StartResult {
	body, err := encodeStart(s)
	if err != nil {
		return filbertford.NewStartResult(filbertford.OutcomeNotSent).WithDetail(err.Error())
	}
	r := roundTrip(ctx, c.starts, target.Address(), "/v1/start", body, MaxReplyBytes)
	defer r.release()
	if r.err != nil && !r.sent {
		return filbertford.NewStartResult(filbertford.OutcomeNotSent).WithDetail(r.err.Error())
	}
	if r.err != nil {
		return unknownReport(r.err)
	}
	return decodeReply(s.ID(), r.status, r.body)
}

// Stop tells the target, in one message, to stop the tasks of the starts.
func (c *Client) Stop(ctx context.Context, target filbertford.VM, ids []filbertford.StartID) error {
	return c.send(ctx, target, "/v1/stop", stopRequest{IDs: ids})
}

// Renew prolongs the owner's lease at the target for all its tasks there.
func (c *Client) Renew(ctx context.Context, target filbertford.VM, owner filbertford.Incarnation, lease time.Duration) error {
	return c.send(ctx, target, "/v1/renew", renewRequest{Owner: owner.String(), LeaseMS: lease.Milliseconds()})
}

// send makes one control request and checks its status.
func (c *Client) send(ctx context.Context, target filbertford.VM, path string, request any) error {
	body, err := encodeRequest(request)
	if err != nil {
		return err
	}
	r := roundTrip(ctx, c.control, target.Address(), path, body, maxControlReplyBytes)
	defer r.release()
	if r.err != nil {
		return eris.Wrapf(r.err, "%s at target %s", path, target.ID())
	}
	if r.status != http.StatusOK {
		return eris.Errorf("%s at target %s: status %d", path, target.ID(), r.status)
	}
	return nil
}

func unknownReport(err error) filbertford.StartResult {
	return filbertford.NewStartResult(filbertford.OutcomeUnknown).WithDetail(err.Error())
}
