package fbplatform_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbplatform"
	"github.com/filbertford/filbertford/fbstandin"
)

// countingConn counts the bytes that are read from and written to a connection.
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

// BenchmarkVMs measures a read of the VM list and the bytes of its request and
// reply in the TCP stream: of the whole list, of a data centre's list that has
// changed, and of one that has not. The time includes that of the stand-in.
func BenchmarkVMs(b *testing.B) {
	filter := filbertford.VMFilter{}.WithRole(filbertford.RoleTarget).WithDataCentre("dc0")
	for _, targets := range []int{50, 880, 8800} {
		b.Run(fmt.Sprintf("whole/targets=%d", targets), func(b *testing.B) {
			benchVMs(b, targets, filbertford.VMFilter{}, true)
		})
		b.Run(fmt.Sprintf("changed/targets=%d", targets), func(b *testing.B) { benchVMs(b, targets, filter, true) })
		b.Run(fmt.Sprintf("unchanged/targets=%d", targets), func(b *testing.B) { benchVMs(b, targets, filter, false) })
	}
}

// benchVMs reads VMs of the filter from a list of ten data centres. If changing is
// set, one VM changes before each read.
func benchVMs(b *testing.B, targets int, f filbertford.VMFilter, changing bool) {
	platform := fbstandin.NewPlatform(0)
	for i := range targets {
		dc := filbertford.DataCentre(fmt.Sprintf("dc%d", i%10))
		platform.Seed(filbertford.NewVM(filbertford.VMID(fmt.Sprintf("target-%d", i)), filbertford.RoleTarget, dc,
			fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250)).WithRack("rack-1").WithCapacity(2, 64))
	}
	var bytes atomic.Int64
	server := &httptest.Server{Config: &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: time.Minute}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server.Listener = countingListener{l, &bytes}
	server.Start()
	defer server.Close()
	client := fbplatform.NewClient(l.Addr().String(), time.Minute)
	defer client.Close()
	if _, err := client.VMs(b.Context(), f); err != nil {
		b.Fatal(err)
	}
	bytes.Store(0)
	for i := 0; b.Loop(); i++ {
		if changing {
			platform.Seed(filbertford.NewVM("target-0", filbertford.RoleTarget, "dc0", "10.0.0.0:7200").
				WithRack("rack-1").WithCapacity(2+i%2, 64))
		}
		if _, err := client.VMs(b.Context(), f); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}
