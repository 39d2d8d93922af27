package job

import (
	"encoding/json"
	"time"
	"unicode/utf8"

	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/result"
)

// jobBody is the JSON form of a job.
type jobBody struct {
	Key        string      `json:"key"`
	Workspace  string      `json:"workspace"`
	Labels     label.Set   `json:"labels"`
	DeadlineMS int64       `json:"deadline_ms"`
	Idempotent bool        `json:"idempotent"`
	Tasks      []*taskBody `json:"tasks"`
}

// taskBody is the JSON form of a task. The payload is any JSON string; the target
// gets its UTF-8 text.
type taskBody struct {
	Payload   string  `json:"payload"`
	SizeBytes int64   `json:"size_bytes"`
	RunMS     float64 `json:"run_ms"`
}

// Decode decodes and validates a job from a caller's request body. Every error is the caller's fault,
// has a code from 100 to 114 and says that no task ran. The job does not refer to the body.
func Decode(raw []byte, l Limits) (*Spec, *result.Error) {
	if int64(len(raw)) > l.BodyBytes {
		return nil, result.Newf(result.BodyTooLarge, "the limit is %d bytes", l.BodyBytes)
	}
	// encoding/json silently replaces invalid UTF-8, which would change the
	// payload.
	if !utf8.Valid(raw) {
		return nil, result.New(result.BadRequest, "the request body is not valid UTF-8")
	}
	if refusal := scan(raw, l); refusal != nil {
		return nil, refusal
	}
	var b jobBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, result.New(result.BadRequest, err.Error())
	}
	spec, refusal := b.spec(l)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := spec.Validate(l); refusal != nil {
		return nil, refusal
	}
	return spec, nil
}

func (b *jobBody) spec(l Limits) (*Spec, *result.Error) {
	spec := &Spec{
		Key:         b.Key,
		Workspace:   b.Workspace,
		Labels:      b.Labels,
		Deadline:    deadline(b.DeadlineMS, l),
		Idempotent:  b.Idempotent,
		Tasks:       make([]Task, 0, len(b.Tasks)),
		ResultBytes: l.ResultBytes,
		AnswerBytes: l.AnswerBytes,
	}
	for i, t := range b.Tasks {
		if t == nil {
			return nil, result.Newf(result.BadRequest, "task %d is null", i)
		}
		spec.Tasks = append(spec.Tasks, t.task())
	}
	return spec, nil
}

// deadline converts milliseconds to a duration; 0 gives the default. Values that
// would overflow are capped just above the upper bound, so that Validate refuses
// them.
func deadline(ms int64, l Limits) time.Duration {
	if ms > l.MaxDeadline.Milliseconds() {
		return l.MaxDeadline + 1
	}
	if ms == 0 {
		return l.DefaultDeadline
	}
	if ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// task converts a task and caps its hints. A negative hint stays negative, so that
// Validate refuses it.
func (t *taskBody) task() Task {
	run := min(t.RunMS*float64(time.Millisecond), float64(maxRunTimeHint))
	return Task{
		Payload:   []byte(t.Payload),
		SizeBytes: min(t.SizeBytes, maxSizeHint),
		RunTime:   time.Duration(max(run, -1)),
	}
}
