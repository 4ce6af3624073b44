package fbview

import (
	"time"

	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"
)

// uuidLength is the length of a UUID's canonical text, the only form accepted.
const uuidLength = 36

// uuidVersion7 is the version of UUIDs that begin with their creation time.
const uuidVersion7 = 7

// MintTime returns the time at which a key was minted, to the millisecond, and
// true if the key is a UUIDv7 (RFC 9562) or a ULID. It returns false for any
// other key.
func MintTime(key string) (time.Time, bool) {
	switch len(key) {
	case uuidLength:
		return uuidTime(key)
	case ulid.EncodedSize:
		return ulidTime(key)
	default:
		return time.Time{}, false
	}
}

func uuidTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

func ulidTime(key string) (time.Time, bool) {
	id, err := ulid.ParseStrict(key)
	if err != nil {
		return time.Time{}, false
	}
	return ulid.Time(id.Time()), true
}
