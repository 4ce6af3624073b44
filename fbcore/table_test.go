package fbcore

import (
	"strconv"
	"testing"

	"github.com/filbertford/filbertford"
)

// addSubmissions adds n answered submissions, ten per epoch, and expires the epochs
// that are more than two older.
func addSubmissions(table *submissionTable, n int) {
	for i := range n {
		e := filbertford.Epoch(i / 10)
		s := &submission{key: submissionKey{epoch: e, text: strconv.Itoa(i)}}
		s.answer = filbertford.NewComplete([]filbertford.Result{filbertford.NewResult([]byte("out"), "t1")})
		table.add(s, e)
		table.trackResults(s, 1<<20)
		table.expireEpochs(e, e-min(e, 2), 0)
	}
}

func TestSubmissionTableRemovesExpiredEpochs(t *testing.T) {
	table := newSubmissionTable()
	addSubmissions(table, 1000)
	if len(table.submissions) != 30 || len(table.withResults) != 30 || table.resultBytes != 30*3 {
		t.Errorf("got %d submissions, %d with results, %d bytes of results; want 30, 30 and 90", len(table.submissions), len(table.withResults), table.resultBytes)
	}
}
