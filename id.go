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
	// MaxSubmissionID is the length of the longest submission ID.
	MaxSubmissionID = 256
	// MaxUnique is the length of the longest caller's part of a pinned ID.
	MaxUnique = 64
)

// ErrBadID is returned for a submission ID that is not well formed.
var ErrBadID = errors.New("malformed submission ID")

// tokenPrefix marks an owner token and with it a pinned submission ID.
const tokenPrefix = "fb1."

// macSize is the length of a token's authentication code in bytes.
const macSize = 8

// Incarnation names one run of a daemon. It is drawn at random at each start
// and never used again.
type Incarnation uint64

// NewIncarnation draws a random incarnation.
func NewIncarnation() Incarnation {
	var b [8]byte
	// rand.Read of crypto/rand never fails; it ends the program instead.
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

// Token names the owner of the submissions whose IDs are minted from it.
// Callers treat its text as opaque.
type Token struct {
	incarnation Incarnation
	epoch       Epoch
	mac         MAC
	dataCentre  DataCentre
	address     string
}

// NewToken returns the token of an incarnation's epoch. The address is that of
// the owner's peer listener, host:port.
func NewToken(incarnation Incarnation, epoch Epoch, dc DataCentre, address string) Token {
	return Token{incarnation: incarnation, epoch: epoch, dataCentre: dc, address: address}
}

// WithMAC returns a copy of t that carries the authentication code.
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

// IsZero reports whether t is the zero Token, which names no owner.
func (t Token) IsZero() bool { return t.incarnation == 0 }

// String returns the token's text, which ParseToken reads.
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

// ParseToken reads a token's text. It returns ErrBadID if the text is not one.
// A token that parses may still be forged; only its owner can tell.
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

// SubmissionID identifies a submission in all its deliveries. A pinned ID is
// an owner token, a dot and the caller's own unique part; any other text is an
// opaque key.
type SubmissionID struct {
	text  string
	token Token
}

// MintID returns the pinned ID of a token and a caller's unique part, 1 to
// MaxUnique letters, digits, '-' and '_'.
func MintID(t Token, unique string) (SubmissionID, error) {
	return ParseID(t.String() + "." + unique)
}

// ParseID reads a submission ID. Text that begins like a token but is not one
// is refused with ErrBadID, as are empty, overlong and unprintable texts.
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

// Pinned reports whether the ID names its owner.
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
