package fbpeer

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbmember"
	"github.com/filbertford/filbertford/fbwire"
)

// Owner handles requests about submissions. The owner parameter is the incarnation
// that owns the submission, or 0 for whichever daemon of the data centre owns the
// opaque key.
type Owner interface {
	// Submit handles a delivery that another daemon forwarded.
	Submit(ctx context.Context, owner filbertford.Incarnation, d filbertford.Delivery) filbertford.Answer
	// RunTask runs a job of one task for a daemon of another data centre and
	// cancels it when the context is done.
	RunTask(ctx context.Context, id filbertford.StartID, j filbertford.Job) filbertford.Answer
	// Cancel cancels a submission of the team. An empty team matches all.
	Cancel(ctx context.Context, owner filbertford.Incarnation, id filbertford.SubmissionID, team string) filbertford.Answer
	// Status returns the status of a submission of the team. An empty team matches
	// all.
	Status(ctx context.Context, owner filbertford.Incarnation, id filbertford.SubmissionID, team string) filbertford.SubmissionStatus
}

// Member handles the requests that daemons of the fleet send to each other as
// members.
type Member interface {
	// Heartbeat receives the sender's state and returns the daemon's own.
	Heartbeat(ctx context.Context, s fbmember.State) (fbmember.State, error)
	// VMs returns the platform's list of VMs as the daemon last read it.
	VMs(ctx context.Context) ([]filbertford.VM, error)
	// Inherit receives a part of the table of a stopping daemon and reports whether
	// the table is complete now.
	Inherit(ctx context.Context, p fbcore.TablePart) (bool, error)
	// ConfirmView replies to a request for a promise about the view of opaque keys.
	ConfirmView(ctx context.Context, q ViewPromiseRequest) (ViewPromise, error)
}

// SettingsStore holds a version of the settings.
type SettingsStore interface {
	// PushSettings receives a version and returns the version that is held
	// afterwards.
	PushSettings(ctx context.Context, s Settings) (Settings, error)
	// PullSettings returns the newest version for a daemon that holds the given
	// one.
	PullSettings(ctx context.Context, have uint64) (Settings, error)
}

// Server answers the requests of other daemons.
type Server struct {
	owner    Owner
	member   Member
	settings SettingsStore
}

var _ fbwire.DRPCPeerServer = (*Server)(nil)

// NewServer returns a server that passes requests to the given handlers.
func NewServer(o Owner, m Member, s SettingsStore) *Server {
	return &Server{owner: o, member: m, settings: s}
}

// Serve accepts connections and answers requests until the context is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := fbwire.DRPCRegisterPeer(mux, s); err != nil {
		return eris.Wrap(err, "registering the peer service")
	}
	opts := drpcserver.Options{Manager: managerOptions()}
	return drpcserver.NewWithOptions(mux, opts).Serve(ctx, l)
}

// Forward implements fbwire.DRPCPeerServer.
func (s *Server) Forward(ctx context.Context, r *fbwire.ForwardRequest) (*fbwire.AnswerReply, error) {
	id, err := filbertford.ParseID(r.GetId())
	if err != nil {
		return reply(filbertford.NewRefusal(filbertford.CodeMalformed, err.Error())), nil
	}
	d := filbertford.NewDelivery(id, jobFromWire(r.GetJob()))
	return reply(s.owner.Submit(ctx, filbertford.Incarnation(r.GetOwner()), d)), nil
}

// RunTask implements fbwire.DRPCPeerServer.
func (s *Server) RunTask(ctx context.Context, r *fbwire.RunTaskRequest) (*fbwire.AnswerReply, error) {
	return reply(s.owner.RunTask(ctx, filbertford.StartID(r.GetStart()), jobFromWire(r.GetJob()))), nil
}

// Cancel implements fbwire.DRPCPeerServer.
func (s *Server) Cancel(ctx context.Context, r *fbwire.SubmissionRequest) (*fbwire.AnswerReply, error) {
	id, err := filbertford.ParseID(r.GetId())
	if err != nil {
		return reply(filbertford.NewRefusal(filbertford.CodeMalformed, err.Error())), nil
	}
	return reply(s.owner.Cancel(ctx, filbertford.Incarnation(r.GetOwner()), id, r.GetTeam())), nil
}

// Status implements fbwire.DRPCPeerServer.
func (s *Server) Status(ctx context.Context, r *fbwire.SubmissionRequest) (*fbwire.StatusReply, error) {
	id, err := filbertford.ParseID(r.GetId())
	if err != nil {
		a := filbertford.NewRefusal(filbertford.CodeMalformed, err.Error())
		return &fbwire.StatusReply{State: string(filbertford.StateUnknown), Answer: answerToWire(a)}, nil
	}
	status := s.owner.Status(ctx, filbertford.Incarnation(r.GetOwner()), id, r.GetTeam())
	return &fbwire.StatusReply{State: string(status.State()), Answer: answerToWire(status.Answer())}, nil
}

// Heartbeat implements fbwire.DRPCPeerServer.
func (s *Server) Heartbeat(ctx context.Context, r *fbwire.HeartbeatRequest) (*fbwire.HeartbeatReply, error) {
	state, err := s.member.Heartbeat(ctx, stateFromWire(r.GetSender()))
	if err != nil {
		return nil, err
	}
	return &fbwire.HeartbeatReply{Receiver: stateToWire(state)}, nil
}

// ListVMs implements fbwire.DRPCPeerServer.
func (s *Server) ListVMs(ctx context.Context, _ *fbwire.ListVMsRequest) (*fbwire.ListVMsReply, error) {
	vms, err := s.member.VMs(ctx)
	if err != nil {
		return nil, err
	}
	reply := &fbwire.ListVMsReply{Vms: make([]*fbwire.VM, len(vms))}
	for i, v := range vms {
		reply.Vms[i] = vmToWire(v)
	}
	return reply, nil
}

// Inherit implements fbwire.DRPCPeerServer.
func (s *Server) Inherit(ctx context.Context, r *fbwire.InheritRequest) (*fbwire.InheritReply, error) {
	whole, err := s.member.Inherit(ctx, partFromWire(r))
	return &fbwire.InheritReply{Whole: whole}, err
}

// PushSettings implements fbwire.DRPCPeerServer.
func (s *Server) PushSettings(ctx context.Context, r *fbwire.SettingsRequest) (*fbwire.SettingsReply, error) {
	held, err := s.settings.PushSettings(ctx, NewSettings(r.GetHave(), r.GetBase(), r.GetVersion(), r.GetBody(), r.GetDelta()))
	return settingsReply(held), err
}

// PullSettings implements fbwire.DRPCPeerServer.
func (s *Server) PullSettings(ctx context.Context, r *fbwire.SettingsRequest) (*fbwire.SettingsReply, error) {
	held, err := s.settings.PullSettings(ctx, r.GetHave())
	return settingsReply(held), err
}

// ConfirmView implements fbwire.DRPCPeerServer.
func (s *Server) ConfirmView(ctx context.Context, r *fbwire.ConfirmViewRequest) (*fbwire.ConfirmViewReply, error) {
	q := NewViewPromiseRequest(
		filbertford.DataCentre(r.GetDataCentre()), r.GetEpoch(),
		filbertford.Incarnation(r.GetAsker()), micros(r.GetPeriodUs()),
	)
	p, err := s.member.ConfirmView(ctx, q)
	return &fbwire.ConfirmViewReply{Promised: p.Promised(), Epoch: p.Epoch()}, err
}

func reply(a filbertford.Answer) *fbwire.AnswerReply {
	return &fbwire.AnswerReply{Answer: answerToWire(a)}
}

func settingsReply(s Settings) *fbwire.SettingsReply {
	return &fbwire.SettingsReply{Have: s.have, Base: s.base, Version: s.version, Body: s.body, Delta: s.delta}
}
