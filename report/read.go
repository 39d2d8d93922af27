// Package report reads the structured logs of gateways and sidecars and renders them as an
// HTML page with plots: the results and latencies of jobs, and the state changes of the system
// in the same period.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors from reading logs and rendering pages.
var Error = errs.Class("report")

// maxLine bounds a log line, in bytes; a longer one ends the reading with an error.
const maxLine = 1 << 20

// Result is how a job was answered. Its text is shown on the page.
type Result string

// Results, from best to worst.
const (
	InTime    Result = "in time" // done within the objective
	Late      Result = "late"    // done after the objective
	Refused   Result = "refused" // not run
	Failed    Result = "failed"  // a task failed, or the outcome is unknown
	Abandoned Result = "left"    // the caller went away before the answer
)

// Results lists all results from best to worst; tables and plots use this order.
var Results = []Result{InTime, Late, Refused, Failed, Abandoned}

// Job is the log line of a job that ended.
type Job struct {
	At           time.Time
	Route        string
	Result       Result
	Latency      time.Duration // from arrival to answer
	WaitingTasks int           // tasks that waited at the gateway
	Targets      int           // targets that the gateway could reach
}

// Change is a log line about a change of a process's state.
type Change struct {
	At      time.Time
	Message string
	Detail  string
}

// LogData is the content of one or more logs that the page shows.
type LogData struct {
	Jobs    []Job
	Changes []Change
	Skipped int // number of lines that are not log lines
}

// logLine has the fields that this package reads. Durations are in seconds, as zap writes
// them.
type logLine struct {
	At      time.Time `json:"ts"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Route   string    `json:"route"`
	Outcome string    `json:"outcome"`
	InTime  bool      `json:"in_time"`
	Took    float64   `json:"took"`
	Queue   int       `json:"queue"`
	Targets int       `json:"targets"`
	Name    string    `json:"name"`
	Agent   string    `json:"agent"`
	Peer    string    `json:"peer"`
	Change  string    `json:"change"`
	Text    string    `json:"detail"`
	Error   string    `json:"error"`
}

// changes are the messages that the page lists. Messages about single links or runs would be
// too many.
var changes = map[string]bool{
	"gateway started": true, "gateway stopped": true, "sidecar started": true, "planned stop begins": true,
	"planned stop ends with requests left": true, "routes in force": true, "store lost": true, "store regained": true,
	"this process stood still": true, "entry lease is not renewed": true, "entry lease is renewed again": true,
	"target changed": true, "target left": true, "target started again": true, "target does not answer": true,
	"log lines dropped": true,
}

// Read adds the lines of a log. Text before the first brace of a line is skipped, because
// platforms put the time and the instance there.
func (d *LogData) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for s.Scan() {
		text := s.Bytes()
		i := bytes.IndexByte(text, '{')
		var l logLine
		if i < 0 || json.Unmarshal(text[i:], &l) != nil || l.Message == "" {
			d.Skipped++
			continue
		}
		d.add(l)
	}
	return Error.Wrap(s.Err())
}

func (d *LogData) add(l logLine) {
	switch {
	// A placer that died has logged no line for its jobs.
	case l.Message == "job ended", l.Message == "forwarded job ended" && l.Outcome == "expired":
		d.Jobs = append(d.Jobs, Job{
			At: l.At, Route: l.Route, Result: jobResult(l), Latency: time.Duration(l.Took * float64(time.Second)),
			WaitingTasks: l.Queue, Targets: l.Targets,
		})
	case changes[l.Message] || l.Level == "error":
		d.Changes = append(d.Changes, Change{At: l.At, Message: l.Message, Detail: firstNonBlank(l.Agent+" "+l.Change, l.Name, l.Peer, l.Error) + " " + l.Text})
	}
}

func jobResult(l logLine) Result {
	switch l.Outcome {
	case "done":
		if l.InTime {
			return InTime
		}
		return Late
	case "refused":
		return Refused
	case "cancelled":
		return Abandoned
	}
	return Failed
}

// firstNonBlank returns the first text that is neither empty nor a space, or an empty string.
func firstNonBlank(texts ...string) string {
	for _, t := range texts {
		if t != "" && t != " " {
			return t
		}
	}
	return ""
}
