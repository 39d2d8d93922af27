// Package api defines the JSON bodies of the callers' HTTP API: POST
// /v1/services/{service}/jobs takes a Job and returns an Answer. Clients can use it
// without the other packages of an entry.
package api

import (
	"encoding/base64"
	"encoding/json"
	"unicode/utf8"

	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/result"
)

// Job is the body of a submission.
type Job struct {
	Key        string    `json:"key"`       // request key, identifies the submission within its workspace
	Workspace  string    `json:"workspace"` // accounting unit of the caller
	Labels     label.Set `json:"labels,omitempty"`
	DeadlineMS int64     `json:"deadline_ms"` // from the arrival of the request to the answer
	Idempotent bool      `json:"idempotent"`
	Tasks      []Task    `json:"tasks"`
}

// Task is one task of a job. Size and run time are hints.
type Task struct {
	Payload   string  `json:"payload"`
	SizeBytes int64   `json:"size_bytes,omitempty"`
	RunMS     float64 `json:"run_ms,omitempty"`
}

// Result is one task's result in an answer: a JSON string where the bytes are
// UTF-8, otherwise an object with the bytes in base64.
type Result []byte

// MarshalJSON implements json.Marshaler.
func (r Result) MarshalJSON() ([]byte, error) {
	if utf8.Valid(r) {
		return json.Marshal(string(r))
	}
	return json.Marshal(struct {
		Base64 string `json:"base64"`
	}{base64.StdEncoding.EncodeToString(r)})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Result) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*r = Result(text)
		return nil
	}
	var object struct {
		Base64 []byte `json:"base64"`
	}
	if err := json.Unmarshal(data, &object); err != nil {
		return err
	}
	*r = object.Base64
	return nil
}

// Answer is the body of every answer to a caller. A complete answer has all
// results in the order of the tasks; a failed one has none.
type Answer struct {
	State        string      `json:"state"` // complete, failed
	Results      []Result    `json:"results,omitempty"`
	Code         result.Code `json:"code,omitempty"`
	Name         string      `json:"name,omitempty"`
	Reason       string      `json:"reason,omitempty"`
	Ran          result.Ran  `json:"ran,omitempty"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

// The states of an Answer.
const (
	StateComplete = "complete"
	StateFailed   = "failed"
)
