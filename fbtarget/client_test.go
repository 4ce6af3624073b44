package fbtarget_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbstand"
	"github.com/filbertford/filbertford/fbtarget"
)

const owner = filbertford.Incarnation(7)

func newStart(id filbertford.StartID, args string) filbertford.Start {
	return filbertford.NewStart(id, owner, "ordering", []byte(args), time.Minute)
}

func vmOf(s *httptest.Server) filbertford.VM {
	return filbertford.NewVM("t1", filbertford.RoleTarget, "nordnes", s.Listener.Addr().String())
}

func ExampleClient_Start() {
	target := fbstand.NewTarget("t1", 8, 1)
	server := httptest.NewServer(target.Handler())
	defer server.Close()
	client, err := fbtarget.NewClient(4)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	vm := filbertford.NewVM("t1", filbertford.RoleTarget, "nordnes", server.Listener.Addr().String())
	start := filbertford.NewStart("s1", 7, "ordering", []byte(`{"run_ms": 1, "echo": 17}`), time.Second)
	report := client.Start(context.Background(), vm, start)
	free, _ := report.Free()
	fmt.Println(report.Outcome(), string(report.Output()), free)
	// Output: done {"echo":17,"target":"t1"} 8
}
