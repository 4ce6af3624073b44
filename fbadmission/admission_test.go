package fbadmission_test

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbadmission"
)

const ms = time.Millisecond

// TestObjective guards against jobs that are rejected although there is time for them, or
// accepted although they would miss their objective and delay others.
func TestObjective(t *testing.T) {
	job := filbertford.NewArrivingJob(1, 200*ms, 380*ms, 1140*ms)
	slow := filbertford.NewArrivingJob(2, 900*ms, 1500*ms, 1480*ms)
	load := filbertford.NewFleetLoad(0, false)
	tests := map[string]struct {
		job      filbertford.ArrivingJob
		load     filbertford.FleetLoad
		accepted bool
		reason   filbertford.AdmissionReason
	}{
		"no report":                         {job, filbertford.FleetLoad{}, true, filbertford.AdmissionUnknown},
		"free targets, much work waits":     {job, filbertford.NewFleetLoad(0, true).WithWaits(time.Second, time.Second, 0), true, filbertford.AdmissionFree},
		"nothing waits":                     {job, load, true, filbertford.AdmissionInTime},
		"time for the wait":                 {job, load.WithWaits(60*ms, 2*time.Second, 0), true, filbertford.AdmissionInTime},
		"time for the wait of some jobs":    {job, load.WithWaits(100*ms, 100*ms, 0), true, filbertford.AdmissionInTime},
		"the others of those":               {job.WithSpread(0.9), load.WithWaits(100*ms, 100*ms, 0), false, filbertford.AdmissionWait},
		"no time for the wait":              {job, load.WithWaits(200*ms, 200*ms, 0), false, filbertford.AdmissionWait},
		"long run, nothing waits":           {slow, load.WithFactors(1.3, 0.7), true, filbertford.AdmissionInTime},
		"long run, much work waits":         {slow, load.WithFactors(1.3, 0.7).WithWaits(300*ms, 300*ms, 0), false, filbertford.AdmissionWait},
		"slow targets, nothing waits":       {job, load.WithFactors(2.2, 2.2), true, filbertford.AdmissionLate},
		"slow targets, others wait":         {job, load.WithFactors(2.2, 2.2).WithWaits(0, 150*ms, 0), false, filbertford.AdmissionWait},
		"targets too slow for any use":      {slow, load.WithFactors(2, 1.7), false, filbertford.AdmissionSlow},
		"owners are short of processor":     {job, filbertford.NewFleetLoad(0, true).WithDelay(200 * ms), false, filbertford.AdmissionDelay},
		"owners are a little late":          {job, load.WithDelay(50*ms).WithWaits(60*ms, 60*ms, 0), true, filbertford.AdmissionInTime},
		"sustained overload isn't for late": {job, load.WithWaits(150*ms, 150*ms, 0), false, filbertford.AdmissionWait},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := fbadmission.New(filbertford.AdmitByObjective).Admit(tt.job, tt.load)
			if got.Accepted() != tt.accepted || got.Reason() != tt.reason {
				t.Errorf("accepted %v for %q, want %v for %q", got.Accepted(), got.Reason(), tt.accepted, tt.reason)
			}
		})
	}
}
