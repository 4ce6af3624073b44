package fbpeer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbmember"
	"github.com/filbertford/filbertford/fbpeer"
)

// countingConn counts the bytes that the server reads and writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

// fixedStateMember is a member that replies to heartbeats with a fixed state.
type fixedStateMember struct {
	fbpeer.Member
	state fbmember.State
}

func (s fixedStateMember) Heartbeat(context.Context, fbmember.State) (fbmember.State, error) {
	return s.state, nil
}

// BenchmarkHeartbeat measures an exchange of heartbeats, the time on both sides and
// the bytes above TCP in both directions, by the number of teams with tasks at each
// daemon.
func BenchmarkHeartbeat(b *testing.B) {
	for _, teams := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) { benchHeartbeat(b, benchState(teams)) })
	}
}

func benchHeartbeat(b *testing.B, s fbmember.State) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var bytes atomic.Int64
	ctx, cancel := context.WithCancel(b.Context())
	var g errgroup.Group
	server := fbpeer.NewServer(nil, fixedStateMember{state: s}, nil)
	g.Go(func() error { return server.Serve(ctx, countingListener{l, &bytes}) })
	client := fbpeer.NewClient()
	for b.Loop() {
		if _, err := client.Heartbeat(ctx, l.Addr().String(), s); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
	if err := client.Close(); err != nil {
		b.Error(err)
	}
	cancel()
	_ = g.Wait()
}

// benchState returns the state of a busy daemon.
func benchState(teams int) fbmember.State {
	const inc = filbertford.Incarnation(0xfeedfacecafebeef)
	teamTasks := make(map[string]int, teams)
	for i := range teams {
		teamTasks[fmt.Sprintf("team-%d", i)] = 10 + i
	}
	token := filbertford.NewToken(inc, 29_000_000, "nordnes", "10.20.30.40:7101")
	return fbmember.NewState("nordnes-entry-7", inc, "nordnes", "10.20.30.40:7101").
		WithSettingsVersion(21_000).
		WithLoad(filbertford.NewLoad(1000, 3000, 3520, 0), token.String()).
		WithInherited([]filbertford.Incarnation{inc - 1}).
		WithTeamTasks(teamTasks)
}
