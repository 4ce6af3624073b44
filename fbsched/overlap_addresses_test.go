package fbsched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// The kinds of disturbances of addresses, records and claims.
const (
	faultMove       faultKind = "targets start again at each other's address"
	faultReuse      faultKind = "target starts again elsewhere and a new one takes its address"
	faultReclaim    faultKind = "owner loses the pool and claims it again"
	faultStray      faultKind = "record of another ID with a target's address"
	faultRewrite    faultKind = "record is overwritten"
	faultLateRecord faultKind = "record of an earlier instance is written late"
)

// move carries out a fault of the addresses or records of targets, or of an owner's claim.
func (r *overlapRun) move(f fault, p *overlapPool, o *fakeOwner, host string) {
	t := r.targets[filbertford.TargetID(host)]
	other := r.targets[filbertford.TargetID(p.hosts[f.random.IntN(len(p.hosts))])]
	switch f.kind {
	case faultMove, faultReuse:
		r.swapAddresses(f, t, other)
	case faultReclaim:
		r.reclaim(f, p, o)
	case faultStray:
		r.stray(f, t)
	case faultRewrite:
		r.rewrite(f, t)
	case faultLateRecord:
		r.writeLateRecord(f, t)
	}
}

// writeLateRecord writes a record of an earlier instance of a target, which the store carries out late.
// The target writes its own again with its next heartbeat.
func (r *overlapRun) writeLateRecord(f fault, t *fakeTarget) {
	var earlier []filbertford.TargetRecord
	for _, change := range r.table {
		if change.id == t.rec.Instance().ID() && !change.removed && change.rec.Instance() != t.rec.Instance() {
			earlier = append(earlier, change.rec)
		}
	}
	if t.down || len(earlier) == 0 {
		return
	}
	r.count("late records of earlier instances")
	r.writeRecord(0, earlier[f.random.IntN(len(earlier))], false)
	r.writeOwnRecord(f, t)
}

// writeOwnRecord lets a target write its record with its next heartbeat.
func (r *overlapRun) writeOwnRecord(f fault, t *fakeTarget) {
	boots := t.boots
	r.after(between(f.random, 0, 1500), func() {
		if t.boots == boots {
			r.writeRecord(0, t.rec.WithDraining(t.draining), false)
		}
	})
}

// swapAddresses lets two targets go down and start again, each at the address of the other one.
func (r *overlapRun) swapAddresses(f fault, t, other *fakeTarget) {
	if t == other {
		r.restartTarget(f, t)
		return
	}
	a, b, old := t.rec.Address(), other.rec.Address(), other.rec
	r.restartTarget(f, t)
	if f.kind == faultMove {
		r.restartTarget(f, other)
	} else {
		other.crash()
		boots := other.boots
		r.after(between(f.random, 0, 1500), func() {
			if other.boots != boots {
				return
			}
			other.restart(filbertford.TargetID(fmt.Sprintf("%s-%d-%d", old.Instance().ID(), f.seed%1000, boots)), testWallOffset+r.now.Milliseconds())
			r.writeRecord(between(f.random, 0, 3000), old, true)
			r.writeOwnRecord(f, other)
		})
	}
	t.setAddress(b)
	other.setAddress(a)
}

func (t *fakeTarget) setAddress(address string) {
	r := t.rec
	t.rec = filbertford.NewTargetRecord(r.Instance(), r.Service(), address, r.DataCentre(), r.Capacity(), r.Labels()...)
	t.sim.addresses[address] = t
}

// reclaim lets an owner lose its pool, and claim it again with a higher token within milliseconds.
func (r *overlapRun) reclaim(f fault, p *overlapPool, o *fakeOwner) {
	if o.stopped || o.paused || o.isolated {
		return
	}
	o.stopped = true
	r.after(time.Duration(f.random.Int64N(int64(5*time.Millisecond))), func() {
		if p.owner != o {
			return
		}
		p.owner = r.newOwner(p, f.random, 0)
		p.owner.node = o.node
		r.announce(p, p.owner)
	})
}

// stray writes a record of an unknown ID with the address of a target.
func (r *overlapRun) stray(f fault, t *fakeTarget) {
	startedAt := []int64{0, t.rec.Instance().StartedAt(), t.rec.Instance().StartedAt() + 1, 1}[f.random.IntN(4)]
	rec := filbertford.NewTargetRecord(filbertford.NewTargetInstance(filbertford.TargetID(fmt.Sprintf("a-%d", f.seed)), startedAt),
		t.rec.Service(), t.rec.Address(), t.rec.DataCentre(), t.rec.Capacity(), t.rec.Labels()...)
	r.writeRecord(0, rec, false)
	r.writeRecord(f.duration, rec, true)
}

// rewrite overwrites the record of a target until it writes it again.
func (r *overlapRun) rewrite(f fault, t *fakeTarget) {
	rec := t.rec
	startedAt, service, dataCentre, capacity := rec.Instance().StartedAt(), rec.Service(), rec.DataCentre(), rec.Capacity()
	draining := false
	switch f.random.IntN(5) {
	case 0:
		startedAt = 0
	case 1:
		service = "other"
	case 2:
		dataCentre = filbertford.DataCentre(r.pools[f.random.IntN(len(r.pools))].id)
		if len(r.pools) == 1 {
			dataCentre = ""
		}
	case 3:
		capacity = filbertford.NewResources(0, 0, 0)
	default:
		draining = true
	}
	instance := filbertford.NewTargetInstance(rec.Instance().ID(), startedAt)
	r.writeRecord(0, filbertford.NewTargetRecord(instance, service, rec.Address(), dataCentre, capacity, rec.Labels()...).WithDraining(draining), false)
	r.writeOwnRecord(f, t)
}

// TestRunsDoNotOverlapUnderMoves plays randomised runs with targets that change their addresses,
// records that are wrong or late, and owners that claim their pool again.
func TestRunsDoNotOverlapUnderMoves(t *testing.T) {
	moves := []faultKind{faultMove, faultReuse, faultReset}
	records := []faultKind{faultMove, faultLateRecord, faultLateRecord, faultStray, faultRewrite}
	claims := []faultKind{faultReclaim, faultReset, faultStream, faultGiveUp}
	all := slices.Concat(moves, records, claims, []faultKind{faultSameID, faultMute, faultBusy, faultStuck, faultFailing})
	playScenarios(t, map[string]scenario{
		"moves":              {kinds: moves, crowded: true},
		"records":            {kinds: records, crowded: true},
		"records, two pools": {kinds: append(records, faultReset), crowded: true, pools: 2},
		"claims, two pools":  {kinds: claims, crowded: true, pools: 2, resend: true, recalls: true},
		"all":                {kinds: all, crowded: true},
		"all, owners":        {kinds: slices.Concat(all, ownerFaults, linkFaults, coordinatorFaults), crowded: true, resend: true, recalls: true, pools: 2},
	})
}
