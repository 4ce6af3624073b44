package fbcrowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// crowd is a number of callers that connect at the same time. Each keeps its connection open
// until the daemon closes it or the test ends.
type crowd struct {
	callers int
	// behave sends the requests of caller i on its connection. It returns an error if the
	// daemon has closed the connection.
	behave func(d *daemon, c net.Conn, i int) error
}

// Sizes in bytes of the bodies of a crowd: the largest that the users' pages allow, and the
// default of limits.max-body of the stand-alone daemon.
const (
	nodeBody  = 262_144
	entryBody = 1 << 20
)

// sendTimeout is the longest time that a test waits until a caller of a crowd has sent its
// requests.
const sendTimeout = 10 * time.Second

// finishes tells whether caller i finishes its request. One in ten does.
func finishes(i int) bool { return i%10 == 9 }

// padded returns a job of the given size in bytes.
func padded(job string, size int) []byte {
	return append(bytes.Repeat([]byte(" "), size-len(job)), job...)
}

// body returns the behaviour of a caller that sends a body with Content-Length, in pieces with
// pauses between them, and most often without its last byte.
func body(size, piece int, pause time.Duration) func(*daemon, net.Conn, int) error {
	return func(d *daemon, c net.Conn, i int) error {
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", d.head(i), size); err != nil {
			return err
		}
		data := padded(d.job, size)
		if !finishes(i) {
			data = data[:size-1]
		}
		for len(data) > 0 {
			n, err := c.Write(data[:min(piece, len(data))])
			if err != nil {
				return err
			}
			data = data[n:]
			time.Sleep(pause)
		}
		return nil
	}
}

// oneChunk returns the behaviour of a caller that sends a body as one chunk, most often without
// its last byte.
func oneChunk(size int) func(*daemon, net.Conn, int) error {
	return func(d *daemon, c net.Conn, i int) error {
		data := padded(d.job, size)
		end := "\r\n0\r\n\r\n"
		if !finishes(i) {
			data, end = data[:size-1], ""
		}
		_, err := fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s%s", d.head(i), size, data, end)
		return err
	}
}

// smallChunks returns the behaviour of a caller that sends a body in chunks of one byte, most
// often without the last one.
func smallChunks(size int) func(*daemon, net.Conn, int) error {
	return func(d *daemon, c net.Conn, i int) error {
		if _, err := fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", d.head(i)); err != nil {
			return err
		}
		blanks := bytes.Repeat([]byte("1\r\n \r\n"), 4096)
		for left := size - len(d.job); left > 0; left -= 4096 {
			if _, err := c.Write(blanks); err != nil {
				return err
			}
		}
		var end bytes.Buffer
		for _, b := range []byte(d.job) {
			fmt.Fprintf(&end, "1\r\n%c\r\n", b)
		}
		if finishes(i) {
			end.WriteString("0\r\n\r\n")
		}
		_, err := c.Write(end.Bytes())
		return err
	}
}

// header sends a header of 15 KB, within the users' limit, byte by byte in the end and without
// its last line.
func header(d *daemon, c net.Conn, i int) error {
	_, err := fmt.Fprintf(c, "%sX-Note: %s", d.head(i), strings.Repeat("x", 15_000))
	for err == nil {
		time.Sleep(200 * time.Millisecond)
		_, err = io.WriteString(c, "x")
	}
	return err
}

// fields sends a header of short fields, within the users' limit, and a body without its end.
func fields(d *daemon, c net.Conn, i int) error {
	var h strings.Builder
	for n := 0; h.Len() < 15_000; n++ {
		fmt.Fprintf(&h, "%x:\r\n", n)
	}
	_, err := fmt.Fprintf(c, "%sContent-Length: 2\r\n%s\r\n{", d.head(i), h.String())
	return err
}

// repeated returns the behaviour of a caller that sends a whole body of the given element,
// repeated up to the size and separated by commas, between the other two texts.
func repeated(size int, before, element, after string) func(*daemon, net.Conn, int) error {
	return func(d *daemon, c net.Conn, i int) error {
		n := (size - len(before) - len(after)) / (len(element) + 1)
		data := before + strings.TrimSuffix(strings.Repeat(element+",", n), ",") + after
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", d.head(i), len(data), data)
		return err
	}
}

// unread sends requests one after the other and never reads an answer.
func unread(d *daemon, c net.Conn, i int) error {
	request := []byte(fmt.Sprintf("%sContent-Length: 2\r\n\r\n{}", d.head(i)))
	requests := bytes.Repeat(request, 1000)
	for range 20 {
		if _, err := c.Write(requests); err != nil {
			return err
		}
	}
	return nil
}

// labelled returns the behaviour of a caller that submits jobs one after the other, whose tasks
// require a label of the given size that no target has.
func labelled(jobs, size int, bestEffort bool) func(*daemon, net.Conn, int) error {
	return func(d *daemon, c net.Conn, i int) error {
		label := strings.Repeat("x", size)
		data := strings.Replace(d.job, `"count":1`, `"count":1,"requiredLabel":"`+label+`"`, 1)
		data = strings.Replace(data, `"bestEffort":true`, fmt.Sprintf(`"bestEffort":%t`, bestEffort), 1)
		answers := bufio.NewReader(c)
		for n := range jobs {
			if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", d.head(i+n<<16), len(data), data); err != nil {
				return err
			}
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
		}
		return nil
	}
}

// leave sends a whole job with large arguments that runs for long, and leaves.
func leave(d *daemon, c net.Conn, i int) error {
	arguments := fmt.Sprintf(`"args":{"pad":"%s","run_ms":4000,"x":`, strings.Repeat("x", entryBody-1000))
	data := strings.Replace(d.job, `"args":{"run_ms":`, arguments, 1)
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", d.head(i), len(data), data); err != nil {
		return err
	}
	return c.Close()
}

// idle sends nothing.
func idle(*daemon, net.Conn, int) error { return nil }

// run runs the crowd beside the daemon. Once each caller has sent what it sends or has lost its
// connection, it checks that an ordinary job is answered while the others stay, and one after
// they have left.
func (cr crowd) run(t *testing.T, d *daemon) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers, measurement errgroup.Group
	var done atomic.Int64
	for i := range cr.callers {
		callers.Go(func() error {
			cr.call(ctx, d, i, &done)
			return nil
		})
	}
	var highest usage
	measured := make(chan struct{})
	measurement.Go(func() error {
		for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			u := d.measure()
			highest.memory, highest.descriptors = max(highest.memory, u.memory), max(highest.descriptors, u.descriptors)
		}
		close(measured)
		return nil
	})
	for deadline := time.Now().Add(answerTimeout); done.Load() < int64(cr.callers) && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
	d.checkServes("beside the crowd", d.job)
	d.checkOtherListeners()
	cancel()
	<-measured
	_, _ = callers.Wait(), measurement.Wait() // they return no errors
	d.checkServes("after the crowd", d.job)
	d.checkLimits(highest)
}

// call runs one caller. A caller that the daemon doesn't read from is done after sendTimeout.
func (cr crowd) call(ctx context.Context, d *daemon, i int, done *atomic.Int64) {
	c, err := net.DialTimeout("tcp", d.callers, answerTimeout)
	if err != nil {
		done.Add(1)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer c.Close()
	sent := make(chan struct{})
	var sender errgroup.Group
	sender.Go(func() error {
		defer close(sent)
		return cr.behave(d, c, i)
	})
	select {
	case <-sent:
	case <-time.After(sendTimeout):
	case <-ctx.Done():
	}
	done.Add(1)
	<-ctx.Done()
	_ = sender.Wait() // the daemon may close the connection
}
