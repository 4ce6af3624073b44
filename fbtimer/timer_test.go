package fbtimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbtimer"
)

func TestServiceTicksEachSubscriberByItsPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var g errgroup.Group
		s := fbtimer.NewService()
		g.Go(func() error { return s.Run(ctx) })
		fast, stopFast := s.Subscribe(10 * time.Millisecond)
		slow, stopSlow := s.Subscribe(30 * time.Millisecond)
		start := time.Now()
		for range 3 {
			<-fast
		}
		<-slow
		if got := time.Since(start); got != 30*time.Millisecond {
			t.Errorf("three ticks of 10ms and one of 30ms took %v, want 30ms", got)
		}
		stopFast()
		time.Sleep(100 * time.Millisecond)
		select {
		case <-fast:
			t.Error("received a tick after the subscription ended")
		default:
		}
		stopSlow()
		cancel()
		_ = g.Wait()
	})
}
