package fbcore

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertford/filbertford"
)

// subKey identifies a submission within a table: a pinned ID by its epoch and
// unique part, an opaque key by its text alone.
type subKey struct {
	epoch  filbertford.Epoch
	opaque bool
	text   string
}

// keyOf returns the key of an ID.
func keyOf(id filbertford.SubmissionID) subKey {
	if !id.Pinned() {
		return subKey{opaque: true, text: id.String()}
	}
	text := id.String()
	return subKey{epoch: id.Token().Epoch(), text: text[strings.LastIndexByte(text, '.')+1:]}
}

// fingerprint returns a hash of the key, for sets that need not tell two keys
// apart with certainty.
func (k subKey) fingerprint() uint64 {
	var head [5]byte
	binary.BigEndian.PutUint32(head[:], uint32(k.epoch))
	if k.opaque {
		head[4] = 1
	}
	h := xxhash.New()
	_, _ = h.Write(head[:])
	_, _ = h.WriteString(k.text)
	return h.Sum64()
}

// submission is what the table knows of an ID.
type submission struct {
	key     subKey
	team    string
	digest  uint64
	job     *job // nil once the submission is over
	answer  filbertford.Answer
	kept    int // bytes of the answer's results
	waiters []Ref
}

// registry is the table of seen IDs of one incarnation. Entries are dropped by
// epoch.
type registry struct {
	subs    map[subKey]*submission
	refused map[uint64]filbertford.Code
	epochs  map[filbertford.Epoch]*generation
	// spent holds fingerprints of opaque keys whose entries were dropped.
	spent map[uint64]filbertford.Epoch
	kept  int
	order []*submission // submissions with results, oldest first
}

// generation lists what an epoch brought into the table.
type generation struct {
	keys    []subKey
	refused []uint64
}

func newRegistry() *registry {
	return &registry{
		subs:    make(map[subKey]*submission),
		refused: make(map[uint64]filbertford.Code),
		epochs:  make(map[filbertford.Epoch]*generation),
		spent:   make(map[uint64]filbertford.Epoch),
	}
}

// len returns the number of IDs that the table holds in full.
func (r *registry) len() int { return len(r.subs) }

// generation returns the list of an epoch, made on first use.
func (r *registry) generation(e filbertford.Epoch) *generation {
	g := r.epochs[e]
	if g == nil {
		g = &generation{}
		r.epochs[e] = g
	}
	return g
}

// add enters a submission that is dropped with the given epoch.
func (r *registry) add(s *submission, e filbertford.Epoch) {
	r.subs[s.key] = s
	g := r.generation(e)
	g.keys = append(g.keys, s.key)
}

// refuse remembers that an ID was refused as not run, so that a late delivery
// of it is refused too. Two IDs of one fingerprint are both refused, which
// is as true of the one as of the other.
func (r *registry) refuse(k subKey, code filbertford.Code, e filbertford.Epoch) {
	f := k.fingerprint()
	r.refused[f] = code
	g := r.generation(e)
	g.refused = append(g.refused, f)
}

// keep counts the results of a submission's answer and drops the oldest
// results beyond the limit in bytes.
func (r *registry) keep(s *submission, limit int) {
	for _, res := range s.answer.Results() {
		s.kept += len(res.Output())
	}
	if len(s.answer.Results()) == 0 {
		return
	}
	r.kept += s.kept
	r.order = append(r.order, s)
	for r.kept > limit && len(r.order) > 0 {
		oldest := r.order[0]
		r.order = r.order[1:]
		r.release(oldest)
	}
}

// release drops the results of a submission's answer.
func (r *registry) release(s *submission) {
	if len(s.answer.Results()) == 0 {
		return
	}
	r.kept -= s.kept
	s.kept = 0
	s.answer = filbertford.NewRefusal(filbertford.CodeAnswerDropped, "")
}

// forget drops the epochs before oldest, but for jobs that still run. Opaque
// keys leave a fingerprint, which itself is dropped with epoch oldestSpent.
func (r *registry) forget(now, oldest, oldestSpent filbertford.Epoch) {
	dropped := false
	for e, g := range r.epochs {
		if e < oldest {
			r.drop(now, e, g)
			dropped = true
		}
	}
	if dropped {
		r.order = slices.DeleteFunc(r.order, func(s *submission) bool { return r.subs[s.key] != s })
	}
	for f, e := range r.spent {
		if e < oldestSpent {
			delete(r.spent, f)
		}
	}
}

func (r *registry) drop(now, e filbertford.Epoch, g *generation) {
	delete(r.epochs, e)
	for _, f := range g.refused {
		delete(r.refused, f)
	}
	for _, k := range g.keys {
		s := r.subs[k]
		switch {
		case s == nil:
		case s.job != nil:
			next := r.generation(now)
			next.keys = append(next.keys, k)
		default:
			r.remove(s, e)
		}
	}
}

func (r *registry) remove(s *submission, e filbertford.Epoch) {
	r.release(s)
	delete(r.subs, s.key)
	if s.key.opaque {
		r.spent[s.key.fingerprint()] = e
	}
}

// Digest returns a hash of a job's contents, by which two deliveries of one ID
// are known to carry the same job.
func Digest(j filbertford.Job) uint64 {
	h := xxhash.New()
	field := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(b)
	}
	field([]byte(j.Team()))
	field([]byte(j.Service()))
	field([]byte(j.Kind()))
	for _, t := range j.Tasks() {
		field(t.Args())
	}
	return h.Sum64()
}
