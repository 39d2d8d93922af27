// Package crash keeps the crashes of targets and infers which tasks caused them. A target that
// crashes ends all of its runs; the cause is one of them, or none.
//
// The package does no I/O and starts no goroutines. Its types are not safe for concurrent use.
package crash

import (
	"slices"
	"time"

	"github.com/catkinline/catkinline/workload"
)

// Suspect is a run that was on a target when it crashed.
type Suspect struct {
	Task    workload.TaskID `cbor:"1,keyasint"`
	Route   string          `cbor:"2,keyasint,omitempty"`
	RunTime time.Duration   `cbor:"3,keyasint,omitempty"` // until the crash was detected
}

// Record is one crash of a target. Field names are part of the encoding in the store.
type Record struct {
	Target   string    // id of the target
	Born     int64     // start of the crashed process, Unix milliseconds
	At       time.Time // when the crash was detected
	Suspects []Suspect
	// Partial says that the target may have had further runs, which the witness did not know.
	Partial bool
}

// id identifies a crash: a process of a target crashes once.
type id struct {
	target string
	born   int64
}

func (r *Record) id() id { return id{r.Target, r.Born} }

// merge adds what another witness knows of the same crash, and reports whether that was new.
func (r *Record) merge(o Record) bool {
	changed := r.Partial && !o.Partial
	r.Partial = r.Partial && o.Partial
	for _, s := range o.Suspects {
		if !r.has(s.Task) {
			r.Suspects = append(r.Suspects, s)
			changed = true
		}
	}
	return changed
}

func (r *Record) has(task workload.TaskID) bool {
	return slices.ContainsFunc(r.Suspects, func(s Suspect) bool { return s.Task == task })
}

// Summarize returns the suspect with the shortest run time, and the number of jobs of suspects.
func Summarize(suspects []Suspect) (youngest Suspect, jobs int) {
	seen := make(map[string]bool)
	for i, s := range suspects {
		if i == 0 || s.RunTime < youngest.RunTime {
			youngest = s
		}
		seen[s.Task.Job] = true
	}
	return youngest, len(seen)
}
