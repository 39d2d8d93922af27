package wire

import (
	"time"

	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/result"
)

// Type is the number of a message type on the wire.
type Type uint8

// Message types. Numbers are never reused.
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
)

// typeNames are the names of message types in metrics and logs.
var typeNames = map[Type]string{
	TypeHello: "hello", TypeWelcome: "welcome", TypeAnnounce: "announce", TypePeers: "peers",
	TypeView: "view", TypeDemand: "demand", TypeGrant: "grant", TypeRevoke: "revoke",
	TypeReturn: "return", TypeStart: "start", TypeOutcome: "outcome", TypeAck: "ack",
	TypeQuery: "query", TypeCancel: "cancel", TypeHeartbeat: "heartbeat", TypeLeave: "leave",
	TypePeerState: "peer_state", TypeDocument: "document", TypeDocumentRequest: "document_request",
	TypeTargetState: "target_state", TypeRoom: "room", TypeRunStart: "run_start", TypeRunEnd: "run_end", TypeRunStop: "run_stop",
	TypeBacklog: "backlog", TypeJobForward: "job_forward", TypeJobAnswer: "job_answer", TypeJobCancel: "job_cancel",
}

// String returns the type's name in metrics and logs.
func (t Type) String() string { return typeNames[t] }

// Message is one message between two processes of the system.
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

// Class is the run-time class of a task.
type Class uint8

// The two classes. Long work is kept from filling the slots reserved for short
// work.
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

// OrderKey ranks waiting work: the lowest key is started first. Entries derive
// it so that keys of different entries compare.
type OrderKey float64

// Hello opens a link. The dialer sends it first.
type Hello struct {
	Version     uint16      `cbor:"1,keyasint"`
	Role        Role        `cbor:"2,keyasint"`
	Name        string      `cbor:"3,keyasint"`
	Incarnation Incarnation `cbor:"4,keyasint"`
}

// Welcome answers Hello. A non-empty Refusal says why the link is closed.
type Welcome struct {
	Version     uint16      `cbor:"1,keyasint"`
	Name        string      `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	Refusal     string      `cbor:"4,keyasint,omitempty"`
}

// Announce tells an entry about the agent's target. It is sent again when
// anything in it changes.
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
	CPU           uint32      `cbor:"6,keyasint,omitempty" json:"cpu,omitempty"` // thousandths of a core; 0: not known
}

// Peers lists the live entries that the sender knows.
type Peers struct {
	Peers []Peer `cbor:"1,keyasint"`
}

// View is the part of the operators' configuration that one agent needs, at a
// revision. Config is the encoded configuration of the agent's service; agents
// pass it on without reading more of it than config.AgentView defines.
type View struct {
	Revision uint64 `cbor:"1,keyasint"`
	Config   []byte `cbor:"2,keyasint"`
}

// Demand tells an agent how many waiting tasks of the sender its target could
// run, and the order key of the first. Seq orders demands of one sender.
type Demand struct {
	Waiting uint32   `cbor:"1,keyasint"`
	Key     OrderKey `cbor:"2,keyasint"`
	Class   Class    `cbor:"3,keyasint,omitempty"`
}

// Grant offers slots to an entry until TTL has passed on the agent's clock.
// Load is the number of tasks running at the target and waiting for it at all
// entries, as the agent last heard.
type Grant struct {
	ID        GrantID       `cbor:"1,keyasint"`
	Slots     uint32        `cbor:"2,keyasint"`
	TTL       time.Duration `cbor:"3,keyasint"`
	ShortOnly bool          `cbor:"4,keyasint,omitempty"`
	Load      uint32        `cbor:"5,keyasint,omitempty"`
}

// Revoke asks for unused slots of grants back: of each grant at most Slots, or
// all where Slots is 0. The entry answers with one Return that names every
// grant, also those of which it has no slot left.
type Revoke struct {
	Grants []GrantSlots `cbor:"1,keyasint"`
}

// GrantSlots is a number of unused slots of one grant.
type GrantSlots struct {
	ID    GrantID `cbor:"1,keyasint"`
	Slots uint32  `cbor:"2,keyasint,omitempty"`
}

// Return gives back unused slots of grants. The sender will not use them.
type Return struct {
	Grants []GrantSlots `cbor:"1,keyasint"`
}

// Start asks the agent to start one task. Its loss is ambiguous until a Query
// resolves it.
type Start struct {
	Task      TaskID        `cbor:"1,keyasint"`
	Grant     GrantID       `cbor:"2,keyasint"`
	Revision  uint64        `cbor:"3,keyasint"`
	Workspace string        `cbor:"4,keyasint"`
	Class     Class         `cbor:"5,keyasint,omitempty"`
	TimeLeft  time.Duration `cbor:"6,keyasint"`
	Payload   []byte        `cbor:"7,keyasint,omitempty"`
	Demand    *Demand       `cbor:"8,keyasint,omitempty"`
	Acks      []TaskID      `cbor:"9,keyasint,omitempty"` // as in Ack, to save a message
}

// OutcomeState says how far a task got on its target.
type OutcomeState uint8

// States of an outcome. NeverSeen and Refused are the only ones that permit
// another attempt.
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

// Final reports whether the agent will send nothing further about the task.
func (s OutcomeState) Final() bool { return s != StateRunning }

// Outcome reports on one task. Grant, where set, is a new grant that saves a
// message.
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

// Ack lets the agent forget outcomes. BelowSeq, where set, says that the sender
// will send no Start and no Query for a job with a lower sequence number, so
// that the agent can forget these jobs' identities.
type Ack struct {
	Tasks    []TaskID `cbor:"1,keyasint"`
	BelowSeq uint64   `cbor:"2,keyasint,omitempty"`
}

// Query asks for the outcome of tasks that were out when a link was lost. A
// task that the agent never saw is barred from starting later. Agent is the
// agent incarnation that the tasks were sent to; any other answers unknown.
type Query struct {
	Tasks []TaskID    `cbor:"1,keyasint"`
	Agent Incarnation `cbor:"2,keyasint,omitempty"`
}

// Cancel asks the agent to stop tasks. Each still gets its outcome.
type Cancel struct {
	Tasks []TaskID `cbor:"1,keyasint"`
}

// Heartbeat shows that the sender is alive and which revision of the
// configuration it knows. Idle says that the sender has no work on the link.
// Interval is the longest time to the sender's next message; 0 stands for the
// shortest interval.
type Heartbeat struct {
	Revision uint64        `cbor:"1,keyasint"`
	Idle     bool          `cbor:"2,keyasint,omitempty"`
	Interval time.Duration `cbor:"3,keyasint,omitempty"`
}

// Leave announces a planned stop of the sender.
type Leave struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// WorkspaceUsage is one workspace's use of slots at one entry.
type WorkspaceUsage struct {
	Workspace string `cbor:"1,keyasint"`
	Running   uint32 `cbor:"2,keyasint"`
	Waiting   uint32 `cbor:"3,keyasint"`
}

// PeerState is what entries tell each other about themselves.
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

// Document is the whole configuration document at a revision.
type Document struct {
	Revision uint64 `cbor:"1,keyasint"`
	Body     []byte `cbor:"2,keyasint"`
}
