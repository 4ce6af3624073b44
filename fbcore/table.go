package fbcore

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertford/filbertford"
)

// submissionKey identifies a submission within a table: a pinned ID by its epoch
// and unique part, an opaque key by its text alone.
type submissionKey struct {
	epoch  filbertford.Epoch
	opaque bool
	text   string
}

// keyOf returns the submissionKey of an ID.
func keyOf(id filbertford.SubmissionID) submissionKey {
	if !id.Pinned() {
		return submissionKey{opaque: true, text: id.String()}
	}
	text := id.String()
	return submissionKey{epoch: id.Token().Epoch(), text: text[strings.LastIndexByte(text, '.')+1:]}
}

// fingerprint returns a hash of the key, for sets in which collisions are
// acceptable.
func (k submissionKey) fingerprint() uint64 {
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

// submission is the table's entry for an ID.
type submission struct {
	key         submissionKey
	team        string
	digest      uint64
	job         *job // nil once the submission has ended
	answer      filbertford.Answer
	resultBytes int // size of the answer's results
	waiters     []Ref
}

// submissionTable holds the submissions and refusals of one incarnation. Entries
// are dropped by epoch.
type submissionTable struct {
	submissions map[submissionKey]*submission
	refusals    map[uint64]filbertford.Code
	epochs      map[filbertford.Epoch]*epochEntries
	// fingerprints maps the fingerprints of dropped opaque keys to their epochs.
	fingerprints map[uint64]filbertford.Epoch
	resultBytes  int
	withResults  []*submission // submissions with results, oldest first
}

// epochEntries lists the entries that are dropped with an epoch.
type epochEntries struct {
	keys     []submissionKey
	refusals []uint64
}

func newSubmissionTable() *submissionTable {
	return &submissionTable{
		submissions:  make(map[submissionKey]*submission),
		refusals:     make(map[uint64]filbertford.Code),
		epochs:       make(map[filbertford.Epoch]*epochEntries),
		fingerprints: make(map[uint64]filbertford.Epoch),
	}
}

// len returns the number of submissions, without refusals and fingerprints.
func (t *submissionTable) len() int { return len(t.submissions) }

// entriesOf returns the entries of an epoch and creates the list on first use.
func (t *submissionTable) entriesOf(e filbertford.Epoch) *epochEntries {
	entries := t.epochs[e]
	if entries == nil {
		entries = &epochEntries{}
		t.epochs[e] = entries
	}
	return entries
}

// add adds a submission that is dropped with the given epoch.
func (t *submissionTable) add(s *submission, e filbertford.Epoch) {
	t.submissions[s.key] = s
	entries := t.entriesOf(e)
	entries.keys = append(entries.keys, s.key)
}

// addRefusal records that an ID was refused as not run, so that a late delivery of
// it is refused too. An ID with the fingerprint of a refused one is refused as
// well, which is a correct answer, since its job is then never started.
func (t *submissionTable) addRefusal(k submissionKey, code filbertford.Code, e filbertford.Epoch) {
	f := k.fingerprint()
	t.refusals[f] = code
	entries := t.entriesOf(e)
	entries.refusals = append(entries.refusals, f)
}

// trackResults adds the results of a submission's answer to the retained ones and
// drops the oldest results until their size is within the limit in bytes.
func (t *submissionTable) trackResults(s *submission, limit int) {
	for _, res := range s.answer.Results() {
		s.resultBytes += len(res.Output())
	}
	if len(s.answer.Results()) == 0 {
		return
	}
	t.resultBytes += s.resultBytes
	t.withResults = append(t.withResults, s)
	for t.resultBytes > limit && len(t.withResults) > 0 {
		oldest := t.withResults[0]
		t.withResults = t.withResults[1:]
		t.dropResults(oldest)
	}
}

// dropResults drops the results of a submission's answer.
func (t *submissionTable) dropResults(s *submission) {
	if len(s.answer.Results()) == 0 {
		return
	}
	t.resultBytes -= s.resultBytes
	s.resultBytes = 0
	s.answer = filbertford.NewRefusal(filbertford.CodeAnswerDropped, "")
}

// expireEpochs drops the entries of the epochs before oldest, except for active
// jobs, which move to the current epoch, now. The fingerprint of a dropped opaque
// key is kept until its epoch is before oldestFingerprint.
func (t *submissionTable) expireEpochs(now, oldest, oldestFingerprint filbertford.Epoch) {
	expired := false
	for e, entries := range t.epochs {
		if e < oldest {
			t.expireEpoch(now, e, entries)
			expired = true
		}
	}
	if expired {
		t.withResults = slices.DeleteFunc(t.withResults, func(s *submission) bool { return t.submissions[s.key] != s })
	}
	for f, e := range t.fingerprints {
		if e < oldestFingerprint {
			delete(t.fingerprints, f)
		}
	}
}

func (t *submissionTable) expireEpoch(now, e filbertford.Epoch, entries *epochEntries) {
	delete(t.epochs, e)
	for _, f := range entries.refusals {
		delete(t.refusals, f)
	}
	for _, k := range entries.keys {
		s := t.submissions[k]
		switch {
		case s == nil:
		case s.job != nil:
			next := t.entriesOf(now)
			next.keys = append(next.keys, k)
		default:
			t.remove(s, e)
		}
	}
}

func (t *submissionTable) remove(s *submission, e filbertford.Epoch) {
	t.dropResults(s)
	delete(t.submissions, s.key)
	if s.key.opaque {
		t.fingerprints[s.key.fingerprint()] = e
	}
}

// Digest returns a hash of a job's team, service, kind and task arguments, which
// must be equal in all deliveries of one ID.
func Digest(j filbertford.Job) uint64 {
	h := xxhash.New()
	writeField := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(b)
	}
	writeField([]byte(j.Team()))
	writeField([]byte(j.Service()))
	writeField([]byte(j.Kind()))
	for _, t := range j.Tasks() {
		writeField(t.Args())
	}
	return h.Sum64()
}
