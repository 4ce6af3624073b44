// Package fbtimer provides the ticks and clocks of a process: a filbertford.Timer
// and the time since the machine's boot.
package fbtimer

import (
	"context"
	"sync"
	"time"

	"github.com/filbertford/filbertford"
)

// Resolution is the shortest period of a subscription.
const Resolution = time.Millisecond

// Service is a filbertford.Timer that uses the system clock. Run serves all
// subscriptions with one timer.
type Service struct {
	mu   sync.Mutex
	next int
	subs map[int]*subscription
	wake chan struct{}
}

type subscription struct {
	period time.Duration
	due    time.Time
	ticks  chan time.Time
}

var _ filbertford.Timer = (*Service)(nil)

// NewService returns a timer service. It sends no ticks before Run is called.
func NewService() *Service {
	return &Service{subs: make(map[int]*subscription), wake: make(chan struct{}, 1)}
}

// Now returns the current time.
func (s *Service) Now() time.Time { return time.Now() }

// Subscribe returns a channel on which the current time is sent about every
// period, and a function that ends the subscription. A period below Resolution
// is raised to it.
func (s *Service) Subscribe(period time.Duration) (<-chan time.Time, func()) {
	period = max(period, Resolution)
	sub := &subscription{period: period, due: time.Now().Add(period), ticks: make(chan time.Time, 1)}
	s.mu.Lock()
	id := s.next
	s.next++
	s.subs[id] = sub
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return sub.ticks, func() { s.unsubscribe(id) }
}

// Run sends ticks until the context ends and returns the context's error.
func (s *Service) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		case <-timer.C:
		}
		timer.Reset(s.deliver(time.Now()))
	}
}

// deliver sends the ticks that are due and returns the time until the next one.
func (s *Service) deliver(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := time.Hour
	for _, sub := range s.subs {
		if !now.Before(sub.due) {
			sub.tick(now)
		}
		next = min(next, sub.due.Sub(now))
	}
	return next
}

func (s *Service) unsubscribe(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subs, id)
}

// tick sends the time unless the last tick has not been received yet, and
// schedules the next one. Ticks missed during a pause are not sent later.
func (s *subscription) tick(now time.Time) {
	select {
	case s.ticks <- now:
	default:
	}
	s.due = now.Add(s.period)
}
