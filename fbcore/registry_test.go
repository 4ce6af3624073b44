package fbcore

import (
	"strconv"
	"testing"

	"github.com/filbertford/filbertford"
)

// keepJobs enters the given number of answered submissions, ten an epoch, and
// forgets as the epochs pass.
func keepJobs(r *registry, jobs int) {
	for i := range jobs {
		e := filbertford.Epoch(i / 10)
		s := &submission{key: subKey{epoch: e, text: strconv.Itoa(i)}}
		s.answer = filbertford.NewComplete([]filbertford.Result{filbertford.NewResult([]byte("out"), "t1")})
		r.add(s, e)
		r.keep(s, 1<<20)
		r.forget(e, e-min(e, 2), 0)
	}
}

func TestForgottenSubmissionsLeaveNothing(t *testing.T) {
	r := newRegistry()
	keepJobs(r, 1000)
	if len(r.subs) != 30 || len(r.order) != 30 || r.kept != 30*3 {
		t.Errorf("%d submissions, %d in the order of their results, %d bytes; want 30, 30 and 90", len(r.subs), len(r.order), r.kept)
	}
}
