package fblog

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// Limits of a writer.
const (
	// queueLength is the number of lines that wait for a slow output: a second
	// of the most that a daemon may write.
	queueLength = 4096
	// gatherLength is the number of lines that are written at once.
	gatherLength = 256
	// flushTimeout is the time that the lines that wait at the end have.
	flushTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Each Write is a line.
type Writer struct {
	out   io.Writer
	lines chan []byte
	lost  atomic.Uint64
}

// NewWriter returns a writer to the output. Nothing is written before Run.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queueLength)}
}

// Write queues a line, or counts it as lost if the queue is full. It returns no
// error.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.lost.Add(1)
	}
	return len(p), nil
}

// Lost returns the number of lines that were left out for want of room.
func (w *Writer) Lost() uint64 { return w.lost.Load() }

// Run writes lines until the context ends, and then what waits, for a short
// time. An output that fails loses its lines; there is nowhere to tell so.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return ctx.Err()
		case line := <-w.lines:
			w.writeOut(w.gather(line))
		}
	}
}

// gather joins a line with those that wait, to write them at once.
func (w *Writer) gather(first []byte) []byte {
	for range gatherLength {
		select {
		case line := <-w.lines:
			first = append(first, line...)
		default:
			return first
		}
	}
	return first
}

func (w *Writer) writeOut(p []byte) {
	if _, err := w.out.Write(p); err != nil {
		w.lost.Add(1)
	}
}

// flush writes what waits. The output may hang, so a timer bounds it.
func (w *Writer) flush() {
	done := make(chan struct{})
	timer := time.AfterFunc(flushTimeout, func() { close(done) })
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case line := <-w.lines:
			w.writeOut(line)
		default:
			return
		}
	}
}
