package fblog

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
)

// TestWriterDoesNotBlockOnHangingOutput fills the queue of a writer whose output hangs.
func TestWriterDoesNotBlockOnHangingOutput(t *testing.T) {
	r, out := io.Pipe()
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return w.Run(ctx) })
	start := time.Now()
	for range 2*maxQueuedLines + 1 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("writing took %v", elapsed)
	}
	if w.Dropped() == 0 {
		t.Error("no line counts as lost")
	}
	cancel()
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	if err := g.Wait(); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

// TestWriterRunFlushesQueuedLines writes what waits when the context ends.
func TestWriterRunFlushesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := w.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	if diff := cmp.Diff("a\nb\nc\n", out.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}

// TestLimiterBoundsLinesPerEventAndSecond counts what is beyond the bound of an event in a second.
func TestLimiterBoundsLinesPerEventAndSecond(t *testing.T) {
	l := NewLimiter()
	allowed := 0
	for range MaxLinesPerSecond + 7 {
		if l.Allow("FE1", time.Second) {
			allowed++
		}
	}
	if !l.Allow("FE2", time.Second) || !l.Allow("FE1", 2*time.Second) {
		t.Error("another event or another second is not allowed")
	}
	if allowed != MaxLinesPerSecond {
		t.Errorf("%d lines were allowed, want %d", allowed, MaxLinesPerSecond)
	}
	got := l.TakeOmissions()
	if len(got) != 1 || got[0].Event() != "FE1" || got[0].Count() != 7 {
		t.Errorf("omissions are %v", got)
	}
	if again := l.TakeOmissions(); len(again) != 0 {
		t.Errorf("omissions are told twice: %v", again)
	}
}

// BenchmarkLogLine measures a line of a decision.
func BenchmarkLogLine(b *testing.B) {
	l := log.NewWithOptions(io.Discard, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000"})
	l.SetFormatter(log.LogfmtFormatter)
	b.ReportAllocs()
	for b.Loop() {
		l.Info("run is started", "event", "FE7053", "pool", "nordnes", "task", "5128e16b3e823e0b.0.0.0",
			"target", "i-465c5e7fa6", "run", uint64(1785880180720), "age_ms", int64(12))
	}
}
