package fbcore

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// TablePart is a part of the submission table that a stopping daemon hands over to
// its successor. The successor answers for the incarnation once it has as many
// entries as the whole table. It never starts any of the incarnation's tasks.
type TablePart struct {
	incarnation           filbertford.Incarnation
	key                   Key
	firstEpoch, lastEpoch filbertford.Epoch
	entries               []TableEntry
	total                 int
}

// TableEntry is a submission in a TablePart.
type TableEntry struct {
	id     string
	opaque bool
	digest uint64
	answer filbertford.Answer
	epoch  filbertford.Epoch
}

// NewPinnedEntry returns the entry of a submission under a pinned ID. Unique is the
// caller's part of the ID, e the epoch of its token.
func NewPinnedEntry(e filbertford.Epoch, unique string, digest uint64, a filbertford.Answer) TableEntry {
	return TableEntry{id: unique, epoch: e, digest: digest, answer: a}
}

// NewOpaqueEntry returns the entry of a submission under an opaque key.
func NewOpaqueEntry(key string, digest uint64, a filbertford.Answer) TableEntry {
	return TableEntry{id: key, opaque: true, digest: digest, answer: a}
}

// ID returns the caller's part of a pinned ID, or the opaque key.
func (e TableEntry) ID() string { return e.id }

// Opaque reports whether the submission has an opaque key.
func (e TableEntry) Opaque() bool { return e.opaque }

// Epoch returns the epoch of the pinned ID's token.
func (e TableEntry) Epoch() filbertford.Epoch { return e.epoch }

// Digest returns the digest of the job.
func (e TableEntry) Digest() uint64 { return e.digest }

// Answer returns the answer.
func (e TableEntry) Answer() filbertford.Answer { return e.answer }

// NewTablePart returns a part of the table of an incarnation with the given key.
// The epochs from firstEpoch to lastEpoch were within the resubmission horizon.
// Total is the number of entries of the whole table.
func NewTablePart(inc filbertford.Incarnation, k Key, firstEpoch, lastEpoch filbertford.Epoch, entries []TableEntry, total int) TablePart {
	return TablePart{incarnation: inc, key: k, firstEpoch: firstEpoch, lastEpoch: lastEpoch, entries: entries, total: total}
}

// Incarnation returns the incarnation that the table belongs to.
func (p TablePart) Incarnation() filbertford.Incarnation { return p.incarnation }

// Key returns the key that authenticates the incarnation's tokens.
func (p TablePart) Key() Key { return p.key }

// Epochs returns the first and the last epoch within the resubmission horizon.
func (p TablePart) Epochs() (first, last filbertford.Epoch) { return p.firstEpoch, p.lastEpoch }

// Entries returns the entries of the part.
func (p TablePart) Entries() []TableEntry { return p.entries }

// Total returns the number of entries of the whole table.
func (p TablePart) Total() int { return p.total }

// inheritedTable holds the received entries of the table of a stopped daemon.
type inheritedTable struct {
	key                   Key
	firstEpoch, lastEpoch filbertford.Epoch
	entries               map[submissionKey]TableEntry
	complete              bool
	receivedAt            time.Time
}

// checkDrained emits Drained, once, when a stopping daemon has no active job and no
// start in flight.
func (c *Core) checkDrained() {
	if c.stopping && !c.drained && c.activeJobs == 0 && len(c.starts) == 0 {
		c.drained = true
		c.flushStops()
		c.emit(Drained{})
	}
}

// TableParts returns the tables that a drained daemon hands over, its own and the
// inherited ones, divided into parts of at most maxEntries entries.
func (c *Core) TableParts(now time.Time, maxEntries int) []TablePart {
	own := make([]TableEntry, 0, c.table.len())
	for k, s := range c.table.submissions {
		if !k.opaque {
			own = append(own, NewPinnedEntry(k.epoch, k.text, s.digest, s.answer))
		}
	}
	sortEntries(own)
	parts := splitPart(NewTablePart(c.cfg.Incarnation, c.cfg.Key, c.oldestEpoch(now), c.epochAt(now), own, len(own)), maxEntries)
	for _, inc := range c.Inherited() {
		h := c.inheritedTables[inc]
		entries := make([]TableEntry, 0, len(h.entries))
		for _, e := range h.entries {
			entries = append(entries, e)
		}
		sortEntries(entries)
		parts = append(parts, splitPart(NewTablePart(inc, h.key, h.firstEpoch, h.lastEpoch, entries, len(entries)), maxEntries)...)
	}
	return parts
}

// OpaqueEntries returns the entries of the opaque keys, its own and the inherited
// ones, that a drained daemon hands over to the next owners of the keys.
func (c *Core) OpaqueEntries() []TableEntry {
	var out []TableEntry
	for k, s := range c.table.submissions {
		if k.opaque {
			out = append(out, NewOpaqueEntry(k.text, s.digest, s.answer))
		}
	}
	for _, inherited := range c.inheritedKeys {
		out = append(out, inherited.entry)
	}
	sortEntries(out)
	return out
}

// sortEntries sorts entries by epoch and ID.
func sortEntries(entries []TableEntry) {
	slices.SortFunc(entries, func(a, b TableEntry) int {
		return cmp.Or(cmp.Compare(a.epoch, b.epoch), cmp.Compare(a.id, b.id))
	})
}

// OpaquePart returns a part with the given entries, all of them of opaque keys.
func (c *Core) OpaquePart(entries []TableEntry) TablePart {
	return NewTablePart(c.cfg.Incarnation, c.cfg.Key, 0, 0, entries, 0)
}

// inheritedKey is the entry of an opaque key that a stopped owner handed over.
type inheritedKey struct {
	entry      TableEntry
	receivedAt time.Time
}

// inheritOpaque stores the entries of opaque keys and returns the others.
func (c *Core) inheritOpaque(now time.Time, entries []TableEntry) []TableEntry {
	pinned := make([]TableEntry, 0, len(entries))
	for _, e := range entries {
		if e.opaque {
			c.inheritedKeys[e.id] = inheritedKey{entry: e, receivedAt: now}
		} else {
			pinned = append(pinned, e)
		}
	}
	return pinned
}

// inheritedRetention returns how long inherited entries are retained after the last
// part was received.
func (c *Core) inheritedRetention() time.Duration {
	return c.cfg.EpochLength * time.Duration(c.cfg.HorizonEpochs+1)
}

// expireInherited drops the inherited tables and keys whose retention is over.
func (c *Core) expireInherited(now time.Time) {
	for inc, h := range c.inheritedTables {
		if now.Sub(h.receivedAt) >= c.inheritedRetention() {
			delete(c.inheritedTables, inc)
		}
	}
	for key, inherited := range c.inheritedKeys {
		if now.Sub(inherited.receivedAt) >= c.inheritedRetention() {
			delete(c.inheritedKeys, key)
		}
	}
}

// splitPart divides a table into parts, at least one.
func splitPart(p TablePart, maxEntries int) []TablePart {
	var out []TablePart
	for len(p.entries) > maxEntries {
		out = append(out, NewTablePart(p.incarnation, p.key, p.firstEpoch, p.lastEpoch, p.entries[:maxEntries], p.total))
		p.entries = p.entries[maxEntries:]
	}
	return append(out, p)
}

// inherit stores a part of the table of a stopped daemon. The parts may arrive in
// any order. A part that arrives again adds no entries.
func (c *Core) inherit(now time.Time, p TablePart) {
	if p.incarnation == c.cfg.Incarnation {
		return
	}
	pinned := c.inheritOpaque(now, p.entries)
	if len(pinned) == 0 && len(p.entries) > 0 {
		return // a part of opaque keys only
	}
	h := c.inheritedTables[p.incarnation]
	if h == nil {
		h = &inheritedTable{key: p.key, firstEpoch: p.firstEpoch, lastEpoch: p.lastEpoch, entries: make(map[submissionKey]TableEntry)}
		c.inheritedTables[p.incarnation] = h
	}
	for _, e := range pinned {
		h.entries[submissionKey{epoch: e.epoch, text: e.id}] = e
	}
	h.receivedAt = now
	h.complete = len(h.entries) >= p.total
}

// Inherited returns the incarnations that this daemon answers for.
func (c *Core) Inherited() []filbertford.Incarnation {
	out := make([]filbertford.Incarnation, 0, len(c.inheritedTables))
	for inc, h := range c.inheritedTables {
		if h.complete {
			out = append(out, inc)
		}
	}
	slices.Sort(out)
	return out
}

// AnswersFor reports whether this daemon answers for a stopped incarnation.
func (c *Core) AnswersFor(inc filbertford.Incarnation) bool {
	h := c.inheritedTables[inc]
	return h != nil && h.complete
}

// inheritedAnswer answers a delivery of an ID of another incarnation. An ID that is
// missing from a complete table was never run and never will be, because its owner
// accepted no more first deliveries when it handed the table over.
func (c *Core) inheritedAnswer(id filbertford.SubmissionID) filbertford.Answer {
	t := id.Token()
	h := c.inheritedTables[t.Incarnation()]
	switch {
	case h == nil || !h.complete:
		return filbertford.NewRefusal(filbertford.CodeOwnerGone, "")
	case !h.key.verify(t):
		return filbertford.NewRefusal(filbertford.CodeBadToken, "")
	case t.Epoch() > h.lastEpoch:
		return filbertford.NewRefusal(filbertford.CodeFutureToken, "")
	case t.Epoch() < h.firstEpoch:
		return filbertford.NewRefusal(filbertford.CodeTooOld, "")
	}
	if e, ok := h.entries[keyOf(id)]; ok {
		return e.answer
	}
	return filbertford.NewRefusal(filbertford.CodeOwnerStopping, "").WithRetryAfter(stoppingRetryDelay)
}
