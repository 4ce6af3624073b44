package fbplatform_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbplatform"
	"github.com/filbertford/filbertford/fbstand"
)

func ExampleClient_Commit() {
	server := httptest.NewServer(fbstand.NewPlatform(0).Handler())
	defer server.Close()
	client := fbplatform.NewClient(server.Listener.Addr().String(), time.Second)
	defer client.Close()
	ctx := context.Background()
	write := filbertford.NewWrite("settings", []byte("first"), 0)
	fmt.Println(client.Commit(ctx, write))
	fmt.Println(errors.Is(client.Commit(ctx, write), filbertford.ErrConflict))
	rows, err := client.Read(ctx, "settings", "other")
	fmt.Println(string(rows[0].Value()), rows[0].Version(), rows[1].Version(), err)
	// Output:
	// <nil>
	// true
	// first 1 0 <nil>
}
