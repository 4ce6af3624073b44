package fbpeer

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbmember"
	"github.com/filbertford/filbertford/fbwire"
)

// Limits of the connections between daemons.
const (
	// MaxMessage is the maximum size of a message in bytes.
	MaxMessage = 64 << 20
	// dialTimeout is the time limit for establishing a connection.
	dialTimeout = time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = time.Minute
	// maxIdlePerPeer is the maximum number of idle connections to one daemon.
	maxIdlePerPeer = 64
)

// ErrUnreachable is returned if no connection to the other daemon could be
// established, so that nothing was sent.
var ErrUnreachable = eris.New("daemon could not be reached")

// Settings is a version of the settings in a message between daemons: the whole
// tree, or the changes since a base version.
type Settings struct {
	have    uint64
	base    uint64
	version uint64
	body    []byte
	delta   bool
}

// NewSettings returns a version of the settings with its body, the encoded tree or,
// if delta is set, the encoded changes to the base version. Have is the newest
// version that the sender holds.
func NewSettings(have, base, version uint64, body []byte, delta bool) Settings {
	return Settings{have: have, base: base, version: version, body: body, delta: delta}
}

// Have returns the newest version that the sender holds.
func (s Settings) Have() uint64 { return s.have }

// Base returns the version that a delta applies to.
func (s Settings) Base() uint64 { return s.base }

// Version returns the version that results from the body, 0 if there is no body.
func (s Settings) Version() uint64 { return s.version }

// Body returns the encoded tree or changes.
func (s Settings) Body() []byte { return s.body }

// Delta reports whether the body holds changes to the base version.
func (s Settings) Delta() bool { return s.delta }

// ViewPromiseRequest asks a member to promise that it has sent no commit of a view
// of the opaque keys that is newer than the view of the given epoch.
type ViewPromiseRequest struct {
	dataCentre filbertford.DataCentre
	epoch      uint64
	requester  filbertford.Incarnation
	period     time.Duration
}

// NewViewPromiseRequest returns a request for a promise about a data centre's view
// with the given lease period.
func NewViewPromiseRequest(dc filbertford.DataCentre, epoch uint64, requester filbertford.Incarnation, period time.Duration) ViewPromiseRequest {
	return ViewPromiseRequest{dataCentre: dc, epoch: epoch, requester: requester, period: period}
}

// DataCentre returns the data centre of the view.
func (r ViewPromiseRequest) DataCentre() filbertford.DataCentre { return r.dataCentre }

// Epoch returns the view's epoch.
func (r ViewPromiseRequest) Epoch() uint64 { return r.epoch }

// Requester returns the member that requests the promise.
func (r ViewPromiseRequest) Requester() filbertford.Incarnation { return r.requester }

// Period returns the view's lease period.
func (r ViewPromiseRequest) Period() time.Duration { return r.period }

// ViewPromise is a member's reply to a ViewPromiseRequest.
type ViewPromise struct {
	promised bool
	epoch    uint64
}

// NewViewPromise returns a reply with the epoch of the view that the member uses.
func NewViewPromise(promised bool, epoch uint64) ViewPromise {
	return ViewPromise{promised: promised, epoch: epoch}
}

// Promised reports whether the member gave the promise.
func (p ViewPromise) Promised() bool { return p.promised }

// Epoch returns the epoch of the view that the member uses.
func (p ViewPromise) Epoch() uint64 { return p.epoch }

// Client sends requests to other daemons. Its methods may be called concurrently.
type Client struct {
	pool   *drpcpool.Pool[string, *drpcconn.Conn]
	dialer net.Dialer
}

var _ filbertford.Peer = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			KeyCapacity: maxIdlePerPeer,
		}),
		dialer: net.Dialer{Timeout: dialTimeout},
	}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// Forward forwards a delivery to the owner of the submission. It answers
// CodeOwnerUnreachable if nothing was sent, and CodeOutcomeUnknown if the reply was
// lost.
func (c *Client) Forward(ctx context.Context, address string, owner filbertford.Incarnation, d filbertford.Delivery) filbertford.Answer {
	req := &fbwire.ForwardRequest{Owner: uint64(owner), Id: d.ID().String(), Job: jobToWire(d.Job())}
	return answerOf(call(ctx, c, address, req, fbwire.DRPCPeerClient.Forward))
}

// RunTask makes the daemon at the address run a job of one task. It answers
// CodeOwnerUnreachable if nothing was sent, and CodeOutcomeUnknown if the reply was
// lost.
func (c *Client) RunTask(ctx context.Context, address string, id filbertford.StartID, j filbertford.Job) filbertford.Answer {
	req := &fbwire.RunTaskRequest{Start: string(id), Job: jobToWire(j)}
	return answerOf(call(ctx, c, address, req, fbwire.DRPCPeerClient.RunTask))
}

// Cancel asks the owner of a submission to cancel it. It answers as Forward
// does.
func (c *Client) Cancel(ctx context.Context, address string, owner filbertford.Incarnation, id filbertford.SubmissionID, team string) filbertford.Answer {
	req := &fbwire.SubmissionRequest{Owner: uint64(owner), Id: id.String(), Team: team}
	return answerOf(call(ctx, c, address, req, fbwire.DRPCPeerClient.Cancel))
}

// Status asks the owner of a submission for its status. If the request fails, the
// status is StateUnknown with CodeOwnerUnreachable.
func (c *Client) Status(ctx context.Context, address string, owner filbertford.Incarnation, id filbertford.SubmissionID, team string) filbertford.SubmissionStatus {
	req := &fbwire.SubmissionRequest{Owner: uint64(owner), Id: id.String(), Team: team}
	reply, err := call(ctx, c, address, req, fbwire.DRPCPeerClient.Status)
	if err != nil {
		return filbertford.NewSubmissionStatus(filbertford.StateUnknown, filbertford.NewRefusal(filbertford.CodeOwnerUnreachable, err.Error()))
	}
	return filbertford.NewSubmissionStatus(filbertford.SubmissionState(reply.GetState()), answerFromWire(reply.GetAnswer()))
}

// Heartbeat sends the sender's state to a daemon and returns that daemon's state.
func (c *Client) Heartbeat(ctx context.Context, address string, s fbmember.State) (fbmember.State, error) {
	req := &fbwire.HeartbeatRequest{Sender: stateToWire(s)}
	reply, err := call(ctx, c, address, req, fbwire.DRPCPeerClient.Heartbeat)
	if err != nil {
		return fbmember.State{}, err
	}
	return stateFromWire(reply.GetReceiver()), nil
}

// VMs returns the platform's list of VMs as the daemon at the address last read it.
func (c *Client) VMs(ctx context.Context, address string) ([]filbertford.VM, error) {
	reply, err := call(ctx, c, address, &fbwire.ListVMsRequest{}, fbwire.DRPCPeerClient.ListVMs)
	if err != nil {
		return nil, err
	}
	out := make([]filbertford.VM, len(reply.GetVms()))
	for i, w := range reply.GetVms() {
		out[i] = vmFromWire(w)
	}
	return out, nil
}

// Inherit hands a part of a table over to a successor. It reports whether the
// successor has the complete table now.
func (c *Client) Inherit(ctx context.Context, address string, p fbcore.TablePart) (bool, error) {
	reply, err := call(ctx, c, address, partToWire(p), fbwire.DRPCPeerClient.Inherit)
	return reply.GetWhole(), err
}

// PushSettings sends a version of the settings to a daemon and returns the version
// that the daemon holds afterwards.
func (c *Client) PushSettings(ctx context.Context, address string, s Settings) (Settings, error) {
	reply, err := call(ctx, c, address, settingsToWire(s), fbwire.DRPCPeerClient.PushSettings)
	return settingsFromWire(reply), err
}

// PullSettings requests the newest version of the settings. Have is the version that
// the sender holds.
func (c *Client) PullSettings(ctx context.Context, address string, have uint64) (Settings, error) {
	reply, err := call(ctx, c, address, &fbwire.SettingsRequest{Have: have}, fbwire.DRPCPeerClient.PullSettings)
	return settingsFromWire(reply), err
}

// ConfirmView requests a promise about the view from a member.
func (c *Client) ConfirmView(ctx context.Context, address string, r ViewPromiseRequest) (ViewPromise, error) {
	req := &fbwire.ConfirmViewRequest{
		DataCentre: string(r.dataCentre),
		Epoch:      r.epoch,
		Asker:      uint64(r.requester),
		PeriodUs:   r.period.Microseconds(),
	}
	reply, err := call(ctx, c, address, req, fbwire.DRPCPeerClient.ConfirmView)
	return NewViewPromise(reply.GetPromised(), reply.GetEpoch()), err
}

// call sends a request on a connection that no other request uses, since a DRPC
// connection carries one request at a time, and returns the reply. It returns ErrUnreachable if nothing
// was sent.
func call[Q, R any](ctx context.Context, c *Client, address string, req Q, method func(fbwire.DRPCPeerClient, context.Context, Q) (R, error)) (R, error) {
	var zero R
	conn, err := c.connect(ctx, address)
	if err != nil {
		return zero, err
	}
	reply, err := method(fbwire.NewDRPCPeerClient(conn), ctx, req)
	if err != nil {
		_ = conn.Close()
		return zero, eris.Wrapf(err, "asking %s", address)
	}
	c.pool.Put(address, conn)
	return reply, nil
}

// connect returns an idle connection, or a new one if there is none.
func (c *Client) connect(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn, ok := c.pool.Take(address); ok {
		return conn, nil
	}
	transport, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	return drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage}}
}

func answerOf(reply *fbwire.AnswerReply, err error) filbertford.Answer {
	switch {
	case err == nil:
		return answerFromWire(reply.GetAnswer())
	case eris.Is(err, ErrUnreachable):
		return filbertford.NewRefusal(filbertford.CodeOwnerUnreachable, err.Error())
	default:
		return filbertford.NewRefusal(filbertford.CodeOutcomeUnknown, err.Error())
	}
}

func settingsToWire(s Settings) *fbwire.SettingsRequest {
	return &fbwire.SettingsRequest{Have: s.have, Base: s.base, Version: s.version, Body: s.body, Delta: s.delta}
}

func settingsFromWire(w *fbwire.SettingsReply) Settings {
	return NewSettings(w.GetHave(), w.GetBase(), w.GetVersion(), w.GetBody(), w.GetDelta())
}
