package wire

import (
	"time"

	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/result"
)

// Type is a message type, encoded as one byte in the frame header.
type Type uint8

// Message types. The number of a removed type is not used again.
const (
	TypeHello Type = iota + 1
	TypeWelcome
	TypeAnnounce
	TypePeers
	TypeView
	TypeDemand
	TypeGrant
	TypeRevoke
	TypeReturn
	TypeStart
	TypeOutcome
	TypeAck
	TypeQuery
	TypeCancel
	TypeHeartbeat
	TypeLeave
	TypePeerState
	TypeDocument
	TypeDocumentRequest
	TypeTargetState
	TypeRoom
	TypeRunStart
	TypeRunEnd
	TypeRunStop
	TypeBacklog
	TypeJobForward
	TypeJobAnswer
	TypeJobCancel
	TypePlacerState
	TypeCrashReport
	TypeJobsCancelled
	TypeCancelReceipt
	TypeEvacuations
)

// typeNames holds the names of message types in metrics and logs.
var typeNames = map[Type]string{
	TypeHello: "hello", TypeWelcome: "welcome", TypeAnnounce: "announce", TypePeers: "peers",
	TypeView: "view", TypeDemand: "demand", TypeGrant: "grant", TypeRevoke: "revoke",
	TypeReturn: "return", TypeStart: "start", TypeOutcome: "outcome", TypeAck: "ack",
	TypeQuery: "query", TypeCancel: "cancel", TypeHeartbeat: "heartbeat", TypeLeave: "leave",
	TypePeerState: "peer_state", TypeDocument: "document", TypeDocumentRequest: "document_request",
	TypeTargetState: "target_state", TypeRoom: "room", TypeRunStart: "run_start", TypeRunEnd: "run_end", TypeRunStop: "run_stop",
	TypeBacklog: "backlog", TypeJobForward: "job_forward", TypeJobAnswer: "job_answer", TypeJobCancel: "job_cancel",
	TypePlacerState: "placer_state", TypeCrashReport: "crash_report", TypeJobsCancelled: "jobs_cancelled",
	TypeCancelReceipt: "cancel_receipt", TypeEvacuations: "evacuations",
}

// String returns the type's name in metrics and logs.
func (t Type) String() string { return typeNames[t] }

// Message is a message between two processes of the system.
type Message interface {
	Type() Type
}

// Role is the role of a process, as its certificate states it.
type Role string

// The roles of processes and clients.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// Class tells short tasks from long ones by their expected run time.
type Class uint8

// Classes of tasks. Some slots of a target can be reserved for short tasks, so that
// long ones do not delay them.
const (
	ClassShort Class = iota
	ClassLong
)

// String returns the class's name in metrics and logs.
func (c Class) String() string {
	if c == ClassLong {
		return "long"
	}
	return "short"
}

// OrderKey is the priority of a queued task: the lowest key is started first. The
// keys of different entries are comparable.
type OrderKey float64

// Hello opens a link. The dialer sends it first.
type Hello struct {
	Version     uint16      `cbor:"1,keyasint"`
	Role        Role        `cbor:"2,keyasint"`
	Name        string      `cbor:"3,keyasint"`
	Incarnation Incarnation `cbor:"4,keyasint"`
}

// Welcome is the response to Hello. A non-empty Refusal is the reason why the link is
// refused.
type Welcome struct {
	Version     uint16      `cbor:"1,keyasint"`
	Name        string      `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	Refusal     string      `cbor:"4,keyasint,omitempty"`
}

// Announce describes an agent's target to an entry. It is sent again when a field
// changes.
type Announce struct {
	Target        string    `cbor:"1,keyasint"`
	Service       string    `cbor:"2,keyasint"`
	FailureDomain string    `cbor:"3,keyasint"`
	Region        string    `cbor:"4,keyasint"`
	Labels        label.Set `cbor:"5,keyasint,omitempty"`
	Slots         uint32    `cbor:"6,keyasint"`
	Draining      bool      `cbor:"7,keyasint,omitempty"`
}

// Peer is a live entry.
type Peer struct {
	Name          string      `cbor:"1,keyasint" json:"name"`
	Address       string      `cbor:"2,keyasint" json:"address"`
	FailureDomain string      `cbor:"3,keyasint" json:"failure_domain"`
	Region        string      `cbor:"4,keyasint" json:"region"`
	Incarnation   Incarnation `cbor:"5,keyasint" json:"incarnation"`
	CPU           uint32      `cbor:"6,keyasint,omitempty" json:"cpu,omitempty"` // in thousandths of a core; 0: unknown
}

// Peers lists the live entries that the sender knows.
type Peers struct {
	Peers []Peer `cbor:"1,keyasint"`
}

// View is the part of a revision of the operators' configuration that one agent
// needs. Config is the encoded configuration of the agent's service; agents forward
// it unchanged and decode only the fields that config.AgentView defines.
type View struct {
	Revision uint64 `cbor:"1,keyasint"`
	Config   []byte `cbor:"2,keyasint"`
}

// Demand is the number of tasks queued at the sending entry that the agent's target
// could run, and the order key and class of the first.
type Demand struct {
	Waiting uint32   `cbor:"1,keyasint"`
	Key     OrderKey `cbor:"2,keyasint"`
	Class   Class    `cbor:"3,keyasint,omitempty"`
}

// Grant lets an entry use slots until TTL has passed on the agent's clock. Load is
// the number of tasks that run at the target or wait for it at any entry, by the
// agent's latest information.
type Grant struct {
	ID        GrantID       `cbor:"1,keyasint"`
	Slots     uint32        `cbor:"2,keyasint"`
	TTL       time.Duration `cbor:"3,keyasint"`
	ShortOnly bool          `cbor:"4,keyasint,omitempty"`
	Load      uint32        `cbor:"5,keyasint,omitempty"`
}

// Revoke asks an entry to return unused slots: at most Slots of each grant, or all of
// them if Slots is 0. The entry responds with one Return that lists every grant, also
// those without an unused slot.
type Revoke struct {
	Grants []GrantSlots `cbor:"1,keyasint"`
}

// GrantSlots is a number of unused slots of one grant.
type GrantSlots struct {
	ID    GrantID `cbor:"1,keyasint"`
	Slots uint32  `cbor:"2,keyasint,omitempty"`
}

// Return hands unused slots of grants back to the agent. The sender no longer uses
// them.
type Return struct {
	Grants []GrantSlots `cbor:"1,keyasint"`
}

// Start asks the agent to start one task. If the link is lost before the outcome
// arrives, a Query finds out whether the task was started.
type Start struct {
	Task      TaskID        `cbor:"1,keyasint"`
	Grant     GrantID       `cbor:"2,keyasint"`
	Revision  uint64        `cbor:"3,keyasint"`
	Workspace string        `cbor:"4,keyasint"`
	Class     Class         `cbor:"5,keyasint,omitempty"`
	TimeLeft  time.Duration `cbor:"6,keyasint"`
	Payload   []byte        `cbor:"7,keyasint,omitempty"`
	Demand    *Demand       `cbor:"8,keyasint,omitempty"`
	Acks      []TaskID      `cbor:"9,keyasint,omitempty"` // as in Ack.Tasks; saves a message
}

// OutcomeState is the state of a task at its target.
type OutcomeState uint8

// States of an outcome. Only after StateNeverSeen and StateRefused may another
// attempt be made.
const (
	StateRunning OutcomeState = iota + 1
	StateDone
	StateFailed
	StateRefused
	StateNeverSeen
	StateUnknown
)

// String returns the state's name in metrics and logs.
func (s OutcomeState) String() string {
	switch s {
	case StateRunning:
		return "running"
	case StateDone:
		return "done"
	case StateFailed:
		return "failed"
	case StateRefused:
		return "refused"
	case StateNeverSeen:
		return "never_seen"
	case StateUnknown:
		return "unknown"
	}
	return "invalid"
}

// Final reports whether the agent sends no further outcome of the task.
func (s OutcomeState) Final() bool { return s != StateRunning }

// Outcome reports the state of one task. Grant, if set, is a new grant; carrying it
// here saves a message.
type Outcome struct {
	Task    TaskID        `cbor:"1,keyasint"`
	State   OutcomeState  `cbor:"2,keyasint"`
	Code    result.Code   `cbor:"3,keyasint,omitempty"`
	Reason  string        `cbor:"4,keyasint,omitempty"`
	RunTime time.Duration `cbor:"5,keyasint,omitempty"`
	Result  []byte        `cbor:"6,keyasint,omitempty"`
	Grant   *Grant        `cbor:"7,keyasint,omitempty"`
	Load    uint32        `cbor:"8,keyasint,omitempty"` // as in Grant
}

// Ack acknowledges outcomes, which the agent can then delete. A BelowSeq other than 0
// promises that the sender sends no Start or Query for any job with a lower sequence
// number, so that the agent can also delete the identities of those jobs.
type Ack struct {
	Tasks    []TaskID `cbor:"1,keyasint"`
	BelowSeq uint64   `cbor:"2,keyasint,omitempty"`
}

// Query asks for the outcomes of tasks that were outstanding when a link was lost. A
// task that the agent has not seen is barred from starting later. Agent is the
// incarnation of the agent that the tasks were sent to; any other incarnation
// responds with StateUnknown.
type Query struct {
	Tasks []TaskID    `cbor:"1,keyasint"`
	Agent Incarnation `cbor:"2,keyasint,omitempty"`
}

// Cancel asks the agent to stop tasks. The agent still reports the outcome of each.
type Cancel struct {
	Tasks []TaskID `cbor:"1,keyasint"`
}

// Heartbeat shows that the sender is alive and which revision of the
// configuration it knows. Idle says that the sender has no work on the link.
// Interval is the longest time to the sender's next heartbeat; 0 stands for the
// shortest interval. Other times are in milliseconds.
type Heartbeat struct {
	Revision uint64        `cbor:"1,keyasint"`
	Idle     bool          `cbor:"2,keyasint,omitempty"`
	Interval time.Duration `cbor:"3,keyasint,omitempty"`
	// Sent is the age of the link at the sender. Echo is Sent of the receiver's last heartbeat,
	// and EchoAge is how long before this heartbeat it arrived: the sender was alive that long
	// after Echo, by the receiver's own clock. 0: none.
	Sent    uint64 `cbor:"4,keyasint,omitempty"`
	Echo    uint64 `cbor:"5,keyasint,omitempty"`
	EchoAge uint64 `cbor:"6,keyasint,omitempty"`
	// OriginAge is how long ago the entries from which the sender has the runs at the receiver were
	// all known to be alive.
	OriginAge uint64 `cbor:"7,keyasint,omitempty"`
}

// Leave announces that the sender is about to shut down.
type Leave struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// WorkspaceUsage is the number of running and waiting tasks of one workspace at one
// entry.
type WorkspaceUsage struct {
	Workspace string `cbor:"1,keyasint"`
	Running   uint32 `cbor:"2,keyasint"`
	Waiting   uint32 `cbor:"3,keyasint"`
}

// PeerState is the state that an entry sends to the other entries.
type PeerState struct {
	Revision      uint64           `cbor:"1,keyasint"`
	Workspaces    []WorkspaceUsage `cbor:"2,keyasint,omitempty"`
	Leaving       bool             `cbor:"3,keyasint,omitempty"`
	UsageReported bool             `cbor:"4,keyasint,omitempty"` // false: the usage is unknown, and an empty Workspaces does not mean zero
}

// DocumentRequest asks a peer for its configuration document if its revision is
// greater than NewerThan.
type DocumentRequest struct {
	NewerThan uint64 `cbor:"1,keyasint"`
}

// Document is a revision of the whole configuration document.
type Document struct {
	Revision uint64 `cbor:"1,keyasint"`
	Body     []byte `cbor:"2,keyasint"`
}
