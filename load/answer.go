package load

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/standin"
)

// taskPayload is the stand-in target's payload with padding, which the target
// ignores.
type taskPayload struct {
	standin.TargetPayload
	Padding string `json:"padding,omitempty"`
}

// failure is the failure report of the caller API.
type failure struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Reason string      `json:"reason"`
	Ran    result.Ran  `json:"ran"`
}

// reply is an answer of the caller API.
type reply struct {
	State   string            `json:"state"`
	Results []json.RawMessage `json:"results"`
	failure
}

const (
	stateComplete = "complete"
	stateFailed   = "failed"
)

func parseReply(status int, data []byte) (reply, error) {
	var a reply
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("status %d with a body that is not an answer", status)
	}
	if a.State != stateComplete && a.State != stateFailed {
		return a, fmt.Errorf("status %d with state %q", status, a.State)
	}
	return a, nil
}

// echo identifies one task of one job of one run.
func (d *driver) echo(job, task int) string { return fmt.Sprintf("%s-%d-%d", d.run, job, task) }

// body returns the request of a job.
func (d *driver) body(i int) io.Reader {
	job := d.records[i].job
	q := api.Job{
		Key:        fmt.Sprintf("%s-%d", d.run, i),
		Workspace:  job.workspace,
		Labels:     job.class.Labels,
		DeadlineMS: job.class.DeadlineMS,
		Idempotent: !job.class.NonIdempotent,
	}
	for t, run := range job.runMS {
		payload := taskPayload{Padding: strings.Repeat("p", job.class.PayloadBytes)}
		payload.RunMS = run
		payload.ResultBytes = job.class.ResultBytes
		payload.Fail = job.class.Fail
		payload.Echo = d.echo(i, t)
		text, _ := json.Marshal(payload) // numbers and ASCII strings always encode
		q.Tasks = append(q.Tasks, api.Task{
			Payload:   string(text),
			SizeBytes: int64(len(text)),
			RunMS:     job.declared[t],
		})
	}
	data, _ := json.Marshal(q)
	return bytes.NewReader(data)
}

// judge records an answer and whether it is complete and belongs to the job.
func (d *driver) judge(r *record, i int, a reply) {
	if a.State == stateFailed {
		r.outcome, r.failure = outcomeFailed, a.failure
		return
	}
	r.outcome = outcomeComplete
	if len(a.Results) != len(r.job.runMS) {
		r.wrong = fmt.Sprintf("job %d: complete answer with %d results for %d tasks", i, len(a.Results), len(r.job.runMS))
		return
	}
	for t, raw := range a.Results {
		got, err := parseResult(raw)
		want := d.echo(i, t)
		if err != nil || got.Echo != want || len(got.Padding) != r.job.class.ResultBytes {
			r.wrong = fmt.Sprintf("job %d: result %d is not the one of this task (echo %q, want %q, error %v)", i, t, got.Echo, want, err)
			return
		}
		r.tasks = append(r.tasks, got.Task)
	}
}

// parseResult reads a result that is embedded as JSON, as a string of JSON, or
// as a string of base64.
func parseResult(raw json.RawMessage) (standin.TargetResult, error) {
	var out standin.TargetResult
	var text string
	if json.Unmarshal(raw, &text) != nil {
		return out, json.Unmarshal(raw, &out)
	}
	err := json.Unmarshal([]byte(text), &out)
	if err == nil {
		return out, nil
	}
	decoded, decodeErr := base64.StdEncoding.DecodeString(text)
	if decodeErr != nil {
		return out, err
	}
	return out, json.Unmarshal(decoded, &out)
}
