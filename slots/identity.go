package slots

import (
	"slices"

	"github.com/catkinline/catkinline/wire"
)

// recordState says what is known about one identity.
type recordState uint8

const (
	// stateBarred: no attempt up to the record's has run or will run.
	stateBarred recordState = iota
	// stateRunning: the record's attempt is running.
	stateRunning
	// stateRetained: the record's attempt ended and its outcome is retained.
	stateRetained
	// stateDiscarded: the record's attempt ended; its outcome was acknowledged or
	// dropped.
	stateDiscarded
)

// record is what is known about one identity of an entry incarnation.
type record struct {
	attempt  uint32
	state    recordState
	retained *retainedOutcome // set in stateRetained
}

type identityKey struct {
	job   uint64
	index uint32
}

func keyOf(task wire.TaskID) identityKey {
	return identityKey{job: task.Job.Seq, index: task.Index}
}

// minSweepRecords keeps small tables from being swept often.
const minSweepRecords = 1024

// identities are the remembered identities of one entry incarnation.
//
// Rule of the low-water mark: an identity of a job below the mark that has no
// record counts as seen. It is never started, and a query for it is answered as
// unknown, because it may have run. Records below the mark are therefore
// dropped, except those of running tasks. The mark rises
//   - to Ack.Below, which the entry declares: no start for a lower job follows;
//   - when the records exceed their bound although the entry declared nothing:
//     over the jobs that hold the oldest quarter of the records;
//   - when the entry had no link for the silence bound: over every job seen.
//
// Memory therefore depends on the bound and not on the number of jobs ever run.
type identities struct {
	records       map[identityKey]*record
	lowWaterMark  uint64 // the low-water mark
	highestJob    uint64 // highest job seen
	nextSweepSize int    // number of records that triggers the next sweep
	limit         int
}

func newIdentities(limit int) identities {
	return identities{
		records:       map[identityKey]*record{},
		nextSweepSize: min(minSweepRecords, limit),
		limit:         limit,
	}
}

// get returns the record of a task's identity. Without a record, seen tells
// whether the identity is below the low-water mark.
func (ids *identities) get(task wire.TaskID) (rec *record, belowMark bool) {
	rec = ids.records[keyOf(task)]
	return rec, rec == nil && task.Job.Seq < ids.lowWaterMark
}

// put returns the identity's record, made if needed, at the task's attempt.
func (ids *identities) put(task wire.TaskID, state recordState) *record {
	ids.highestJob = max(ids.highestJob, task.Job.Seq)
	rec := ids.records[keyOf(task)]
	if rec == nil {
		rec = &record{}
		ids.records[keyOf(task)] = rec
	}
	rec.attempt = task.Attempt
	rec.state = state
	return rec
}

// sweepDue reports whether a sweep is due. Sweeps are at least as far apart as half
// of the records, so that their cost per identity is constant.
func (ids *identities) sweepDue() bool { return len(ids.records) >= ids.nextSweepSize }

// sweep drops the records below the mark, raising the mark if they are over the
// bound. drop is called for each retained outcome that goes with its record.
func (ids *identities) sweep(drop func(*retainedOutcome)) {
	ids.dropBelow(drop)
	if len(ids.records) >= ids.limit {
		ids.raiseMark()
		ids.dropBelow(drop)
	}
	ids.nextSweepSize = min(max(minSweepRecords, 2*len(ids.records)), ids.limit)
}

func (ids *identities) raiseMark() {
	jobs := make([]uint64, 0, len(ids.records))
	for k := range ids.records {
		jobs = append(jobs, k.job)
	}
	slices.Sort(jobs)
	ids.lowWaterMark = max(ids.lowWaterMark, jobs[len(jobs)/4]+1)
}

func (ids *identities) dropBelow(drop func(*retainedOutcome)) {
	for k, rec := range ids.records {
		if k.job >= ids.lowWaterMark || rec.state == stateRunning {
			continue
		}
		if rec.retained != nil {
			drop(rec.retained)
		}
		delete(ids.records, k)
	}
}

// forgetAll drops every record and raises the mark over every job seen.
func (ids *identities) forgetAll() {
	if len(ids.records) > 0 {
		ids.lowWaterMark = max(ids.lowWaterMark, ids.highestJob+1)
	}
	ids.records = map[identityKey]*record{}
	ids.nextSweepSize = min(minSweepRecords, ids.limit)
}
