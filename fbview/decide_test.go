package fbview_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"

	"github.com/filbertford/filbertford/fbview"
)

// mintedAt returns a ULID with the minting time at.
func mintedAt(at time.Time) string {
	return ulid.MustNew(ulid.Timestamp(at), ulid.DefaultEntropy()).String()
}

func TestDecide(t *testing.T) {
	opts := fbview.NewOptions().WithHorizon(time.Minute).WithSkew(10*time.Second, 2*time.Second)
	start := time.UnixMilli(1_700_000_000_000)
	later := fbview.NewTenure(start)
	tests := map[string]struct {
		key    string
		now    time.Duration // since the tenure's start
		tenure fbview.Tenure
		want   fbview.Verdict
	}{
		"first tenure":                {key: "order-1", tenure: fbview.FirstTenure(), want: fbview.VerdictStart},
		"first tenure, minted before": {key: mintedAt(start.Add(-time.Second)), tenure: fbview.FirstTenure(), want: fbview.VerdictStart},
		"first tenure, too old":       {key: mintedAt(start.Add(-61 * time.Second)), tenure: fbview.FirstTenure(), want: fbview.VerdictTooOld},
		"untimed":                     {key: "order-1", now: 59 * time.Second, tenure: later, want: fbview.VerdictUndecided},
		"untimed after horizon":       {key: "order-1", now: time.Minute, tenure: later, want: fbview.VerdictStart},
		"minted before tenure":        {key: mintedAt(start.Add(-time.Second)), now: time.Second, tenure: later, want: fbview.VerdictUndecided},
		"minted within skew":          {key: mintedAt(start.Add(12 * time.Second)), now: 12 * time.Second, tenure: later, want: fbview.VerdictUndecided},
		"minted after skew":           {key: mintedAt(start.Add(12001 * time.Millisecond)), now: 13 * time.Second, tenure: later, want: fbview.VerdictStart},
		"ahead within skew":           {key: mintedAt(start.Add(40 * time.Second)), now: 30 * time.Second, tenure: later, want: fbview.VerdictStart},
		"ahead beyond skew":           {key: mintedAt(start.Add(40001 * time.Millisecond)), now: 30 * time.Second, tenure: later, want: fbview.VerdictFuture},
		"minted after skew, too old":  {key: mintedAt(start.Add(20 * time.Second)), now: 81 * time.Second, tenure: later, want: fbview.VerdictTooOld},
		"minted at start, too old":    {key: mintedAt(start), now: 61 * time.Second, tenure: later, want: fbview.VerdictTooOld},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := opts.Decide(tt.key, start.Add(tt.now), tt.tenure); got != tt.want {
				t.Errorf("Decide = %s, want %s", got, tt.want)
			}
		})
	}
	if got, want := opts.Retention(), 72*time.Second; got != want {
		t.Errorf("Retention = %v, want %v", got, want)
	}
}

func TestMintTime(t *testing.T) {
	tests := map[string]struct {
		key   string
		want  int64 // milliseconds since 1970
		timed bool
	}{
		"UUIDv7":                {key: "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", want: 1645557742000, timed: true},
		"ULID":                  {key: "01ARZ3NDEKTSV4RRFFQ69G5FAV", want: 1469922850259, timed: true},
		"UUIDv4":                {key: "919108f7-52d1-4320-9bac-f847db4148a8"},
		"UUID of other variant": {key: "017f22e2-79b0-7cc3-d8c4-dc0c0c07398f"},
		"UUID without dashes":   {key: "017f22e279b07cc398c4dc0c0c07398f"},
		"ULID out of range":     {key: "81ARZ3NDEKTSV4RRFFQ69G5FAV"},
		"not a ULID":            {key: "01ARZ3NDEKTSV4RRFFQ69G5FA!"},
		"plain":                 {key: "order-1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, timed := fbview.MintTime(tt.key)
			if timed != tt.timed || timed && got.UnixMilli() != tt.want {
				t.Errorf("MintTime = %v, %v", got.UnixMilli(), timed)
			}
		})
	}
}

func FuzzMintTime(f *testing.F) {
	f.Add("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
	f.Add("01ARZ3NDEKTSV4RRFFQ69G5FAV")
	f.Add("order-1")
	f.Fuzz(func(t *testing.T, key string) {
		at, timed := fbview.MintTime(key)
		if !timed {
			return
		}
		if at.UnixMilli() < 0 || at.UnixMilli() >= 1<<48 {
			t.Errorf("MintTime(%q) = %v, want a time of 48 bits in milliseconds", key, at)
		}
		_, notUUID := uuid.Parse(key)
		_, notULID := ulid.ParseStrict(key)
		if notUUID != nil && notULID != nil {
			t.Errorf("MintTime(%q) = %v, want false for neither a UUID nor a ULID", key, at)
		}
	})
}

func TestOptionsValidate(t *testing.T) {
	tests := map[string]struct {
		opts fbview.Options
		ok   bool
	}{
		"defaults":       {opts: fbview.NewOptions(), ok: true},
		"clamped period": {opts: fbview.NewOptions().WithPeriod(time.Millisecond), ok: true},
		"short horizon":  {opts: fbview.NewOptions().WithHorizon(time.Second)},
		"drift above 1":  {opts: fbview.NewOptions().WithDrift(1.5)},
		"negative skew":  {opts: fbview.NewOptions().WithSkew(-1, 0)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if err := tt.opts.Validate(); (err == nil) != tt.ok {
				t.Errorf("Validate = %v, want success %v", err, tt.ok)
			}
		})
	}
}

// TestWithPeriodYieldsReadableRows checks that ParseRow accepts the rows that a
// daemon writes, whatever period it is configured with.
func TestWithPeriodYieldsReadableRows(t *testing.T) {
	for _, period := range []time.Duration{-1, 0, time.Microsecond, 50 * time.Millisecond, 24 * time.Hour} {
		opts := fbview.NewOptions().WithPeriod(period)
		row := fbview.NewRow(1).WithPeriod(opts.Period(), opts.Period())
		if _, err := fbview.ParseRow(row.Bytes()); err != nil {
			t.Errorf("ParseRow of a row with period %v: %v", period, err)
		}
	}
}
