package filbertford_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
)

func ExampleMintID() {
	token := filbertford.NewToken(7, 0, "nordnes", "127.0.0.1:7101")
	id, err := filbertford.MintID(token, "order-1")
	fmt.Println(id.Pinned(), id.Token().DataCentre(), err)
	// Output: true nordnes <nil>
}

func TestParseID(t *testing.T) {
	token := filbertford.NewToken(7, 3, "nordnes", "127.0.0.1:7101").WithMAC(filbertford.MAC{1, 2})
	tests := map[string]struct {
		text   string
		ok     bool
		pinned bool
	}{
		"pinned":                    {text: token.String() + ".a-1", ok: true, pinned: true},
		"opaque":                    {text: "order 17"[:5], ok: true},
		"empty":                     {text: ""},
		"space":                     {text: "order 17"},
		"token without unique part": {text: token.String()},
		"empty unique part":         {text: token.String() + "."},
		"slash in unique part":      {text: token.String() + ".a/b"},
		"token too short":           {text: "fb1.AAAA.a"},
		"overlong":                  {text: string(make([]byte, filbertford.MaxSubmissionID+1))},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			id, err := filbertford.ParseID(tt.text)
			if (err == nil) != tt.ok || id.Pinned() != tt.pinned {
				t.Errorf("ParseID(%q) returned pinned %v, error %v", tt.text, id.Pinned(), err)
			}
			if tt.pinned {
				if diff := cmp.Diff(token.String(), id.Token().String()); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

func FuzzParseID(f *testing.F) {
	token := filbertford.NewToken(7, 3, "nordnes", "127.0.0.1:7101")
	f.Add(token.String() + ".a")
	f.Add("fb1.AAAAAAAAAAEAAAAAAAAAAAAAAAD_.x")
	f.Add("plain-key")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := filbertford.ParseID(s)
		if err != nil {
			return
		}
		if id.String() != s {
			t.Errorf("ID of %q has text %q", s, id.String())
		}
		if id.Pinned() && id.Token().String()+s[len(id.Token().String()):] != s {
			t.Errorf("ID %q has token %q", s, id.Token())
		}
	})
}

func TestEveryCodeHasClassAndText(t *testing.T) {
	for code, text := range filbertford.Codes() {
		if text == "" {
			t.Errorf("%s has no text", code)
		}
		if code != filbertford.CodeComplete && code.Class() == filbertford.ClassComplete {
			t.Errorf("%s is of class complete", code)
		}
	}
}
