package fbsettings

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbpeer"
	"github.com/filbertford/filbertford/fbtree"
)

const (
	// tickPeriod is the period of HandleTick.
	tickPeriod = 50 * time.Millisecond
	// peerTimeout is the timeout of a push or a pull.
	peerTimeout = time.Second
	// maxConcurrentCalls is the maximum number of concurrent calls. A further call is
	// dropped; the replica requests it again on a later tick.
	maxConcurrentCalls = 16
	// eventQueueSize is the maximum number of events that are queued for the control
	// goroutine.
	eventQueueSize = 64
)

// PeerClient calls the other daemons. *fbpeer.Client implements it.
type PeerClient interface {
	// PushSettings sends an update to the daemon at the address and returns its
	// reply.
	PushSettings(ctx context.Context, address string, s fbpeer.Settings) (fbpeer.Settings, error)
	// PullSettings requests the version of the daemon at the address, given the
	// version that this daemon has.
	PullSettings(ctx context.Context, address string, have uint64) (fbpeer.Settings, error)
}

// Service runs the Replica of one daemon. The control goroutine, which calls Run,
// owns the replica; other goroutines make the calls that the replica requests.
type Service struct {
	store   *Store
	peers   PeerClient
	timer   filbertford.Timer
	log     *log.Logger
	onApply func(*fbtree.Tree)
	replica *Replica
	events  chan event
	status  atomic.Pointer[Status]
}

// event calls a method of the replica that handles what has happened, in the
// control goroutine.
type event func(now time.Time, r *Replica) []Action

var _ fbpeer.SettingsStore = (*Service)(nil)

// NewService returns the service of the daemon whose peers reach it at the address
// self. It calls onApply with each version that comes into force, in ascending
// order, from the goroutine that calls Run.
func NewService(self string, store *Store, peers PeerClient, timer filbertford.Timer, l *log.Logger, onApply func(*fbtree.Tree)) *Service {
	s := &Service{
		store:   store,
		peers:   peers,
		timer:   timer,
		log:     l,
		onApply: onApply,
		replica: NewReplica(self),
		events:  make(chan event, eventQueueSize),
	}
	s.status.Store(&Status{})
	return s
}

// Run keeps the settings up to date until the context is cancelled. It returns the
// context's error.
func (s *Service) Run(ctx context.Context) error {
	ticks, stop := s.timer.Subscribe(tickPeriod)
	defer stop()
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	s.handle(ctx, &calls, tick)
	for {
		select {
		case <-ctx.Done():
			// The calls return no error and end with the context.
			_ = calls.Wait()
			return ctx.Err()
		case <-ticks:
			s.handle(ctx, &calls, tick)
		case e := <-s.events:
			s.handle(ctx, &calls, e)
		}
	}
}

// Status returns the state of the settings after the last event.
func (s *Service) Status() Status { return *s.status.Load() }

// SetMembers replaces the list of live peers, with the versions that their
// heartbeats named. It must be called after each heartbeat.
func (s *Service) SetMembers(ctx context.Context, members []Member) error {
	return s.enqueue(ctx, func(now time.Time, r *Replica) []Action { return r.HandleMembers(now, members) })
}

// PushSettings handles an update from a peer and returns the reply.
func (s *Service) PushSettings(ctx context.Context, v fbpeer.Settings) (fbpeer.Settings, error) {
	reply := make(chan Update, 1)
	err := s.enqueue(ctx, func(now time.Time, r *Replica) []Action {
		u, actions := r.HandlePush(now, updateFromSettings(v))
		reply <- u
		return actions
	})
	if err != nil {
		return fbpeer.Settings{}, err
	}
	return awaitReply(ctx, reply)
}

// PullSettings returns the update for a peer with the version have.
func (s *Service) PullSettings(ctx context.Context, have uint64) (fbpeer.Settings, error) {
	return s.PushSettings(ctx, fbpeer.NewSettings(have, 0, 0, nil, false))
}

func tick(now time.Time, r *Replica) []Action { return r.HandleTick(now) }

func awaitReply(ctx context.Context, reply <-chan Update) (fbpeer.Settings, error) {
	select {
	case u := <-reply:
		return settingsFromUpdate(u), nil
	case <-ctx.Done():
		return fbpeer.Settings{}, ctx.Err()
	}
}

// enqueue adds an event to the queue of the control goroutine. It blocks while the
// queue is full and the context has not ended.
func (s *Service) enqueue(ctx context.Context, e event) error {
	select {
	case s.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handle passes an event to the replica, publishes the new state and starts the
// calls that the replica requests.
func (s *Service) handle(ctx context.Context, calls *errgroup.Group, e event) {
	actions := e(s.timer.Now(), s.replica)
	s.publish()
	for _, a := range actions {
		calls.TryGo(func() error {
			s.call(ctx, a)
			return nil
		})
	}
}

// publish stores the status if it has changed, passes a new version to onApply and
// logs what has changed.
func (s *Service) publish() {
	old := s.Status()
	now := s.replica.Status()
	if now == old {
		return
	}
	s.status.Store(&now)
	if now.version > old.version {
		s.onApply(s.replica.Tree())
		fbevent.SettingsApplied.Log(s.log, "version", now.version)
	}
	if s.replica.updateErr != "" && now.reason == s.replica.updateErr {
		fbevent.SettingsUpdateRejected.Log(s.log, "version", now.version, "reason", now.reason)
	}
	switch {
	case now.pollFailing && !old.pollFailing:
		fbevent.SettingsPollFailing.Log(s.log, "version", now.version, "reason", now.reason)
	case old.pollFailing && !now.pollFailing:
		fbevent.SettingsPollRecovered.Log(s.log, "version", now.version)
	}
}

// call performs an action and queues the event with its result.
func (s *Service) call(ctx context.Context, a Action) {
	var e event
	switch a.kind {
	case ActionPoll:
		e = s.poll(ctx)
	case ActionLoad:
		e = s.load(ctx, a.head)
	case ActionInit:
		e = s.init(ctx)
	case ActionPush, ActionPull:
		e = s.callPeer(ctx, a)
	}
	if e != nil {
		// This fails only when the service stops, and then the event is not
		// needed.
		_ = s.enqueue(ctx, e)
	}
}

func (s *Service) poll(ctx context.Context) event {
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	head, err := s.store.Head(ctx)
	return func(now time.Time, r *Replica) []Action {
		if err != nil {
			r.HandlePollFailed(now, err.Error())
			return nil
		}
		return r.HandleHead(now, head)
	}
}

func (s *Service) load(ctx context.Context, head Head) event {
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	tree, err := s.store.Load(ctx, head)
	return func(now time.Time, r *Replica) []Action {
		if err != nil {
			r.HandleLoadFailed(now, err.Error())
			return nil
		}
		return r.HandleTree(now, tree)
	}
}

func (s *Service) init(ctx context.Context) event {
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	err := s.store.Init(ctx)
	return func(now time.Time, r *Replica) []Action {
		if err != nil {
			r.HandlePollFailed(now, err.Error())
			return nil
		}
		return r.HandleTick(now)
	}
}

// callPeer sends a push or a pull and returns the event with the reply, or nil if
// the peer can't be reached.
func (s *Service) callPeer(ctx context.Context, a Action) event {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply fbpeer.Settings
	var err error
	if a.kind == ActionPush {
		reply, err = s.peers.PushSettings(ctx, a.peer, settingsFromUpdate(a.update))
	} else {
		reply, err = s.peers.PullSettings(ctx, a.peer, a.update.have)
	}
	if err != nil {
		return nil
	}
	return func(now time.Time, r *Replica) []Action {
		return r.HandleReply(now, a.peer, updateFromSettings(reply))
	}
}

func updateFromSettings(v fbpeer.Settings) Update {
	return NewUpdate(v.Have(), v.Base(), v.Version(), v.Body(), v.Delta())
}

func settingsFromUpdate(u Update) fbpeer.Settings {
	return fbpeer.NewSettings(u.have, u.base, u.version, u.body, u.delta)
}
