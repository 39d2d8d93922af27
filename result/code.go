// Package result defines the numbered result codes, what each says about whether any
// task ran, and the error type that carries them.
package result

import "fmt"

// Code is a numbered result code. docs/result-codes.md lists every code.
type Code uint16

// Codes 100 to 199: the request is invalid and was not run.
const (
	BadRequest       Code = 100
	UnknownField     Code = 101
	BodyTooLarge     Code = 102
	TooManyTasks     Code = 103
	NoTasks          Code = 104
	PayloadTooLarge  Code = 105
	TooManyLabels    Code = 106
	LabelTooLong     Code = 107
	NestingTooDeep   Code = 108
	BadDeadline      Code = 109
	UnknownService   Code = 110
	UnknownWorkspace Code = 111
	MissingKey       Code = 112
	BadLabel         Code = 113
	BadHint          Code = 114
	HeadTooLarge     Code = 115
	RequestTimeout   Code = 116
)

// Codes 200 to 299: the system refused the job and did not run it.
const (
	NoMatchingTarget   Code = 200
	QueueFull          Code = 201
	DeadlineInfeasible Code = 202
	WorkspaceQueueFull Code = 203
	Stopping           Code = 204
	ClaimUnavailable   Code = 205
	AlreadyClaimed     Code = 206
	NotConfigured      Code = 207
	ExpiredInQueue     Code = 208
	CancelledInQueue   Code = 209
	Busy               Code = 210
)

// Codes 300 to 399: the job was accepted and failed.
const (
	TaskFailed       Code = 300
	OutcomeUnknown   Code = 301
	DeadlineExceeded Code = 302
	Cancelled        Code = 303
	ResultTooLarge   Code = 304
	TargetTimeout    Code = 305
	AttemptsSpent    Code = 306
	TargetLost       Code = 307
	AnswerDropped    Code = 308
)

// Codes 400 to 499: an agent refused one start; the task was not run and the
// entry may try another target.
const (
	GrantExpired   Code = 400
	OldRevision    Code = 401
	Draining       Code = 402
	SlotsFull      Code = 403
	IdentityBarred Code = 404
	DuplicateStart Code = 405
	StartTooLate   Code = 406
	TargetRefused  Code = 407
	WrongService   Code = 408
)

// Codes 500 to 599: operator requests.
const (
	ConfigConflict    Code = 500
	ConfigInvalid     Code = 501
	ConfigUnknown     Code = 502
	ConfigUnavailable Code = 503
	NotPermitted      Code = 504
	ConfigTooLarge    Code = 505
)

// Ran says whether any task of a job was started on a target.
type Ran string

// The three values of Ran. RanUnknown is used wherever NotRun is not certain.
const (
	NotRun     Ran = "not_run"
	RanYes     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// Info describes a code: its name, the HTTP status that carries it, and what it
// says about whether a task ran if nothing more exact is known.
type Info struct {
	Name   string
	Status int
	Ran    Ran
	Reason string
}

// Lookup returns the description of a code.
func Lookup(c Code) (Info, bool) {
	i, ok := table[c]
	return i, ok
}

// All returns every code with its description.
func All() map[Code]Info {
	out := make(map[Code]Info, len(table))
	for c, i := range table {
		out[c] = i
	}
	return out
}

// String returns the code's name.
func (c Code) String() string {
	if i, ok := table[c]; ok {
		return i.Name
	}
	return fmt.Sprintf("code_%d", uint16(c))
}
