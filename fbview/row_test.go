package fbview_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbview"
)

func ExampleRow_Owner() {
	row := fbview.NewRow(1, fbview.NewMember(7, "127.0.0.1:7101"), fbview.NewMember(8, "127.0.0.1:7102"))
	owner, ok := row.Owner("order-17")
	fmt.Println(owner.Address(), ok)
	// Output: 127.0.0.1:7102 true
}

func TestParseRow(t *testing.T) {
	const members = `"members":[{"incarnation":"07","address":"a:1"}]`
	tests := map[string]struct {
		text string
		want string // part of the error, empty for none
	}{
		"good":           {text: `{"epoch":3,"period_ms":1000,"wait_ms":2000,` + members + `}`},
		"no members":     {text: `{"epoch":3,"period_ms":1000,"wait_ms":2000,"members":[]}`},
		"no epoch":       {text: `{"period_ms":1000,"wait_ms":2000,` + members + `}`, want: "epoch 0"},
		"short period":   {text: `{"epoch":3,"period_ms":9,"wait_ms":2000,` + members + `}`, want: "period_ms 9"},
		"too long wait":  {text: `{"epoch":3,"period_ms":1000,"wait_ms":9223372036854775807,` + members + `}`, want: "wait_ms"},
		"unknown field":  {text: `{"epoch":3,"x":1}`, want: "unknown field"},
		"not an object":  {text: `[]`, want: "malformed"},
		"data after end": {text: `{"epoch":3,"period_ms":1000,"wait_ms":2000,"members":[]}{}`, want: "after the end"},
		"too long":       {text: strings.Repeat(" ", fbview.MaxRowLen+1), want: "bytes"},
		"incarnation 0":  {text: `{"epoch":3,"period_ms":1000,"wait_ms":2000,"members":[{"incarnation":"0","address":"a:1"}]}`, want: "incarnation"},
		"no address":     {text: `{"epoch":3,"period_ms":1000,"wait_ms":2000,"members":[{"incarnation":"7","address":""}]}`, want: "address"},
		"one address twice": {
			text: `{"epoch":3,"period_ms":1000,"wait_ms":2000,"members":[{"incarnation":"7","address":"a:1"},{"incarnation":"8","address":"a:1"}]}`,
			want: "twice",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			row, err := fbview.ParseRow([]byte(tt.text))
			if tt.want == "" {
				if err != nil || row.Epoch() != 3 || row.Period() != time.Second {
					t.Fatalf("ParseRow = %v, %v, want epoch 3 with a period of 1s", row, err)
				}
				return
			}
			if !errors.Is(err, fbview.ErrMalformedRow) || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

func FuzzParseRow(f *testing.F) {
	f.Add([]byte(`{"epoch":3,"period_ms":1000,"wait_ms":2000,"members":[{"incarnation":"07","address":"a:1"}]}`))
	f.Add([]byte(`{"epoch":1,"period_ms":1000,"wait_ms":2000,"members":null}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		row, err := fbview.ParseRow(b)
		if err != nil {
			return
		}
		again, err := fbview.ParseRow(row.Bytes())
		if err != nil {
			t.Fatalf("row parsed from %q can't be parsed again: %v", b, err)
		}
		if diff := cmp.Diff(string(row.Bytes()), string(again.Bytes())); diff != "" {
			t.Error(diff)
		}
	})
}

// TestHome checks that the order of the data centres does not matter, that adding
// one moves keys to it only, and that the keys are spread evenly.
func TestHome(t *testing.T) {
	dcs := []filbertford.DataCentre{"nordnes", "sandviken", "minde"}
	counts := map[filbertford.DataCentre]int{}
	for i := range 3000 {
		key := fmt.Sprintf("order-%d", i)
		home := fbview.Home(key, dcs)
		counts[home]++
		if reordered := fbview.Home(key, []filbertford.DataCentre{"minde", "nordnes", "sandviken"}); reordered != home {
			t.Fatalf("home of %s is %s, and %s in another order of data centres", key, home, reordered)
		}
		if moved := fbview.Home(key, append(dcs[:3:3], "loddefjord")); moved != home && moved != "loddefjord" {
			t.Fatalf("home of %s moved from %s to %s", key, home, moved)
		}
	}
	for _, dc := range dcs {
		if counts[dc] < 900 || counts[dc] > 1100 {
			t.Errorf("%s is the home of %d of 3000 keys, want 900 to 1100", dc, counts[dc])
		}
	}
	if home := fbview.Home("order-1", nil); home != "" {
		t.Errorf("got home %q without data centres, want none", home)
	}
}
