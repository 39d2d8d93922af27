// Package job decodes jobs from callers' requests, validates them against limits,
// and tracks the tasks of each job until its answer.
package job

import (
	"sort"
	"time"

	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/result"
)

// Task is one task of a job. SizeBytes and RunTime are the caller's hints, which are
// often wrong by a large factor; zero means that the caller gave none.
type Task struct {
	Payload   []byte
	SizeBytes int64
	RunTime   time.Duration
}

// Spec is a job as its caller submitted it, with the limits on its results.
type Spec struct {
	Key         string        // request key, identifies the submission
	Workspace   string        // accounting unit of the caller
	Labels      label.Set     // matched by the services' request selectors
	Deadline    time.Duration // from arrival to the answer
	Idempotent  bool
	Tasks       []Task
	ResultBytes int   // limit on the result of one task; zero: none
	AnswerBytes int64 // limit on the total size of the results; zero: none
	// HoldResult reports whether a result fits into the memory for the results of all jobs, and counts it there until
	// the job is answered. It must not block. Nil: all results fit.
	HoldResult func(bytes int) bool
}

// PayloadBytes returns the sum of the payloads' sizes.
func (s *Spec) PayloadBytes() int64 {
	var n int64
	for i := range s.Tasks {
		n += int64(len(s.Tasks[i].Payload))
	}
	return n
}

// Limits bounds one job. The comments name the result code for each limit.
type Limits struct {
	BodyBytes       int64         // BodyTooLarge
	Tasks           int           // TooManyTasks
	PayloadBytes    int           // PayloadTooLarge, per task
	ResultBytes     int           // ResultTooLarge, per task
	AnswerBytes     int64         // ResultTooLarge, all results of the job
	Labels          int           // TooManyLabels
	LabelKeyBytes   int           // LabelTooLong
	LabelValueBytes int           // LabelTooLong
	Nesting         int           // NestingTooDeep, levels of arrays and objects
	KeyBytes        int           // BadRequest
	WorkspaceBytes  int           // UnknownWorkspace
	MinDeadline     time.Duration // BadDeadline
	MaxDeadline     time.Duration // BadDeadline
	DefaultDeadline time.Duration // for a job without a deadline; zero: BadDeadline
}

// DefaultLimits returns the limits that apply where neither the settings nor the
// service's configuration sets others.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:       32 << 20,
		Tasks:           160,
		PayloadBytes:    1 << 20,
		ResultBytes:     4 << 20,
		AnswerBytes:     64 << 20,
		Labels:          label.MaxLabels,
		LabelKeyBytes:   label.MaxKeyBytes,
		LabelValueBytes: label.MaxValueBytes,
		Nesting:         8, // the body needs three levels
		KeyBytes:        256,
		WorkspaceBytes:  63,
		MinDeadline:     time.Millisecond,
		MaxDeadline:     24 * time.Hour, // upper limit of what a service may configure; its own limit is lower
	}
}

// maxRunTimeHint caps declared run times, so that their sums do not overflow.
const maxRunTimeHint = 24 * time.Hour

// maxSizeHint caps declared sizes, in bytes, so that their sums do not overflow.
const maxSizeHint = 1 << 40

// Validate checks a specification against the limits. It returns nil or an error
// with the code of the first limit that the job exceeds.
func (s *Spec) Validate(l Limits) *result.Error {
	if err := s.validateNames(l); err != nil {
		return err
	}
	if s.Deadline < l.MinDeadline || s.Deadline > l.MaxDeadline {
		return result.Newf(result.BadDeadline, "%v is not between %v and %v", s.Deadline, l.MinDeadline, l.MaxDeadline)
	}
	if err := validateLabels(s.Labels, l); err != nil {
		return err
	}
	return validateTasks(s.Tasks, l)
}

func (s *Spec) validateNames(l Limits) *result.Error {
	if s.Key == "" {
		return result.New(result.MissingKey, "")
	}
	if len(s.Key) > l.KeyBytes {
		return result.Newf(result.BadRequest, "the request key has %d bytes, the limit is %d", len(s.Key), l.KeyBytes)
	}
	if s.Workspace == "" || len(s.Workspace) > l.WorkspaceBytes {
		return result.Newf(result.UnknownWorkspace, "the workspace name has %d bytes", len(s.Workspace))
	}
	return nil
}

// validateLabels checks the labels in the order of their keys, so that the same set
// always gives the same error.
func validateLabels(set label.Set, l Limits) *result.Error {
	if len(set) > l.Labels {
		return result.Newf(result.TooManyLabels, "%d labels, the limit is %d", len(set), l.Labels)
	}
	keys := make([]string, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		if err := validateLabel(k, set[k], l); err != nil {
			return err
		}
	}
	return nil
}

func validateLabel(key, value string, l Limits) *result.Error {
	if len(key) > l.LabelKeyBytes {
		return result.Newf(result.LabelTooLong, "a label key has %d bytes, the limit is %d", len(key), l.LabelKeyBytes)
	}
	if len(value) > l.LabelValueBytes {
		return result.Newf(result.LabelTooLong, "label %q has a value of %d bytes, the limit is %d", key, len(value), l.LabelValueBytes)
	}
	if key == "" || !label.ValidName(key) || !label.ValidName(value) {
		return result.Newf(result.BadLabel, "label %q", key)
	}
	return nil
}

func validateTasks(tasks []Task, l Limits) *result.Error {
	if len(tasks) == 0 {
		return result.New(result.NoTasks, "")
	}
	if len(tasks) > l.Tasks {
		return result.Newf(result.TooManyTasks, "the limit is %d", l.Tasks)
	}
	for i := range tasks {
		t := &tasks[i]
		if len(t.Payload) > l.PayloadBytes {
			return result.Newf(result.PayloadTooLarge, "the payload of task %d has %d bytes, the limit is %d", i, len(t.Payload), l.PayloadBytes)
		}
		if t.SizeBytes < 0 || t.RunTime < 0 {
			return result.Newf(result.BadHint, "task %d has a negative hint", i)
		}
	}
	return nil
}
