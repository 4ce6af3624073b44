package fblog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Limits of a writer.
const (
	// maxQueuedLines is the number of lines that may wait for a slow output. It
	// is enough for a second at the highest rate that a daemon may log.
	maxQueuedLines = 4096
	// maxBatchLines is the maximum number of queued lines that one write appends
	// to a line.
	maxBatchLines = 256
	// flushTimeout is the time limit for writing the queued lines at the end of
	// Run.
	flushTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Each call of Write is a line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewWriter returns a writer to out. Nothing is written before Run is called.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues a line, or drops and counts it if the queue is full. It always
// returns a nil error.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped because the queue was full or because
// the write to the output failed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then the queued lines for up to
// flushTimeout. It returns after that even if the output hangs. The lines of a failed
// write are lost; the error is not returned, since there is nowhere to log it.
func (w *Writer) Run(ctx context.Context) error {
	flushed := make(chan struct{})
	var g errgroup.Group // not waited for: a write to an output that hangs doesn't end
	g.Go(func() error {
		defer close(flushed)
		w.writeLines(ctx)
		return nil
	})
	<-ctx.Done()
	select {
	case <-flushed:
	case <-time.After(flushTimeout):
	}
	return ctx.Err()
}

// writeLines writes lines until the context has ended and the queue is empty.
func (w *Writer) writeLines(ctx context.Context) {
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case line := <-w.lines:
			w.writeBatch(line)
		}
	}
}

// writeBatch writes a line and the queued ones after it in one call.
func (w *Writer) writeBatch(lines []byte) {
	count := uint64(1)
	for range maxBatchLines {
		select {
		case line := <-w.lines:
			lines = append(lines, line...)
			count++
			continue
		default:
		}
		break
	}
	if _, err := w.out.Write(lines); err != nil {
		w.dropped.Add(count)
	}
}
