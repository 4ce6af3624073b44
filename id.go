package filbertford

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strings"
)

// Limits of submission IDs, in bytes.
const (
	// MaxSubmissionID is the maximum length of a submission ID.
	MaxSubmissionID = 256
	// MaxUnique is the maximum length of the caller's part of a pinned ID.
	MaxUnique = 64
)

// ErrBadID is returned for a malformed submission ID.
var ErrBadID = errors.New("malformed submission ID")

// tokenPrefix marks an owner token and with it a pinned submission ID.
const tokenPrefix = "fb1."

// macSize is the length of a token's authentication code in bytes.
const macSize = 8

// Incarnation identifies one run of a daemon. It is chosen at random at each
// start and never reused.
type Incarnation uint64

// NewIncarnation returns a random incarnation, which is never zero.
func NewIncarnation() Incarnation {
	var b [8]byte
	// Read of crypto/rand never returns an error; it crashes the program instead.
	_, _ = rand.Read(b[:])
	return Incarnation(binary.BigEndian.Uint64(b[:]) | 1)
}

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(i))
	return hex.EncodeToString(b[:])
}

// Epoch counts the token epochs of one incarnation, from 0 at its start.
type Epoch uint32

// MAC authenticates a token to the incarnation that issued it.
type MAC [macSize]byte

// Token identifies the owner of the submissions whose IDs are minted from it.
// Callers treat its text as opaque.
type Token struct {
	incarnation Incarnation
	epoch       Epoch
	mac         MAC
	dataCentre  DataCentre
	address     string
}

// NewToken returns the token of an incarnation for an epoch. The address is that
// of the owner's peer listener, host:port.
func NewToken(incarnation Incarnation, epoch Epoch, dc DataCentre, address string) Token {
	return Token{incarnation: incarnation, epoch: epoch, dataCentre: dc, address: address}
}

// WithMAC returns a copy of t with the authentication code.
func (t Token) WithMAC(m MAC) Token {
	t.mac = m
	return t
}

// Incarnation returns the owner's incarnation.
func (t Token) Incarnation() Incarnation { return t.incarnation }

// Epoch returns the epoch in which the token was issued.
func (t Token) Epoch() Epoch { return t.epoch }

// MAC returns the token's authentication code.
func (t Token) MAC() MAC { return t.mac }

// DataCentre returns the owner's data centre.
func (t Token) DataCentre() DataCentre { return t.dataCentre }

// Address returns the address of the owner's peer listener.
func (t Token) Address() string { return t.address }

// IsZero reports whether t is the zero Token, which has no owner.
func (t Token) IsZero() bool { return t.incarnation == 0 }

// String returns the token in the form that ParseToken parses.
func (t Token) String() string {
	b := make([]byte, 0, 8+4+macSize+1+len(t.dataCentre)+len(t.address))
	b = binary.BigEndian.AppendUint64(b, uint64(t.incarnation))
	b = binary.BigEndian.AppendUint32(b, uint32(t.epoch))
	b = append(b, t.mac[:]...)
	b = append(b, byte(len(t.dataCentre)))
	b = append(b, t.dataCentre...)
	b = append(b, t.address...)
	return tokenPrefix + base64.RawURLEncoding.EncodeToString(b)
}

// ParseToken parses the form that Token.String returns. It returns ErrBadID if s
// is not a token. It does not check the authentication code, which only the
// token's owner can do.
func ParseToken(s string) (Token, error) {
	rest, ok := strings.CutPrefix(s, tokenPrefix)
	if !ok || len(s) > MaxSubmissionID {
		return Token{}, ErrBadID
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(rest)
	if err != nil || len(b) < 8+4+macSize+1 {
		return Token{}, ErrBadID
	}
	t := Token{
		incarnation: Incarnation(binary.BigEndian.Uint64(b)),
		epoch:       Epoch(binary.BigEndian.Uint32(b[8:])),
	}
	b = b[12:]
	copy(t.mac[:], b)
	b = b[macSize:]
	n := int(b[0])
	b = b[1:]
	if n > len(b) || t.incarnation == 0 {
		return Token{}, ErrBadID
	}
	t.dataCentre = DataCentre(b[:n])
	t.address = string(b[n:])
	return t, nil
}

// SubmissionID identifies a submission in all its deliveries. A pinned ID is an
// owner token, a dot and a part chosen by the caller, unique to the submission;
// any other text is an opaque key.
type SubmissionID struct {
	text  string
	token Token
}

// MintID returns the pinned ID of a token and a caller's unique part, 1 to
// MaxUnique letters, digits, '-' and '_'.
func MintID(t Token, unique string) (SubmissionID, error) {
	return ParseID(t.String() + "." + unique)
}

// ParseID parses a submission ID. It returns ErrBadID if s has the prefix of a
// token but is not a pinned ID, and if s is empty, longer than MaxSubmissionID or
// holds a character that is a space or not printable ASCII.
func ParseID(s string) (SubmissionID, error) {
	if s == "" || len(s) > MaxSubmissionID || !printable(s) {
		return SubmissionID{}, ErrBadID
	}
	if !strings.HasPrefix(s, tokenPrefix) {
		return SubmissionID{text: s}, nil
	}
	dot := strings.LastIndexByte(s, '.')
	unique := s[dot+1:]
	if dot < len(tokenPrefix) || !validUnique(unique) {
		return SubmissionID{}, ErrBadID
	}
	t, err := ParseToken(s[:dot])
	if err != nil {
		return SubmissionID{}, err
	}
	return SubmissionID{text: s, token: t}, nil
}

// String returns the ID's text.
func (id SubmissionID) String() string { return id.text }

// Pinned reports whether the ID contains its owner's token.
func (id SubmissionID) Pinned() bool { return !id.token.IsZero() }

// Token returns the token of a pinned ID, or the zero Token.
func (id SubmissionID) Token() Token { return id.token }

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func validUnique(s string) bool {
	if s == "" || len(s) > MaxUnique {
		return false
	}
	for _, r := range s {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_'
		if !ok {
			return false
		}
	}
	return true
}
