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

// taskPayload is the payload of the stand-in target with padding that the target
// ignores.
type taskPayload struct {
	standin.TargetPayload
	Padding string `json:"padding,omitempty"`
}

// failure is a failure report of the caller API.
type failure struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Reason string      `json:"reason"`
	Ran    result.Ran  `json:"ran"`
}

// apiResponse is a response of the caller API to a job.
type apiResponse struct {
	State   string            `json:"state"`
	Results []json.RawMessage `json:"results"`
	failure
}

const (
	stateComplete = "complete"
	stateFailed   = "failed"
)

// parseAPIResponse decodes a response body and rejects unknown states.
func parseAPIResponse(status int, data []byte) (apiResponse, error) {
	var response apiResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return response, fmt.Errorf("status %d with a body that is not a valid response", status)
	}
	if response.State != stateComplete && response.State != stateFailed {
		return response, fmt.Errorf("status %d with unknown state %q", status, response.State)
	}
	return response, nil
}

// echo returns the value that a task's result must repeat. It is unique to the
// task within the run.
func (d *driver) echo(job, task int) string { return fmt.Sprintf("%s-%d-%d", d.keyPrefix, job, task) }

// body returns the request body of job i.
func (d *driver) body(i int) io.Reader {
	job := d.records[i].job
	q := api.Job{
		Key:        fmt.Sprintf("%s-%d", d.keyPrefix, i),
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
		text, _ := json.Marshal(payload) // numbers and ASCII strings can always be encoded
		q.Tasks = append(q.Tasks, api.Task{
			Payload:   string(text),
			SizeBytes: int64(len(text)),
			RunMS:     job.declared[t],
		})
	}
	data, _ := json.Marshal(q)
	return bytes.NewReader(data)
}

// recordResponse stores the outcome of job i and records a violation if a complete
// response has missing results or results of other tasks.
func (d *driver) recordResponse(r *record, i int, response apiResponse) {
	if response.State == stateFailed {
		r.outcome, r.failure = outcomeFailed, response.failure
		return
	}
	r.outcome = outcomeComplete
	if len(response.Results) != len(r.job.runMS) {
		r.violation = fmt.Sprintf("job %d: complete response with %d results for %d tasks", i, len(response.Results), len(r.job.runMS))
		return
	}
	for t, raw := range response.Results {
		got, err := parseResult(raw)
		want := d.echo(i, t)
		if err != nil || got.Echo != want || len(got.Padding) != r.job.class.ResultBytes {
			r.violation = fmt.Sprintf("job %d: result %d does not belong to this task (echo %q, want %q, error %v)", i, t, got.Echo, want, err)
			return
		}
		r.tasks = append(r.tasks, got.Task)
	}
}

// parseResult decodes a result that is embedded as a JSON value, as a string of
// JSON, or as a string of base64-encoded JSON.
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
