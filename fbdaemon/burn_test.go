package fbdaemon

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbburn"
	"github.com/filbertford/filbertford/fbtimer"
	"github.com/filbertford/filbertford/fbtree"
)

// newBurnDaemon returns a daemon that has only what it needs to count answers.
func newBurnDaemon(t testing.TB) *Daemon {
	t.Helper()
	tree, err := fbtree.Parse([]byte("[/]\nobjective-time = 1s\n[/depot]\n[/depot/ordering]\n[/depot/free]\nobjective-share = 0\n"))
	if err != nil {
		t.Fatal(err)
	}
	d := &Daemon{timer: fbtimer.NewService(), burn: newBurnRecorder(time.Now())}
	d.settings.Store(tree)
	return d
}

func TestRecordAnswer(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := map[string]struct {
		ctx     context.Context
		service string
		code    filbertford.Code
		elapsed time.Duration
		want    fbburn.Counts
	}{
		"complete":                               {t.Context(), "ordering", filbertford.CodeComplete, 0, fbburn.NewCounts(1, 0, 0)},
		"late":                                   {t.Context(), "ordering", filbertford.CodeComplete, 2 * time.Second, fbburn.NewCounts(0, 1, 0)},
		"over quota":                             {t.Context(), "ordering", filbertford.CodeOverQuota, 0, fbburn.NewCounts(0, 0, 1)},
		"malformed":                              {t.Context(), "ordering", filbertford.CodeMalformed, 0, fbburn.Counts{}},
		"service without objective":              {t.Context(), "free", filbertford.CodeTaskFailed, 0, fbburn.Counts{}},
		"unknown service":                        {t.Context(), "other", filbertford.CodeUnknownService, 0, fbburn.Counts{}},
		"caller disconnects early":               {cancelled, "ordering", filbertford.CodeOutcomeUnknown, 0, fbburn.Counts{}},
		"caller disconnects after the objective": {cancelled, "ordering", filbertford.CodeOutcomeUnknown, 2 * time.Second, fbburn.NewCounts(0, 1, 0)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newBurnDaemon(t)
			d.recordAnswer(tt.ctx, filbertford.NewJob("depot", tt.service), filbertford.NewRefusal(tt.code, ""), time.Now().Add(-tt.elapsed))
			var got fbburn.Counts
			for _, s := range d.Burn(false).Services() {
				got = got.Add(s.Counts(fbburn.Window3d))
			}
			if diff := cmp.Diff(tt.want, got, cmp.AllowUnexported(fbburn.Counts{})); diff != "" {
				t.Errorf("counts (-want +got):\n%s", diff)
			}
		})
	}
}

func TestBurnReportsCurrentObjective(t *testing.T) {
	d := newBurnDaemon(t)
	d.recordAnswer(t.Context(), filbertford.NewJob("depot", "ordering"), filbertford.NewComplete(nil), time.Now())
	tree, err := fbtree.Parse([]byte("[/]\n[/depot]\n[/depot/ordering]\nobjective-share = 0.5\nobjective-time = 3s\n"))
	if err != nil {
		t.Fatal(err)
	}
	d.settings.Store(tree)
	if got, want := d.Burn(false).Services()[0].Objective(), fbburn.NewObjective(0.5, 3*time.Second); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func BenchmarkRecordAnswer(b *testing.B) {
	for name, run := range map[string]func(*testing.B, func()){
		"alone": func(b *testing.B, f func()) {
			for range b.N {
				f()
			}
		},
		"parallel": func(b *testing.B, f func()) {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					f()
				}
			})
		},
	} {
		b.Run(name, func(b *testing.B) {
			d := newBurnDaemon(b)
			job, answer := filbertford.NewJob("depot", "ordering"), filbertford.NewComplete(nil)
			ctx := context.Background()
			b.ReportAllocs()
			run(b, func() { d.recordAnswer(ctx, job, answer, d.timer.Now()) })
		})
	}
}
