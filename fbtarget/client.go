// Package fbtarget implements the HTTP client that starts and stops tasks at
// targets and renews their leases. It sends each request at most once.
//
// The Transport of net/http may retry a request when a kept-alive connection
// breaks. It does so only if the request has GetBody, and then if the method is
// idempotent, if the header Idempotency-Key is present or if nothing was
// written. Requests of this package have no GetBody, so that the Transport never
// sends one twice. Redirects aren't followed.
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
	// MaxReplyBytes is the size of the largest accepted reply to a start.
	MaxReplyBytes = 1 << 20
	// MinConns is the minimum number of connections to a target: one for starts and
	// one reserved for stops and renewals.
	MinConns = 2

	// maxHeaderBytes is the size of the largest accepted header of a reply.
	maxHeaderBytes = 64 << 10

	dialTimeout = time.Second
	// idleTimeout is shorter than the usual idle timeouts of HTTP servers, so that
	// targets seldom close an idle connection before the client does.
	idleTimeout = 30 * time.Second
)

// Client starts and stops tasks at targets and renews their leases.
type Client struct {
	starts  *http.Transport
	control *http.Transport
}

var (
	_ filbertford.Starter = (*Client)(nil)
	_ filbertford.Stopper = (*Client)(nil)
)

// NewClient returns a client that opens up to conns connections to each target
// and reuses idle ones. One of them is reserved for stops and renewals. A start
// waits for a free connection if all others are in use. NewClient returns an
// error if conns is less than MinConns.
func NewClient(conns int) (*Client, error) {
	if conns < MinConns {
		return nil, eris.Errorf("%d connections to a target are too few, need at least %d", conns, MinConns)
	}
	return &Client{starts: newTransport(conns - 1), control: newTransport(1)}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.starts.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Start sends one start to the target and waits until it ends. The outcome is
// OutcomeNotSent if no byte of the request can have left, and OutcomeUnknown if
// the request may have left and no valid reply was received.
func (c *Client) Start(ctx context.Context, target filbertford.VM, request filbertford.StartRequest) filbertford.StartResult {
	body, err := encodeStart(request)
	if err != nil {
		return filbertford.NewStartResult(filbertford.OutcomeNotSent).WithDetail(err.Error())
	}
	r := roundTrip(ctx, c.starts, target.Address(), "/v1/start", body, MaxReplyBytes)
	defer r.release()
	if r.err != nil && !r.sent {
		return filbertford.NewStartResult(filbertford.OutcomeNotSent).WithDetail(r.err.Error())
	}
	if r.err != nil {
		return unknownResult(r.err)
	}
	return decodeReply(request.ID(), r.status, r.body)
}

// Stop stops the tasks of the starts at the target with one request.
func (c *Client) Stop(ctx context.Context, target filbertford.VM, ids []filbertford.StartID) error {
	return c.send(ctx, target, "/v1/stop", stopRequest{IDs: ids})
}

// Renew renews the owner's lease for all its tasks at the target.
func (c *Client) Renew(ctx context.Context, target filbertford.VM, owner filbertford.Incarnation, lease time.Duration) error {
	return c.send(ctx, target, "/v1/renew", renewRequest{Owner: owner.String(), LeaseMS: lease.Milliseconds()})
}

// send sends a stop or renewal and returns an error unless the status is 200.
func (c *Client) send(ctx context.Context, target filbertford.VM, path string, request any) error {
	body, err := encodeRequest(request)
	if err != nil {
		return err
	}
	r := roundTrip(ctx, c.control, target.Address(), path, body, maxControlReplyBytes)
	defer r.release()
	if r.err != nil {
		return eris.Wrapf(r.err, "post %s to target %s", path, target.ID())
	}
	if r.status != http.StatusOK {
		return eris.Errorf("post %s to target %s: unexpected status %d", path, target.ID(), r.status)
	}
	return nil
}

func unknownResult(err error) filbertford.StartResult {
	return filbertford.NewStartResult(filbertford.OutcomeUnknown).WithDetail(err.Error())
}
