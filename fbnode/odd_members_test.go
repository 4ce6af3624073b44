package fbnode

import (
	"bytes"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbtimer"
)

// memberRowWith returns the value of a daemon's row in which a field has the given value.
func memberRowWith(field, value string) string {
	row := `{"incarnation":1796450000123,"address":"10.0.0.1:7202","zone":"nordnes","weight":400}`
	return strings.Replace(row, `"`+field+`":`, `"`+field+`":`+value+`,"other":`, 1)
}

// oddMemberValues are the values by field that no daemon writes.
func oddMemberValues() map[string][]string {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	long := `"` + strings.Repeat("x", 60_000) + `"`
	return map[string][]string{
		"incarnation": {"0", "null", "-1", "1.5", "1e3", "99999999999999999999", "18446744073709551615", "9223372036854775807", `"5"`, "{}", nested},
		"address": {
			`""`, "null", "5", `"x"`, `":7202"`, `"10.0.0.1"`, `"10.0.0.1:0"`, `"10.0.0.1:-1"`, `"10.0.0.1:70000"`, `"10.0.0.1:99999999999999999999"`, `"[::1"`, `"a b:80"`,
			`"a\u0000:80"`, `"10.0.0.1:80/../?x"`, `"a/b:80"`, long, nested,
		},
		"zone":   {"5", "[]", `"a\nb"`, "\"\xff\"", long, nested},
		"weight": {"-1", "1.5", "9223372036854775807", "99999999999999999999", "2000000", `"5"`, "[]", nested},
	}
}

// TestOddRowsOfDaemonsAddNoMembers guards against daemons that exist only in a row of another writer:
// they count when the fleet looks for a majority, and one with the name of a daemon and a later
// incarnation replaces that daemon.
func TestOddRowsOfDaemonsAddNoMembers(t *testing.T) {
	var output bytes.Buffer
	n := newOwner(t)
	n.deps.Log = log.New(&output)
	changes := []filbertford.Change{filbertford.NewChange(filbertford.NewRow("good", []byte(memberRowWith("", "")), 1))}
	for _, value := range []string{"", "null", "{}", "[]", "\x00\xff", strings.Repeat(`{"a":`, 20_000)} {
		changes = append(changes, filbertford.NewChange(filbertford.NewRow("odd-"+value[:min(len(value), 8)], []byte(value), 2)))
	}
	for field, values := range oddMemberValues() {
		for _, value := range values {
			key := "odd-" + field + "-" + value[:min(len(value), 40)]
			changes = append(changes, filbertford.NewChange(filbertford.NewRow(key, []byte(memberRowWith(field, value)), 2)))
		}
	}
	for range 3 { // the table is read again whenever the history was compacted
		n.nodesChanged(fbtimer.SinceBoot(), true, filbertford.NewSnapshot(2, 0, changes...))
	}
	for _, m := range n.fleet.Members() {
		if m.Node() != "good" {
			t.Errorf("%.60q is a member", m.Node())
		}
	}
	if !n.fleet.HasMember("good") {
		t.Error("the daemon with a good row is no member")
	}
	if lines := malformedLines(&output); lines != len(changes)-1 {
		t.Errorf("%d lines about %d odd rows", lines, len(changes)-1)
	}
	for line := range strings.Lines(output.String()) {
		if len(line) > 600 {
			t.Errorf("a line has %d bytes: %.300s", len(line), line)
		}
	}
}

// TestRowsOfDaemonsAreAccepted checks the rows that daemons write with the settings that they allow.
func TestRowsOfDaemonsAreAccepted(t *testing.T) {
	for name, m := range map[string]fbfleet.Member{
		"IP address": fbfleet.NewMember("front-1", 1796450000123, "10.0.0.1:7202", "nordnes", 400), "IPv6": fbfleet.NewMember("b", 1, "[fd00::1]:1", "x y", 1),
		"host name": fbfleet.NewMember("c", 2, "daemon_1.example:65535", "casa", 1_024_000), "any address": fbfleet.NewMember("d", 3, "0.0.0.0:7202", "z", 0),
	} {
		value, err := encodeMember(m)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := decodeMember(filbertford.NewRow(string(m.Node()), value, 1)); err != nil || got != m {
			t.Errorf("%s: got %+v, error %v, want %+v", name, got, err, m)
		}
	}
}
