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

// Dependencies are the services that a Daemon uses.
type Dependencies struct {
	// Timer is the timer service; it must be running.
	Timer filbertford.Timer
	// Table is the platform's table service.
	Table filbertford.Table
	// Objects is the platform's object store.
	Objects filbertford.ObjectStore
	// VMList is the platform's list of VMs.
	VMList filbertford.VMList
	// Starter and Stopper send requests to the targets.
	Starter filbertford.Starter
	Stopper filbertford.Stopper
	// Peers sends requests to the other daemons.
	Peers *fbpeer.Client
	// Log receives the daemon's events.
	Log *log.Logger
	// Metrics receives the daemon's counters and gauges.
	Metrics tally.Scope
	// OnViolation, if not nil, is called on the control goroutine when an
	// invariant is violated.
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

	ctx             context.Context // done when all requests must end
	cancelRequests  context.CancelFunc
	requests        *errgroup.Group
	inbox           chan message
	control         *controlLoop
	settingsService *fbsettings.Service
	burn            *burnRecorder

	settings          atomic.Pointer[fbtree.Tree]
	token             atomic.Pointer[string] // for new IDs; may be another daemon's
	ownTokenText      atomic.Pointer[string] // this daemon's token
	haveVMs           atomic.Bool
	haveSettings      atomic.Bool
	platformReachable atomic.Bool
	stopping          atomic.Bool
}

// New returns a daemon with a new incarnation. It does nothing until the group
// that it is attached to runs.
func New(cfg *fbconfig.Config, deps Dependencies) (*Daemon, error) {
	policy, err := fbpolicy.New(cfg.Text("policy", "name"), uint64(cfg.Int("policy", "seed")))
	if err != nil {
		return nil, eris.Wrap(err, "creating the policy")
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		vm:              filbertford.VMID(cfg.Text("daemon", "vm")),
		incarnation:     filbertford.NewIncarnation(),
		dataCentre:      filbertford.DataCentre(cfg.Text("daemon", "data-centre")),
		peerAddress:     cfg.Text("daemon", "peers"),
		timer:           deps.Timer,
		table:           deps.Table,
		vmList:          deps.VMList,
		starter:         deps.Starter,
		stopper:         deps.Stopper,
		peers:           deps.Peers,
		log:             deps.Log,
		metrics:         newMetrics(deps.Metrics),
		onViolation:     deps.OnViolation,
		tick:            cfg.Duration("policy", "tick"),
		vmPoll:          cfg.Duration("membership", "vm-poll"),
		heartbeatPeriod: cfg.Duration("membership", "heartbeat"),
		requestTimeout:  cfg.Duration("settings", "request-timeout"),
		stopGrace:       cfg.Duration("stop", "grace"),
		drainTimeout:    cfg.Duration("stop", "drain"),
		horizon:         horizon(cfg),
		targetConns:     cfg.Int("policy", "target-connections"),
		ctx:             ctx,
		cancelRequests:  cancel,
		requests:        new(errgroup.Group),
		inbox:           make(chan message, cfg.Int("limits", "max-events")),
	}
	for _, dc := range cfg.List("daemon", "data-centres") {
		d.dataCentres = append(d.dataCentres, filbertford.DataCentre(dc))
	}
	d.platformReachable.Store(true)
	d.settings.Store(new(fbtree.Tree))
	store := fbsettings.NewStore(deps.Table, deps.Objects, deps.Timer)
	d.settingsService = fbsettings.NewService(d.peerAddress, store, deps.Peers, deps.Timer, deps.Log, d.applySettings)
	d.burn = newBurnRecorder(deps.Timer.Now())
	d.control = newControlLoop(d, cfg, policy)
	return d, nil
}

// Check returns an error if settings that are valid by themselves contradict
// each other.
func Check(cfg *fbconfig.Config) error {
	opts := viewOptions(cfg)
	if err := opts.Validate(); err != nil {
		return eris.Wrap(err, "sections [membership] and [ownership]")
	}
	retention := cfg.Duration("ownership", "epoch") * time.Duration(cfg.Int("ownership", "opaque-horizon"))
	if minRetention := opts.Retention(); retention < minRetention {
		return eris.Errorf("section [ownership]: opaque-horizon is %v, want at least %v", retention, minRetention)
	}
	return nil
}

// horizon returns the resubmission horizon, the age above which IDs are refused.
func horizon(cfg *fbconfig.Config) time.Duration {
	return cfg.Duration("ownership", "epoch") * time.Duration(cfg.Int("ownership", "horizon"))
}

// viewOptions returns the options of the view of opaque keys.
func viewOptions(cfg *fbconfig.Config) fbview.Options {
	lease := cfg.Duration("membership", "view-lease")
	return fbview.NewOptions().
		WithPeriod(lease).
		WithDrift(float64(cfg.Duration("membership", "clock-drift")) / float64(lease)).
		WithHorizon(horizon(cfg))
}

func newControlLoop(d *Daemon, cfg *fbconfig.Config, policy filbertford.Policy) *controlLoop {
	core := fbcore.New(fbcore.Config{
		Incarnation:       d.incarnation,
		Key:               fbcore.NewKey(),
		DataCentre:        d.dataCentre,
		Address:           d.peerAddress,
		StartedAt:         d.timer.Now(),
		EpochLength:       cfg.Duration("ownership", "epoch"),
		HorizonEpochs:     filbertford.Epoch(cfg.Int("ownership", "horizon")),
		FingerprintEpochs: filbertford.Epoch(cfg.Int("ownership", "opaque-horizon")),
		MaxSubmissions:    cfg.Int("limits", "max-submissions"),
		MaxAnswerBytes:    cfg.Int("limits", "max-answers"),
		MaxJobBytes:       cfg.Int("limits", "memory") / 100 * cfg.Int("limits", "memory-percent"),
	}, policy)
	return &controlLoop{
		d:            d,
		core:         core,
		view:         fbview.NewView(viewOptions(cfg), d.dataCentre, fbview.NewMember(d.incarnation, d.peerAddress)),
		dir:          fbmember.NewDirectory(d.peerAddress, d.dataCentre, cfg.Duration("membership", "heartbeat"), cfg.Duration("membership", "timeout"), cfg.List("daemon", "seeds")),
		waiters:      make(map[fbcore.Ref]chan<- outcome),
		drained:      make(chan struct{}),
		quarantined:  make(map[filbertford.TargetID]struct{}),
		spillCancels: make(map[filbertford.StartID]context.CancelFunc),
	}
}

// Incarnation returns the number that identifies this run of the daemon.
func (d *Daemon) Incarnation() filbertford.Incarnation { return d.incarnation }

// Token returns the text of the owner token to mint new IDs from. It is empty
// until the daemon has settings and the VM list, and while the daemon stops.
func (d *Daemon) Token() string {
	if t := d.token.Load(); t != nil {
		return *t
	}
	return ""
}

// ownToken returns the text of this daemon's own token.
func (d *Daemon) ownToken() string {
	if t := d.ownTokenText.Load(); t != nil {
		return *t
	}
	return ""
}

// Settings returns the current settings.
func (d *Daemon) Settings() *fbtree.Tree { return d.settings.Load() }

// Attach adds the daemon's goroutines to a group: the control goroutine, the
// membership, the settings service and the peer service on the listener. They end
// when the group does. For a graceful stop, call Stop before the group ends.
func (d *Daemon) Attach(g *run.Group, peers net.Listener) {
	d.attach(g, d.control.run)
	d.attach(g, func(ctx context.Context) error { return d.runPeriodically(ctx, d.vmPoll, d.pollVMs) })
	d.attach(g, func(ctx context.Context) error {
		return d.runPeriodically(ctx, d.heartbeatPeriod/heartbeatChecksPerPeriod, d.sendHeartbeats)
	})
	d.attach(g, func(ctx context.Context) error {
		return d.runPeriodically(ctx, d.heartbeatPeriod, d.updateSettingsMembers)
	})
	d.attach(g, d.settingsService.Run)
	server := fbpeer.NewServer(peerService{d}, peerService{d}, d.settingsService)
	d.attach(g, func(ctx context.Context) error { return server.Serve(ctx, peers) })
}

// heartbeatChecksPerPeriod is the number of times in a heartbeat period that the
// daemon checks which members are due for a heartbeat.
const heartbeatChecksPerPeriod = 4

func (d *Daemon) attach(g *run.Group, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(d.ctx)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// Stop stops the daemon gracefully. It returns when no job is in flight and the
// submissions have been handed over, or when the drain timeout has expired.
func (d *Daemon) Stop(ctx context.Context) { d.stop(ctx) }

// Close cancels the remaining requests to other processes, waits for their
// goroutines and closes the client of the other daemons.
func (d *Daemon) Close() error {
	d.cancelRequests()
	_ = d.requests.Wait()
	return d.peers.Close()
}
