package config

import (
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
)

// Outcome says what became of a change.
type Outcome string

// The outcomes. Refused is used only if this attempt certainly changed nothing.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// Result is the answer to a change.
type Result struct {
	Outcome  Outcome         `json:"outcome"`
	Revision uint64          `json:"revision,omitempty"` // accepted: the document's revision after the change
	Code     result.Code     `json:"code,omitempty"`     // refused or unknown
	Name     string          `json:"name,omitempty"`     // of the code
	Reason   string          `json:"reason,omitempty"`
	Errors   settings.Errors `json:"errors,omitempty"`   // ConfigInvalid, ConfigTooLarge
	Conflict *Conflict       `json:"conflict,omitempty"` // ConfigConflict
}

// Conflict shows both sides of a change that lost to another.
type Conflict struct {
	Base    uint64       `json:"base"`    // the revision that the change was made from
	Current uint64       `json:"current"` // the revision with the other side's content
	Objects []Difference `json:"objects"`
}

func accepted(revision uint64) Result {
	return Result{Outcome: Accepted, Revision: revision}
}

func refused(code result.Code, detail string) Result {
	return Result{Outcome: Refused, Code: code, Name: code.String(), Reason: result.New(code, detail).Reason}
}

func invalid(faults settings.Errors) Result {
	r := refused(result.ConfigInvalid, "")
	r.Errors = faults
	return r
}

func oversized(bytes int) Result {
	r := refused(result.ConfigTooLarge, "")
	r.Errors = tooLarge(bytes)
	return r
}

func conflicting(base, current uint64, objects []Difference) Result {
	r := refused(result.ConfigConflict, "")
	r.Conflict = &Conflict{Base: base, Current: current, Objects: objects}
	return r
}
