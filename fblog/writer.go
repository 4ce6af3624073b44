package fblog

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// Limits of a writer.
const (
	// maxQueuedLines is the number of lines that wait for a slow output: a second
	// of the most that a daemon may write.
	maxQueuedLines = 4096
	// maxBatchLines is the number of lines that are written at once.
	maxBatchLines = 256
	// flushTimeout is the time that the lines that wait at the end have.
	flushTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Each Write is a line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewWriter returns a writer to the output. Nothing is written before Run.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues a line, or counts it as lost if the queue is full. It returns no
// error.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were left out for want of room.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then what waits, for a short
// time. An output that fails loses its lines; there is nowhere to tell so.
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

// batch joins a line with those that wait, to write them at once.
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

// flush writes what waits. The output may hang, so a timer bounds it.
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
