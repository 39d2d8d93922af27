// Package report reads the structured logs of gateways and sidecars and shows a day
// as a page with plots: how jobs were answered, how long that took, and what changed
// meanwhile.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("report")

// maxLine bounds a log line; longer ones end the reading with an error.
const maxLine = 1 << 20

// Result is how a caller was served.
type Result string

// Results of jobs, from best to worst.
const (
	InTime    Result = "in time" // done within the objective
	Late      Result = "late"    // done after it
	Refused   Result = "refused" // not run
	Failed    Result = "failed"  // a task failed, or the outcome is unknown
	Abandoned Result = "left"    // the caller went away
)

// Results lists the results in order.
var Results = []Result{InTime, Late, Refused, Failed, Abandoned}

// Job is one job's line in a gateway's log.
type Job struct {
	At           time.Time
	Route        string
	Result       Result
	Latency      time.Duration // arrival to answer
	WaitingTasks int           // tasks that waited at the gateway
	Targets      int           // targets that the gateway could reach
}

// Change is a line on a change of what a process believes.
type Change struct {
	At      time.Time
	Message string
	Detail  string
}

// LogData is what the logs of a system say.
type LogData struct {
	Jobs    []Job
	Changes []Change
	Skipped int // lines that are no log lines
}

// line has the fields that this package reads; zap writes durations in seconds.
type line struct {
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

// changes are the messages that the page lists; those that come for each link or run
// are in the logs only.
var changes = map[string]bool{
	"gateway started": true, "gateway stopped": true, "sidecar started": true, "planned stop begins": true,
	"planned stop ends with requests left": true, "routes in force": true, "store lost": true, "store regained": true,
	"this process stood still": true, "entry lease is not renewed": true, "entry lease is renewed again": true,
	"target changed": true, "target left": true, "target started again": true, "target does not answer": true,
	"log lines dropped": true,
}

// Read adds the lines of a log to a day. Text before a line's first brace is left
// out, as platforms put the time and the instance there.
func (d *LogData) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for s.Scan() {
		text := s.Bytes()
		i := bytes.IndexByte(text, '{')
		var l line
		if i < 0 || json.Unmarshal(text[i:], &l) != nil || l.Message == "" {
			d.Skipped++
			continue
		}
		d.add(l)
	}
	return Error.Wrap(s.Err())
}

func (d *LogData) add(l line) {
	switch {
	// A placer that died has no line on the jobs that it had.
	case l.Message == "job ended", l.Message == "forwarded job ended" && l.Outcome == "expired":
		d.Jobs = append(d.Jobs, Job{
			At: l.At, Route: l.Route, Result: resultOf(l), Latency: time.Duration(l.Took * float64(time.Second)),
			WaitingTasks: l.Queue, Targets: l.Targets,
		})
	case changes[l.Message] || l.Level == "error":
		d.Changes = append(d.Changes, Change{At: l.At, Message: l.Message, Detail: firstText(l.Agent+" "+l.Change, l.Name, l.Peer, l.Error) + " " + l.Text})
	}
}

func resultOf(l line) Result {
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

// firstText returns the first text that is not blank.
func firstText(texts ...string) string {
	for _, t := range texts {
		if t != "" && t != " " {
			return t
		}
	}
	return ""
}
