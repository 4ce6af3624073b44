package fbdaemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbconfig"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbmember"
	"github.com/filbertford/filbertford/fbpeer"
	"github.com/filbertford/filbertford/fbpolicy"
	"github.com/filbertford/filbertford/fbsettings"
	"github.com/filbertford/filbertford/fbtree"
	"github.com/filbertford/filbertford/fbview"
)

// Parts are what a daemon is connected to.
type Parts struct {
	// Timer is the timer service; it must be running.
	Timer filbertford.Timer
	// Table is the platform's table service.
	Table filbertford.Table
	// Objects is the platform's object store.
	Objects filbertford.ObjectStore
	// VMList is the platform's list of VMs.
	VMList filbertford.VMList
	// Starter and Stopper reach the targets.
	Starter filbertford.Starter
	Stopper filbertford.Stopper
	// Peers reaches the other daemons.
	Peers *fbpeer.Client
	// Log takes the daemon's events.
	Log *log.Logger
	// Metrics takes the daemon's counters.
	Metrics tally.Scope
	// OnViolation, if not nil, is called on the control goroutine when an
	// invariant does not hold.
	OnViolation func(fbcore.Invariant)
}

// Daemon is an entry daemon.
type Daemon struct {
	vm          filbertford.VMID
	incarnation filbertford.Incarnation
	dataCentre  filbertford.DataCentre
	dataCentres []filbertford.DataCentre
	peerAddress string

	timer       filbertford.Timer
	table       filbertford.Table
	vmList      filbertford.VMList
	starter     filbertford.Starter
	stopper     filbertford.Stopper
	peers       *fbpeer.Client
	log         *log.Logger
	metrics     *metrics
	onViolation func(fbcore.Invariant)

	tick            time.Duration
	vmPoll          time.Duration
	heartbeatPeriod time.Duration
	requestTimeout  time.Duration
	stopGrace       time.Duration
	drainTimeout    time.Duration
	targetConns     int
	horizon         time.Duration

	ctx     context.Context // ends when the last traffic must end
	end     context.CancelFunc
	traffic *errgroup.Group
	inbox   chan message
	control *control
	spread  *fbsettings.Service
	burn    *burn

	settings     atomic.Pointer[fbtree.Tree]
	token        atomic.Pointer[string] // for new IDs, perhaps another daemon's
	own          atomic.Pointer[string] // this daemon's token
	haveVMs      atomic.Bool
	haveSettings atomic.Bool
	platformUp   atomic.Bool
	leaving      atomic.Bool
}

// New returns a daemon with a new incarnation. It does nothing before Run.
func New(cfg *fbconfig.Config, p Parts) (*Daemon, error) {
	policy, err := fbpolicy.New(cfg.Text("policy", "name"), uint64(cfg.Int("policy", "seed")))
	if err != nil {
		return nil, eris.Wrap(err, "choosing the policy")
	}
	ctx, end := context.WithCancel(context.Background())
	d := &Daemon{
		vm:              filbertford.VMID(cfg.Text("daemon", "vm")),
		incarnation:     filbertford.NewIncarnation(),
		dataCentre:      filbertford.DataCentre(cfg.Text("daemon", "data-centre")),
		peerAddress:     cfg.Text("daemon", "peers"),
		timer:           p.Timer,
		table:           p.Table,
		vmList:          p.VMList,
		starter:         p.Starter,
		stopper:         p.Stopper,
		peers:           p.Peers,
		log:             p.Log,
		metrics:         newMetrics(p.Metrics),
		onViolation:     p.OnViolation,
		tick:            cfg.Duration("policy", "tick"),
		vmPoll:          cfg.Duration("membership", "vm-poll"),
		heartbeatPeriod: cfg.Duration("membership", "heartbeat"),
		requestTimeout:  cfg.Duration("settings", "request-timeout"),
		stopGrace:       cfg.Duration("stop", "grace"),
		drainTimeout:    cfg.Duration("stop", "drain"),
		horizon:         horizon(cfg),
		targetConns:     cfg.Int("policy", "target-connections"),
		ctx:             ctx,
		end:             end,
		traffic:         new(errgroup.Group),
		inbox:           make(chan message, cfg.Int("limits", "max-events")),
	}
	for _, dc := range cfg.List("daemon", "data-centres") {
		d.dataCentres = append(d.dataCentres, filbertford.DataCentre(dc))
	}
	d.platformUp.Store(true)
	d.settings.Store(new(fbtree.Tree))
	store := fbsettings.NewStore(p.Table, p.Objects, p.Timer)
	d.spread = fbsettings.NewService(d.peerAddress, store, p.Peers, p.Timer, p.Log, d.putInForce)
	d.burn = newBurn(p.Timer.Now())
	d.control = newControl(d, cfg, policy)
	return d, nil
}

// Check returns an error if settings that are valid by themselves don't go
// together.
func Check(cfg *fbconfig.Config) error {
	opts := viewOptions(cfg)
	if err := opts.Validate(); err != nil {
		return eris.Wrap(err, "sections [membership] and [ownership]")
	}
	kept := cfg.Duration("ownership", "epoch") * time.Duration(cfg.Int("ownership", "opaque-horizon"))
	if least := opts.Retention(); kept < least {
		return eris.Errorf("section [ownership]: opaque-horizon is %v, want at least %v", kept, least)
	}
	return nil
}

// horizon returns the resubmission horizon.
func horizon(cfg *fbconfig.Config) time.Duration {
	return cfg.Duration("ownership", "epoch") * time.Duration(cfg.Int("ownership", "horizon"))
}

// viewOptions returns the times that govern the view of opaque keys.
func viewOptions(cfg *fbconfig.Config) fbview.Options {
	lease := cfg.Duration("membership", "view-lease")
	return fbview.NewOptions().
		WithPeriod(lease).
		WithDrift(float64(cfg.Duration("membership", "clock-drift")) / float64(lease)).
		WithHorizon(horizon(cfg))
}

func newControl(d *Daemon, cfg *fbconfig.Config, policy filbertford.Policy) *control {
	core := fbcore.New(fbcore.Config{
		Incarnation:    d.incarnation,
		Key:            fbcore.NewKey(),
		DataCentre:     d.dataCentre,
		Address:        d.peerAddress,
		Started:        d.timer.Now(),
		EpochLength:    cfg.Duration("ownership", "epoch"),
		HorizonEpochs:  filbertford.Epoch(cfg.Int("ownership", "horizon")),
		SpentEpochs:    filbertford.Epoch(cfg.Int("ownership", "opaque-horizon")),
		MaxSubmissions: cfg.Int("limits", "max-submissions"),
		MaxAnswerBytes: cfg.Int("limits", "max-answers"),
	}, policy)
	return &control{
		d:           d,
		core:        core,
		view:        fbview.NewView(viewOptions(cfg), d.dataCentre, fbview.NewMember(d.incarnation, d.peerAddress)),
		dir:         fbmember.NewDirectory(d.peerAddress, d.dataCentre, cfg.Duration("membership", "heartbeat"), cfg.Duration("membership", "timeout"), cfg.List("daemon", "seeds")),
		waiters:     make(map[fbcore.Ref]chan<- outcome),
		drained:     make(chan struct{}),
		quarantined: make(map[filbertford.TargetID]struct{}),
		spilled:     make(map[filbertford.StartID]context.CancelFunc),
	}
}

// Incarnation returns the name of this run of the daemon.
func (d *Daemon) Incarnation() filbertford.Incarnation { return d.incarnation }

// Token returns the text of the owner token to mint new IDs from, empty while
// the daemon stops.
func (d *Daemon) Token() string {
	if t := d.token.Load(); t != nil {
		return *t
	}
	return ""
}

// ownToken returns the text of this daemon's own token.
func (d *Daemon) ownToken() string {
	if t := d.own.Load(); t != nil {
		return *t
	}
	return ""
}

// Settings returns the settings in force.
func (d *Daemon) Settings() *fbtree.Tree { return d.settings.Load() }

// Attach adds the daemon's parts to a group: the control goroutine, the
// membership and the peer service on the listener. When the group ends, the
// daemon stops gracefully before its control goroutine does.
func (d *Daemon) Attach(g *run.Group, peers net.Listener) {
	d.attach(g, d.control.run)
	d.attach(g, func(ctx context.Context) error { return d.every(ctx, d.vmPoll, d.pollVMs) })
	d.attach(g, func(ctx context.Context) error { return d.every(ctx, d.heartbeatPeriod/heartbeatChecks, d.heartbeat) })
	d.attach(g, func(ctx context.Context) error { return d.every(ctx, d.heartbeatPeriod, d.spreadMembers) })
	d.attach(g, d.spread.Run)
	server := fbpeer.NewServer(peerService{d}, peerService{d}, d.spread)
	d.attach(g, func(ctx context.Context) error { return server.Serve(ctx, peers) })
}

// heartbeatChecks is how often within a heartbeat period the daemon looks for
// members that are due for one.
const heartbeatChecks = 4

func (d *Daemon) attach(g *run.Group, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(d.ctx)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// Stop ends the daemon's service gracefully. It returns when nothing is in
// flight and the table was handed over, or when the drain timeout has passed.
func (d *Daemon) Stop(ctx context.Context) { d.stop(ctx) }

// Close ends what traffic is left and waits for its goroutines.
func (d *Daemon) Close() error {
	d.end()
	_ = d.traffic.Wait()
	return d.peers.Close()
}
