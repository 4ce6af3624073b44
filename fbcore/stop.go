package fbcore

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Part is a part of the table that a stopping daemon hands to its heir. The
// heir answers for the incarnation once it has as many entries as the table has
// in total; it never starts any of its tasks.
type Part struct {
	incarnation filbertford.Incarnation
	key         Key
	first, last filbertford.Epoch
	entries     []Entry
	total       int
}

// Entry is a submission within a Part.
type Entry struct {
	id     string
	opaque bool
	digest uint64
	answer filbertford.Answer
	epoch  filbertford.Epoch
}

// NewEntry returns the entry of a submission: the caller's part of its ID, the
// epoch of its token and its answer.
func NewEntry(e filbertford.Epoch, unique string, digest uint64, a filbertford.Answer) Entry {
	return Entry{id: unique, epoch: e, digest: digest, answer: a}
}

// NewOpaqueEntry returns the entry of a submission under an opaque key.
func NewOpaqueEntry(key string, digest uint64, a filbertford.Answer) Entry {
	return Entry{id: key, opaque: true, digest: digest, answer: a}
}

// Unique returns the caller's part of the ID, or the opaque key.
func (e Entry) Unique() string { return e.id }

// Opaque reports whether the entry is that of an opaque key.
func (e Entry) Opaque() bool { return e.opaque }

// Epoch returns the epoch of the ID's token.
func (e Entry) Epoch() filbertford.Epoch { return e.epoch }

// Digest returns the digest of the job.
func (e Entry) Digest() uint64 { return e.digest }

// Answer returns the answer.
func (e Entry) Answer() filbertford.Answer { return e.answer }

// NewPart returns a part with the entries of the pinned submissions of an
// incarnation whose epochs from first to last were within the horizon. Total is
// the number of entries of the whole table.
func NewPart(inc filbertford.Incarnation, k Key, first, last filbertford.Epoch, entries []Entry, total int) Part {
	return Part{incarnation: inc, key: k, first: first, last: last, entries: entries, total: total}
}

// Incarnation returns the incarnation whose table it is.
func (p Part) Incarnation() filbertford.Incarnation { return p.incarnation }

// Key returns the key that authenticates the incarnation's tokens.
func (p Part) Key() Key { return p.key }

// Epochs returns the first and the last epoch within the horizon.
func (p Part) Epochs() (first, last filbertford.Epoch) { return p.first, p.last }

// Entries returns the submissions of the part.
func (p Part) Entries() []Entry { return p.entries }

// Total returns the number of entries of the whole table.
func (p Part) Total() int { return p.total }

// heritage is the table of a daemon that has stopped.
type heritage struct {
	key         Key
	first, last filbertford.Epoch
	entries     map[subKey]Entry
	whole       bool
	at          time.Time
}

// checkDrained tells once that a stopping daemon has nothing in flight.
func (c *Core) checkDrained() {
	if c.stopping && !c.drained && c.active == 0 && len(c.starts) == 0 {
		c.drained = true
		c.flushStops()
		c.emit(Drained{})
	}
}

// Parts returns the tables that a drained daemon hands over, its own and those
// it inherited, cut into parts of at most size entries.
func (c *Core) Parts(now time.Time, size int) []Part {
	own := make([]Entry, 0, c.table.len())
	for k, s := range c.table.subs {
		if !k.opaque {
			own = append(own, NewEntry(k.epoch, k.text, s.digest, s.answer))
		}
	}
	sortEntries(own)
	parts := cut(NewPart(c.cfg.Incarnation, c.cfg.Key, c.oldest(now), c.epoch(now), own, len(own)), size)
	for _, inc := range c.Inherited() {
		h := c.heritages[inc]
		entries := make([]Entry, 0, len(h.entries))
		for _, e := range h.entries {
			entries = append(entries, e)
		}
		sortEntries(entries)
		parts = append(parts, cut(NewPart(inc, h.key, h.first, h.last, entries, len(entries)), size)...)
	}
	return parts
}

// OpaqueEntries returns the submissions under opaque keys that a drained daemon
// hands to the daemons that own the keys after it, its own and those it
// inherited.
func (c *Core) OpaqueEntries() []Entry {
	var out []Entry
	for k, s := range c.table.subs {
		if k.opaque {
			out = append(out, NewOpaqueEntry(k.text, s.digest, s.answer))
		}
	}
	for _, i := range c.opaque {
		out = append(out, i.entry)
	}
	sortEntries(out)
	return out
}

// sortEntries brings entries into the order of their epochs and IDs.
func sortEntries(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.epoch, b.epoch), cmp.Compare(a.id, b.id))
	})
}

// OpaquePart returns a part that holds entries of opaque keys only.
func (c *Core) OpaquePart(entries []Entry) Part {
	return NewPart(c.cfg.Incarnation, c.cfg.Key, 0, 0, entries, 0)
}

// inheritedKey is the entry of an opaque key whose owner has stopped.
type inheritedKey struct {
	entry Entry
	at    time.Time
}

// inheritOpaque keeps the entries of opaque keys and returns the others.
func (c *Core) inheritOpaque(now time.Time, entries []Entry) []Entry {
	pinned := make([]Entry, 0, len(entries))
	for _, e := range entries {
		if e.opaque {
			c.opaque[e.id] = inheritedKey{entry: e, at: now}
		} else {
			pinned = append(pinned, e)
		}
	}
	return pinned
}

// heritageKept is how long what was inherited is kept.
func (c *Core) heritageKept() time.Duration {
	return c.cfg.EpochLength * time.Duration(c.cfg.HorizonEpochs+1)
}

// forgetHeritages drops what was inherited a horizon ago.
func (c *Core) forgetHeritages(now time.Time) {
	for inc, h := range c.heritages {
		if now.Sub(h.at) >= c.heritageKept() {
			delete(c.heritages, inc)
		}
	}
	for key, i := range c.opaque {
		if now.Sub(i.at) >= c.heritageKept() {
			delete(c.opaque, key)
		}
	}
}

// cut divides a whole table into parts, at least one.
func cut(p Part, size int) []Part {
	var out []Part
	for len(p.entries) > size {
		out = append(out, NewPart(p.incarnation, p.key, p.first, p.last, p.entries[:size], p.total))
		p.entries = p.entries[size:]
	}
	return append(out, p)
}

// inherit takes a part of the table of a daemon that has stopped. The parts may
// arrive in any order; one that arrives twice changes nothing.
func (c *Core) inherit(now time.Time, p Part) {
	if p.incarnation == c.cfg.Incarnation {
		return
	}
	pinned := c.inheritOpaque(now, p.entries)
	if len(pinned) == 0 && len(p.entries) > 0 {
		return // a part of opaque keys only
	}
	h := c.heritages[p.incarnation]
	if h == nil {
		h = &heritage{key: p.key, first: p.first, last: p.last, entries: make(map[subKey]Entry)}
		c.heritages[p.incarnation] = h
	}
	for _, e := range pinned {
		h.entries[subKey{epoch: e.epoch, text: e.id}] = e
	}
	h.at = now
	h.whole = len(h.entries) >= p.total
}

// Inherited returns the incarnations that this daemon answers for.
func (c *Core) Inherited() []filbertford.Incarnation {
	out := make([]filbertford.Incarnation, 0, len(c.heritages))
	for inc, h := range c.heritages {
		if h.whole {
			out = append(out, inc)
		}
	}
	slices.Sort(out)
	return out
}

// AnswersFor reports whether this daemon answers for a stopped incarnation.
func (c *Core) AnswersFor(inc filbertford.Incarnation) bool {
	h := c.heritages[inc]
	return h != nil && h.whole
}

// inheritedAnswer answers a delivery of an ID of another incarnation. An ID
// that is missing from a whole table was never run and never will be, because
// its owner took no first deliveries any more when it handed the table over.
func (c *Core) inheritedAnswer(id filbertford.SubmissionID) filbertford.Answer {
	t := id.Token()
	h := c.heritages[t.Incarnation()]
	switch {
	case h == nil || !h.whole:
		return filbertford.NewRefusal(filbertford.CodeOwnerGone, "")
	case !h.key.genuine(t):
		return filbertford.NewRefusal(filbertford.CodeBadToken, "")
	case t.Epoch() > h.last:
		return filbertford.NewRefusal(filbertford.CodeFutureToken, "")
	case t.Epoch() < h.first:
		return filbertford.NewRefusal(filbertford.CodeTooOld, "")
	}
	if e, ok := h.entries[keyOf(id)]; ok {
		return e.answer
	}
	return filbertford.NewRefusal(filbertford.CodeOwnerStopping, "").WithRetryAfter(leavingRetry)
}
