package wire

import (
	"time"

	"github.com/catkinline/catkinline/crash"
	"github.com/catkinline/catkinline/evacuation"
	"github.com/catkinline/catkinline/workload"
)

// TargetState describes an agent's target and its free capacity to an entry. It is
// the first message on a link and is sent again when anything but Room changes. An
// agent sends it only when its target has no run that the agent does not know, so a
// TargetState of a new incarnation of an agent implies that no run of an earlier one
// remains.
type TargetState struct {
	Target        string             `cbor:"1,keyasint"` // the current incarnation of the target
	Service       string             `cbor:"2,keyasint"`
	FailureDomain string             `cbor:"3,keyasint"`
	Labels        []string           `cbor:"4,keyasint,omitempty"`
	Capacity      workload.Resources `cbor:"5,keyasint"`
	Room          Room               `cbor:"6,keyasint"`
	// Closed says that the target accepts no new run: it is draining, its agent is
	// stopping, or it refuses runs.
	Closed bool `cbor:"7,keyasint,omitempty"`
	// Born is the start of the target's process as it says itself, in Unix milliseconds; 0: unknown.
	Born int64 `cbor:"8,keyasint,omitempty"`
	// CapacityStale says that the target has not reported its capacity for a while. Targets that
	// do not guard it get no runs then.
	CapacityStale bool `cbor:"9,keyasint,omitempty"`
	// Runs are the runs of the receiving entry process that the agent has. It is complete in the
	// first state on a link, and empty in others: what it leaves out has ended or never began.
	Runs []workload.RunID `cbor:"10,keyasint,omitempty"`
	// ColdLeft is how much longer the target is slow, after its start or an evacuation.
	ColdLeft time.Duration `cbor:"11,keyasint,omitempty"`
	// Speed is the speed of the target that an entry has learnt last; nil: not known.
	Speed *TargetSpeed `cbor:"12,keyasint,omitempty"`
}

// TargetSpeed is what an entry has learnt of a target's speed. Log is the natural logarithm of the
// speed relative to the mean of the entry's targets, Runs the weight of what was observed, in runs.
type TargetSpeed struct {
	Log  float64 `cbor:"1,keyasint"`
	Runs float64 `cbor:"2,keyasint"`
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
	Route   string   `cbor:"7,keyasint,omitempty"` // of the run's job
	Alone   bool     `cbor:"8,keyasint,omitempty"` // no run of another job may be on the target meanwhile
	// Unguarded says that the target starts what does not fit, so that its capacity has to be
	// known for certain.
	Unguarded bool `cbor:"9,keyasint,omitempty"`
	// OriginAge is how long ago the entry from which the sender has the job was known to be alive.
	OriginAge time.Duration `cbor:"10,keyasint,omitempty"`
	// Speed is what the entry has learnt of the target's speed, for the agent to pass on to others;
	// nil: it has not changed since it was last sent.
	Speed *TargetSpeed `cbor:"11,keyasint,omitempty"`
}

// EndStatus is how a run ended.
type EndStatus uint8

// Statuses of ended runs. With each of them the run neither is on the target nor will
// be started there later.
const (
	// EndDone is a run that completed its task.
	EndDone EndStatus = iota + 1
	// EndFailed is a run that failed, by an error of its own or of the target.
	EndFailed
	// EndStopped is a run that was stopped or lost before it completed.
	EndStopped
	// EndNoRoom is a run that was not started because the target lacked free capacity.
	EndNoRoom
	// EndNotRun is a run that was not started because the target accepts none.
	EndNotRun
	// EndStale is a run that was not started because the target has seen the same
	// or a later attempt of the task.
	EndStale
	// EndCrashed is a run whose target crashed under it.
	EndCrashed
)

var endNames = [...]string{"invalid", "done", "failed", "stopped", "no_room", "not_run", "stale", "crashed"}

// String returns the status's name in metrics and logs.
func (e EndStatus) String() string {
	if int(e) < len(endNames) {
		return endNames[e]
	}
	return endNames[0]
}

// RunEnd reports how a run ended and the free capacity after it.
type RunEnd struct {
	Run     workload.RunID `cbor:"1,keyasint"`
	Status  EndStatus      `cbor:"2,keyasint"`
	RunTime time.Duration  `cbor:"3,keyasint,omitempty"`
	Room    Room           `cbor:"4,keyasint"`
	Reason  string         `cbor:"5,keyasint,omitempty"` // for logs
	// Evacuations is set if the run was not started because the target's failure domain is
	// evacuated: the state that the agent acts by, which the entry may not know yet.
	Evacuations *Evacuations `cbor:"6,keyasint,omitempty"`
}

// RunStop asks an agent to stop runs. The agent still sends a RunEnd for each.
type RunStop struct {
	Runs []workload.RunID `cbor:"1,keyasint"`
}

// Backlog describes the queue of an entry to an agent, which reports freed capacity
// first to the entry with the most urgent work. Urgency is the order key of the first
// waiting job relative to the time of sending, so that the clocks of entries need not
// agree; a smaller value is more urgent. MinNeed is the smallest need of a waiting
// task.
type Backlog struct {
	Tasks   uint32             `cbor:"1,keyasint"`
	Urgency time.Duration      `cbor:"2,keyasint"`
	MinNeed workload.Resources `cbor:"3,keyasint"`
}

// CrashReport says that a target has crashed with runs on it. Agents send it before the ends of
// these runs, and entries pass on to their peers what is new to them. Age is the time since the
// crash was detected, so that the clocks need not agree.
type CrashReport struct {
	Target   string          `cbor:"1,keyasint"`
	Born     int64           `cbor:"2,keyasint"` // start of the crashed process, Unix milliseconds
	Age      time.Duration   `cbor:"3,keyasint"`
	Suspects []crash.Suspect `cbor:"4,keyasint,omitempty"`
	Partial  bool            `cbor:"5,keyasint,omitempty"` // the target may have had further runs
}

// NewCrashReport returns the message for a record.
func NewCrashReport(r crash.Record, now time.Time) *CrashReport {
	return &CrashReport{Target: r.Target, Born: r.Born, Age: now.Sub(r.At), Suspects: r.Suspects, Partial: r.Partial}
}

// Record returns the record of a report that was received now.
func (m *CrashReport) Record(now time.Time) crash.Record {
	return crash.Record{Target: m.Target, Born: m.Born, At: now.Add(-max(0, m.Age)), Suspects: m.Suspects, Partial: m.Partial}
}

// Evacuations lists the failure domains in which no run may start, as of a revision of the store.
// An entry sends it first on each link, once it knows it, and at each change; the highest revision
// applies. An agent starts nothing on a link before it.
type Evacuations struct {
	Revision uint64   `cbor:"1,keyasint"`
	Domains  []string `cbor:"2,keyasint,omitempty"`
}

// NewEvacuations returns the message for a state.
func NewEvacuations(s *evacuation.State) *Evacuations {
	return &Evacuations{Revision: s.Revision, Domains: s.Domains}
}

// State returns the state in a message.
func (m *Evacuations) State() *evacuation.State { return evacuation.New(m.Revision, m.Domains) }
