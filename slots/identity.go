package slots

import (
	"slices"

	"github.com/catkinline/catkinline/wire"
)

// recordState is the state of the attempts of one identity.
type recordState uint8

const (
	// stateBarred: no attempt up to the record's has run or will run.
	stateBarred recordState = iota
	// stateRunning: the record's attempt is running.
	stateRunning
	// stateRetained: the record's attempt ended and its outcome is retained.
	stateRetained
	// stateDiscarded: the record's attempt ended; its outcome was acknowledged or
	// discarded.
	stateDiscarded
)

// record is the table's record of one identity of an entry incarnation.
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

// minSweepRecords is the number of records below which no sweep is due, so that
// small tables are not swept often.
const minSweepRecords = 1024

// identities holds the records of the task identities of one entry incarnation.
//
// An identity of a job below the low-water mark that has no record counts as
// seen: it is never started, and a query for it is answered as unknown, because
// it may have run. Records below the mark can therefore be deleted, except those
// of running tasks. The mark rises
//   - to Ack.Below, by which the entry declares that it sends no start for a
//     lower job;
//   - above the jobs with the oldest quarter of the records, when the records
//     reach their limit although the entry declared nothing;
//   - above every job seen, when the entry has been disconnected for
//     Options.EntryRetention.
//
// Memory use therefore depends on the limit and not on the number of jobs run.
type identities struct {
	records       map[identityKey]*record
	lowWaterMark  uint64 // identities of lower jobs count as seen
	highestJob    uint64 // highest job with a record so far
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

// get returns the record of a task's identity, or nil. belowMark is true if there
// is no record and the job is below the low-water mark.
func (ids *identities) get(task wire.TaskID) (rec *record, belowMark bool) {
	rec = ids.records[keyOf(task)]
	return rec, rec == nil && task.Job.Seq < ids.lowWaterMark
}

// put sets the attempt and state of the identity's record, which it creates if
// needed, and returns the record.
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

// sweepDue reports whether a sweep is due. The number of identities between
// two sweeps is proportional to the number of records, so that the amortized cost
// per identity is constant.
func (ids *identities) sweepDue() bool { return len(ids.records) >= ids.nextSweepSize }

// sweep deletes the records below the mark, and raises the mark if the rest
// reaches the limit. It calls drop for the retained outcome of each deleted record.
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

// forgetAll deletes every record and raises the mark above every job seen.
func (ids *identities) forgetAll() {
	if len(ids.records) > 0 {
		ids.lowWaterMark = max(ids.lowWaterMark, ids.highestJob+1)
	}
	ids.records = map[identityKey]*record{}
	ids.nextSweepSize = min(minSweepRecords, ids.limit)
}
