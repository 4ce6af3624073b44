package fbshard

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
)

// commit writes the changed rows, one transaction at a time.
func (o *Owner) commit() {
	if o.phase != phaseServing || o.pending != nil || o.retryAt != 0 || len(o.dirty) == 0 {
		return
	}
	t := filbertford.NewTransaction(string(o.shard)).Expect(filbertford.TableClaims, claimKey, o.claimVersion)
	p := &pendingCommit{states: make(map[filbertford.JobKey]State), records: make(map[filbertford.JobKey][]taskRecord)}
	size := 0
	for len(o.dirty) > 0 && len(p.keys) < maxCommitJobs && size < maxCommitBytes {
		key := o.dirty[0]
		o.dirty = o.dirty[1:]
		j := o.jobs[key]
		if j == nil {
			continue
		}
		value, err := encodeRow(j)
		if err != nil { // the other jobs of the shard are stored all the same
			o.emit(RowMalformed{Key: string(key), Cause: err})
			continue
		}
		size += addRow(t, j, value)
		p.keys = append(p.keys, key)
		p.states[key] = j.state
		p.records[key] = j.takeRecords()
	}
	if len(p.keys) == 0 {
		return
	}
	o.pending = p
	o.emit(StoreCall{Kind: CallCommit, Transaction: t})
}

// encodeRow returns the value of a job's row, nil if the row is to be removed. A job whose tasks
// have failed so often that the row doesn't fit into the store is written without the failures:
// the next owner may start some of its tasks once more. It fails if the row is too large even so.
func encodeRow(j *job) ([]byte, error) {
	if j.state == StateRemoved {
		return nil, nil
	}
	value, err := encodeJob(j)
	if err == nil && len(value) > maxRowBytes {
		bare := *j
		bare.failures, bare.failedRuns, bare.crashes, bare.refuted = nil, nil, nil, nil
		value, err = encodeJob(&bare)
	}
	if err == nil && len(value) > maxRowBytes {
		err = eris.Errorf("the row has %d bytes, at most %d are stored", len(value), maxRowBytes)
	}
	return value, err
}

// addRow adds a job's row to a transaction and returns its size.
func addRow(t *filbertford.Transaction, j *job, value []byte) int {
	key := string(j.workload.Key())
	t.Expect(filbertford.TableJobs, key, j.version)
	if value == nil {
		t.Remove(filbertford.TableJobs, key)
		return 0
	}
	t.Put(filbertford.TableJobs, key, value)
	return len(value)
}

// HandleResult processes the result of a StoreCall: the rows that were read, or the
// version of a commit.
func (o *Owner) HandleResult(now time.Duration, kind CallKind, s filbertford.Snapshot, version uint64, err error) {
	if o.phase == phaseLost {
		return
	}
	switch kind {
	case CallReadClaim:
		o.handleClaim(now, s, err)
	case CallReadJobs:
		o.handleJobs(now, s, err)
	case CallCommit:
		o.handleCommit(now, version, err)
	case CallVerifyClaim:
		o.handleVerification(now, s, err)
	}
}

func (o *Owner) handleClaim(now time.Duration, s filbertford.Snapshot, err error) {
	if err != nil {
		o.retryAt = now + retryDelay
		return
	}
	o.claimVersion = 0
	for _, c := range s.Changes() {
		if c.Row().Key() != claimKey || c.Removed() {
			continue
		}
		o.claimVersion = c.Row().Version()
		var row claimRow
		if err := json.Unmarshal(c.Row().Value(), &row); err != nil {
			// The row may be the claim of a newer owner. It stays as it is.
			o.emit(RowMalformed{Key: claimKey, Cause: eris.Errorf("decoding the claim: %.200s", err)})
			o.retryAt = now + malformedClaimDelay
			return
		}
		if row.Fence > o.fence {
			o.loseShard(row.Fence)
			return
		}
	}
	value, err := json.Marshal(claimRow{Node: string(o.node), Fence: o.fence})
	if err != nil {
		o.emit(RowMalformed{Key: claimKey, Cause: err})
		return
	}
	o.phase = phaseClaiming
	t := filbertford.NewTransaction(string(o.shard)).Expect(filbertford.TableClaims, claimKey, o.claimVersion).
		Put(filbertford.TableClaims, claimKey, value)
	o.emit(StoreCall{Kind: CallCommit, Transaction: t})
}

func (o *Owner) loseShard(fence uint64) {
	o.phase = phaseLost
	o.emit(ShardLost{Fence: fence})
}

func (o *Owner) handleCommit(now time.Duration, version uint64, err error) {
	if o.phase == phaseClaiming {
		if err != nil {
			o.phase, o.retryAt = phaseReading, now+retryDelay
			if errors.Is(err, filbertford.ErrConflict) {
				o.retryAt = 0
				o.claimShard()
			}
			return
		}
		o.claimVersion, o.phase = version, phaseLoading
		o.emit(StoreCall{Kind: CallReadJobs})
		return
	}
	p := o.pending
	if p == nil || o.phase != phaseServing {
		return
	}
	o.pending = nil
	switch {
	case err == nil:
		o.commitApplied(p, version)
	case errors.Is(err, filbertford.ErrRefused):
		o.requeue(p)
		o.retryAt = now + retryDelay
		o.handleRequests()
	default:
		o.requeue(p)
		o.claimShard()
	}
}

// requeue marks the rows of a transaction to be written again.
func (o *Owner) requeue(p *pendingCommit) {
	for _, key := range p.keys {
		o.markDirty(key)
		if j := o.jobs[key]; j != nil {
			j.records = append(p.records[key], j.records...)
		}
	}
}

// commitApplied processes a transaction that was applied at the version.
func (o *Owner) commitApplied(p *pendingCommit, version uint64) {
	for _, key := range p.keys {
		j := o.jobs[key]
		if j == nil {
			continue
		}
		o.rowCommitted(j, p.states[key], p.records[key], version)
	}
	o.handleRequests()
}

func (o *Owner) rowCommitted(j *job, written State, records []taskRecord, version uint64) {
	key := j.workload.Key()
	uncommitted := j.version == 0
	j.version = version
	if written == StateRemoved {
		o.removeJob(j)
		return
	}
	if uncommitted && written == StateQueued && !j.state.final() {
		o.emit(StartJob{Route: j.route, Workload: j.workload, Progress: j.progress})
	}
	if written == StateCancelled && j.finalUncommitted {
		o.emit(CancelJob{Job: key})
	}
	if j.state == written {
		j.finalUncommitted = false
	}
	for _, r := range records {
		o.emit(TaskRecorded{Task: r.task, Progress: r.progress})
	}
}

// handleJobs processes the rows of the shard that were read.
func (o *Owner) handleJobs(now time.Duration, s filbertford.Snapshot, err error) {
	if o.phase != phaseLoading {
		return
	}
	if err != nil {
		o.phase, o.retryAt = phaseReading, now+retryDelay
		return
	}
	seen := make(map[filbertford.JobKey]bool)
	o.malformed = make(map[filbertford.JobKey]bool)
	for _, c := range s.Changes() {
		key := filbertford.JobKey(c.Row().Key())
		seen[key] = true
		stored, err := decodeJob(key, c.Row().Value())
		if err != nil {
			o.emit(RowMalformed{Key: string(key), Cause: err})
			o.handleMalformedRow(key, c.Row().Version())
			continue
		}
		stored.version = c.Row().Version()
		o.loadJob(key, stored)
	}
	for _, key := range slices.SortedFunc(maps.Keys(o.jobs), cmp.Compare[filbertford.JobKey]) {
		if !seen[key] && o.jobs[key].version != 0 {
			o.removeJob(o.jobs[key])
		}
	}
	o.phase = phaseServing
	o.finishVerification()
	o.handleRequests()
}

// handleMalformedRow handles a job's row that can't be decoded. If this owner has stored the job, its
// own state is written again. If not, the row may be that of an accepted job and stays: a
// submission of the job is not accepted, since its transaction would fail for ever.
func (o *Owner) handleMalformedRow(key filbertford.JobKey, version uint64) {
	if j := o.jobs[key]; j != nil && j.version != 0 {
		j.version = version
		o.markDirty(key)
		return
	}
	o.malformed[key] = true
	o.removeJob(o.jobs[key])
}

// loadJob adds the job of a row that was read. If this owner already has the job,
// its own state is newer than the row and is written again.
func (o *Owner) loadJob(key filbertford.JobKey, stored *job) {
	j := o.jobs[key]
	if j == nil {
		o.putJob(stored)
		if stored.state.final() {
			o.emit(CancelJob{Job: key}) // an earlier owner may have stopped before it withdrew the tasks
		} else {
			o.emit(StartJob{Route: stored.route, Workload: stored.workload, Progress: stored.progress, MayBeRunning: true})
		}
		return
	}
	uncommitted := j.version == 0
	j.version = stored.version
	if uncommitted && !j.state.final() {
		o.emit(StartJob{Route: j.route, Workload: j.workload, Progress: j.progress})
	}
	o.markDirty(key)
}
