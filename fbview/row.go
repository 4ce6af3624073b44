package fbview

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/filbertford/filbertford"
)

// Limits of a view's row.
const (
	// MaxMembers is the maximum number of members of a view.
	MaxMembers = 256
	// MaxAddressLen is the maximum length of a member's address, in bytes.
	MaxAddressLen = 255
	// MaxRowLen is the maximum length of a row's value, in bytes.
	MaxRowLen = MaxMembers * (MaxAddressLen + 64)
)

// ErrMalformedRow is wrapped by the errors of ParseRow.
var ErrMalformedRow = errors.New("malformed view row")

// Member is a daemon that a view lists: one incarnation at one address.
type Member struct {
	incarnation filbertford.Incarnation
	address     string
}

// NewMember returns a member with the address of its peer listener, host:port.
func NewMember(inc filbertford.Incarnation, address string) Member {
	return Member{incarnation: inc, address: address}
}

// Incarnation returns the member's incarnation.
func (m Member) Incarnation() filbertford.Incarnation { return m.incarnation }

// Address returns the address of the member's peer listener.
func (m Member) Address() string { return m.address }

// Row is the value of a view's row. The zero Row, of epoch 0, represents the
// state before the first view; it has no members.
type Row struct {
	epoch   uint64
	period  time.Duration
	wait    time.Duration
	members []Member
}

// NewRow returns the row of an epoch with the members sorted by incarnation. Of
// members that share an incarnation or an address only the first is kept.
func NewRow(epoch uint64, members ...Member) Row {
	return Row{epoch: epoch, members: sortedUnique(members)}
}

// WithPeriod returns a copy of r with the lease period of its members and, as
// wait, the longest lease period of any earlier view that may still be in use.
// Both are whole milliseconds.
func (r Row) WithPeriod(period, wait time.Duration) Row {
	r.period, r.wait = period, wait
	return r
}

// Epoch returns the number of the view, starting from 1.
func (r Row) Epoch() uint64 { return r.epoch }

// Period returns the lease period: how long a confirmation of the view is valid.
func (r Row) Period() time.Duration { return r.period }

// Wait returns how long after the view's commit a member of an earlier view may
// still hold a lease, by that member's clock.
func (r Row) Wait() time.Duration { return r.wait }

// Members returns the members sorted by incarnation. The caller must not modify
// the slice.
func (r Row) Members() []Member { return r.members }

// Member returns the member with the incarnation, or false if there is none.
func (r Row) Member(inc filbertford.Incarnation) (Member, bool) {
	i, ok := slices.BinarySearchFunc(r.members, inc, func(m Member, inc filbertford.Incarnation) int {
		return cmp.Compare(m.incarnation, inc)
	})
	if !ok {
		return Member{}, false
	}
	return r.members[i], true
}

// NextWithoutMembers returns the row that follows r and has no members, so that
// any daemon may commit the next one. An operator may write it, by
// compare-and-set, once no member of r runs any more and none can come back. The
// row must never be deleted instead, since the next view would then count as the
// first and its keys as never started.
func (r Row) NextWithoutMembers() Row {
	return NewRow(r.epoch+1).WithPeriod(r.period, max(r.period, r.wait))
}

// has reports whether the incarnation is a member.
func (r Row) has(inc filbertford.Incarnation) bool {
	_, ok := r.Member(inc)
	return ok
}

// Key returns the key of the row that holds the view of a data centre.
func Key(dc filbertford.DataCentre) string { return "view/" + string(dc) }

type rowJSON struct {
	Epoch    uint64       `json:"epoch"`
	PeriodMS int64        `json:"period_ms"`
	WaitMS   int64        `json:"wait_ms"`
	Members  []memberJSON `json:"members"`
}

type memberJSON struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
}

// Bytes returns the row's value as it is stored in the table service.
func (r Row) Bytes() []byte {
	out := rowJSON{
		Epoch:    r.epoch,
		PeriodMS: r.period.Milliseconds(),
		WaitMS:   r.wait.Milliseconds(),
		Members:  make([]memberJSON, len(r.members)),
	}
	for i, m := range r.members {
		out.Members[i] = memberJSON{Incarnation: m.incarnation.String(), Address: m.address}
	}
	// Marshal can't fail for numbers and strings.
	b, _ := json.Marshal(out)
	return b
}

// ParseRow parses a row's value. Its errors wrap ErrMalformedRow and name the
// field that was rejected and its allowed range.
func ParseRow(b []byte) (Row, error) {
	if len(b) > MaxRowLen {
		return Row{}, fmt.Errorf("%w: %d bytes, want at most %d", ErrMalformedRow, len(b), MaxRowLen)
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	var in rowJSON
	if err := dec.Decode(&in); err != nil {
		return Row{}, fmt.Errorf("%w: %w", ErrMalformedRow, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Row{}, fmt.Errorf("%w: data after the end of the object", ErrMalformedRow)
	}
	return in.row()
}

func (in rowJSON) row() (Row, error) {
	if in.Epoch == 0 {
		return Row{}, fmt.Errorf("%w: epoch 0, want at least 1", ErrMalformedRow)
	}
	for name, ms := range map[string]int64{"period_ms": in.PeriodMS, "wait_ms": in.WaitMS} {
		if ms < MinPeriod.Milliseconds() || ms > MaxPeriod.Milliseconds() {
			return Row{}, fmt.Errorf("%w: %s %d, want %d to %d", ErrMalformedRow, name, ms, MinPeriod.Milliseconds(), MaxPeriod.Milliseconds())
		}
	}
	if len(in.Members) > MaxMembers {
		return Row{}, fmt.Errorf("%w: %d members, want at most %d", ErrMalformedRow, len(in.Members), MaxMembers)
	}
	members := make([]Member, len(in.Members))
	for i, m := range in.Members {
		member, err := m.member()
		if err != nil {
			return Row{}, fmt.Errorf("%w: member %d: %w", ErrMalformedRow, i, err)
		}
		members[i] = member
	}
	row := NewRow(in.Epoch, members...).WithPeriod(millis(in.PeriodMS), millis(in.WaitMS))
	if len(row.members) != len(members) {
		return Row{}, fmt.Errorf("%w: an incarnation or address occurs twice, want each once", ErrMalformedRow)
	}
	return row, nil
}

func (m memberJSON) member() (Member, error) {
	inc, err := strconv.ParseUint(m.Incarnation, 16, 64)
	if err != nil || inc == 0 {
		return Member{}, fmt.Errorf("incarnation %q, want 1 to 16 hexadecimal digits, not 0", m.Incarnation)
	}
	if m.Address == "" || len(m.Address) > MaxAddressLen {
		return Member{}, fmt.Errorf("address of %d bytes, want 1 to %d", len(m.Address), MaxAddressLen)
	}
	return NewMember(filbertford.Incarnation(inc), m.Address), nil
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// sortedUnique returns the members sorted by incarnation. Of those that share an
// incarnation or an address only the first in that order is kept.
func sortedUnique(members []Member) []Member {
	members = slices.Clone(members)
	slices.SortStableFunc(members, func(a, b Member) int { return cmp.Compare(a.incarnation, b.incarnation) })
	addresses := make(map[string]bool, len(members))
	incarnations := make(map[filbertford.Incarnation]bool, len(members))
	return slices.DeleteFunc(members, func(m Member) bool {
		if addresses[m.address] || incarnations[m.incarnation] {
			return true
		}
		addresses[m.address], incarnations[m.incarnation] = true, true
		return false
	})
}
