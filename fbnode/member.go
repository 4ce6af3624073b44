package fbnode

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbfleet"
)

// Limits of the fields of a daemon's row.
const (
	// maxIncarnation is the last Unix millisecond of the year 9999. An incarnation is the time of
	// the daemon's start, and a higher one replaces the daemon.
	maxIncarnation = 253_402_300_799_999
	// maxWeight is that of a daemon with 1024 cores, the most that the settings allow.
	maxWeight = 1_024_000
	// maxText is the length of the longest text that the settings allow.
	maxText = 255
)

// memberRow is the value of a daemon's row in the nodes table.
type memberRow struct {
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"zone"`
	Weight      int    `json:"weight"`
}

func encodeMember(m fbfleet.Member) ([]byte, error) {
	return json.Marshal(memberRow{Incarnation: m.Incarnation(), Address: m.Address(), DataCentre: string(m.DataCentre()), Weight: m.Weight()})
}

// decodeMember returns the daemon that a row describes. It returns an error if a daemon doesn't write
// such rows: a member that doesn't exist counts when the fleet looks for a majority.
func decodeMember(row filbertford.Row) (fbfleet.Member, error) {
	var b memberRow
	if err := json.Unmarshal(row.Value(), &b); err != nil {
		return fbfleet.Member{}, eris.Errorf("decoding a daemon's row: %.200s", err)
	}
	if err := b.validate(); err != nil {
		return fbfleet.Member{}, eris.Wrap(err, "daemon's row")
	}
	return fbfleet.NewMember(filbertford.NodeID(row.Key()), b.Incarnation, b.Address, filbertford.DataCentre(b.DataCentre), b.Weight), nil
}

// validate returns an error that names the first invalid field.
func (b memberRow) validate() error {
	switch {
	case b.Incarnation == 0 || b.Incarnation > maxIncarnation:
		return eris.Errorf("incarnation %d is not from 1 to %d", b.Incarnation, uint64(maxIncarnation))
	case b.Weight < 0 || b.Weight > maxWeight:
		return eris.Errorf("weight %d is not from 0 to %d", b.Weight, maxWeight)
	case len(b.DataCentre) > maxText || !printable(b.DataCentre):
		return eris.Errorf("zone %.40q is too long or can't be printed", b.DataCentre)
	}
	return validatePeerAddress(b.Address)
}

// validatePeerAddress returns an error unless the address has the form that the settings allow.
func validatePeerAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || len(host) > maxText || !printable(host) || strings.ContainsAny(host, " /?#@") {
		return eris.Errorf("address %.40q is not of the form host:port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return eris.Errorf("address %.40q has no port from 1 to 65535", address)
	}
	return nil
}

func printable(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r == utf8.RuneError || unicode.IsControl(r) })
}

// logMalformedMember logs a daemon's row that can't be decoded, once for each version.
func (n *Node) logMalformedMember(row filbertford.Row, err error) {
	if n.malformedMembers[row.Key()] == row.Version() {
		return
	}
	if n.malformedMembers == nil {
		n.malformedMembers = make(map[string]uint64)
	}
	n.malformedMembers[row.Key()] = row.Version()
	fbevent.RecordMalformed.Log(n.deps.Log, "node", row.Key(), "version", row.Version(), "error", err)
}
