package fbcore

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/filbertford/filbertford"
)

// keySize is the length in bytes of the key that authenticates tokens.
const keySize = 16

// Key authenticates the tokens of one incarnation.
type Key [keySize]byte

// NewKey returns a random key.
func NewKey() Key {
	var k Key
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(k[:])
	return k
}

// sign returns the MAC of an incarnation and an epoch.
func (k Key) sign(inc filbertford.Incarnation, e filbertford.Epoch) filbertford.MAC {
	var msg [12]byte
	binary.BigEndian.PutUint64(msg[:], uint64(inc))
	binary.BigEndian.PutUint32(msg[8:], uint32(e))
	h := hmac.New(sha256.New, k[:])
	h.Write(msg[:])
	var m filbertford.MAC
	copy(m[:], h.Sum(nil))
	return m
}

// verify reports whether the token was signed with the key.
func (k Key) verify(t filbertford.Token) bool {
	want := k.sign(t.Incarnation(), t.Epoch())
	got := t.MAC()
	return hmac.Equal(want[:], got[:])
}

// Token returns the token from which IDs may be minted now, the zero Token if the
// daemon is stopping.
func (c *Core) Token(now time.Time) filbertford.Token {
	if c.stopping {
		return filbertford.Token{}
	}
	e := c.epochAt(now)
	if c.token.IsZero() || c.token.Epoch() != e {
		t := filbertford.NewToken(c.cfg.Incarnation, e, c.cfg.DataCentre, c.cfg.Address)
		c.token = t.WithMAC(c.cfg.Key.sign(c.cfg.Incarnation, e))
	}
	return c.token
}

// epochAt returns the token epoch at the given time.
func (c *Core) epochAt(now time.Time) filbertford.Epoch {
	return filbertford.Epoch(max(0, now.Sub(c.cfg.StartedAt)) / c.cfg.EpochLength)
}

// oldestEpoch returns the first epoch within the resubmission horizon.
func (c *Core) oldestEpoch(now time.Time) filbertford.Epoch {
	e := c.epochAt(now)
	return e - min(e, c.cfg.HorizonEpochs)
}
