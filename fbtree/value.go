package fbtree

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// mask replaces a secret value in messages.
const mask = "(hidden)"

// value is a valid value of a key. The text is its canonical form. The number is
// that of an int or float, or the nanoseconds of a duration.
type value struct {
	text   string
	number float64
	hashes []namedHash
}

// namedHash is the hash of a caller's or operator's key. An operator's hash has
// the operator's name, a caller's has none.
type namedHash struct {
	name string
	sum  [sha256.Size]byte
}

func (v value) duration() time.Duration { return time.Duration(v.number) }

// limits are the allowed values of a key: a range of numbers or a list of words.
type limits struct {
	low, high float64
	words     []string
}

func numberRange(low, high float64) limits { return limits{low: low, high: high} }

func durationRange(low, high time.Duration) limits {
	return limits{low: float64(low), high: float64(high)}
}

func oneOf(words ...string) limits { return limits{words: words} }

func (l limits) contains(n float64) bool { return n >= l.low && n <= l.high }

func (l limits) describe(k Key) string {
	switch k.typ {
	case TypeDuration:
		return fmt.Sprintf("%v to %v", time.Duration(l.low), time.Duration(l.high))
	case TypeWord:
		return strings.Join(l.words, " or ")
	case TypeHashes:
		if k.namedHashes {
			return fmt.Sprintf("up to %d entries NAME:HASH, with hashes of 64 hexadecimal digits", MaxHashes)
		}
		return fmt.Sprintf("up to %d hashes of 64 hexadecimal digits", MaxHashes)
	default:
		return formatNumber(l.low) + " to " + formatNumber(l.high)
	}
}

// formatNumber formats a number without an exponent.
func formatNumber(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

// parse parses a value of the key. Its error names the allowed values.
func (k Key) parse(text string) (value, error) {
	v, ok := k.tryParse(strings.TrimSpace(text))
	if !ok {
		return value{}, fmt.Errorf("want %s, %s", withArticle(k.typ), k.Range())
	}
	return v, nil
}

func withArticle(t Type) string {
	if t == TypeInt {
		return "an int"
	}
	return "a " + string(t)
}

func (k Key) tryParse(text string) (value, bool) {
	switch k.typ {
	case TypeInt:
		n, err := strconv.ParseInt(text, 10, 64)
		return value{text: strconv.FormatInt(n, 10), number: float64(n)}, err == nil && k.limits.contains(float64(n))
	case TypeFloat:
		n, err := strconv.ParseFloat(text, 64)
		n += 0 // turns negative zero into zero
		return value{text: formatNumber(n), number: n}, err == nil && k.limits.contains(n)
	case TypeDuration:
		d, err := time.ParseDuration(text)
		return value{text: d.String(), number: float64(d)}, err == nil && k.limits.contains(float64(d))
	case TypeWord:
		return value{text: text}, slices.Contains(k.limits.words, text)
	default:
		return parseHashes(text, k.namedHashes)
	}
}

// parseHashes parses hashes separated by commas. The canonical text is sorted and
// has no duplicates.
func parseHashes(text string, named bool) (value, bool) {
	var hashes []namedHash
	for item := range strings.SplitSeq(text, ",") {
		h, err := parseHash(strings.TrimSpace(item), named)
		if err != nil {
			return value{}, false
		}
		hashes = append(hashes, h)
	}
	slices.SortFunc(hashes, func(a, b namedHash) int { return strings.Compare(a.String(), b.String()) })
	hashes = slices.Compact(hashes)
	texts := make([]string, len(hashes))
	for i, h := range hashes {
		texts[i] = h.String()
	}
	return value{text: strings.Join(texts, ","), hashes: hashes}, len(hashes) <= MaxHashes
}

var errBadHash = errors.New("not a hash")

func parseHash(item string, named bool) (namedHash, error) {
	var h namedHash
	if named {
		name, rest, ok := strings.Cut(item, ":")
		if !ok || !validName(name) {
			return namedHash{}, errBadHash
		}
		h.name = name
		item = rest
	}
	sum, err := hex.DecodeString(item)
	if err != nil || len(sum) != len(h.sum) {
		return namedHash{}, errBadHash
	}
	copy(h.sum[:], sum)
	return h, nil
}

// String returns the hash as it is written in the tree.
func (h namedHash) String() string {
	text := hex.EncodeToString(h.sum[:])
	if h.name == "" {
		return text
	}
	return h.name + ":" + text
}

// Hash returns the SHA-256 hash of a caller's or operator's key in hexadecimal, as
// it is written in the tree.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
