package wire

import (
	"time"

	"github.com/catkinline/catkinline/workload"
)

// TargetState tells an entry what an agent's target is and has free. It is sent
// first on a link and at each change of anything but room. An agent sends it
// only when nothing is left on its target of runs that it does not know, so that
// a new incarnation of an agent says that no run of an earlier one is left.
type TargetState struct {
	Target        string             `cbor:"1,keyasint"` // the target's current incarnation
	Service       string             `cbor:"2,keyasint"`
	FailureDomain string             `cbor:"3,keyasint"`
	Labels        []string           `cbor:"4,keyasint,omitempty"`
	Capacity      workload.Resources `cbor:"5,keyasint"`
	Room          Room               `cbor:"6,keyasint"`
	// Closed says that the target takes no new run: it drains, its agent stops,
	// or it refuses runs.
	Closed bool `cbor:"7,keyasint,omitempty"`
}

// Room is a target's free capacity. StartsReceived is the number of RunStarts that
// the agent has received on the link; Free already accounts for all of them.
type Room struct {
	Free           workload.Resources `cbor:"1,keyasint"`
	StartsReceived uint64             `cbor:"2,keyasint"`
}

// RunStart asks an agent to start one run. TimeLeft is the time until the caller no
// longer waits. Backlog is what remains queued at the entry after this start. It is
// set by entries that have sent the agent a Backlog, since starts are more frequent
// than Backlog messages.
type RunStart struct {
	Run      workload.RunID     `cbor:"1,keyasint"`
	Spec     string             `cbor:"2,keyasint"`
	Need     workload.Resources `cbor:"3,keyasint"`
	TimeLeft time.Duration      `cbor:"4,keyasint"`
	Target   string             `cbor:"5,keyasint"` // the incarnation of the target that the run is meant for

	Backlog *Backlog `cbor:"6,keyasint,omitempty"`
}

// EndStatus is how a run ended.
type EndStatus uint8

// Ends of runs. After each of them the run is not on the target and will not be.
const (
	// EndDone is a run that did its task.
	EndDone EndStatus = iota + 1
	// EndFailed is a run that failed, by its own fault or the target's.
	EndFailed
	// EndStopped is a run that was stopped or lost before it was done.
	EndStopped
	// EndNoRoom is a run that was not started for want of room.
	EndNoRoom
	// EndNotRun is a run that was not started because its target takes none.
	EndNotRun
	// EndStale is a run that was not started because the target has seen a
	// greater or equal attempt of the task.
	EndStale
)

var endNames = [...]string{"invalid", "done", "failed", "stopped", "no_room", "not_run", "stale"}

// String returns the end's name in metrics and logs.
func (e EndStatus) String() string {
	if int(e) < len(endNames) {
		return endNames[e]
	}
	return endNames[0]
}

// RunEnd reports how a run ended, and the room after it.
type RunEnd struct {
	Run     workload.RunID `cbor:"1,keyasint"`
	Status  EndStatus      `cbor:"2,keyasint"`
	RunTime time.Duration  `cbor:"3,keyasint,omitempty"`
	Room    Room           `cbor:"4,keyasint"`
	Reason  string         `cbor:"5,keyasint,omitempty"` // for logs
}

// RunStop asks an agent to stop runs. Each still gets its RunEnd.
type RunStop struct {
	Runs []workload.RunID `cbor:"1,keyasint"`
}

// Backlog tells an agent what waits at an entry, so that it shows freed room
// first to the entry with the most urgent work. Urgency is the order key of the
// first waiting job relative to the sending, so that entries' clocks need not
// agree; a smaller one is more urgent. MinNeed is the smallest need of a task.
type Backlog struct {
	Tasks   uint32             `cbor:"1,keyasint"`
	Urgency time.Duration      `cbor:"2,keyasint"`
	MinNeed workload.Resources `cbor:"3,keyasint"`
}
