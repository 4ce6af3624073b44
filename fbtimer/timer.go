// Package fbtimer provides the timer service that the parts of a process
// subscribe to.
package fbtimer

import (
	"context"
	"sync"
	"time"

	"github.com/filbertford/filbertford"
)

// Resolution is the shortest period that a subscriber can ask for.
const Resolution = time.Millisecond

// Service is a filbertford.Timer on the process's clock. All subscriptions
// share one ticker, which runs inside Run.
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

// NewService returns a timer service. Its subscribers get no ticks before Run.
func NewService() *Service {
	return &Service{subs: make(map[int]*subscription), wake: make(chan struct{}, 1)}
}

// Now returns the present time.
func (s *Service) Now() time.Time { return time.Now() }

// Subscribe returns a channel that receives the time about every period, and a
// function that ends the subscription. Periods below Resolution are raised.
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

// Run delivers ticks until the context ends. It returns the context's error.
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

// deliver sends the ticks that are due and returns the time until the next.
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

// tick sends the time unless the last tick has not been taken yet, and sets
// when the next is due. Ticks missed during a pause are not made up for.
func (s *subscription) tick(now time.Time) {
	select {
	case s.ticks <- now:
	default:
	}
	s.due = now.Add(s.period)
}
