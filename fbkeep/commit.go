package fbkeep

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// commit writes the rows that have changed, one transaction at a time.
func (k *Keeper) commit() {
	if k.phase != phaseServing || k.flight != nil || k.retry != 0 || len(k.dirty) == 0 {
		return
	}
	t := filbertford.NewTransaction(string(k.shard)).Expect(filbertford.TableClaims, claimKey, k.claim)
	f := &flight{states: make(map[filbertford.JobKey]State), records: make(map[filbertford.JobKey][]record)}
	size := 0
	for len(k.dirty) > 0 && len(f.keys) < maxBatch && size < maxBytes {
		key := k.dirty[0]
		k.dirty = k.dirty[1:]
		j := k.jobs[key]
		if j == nil {
			continue
		}
		size += k.write(t, j)
		f.keys = append(f.keys, key)
		f.states[key] = j.state
		f.records[key] = j.takeRecords()
	}
	if len(f.keys) == 0 {
		return
	}
	k.flight = f
	k.do(Call{Kind: CallCommit, Transaction: t})
}

// write adds a job's row to a transaction and returns its size.
func (k *Keeper) write(t *filbertford.Transaction, j *job) int {
	key := string(j.workload.Key())
	t.Expect(filbertford.TableJobs, key, j.version)
	if j.state == StateGone {
		t.Remove(filbertford.TableJobs, key)
		return 0
	}
	value, err := encodeJob(j)
	if err != nil {
		k.do(Malformed{Key: key, Cause: err})
		return 0
	}
	t.Put(filbertford.TableJobs, key, value)
	return len(value)
}

// Called takes in the result of a call: the rows that were read, or the version
// of a commit.
func (k *Keeper) Called(now time.Duration, kind CallKind, s filbertford.Snapshot, version uint64, err error) {
	if k.phase == phaseLost {
		return
	}
	switch kind {
	case CallReadClaim:
		k.claimRead(now, s, err)
	case CallReadJobs:
		k.jobsRead(now, s, err)
	case CallCommit:
		k.committed(now, version, err)
	case CallVerifyClaim:
		k.claimVerified(now, s, err)
	}
}

func (k *Keeper) claimRead(now time.Duration, s filbertford.Snapshot, err error) {
	if err != nil {
		k.retry = now + retryPause
		return
	}
	k.claim = 0
	for _, c := range s.Changes() {
		if c.Row().Key() != claimKey || c.Removed() {
			continue
		}
		k.claim = c.Row().Version()
		var row claimRow
		if err := json.Unmarshal(c.Row().Value(), &row); err != nil {
			k.do(Malformed{Key: claimKey, Cause: err})
		}
		if row.Fence > k.fence {
			k.lose(row.Fence)
			return
		}
	}
	value, err := json.Marshal(claimRow{Node: string(k.node), Fence: k.fence})
	if err != nil {
		k.do(Malformed{Key: claimKey, Cause: err})
		return
	}
	k.phase = phaseClaiming
	t := filbertford.NewTransaction(string(k.shard)).Expect(filbertford.TableClaims, claimKey, k.claim).
		Put(filbertford.TableClaims, claimKey, value)
	k.do(Call{Kind: CallCommit, Transaction: t})
}

func (k *Keeper) lose(fence uint64) {
	k.phase = phaseLost
	k.do(Lost{Fence: fence})
}

func (k *Keeper) committed(now time.Duration, version uint64, err error) {
	if k.phase == phaseClaiming {
		if err != nil {
			k.phase, k.retry = phaseReading, now+retryPause
			if errors.Is(err, filbertford.ErrConflict) {
				k.retry = 0
				k.open()
			}
			return
		}
		k.claim, k.phase = version, phaseLoading
		k.do(Call{Kind: CallReadJobs})
		return
	}
	f := k.flight
	if f == nil || k.phase != phaseServing {
		return
	}
	k.flight = nil
	switch {
	case err == nil:
		k.applied(f, version)
	case errors.Is(err, filbertford.ErrRefused):
		k.again(f)
		k.retry = now + retryPause
	default:
		k.again(f)
		k.open()
	}
}

// again has the rows of a transaction written once more.
func (k *Keeper) again(f *flight) {
	for _, key := range f.keys {
		k.mark(key)
		if j := k.jobs[key]; j != nil {
			j.records = append(f.records[key], j.records...)
		}
	}
}

// applied takes in that a transaction was applied at a version.
func (k *Keeper) applied(f *flight, version uint64) {
	for _, key := range f.keys {
		j := k.jobs[key]
		if j == nil {
			continue
		}
		k.rowCommitted(j, f.states[key], f.records[key], version)
	}
	k.serve()
}

func (k *Keeper) rowCommitted(j *job, written State, records []record, version uint64) {
	key := j.workload.Key()
	first := j.version == 0
	j.version = version
	if written == StateGone {
		delete(k.jobs, key)
		return
	}
	if first && written == StateQueued {
		k.do(Begin{Route: j.route, Workload: j.workload, Progress: j.progress})
	}
	if written == StateCancelled && j.unsettled {
		k.do(Cancel{Job: key})
	}
	if j.state == written {
		j.unsettled = false
	}
	for _, r := range records {
		k.do(Confirmed{Task: r.task, Progress: r.progress})
	}
}

// jobsRead takes in the rows of the shard.
func (k *Keeper) jobsRead(now time.Duration, s filbertford.Snapshot, err error) {
	if k.phase != phaseLoading {
		return
	}
	if err != nil {
		k.phase, k.retry = phaseReading, now+retryPause
		return
	}
	seen := make(map[filbertford.JobKey]bool)
	for _, c := range s.Changes() {
		key := filbertford.JobKey(c.Row().Key())
		seen[key] = true
		stored, err := decodeJob(key, c.Row().Value())
		if err != nil {
			k.do(Malformed{Key: string(key), Cause: err})
			continue
		}
		stored.version = c.Row().Version()
		k.adopt(key, stored)
	}
	for _, key := range slices.SortedFunc(maps.Keys(k.jobs), cmp.Compare[filbertford.JobKey]) {
		if !seen[key] && k.jobs[key].version != 0 {
			delete(k.jobs, key)
		}
	}
	k.phase = phaseServing
	k.verifiedByClaim()
	k.serve()
}

// adopt takes in a row. What this keeper knows beyond it is written again.
func (k *Keeper) adopt(key filbertford.JobKey, stored *job) {
	j := k.jobs[key]
	if j == nil {
		k.jobs[key] = stored
		if stored.state.over() {
			k.do(Cancel{Job: key}) // an earlier keeper may not have told the pools
		} else {
			k.do(Begin{Route: stored.route, Workload: stored.workload, Progress: stored.progress, Begun: true})
		}
		return
	}
	first := j.version == 0
	j.version = stored.version
	if first && !j.state.over() {
		k.do(Begin{Route: j.route, Workload: j.workload, Progress: j.progress})
	}
	k.mark(key)
}
