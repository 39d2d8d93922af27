package config

import (
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
)

// Outcome is the outcome of a change, as reported in the operator API.
type Outcome string

// Outcomes of a change. Refused means that this attempt is known to have changed nothing.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// Result is the response to a change.
type Result struct {
	Outcome  Outcome         `json:"outcome"`
	Revision uint64          `json:"revision,omitempty"` // if Accepted: the document's revision after the change
	Code     result.Code     `json:"code,omitempty"`     // set if Outcome is Refused or Unknown
	Name     string          `json:"name,omitempty"`     // name of Code
	Reason   string          `json:"reason,omitempty"`
	Errors   settings.Errors `json:"errors,omitempty"`   // ConfigInvalid, ConfigTooLarge
	Conflict *Conflict       `json:"conflict,omitempty"` // ConfigConflict
}

// Conflict describes how a refused change differs from a change written before it.
type Conflict struct {
	Base    uint64       `json:"base"`    // the revision that the change was made from
	Current uint64       `json:"current"` // the revision that has the other change's content
	Objects []Difference `json:"objects"`
}

func acceptedResult(revision uint64) Result {
	return Result{Outcome: Accepted, Revision: revision}
}

func refusedResult(code result.Code, detail string) Result {
	return Result{Outcome: Refused, Code: code, Name: code.String(), Reason: result.New(code, detail).Reason}
}

func invalidResult(errs settings.Errors) Result {
	r := refusedResult(result.ConfigInvalid, "")
	r.Errors = errs
	return r
}

func tooLargeResult(bytes int) Result {
	r := refusedResult(result.ConfigTooLarge, "")
	r.Errors = tooLargeError(bytes)
	return r
}

func conflictResult(base, current uint64, objects []Difference) Result {
	r := refusedResult(result.ConfigConflict, "")
	r.Conflict = &Conflict{Base: base, Current: current, Objects: objects}
	return r
}
