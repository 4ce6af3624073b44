package fblog

import (
	"context"
	"io"
	"sync/atomic"
	"time"
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

// Dropped returns the number of lines dropped because the queue was full, plus
// the number of writes to the output that failed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then the queued lines for up to
// flushTimeout. The lines of a failed write are lost; the error is not returned,
// since there is nowhere to log it.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return ctx.Err()
		case line := <-w.lines:
			w.writeOut(w.batch(line))
		}
	}
}

// batch appends the queued lines to a line, so that one call writes them all.
func (w *Writer) batch(lines []byte) []byte {
	for range maxBatchLines {
		select {
		case line := <-w.lines:
			lines = append(lines, line...)
		default:
			return lines
		}
	}
	return lines
}

func (w *Writer) writeOut(p []byte) {
	if _, err := w.out.Write(p); err != nil {
		w.dropped.Add(1)
	}
}

// flush writes the queued lines. A timer limits it, since the output may hang.
func (w *Writer) flush() {
	expired := make(chan struct{})
	timer := time.AfterFunc(flushTimeout, func() { close(expired) })
	defer timer.Stop()
	for {
		select {
		case <-expired:
			return
		case line := <-w.lines:
			w.writeOut(line)
		default:
			return
		}
	}
}
