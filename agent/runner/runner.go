// Package runner runs single tasks on a target over HTTP and reports the outcome of
// each: done, failed, not run, or unknown.
package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

// Headers and paths of the target protocol.
const (
	HeaderTask   = "Catkinline-Task"
	HeaderNotRun = "Catkinline-Not-Run"
	PathTasks    = "/tasks"
	PathStatus   = "/status"
)

// Defaults of Config.
const (
	DefaultConnections = 64
	DefaultResultBytes = 4 << 20
	// DefaultRunLimit is far above the 30 s of the longest expected tasks, so that it
	// ends only tasks that would otherwise hold a slot forever.
	DefaultRunLimit = 10 * time.Minute
	// DefaultConnectLimit is far above the time to reach a target on the same
	// machine or in the same rack. A connection that is not open by then has
	// carried no request, so the task can be retried on another target.
	DefaultConnectLimit = time.Second
)

const (
	reasonBytes = 256      // of a failed response's body that are included in the reason
	statusBytes = 64 << 10 // of an answer to GET /status
	headerBytes = 64 << 10 // of a response's headers
	resultPart  = 64 << 10 // in which a result is read
)

// Error is the class of errors from the status request.
var Error = errs.Class("target")

var (
	errRunLimit       = errors.New("the run-time limit has passed")
	errResultTooLarge = errors.New("the result is too large")
)

// Config describes a target. URL is required; zero fields take the defaults.
type Config struct {
	URL          string        // http://ip:port
	Connections  int           // open at once
	ResultBytes  int           // of one result
	RunLimit     time.Duration // of a task for which Run is given no limit
	ConnectLimit time.Duration // to open a connection
}

// Report describes how a task ended. MayBeRunning is set if the response did not end,
// so that the target may still be running the task.
type Report struct {
	Outcome      wire.Outcome
	MayBeRunning bool
}

// Runner runs tasks on one target.
//
// Every request has its own connection, closed after the response. An idle
// connection that is reused may be dead, which would cost a task its whole run-time
// limit, or be closed by the target just as a request is written, which makes the
// outcome of an ordinary task unknown. Opening a connection to a target next to the
// agent is cheap compared with any task.
type Runner struct {
	cfg    Config
	client *http.Client
}

// New returns a runner for a target.
func New(cfg Config) *Runner {
	options.Default(&cfg.Connections, DefaultConnections)
	options.Default(&cfg.ResultBytes, DefaultResultBytes)
	options.Default(&cfg.RunLimit, DefaultRunLimit)
	options.Default(&cfg.ConnectLimit, DefaultConnectLimit)
	dialer := &net.Dialer{Timeout: cfg.ConnectLimit}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
	return &Runner{cfg: cfg, client: &http.Client{
		Transport: &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxConnsPerHost:        cfg.Connections,
			MaxResponseHeaderBytes: headerBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Run runs one task and returns when its response ended, the limit passed (0:
// the default) or ctx was cancelled. It sends at most one request.
func (r *Runner) Run(ctx context.Context, task wire.TaskID, payload []byte, limit time.Duration) Report {
	if limit <= 0 {
		limit = r.cfg.RunLimit
	}
	ctx, cancel := context.WithTimeoutCause(ctx, limit, errRunLimit)
	defer cancel()
	started := time.Now()
	report := r.run(ctx, task, payload)
	report.Outcome.Task = task
	report.Outcome.RunTime = time.Since(started)
	return report
}

func (r *Runner) run(ctx context.Context, task wire.TaskID, payload []byte) Report {
	var conns connTracker
	ctx = httptrace.WithClientTrace(ctx, conns.trace())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.cfg.URL+PathTasks, bytes.NewReader(payload))
	if err != nil {
		return ended(wire.StateRefused, result.TargetRefused, err.Error())
	}
	req.Header.Set(HeaderTask, task.String())
	resp, err := r.client.Do(req)
	if err != nil {
		return broken(ctx, err, conns.mayHaveWritten())
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusOK:
		return r.readResult(ctx, resp)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true":
		return ended(wire.StateRefused, result.TargetRefused, "")
	}
	return readFailure(resp)
}

func (r *Runner) readResult(ctx context.Context, resp *http.Response) Report {
	body, err := readParts(resp, r.cfg.ResultBytes)
	switch {
	case errors.Is(err, errResultTooLarge):
		return possiblyRunning(wire.StateFailed, result.ResultTooLarge, "")
	case err != nil:
		return broken(ctx, err, true)
	}
	return Report{Outcome: wire.Outcome{State: wire.StateDone, Result: body}}
}

// readParts reads a body of at most limit bytes in parts of resultPart, so that a body that is too large takes no
// more than the limit. Buffers that grow to it would take three times as much.
func readParts(resp *http.Response, limit int) ([]byte, error) {
	if resp.ContentLength > int64(limit) {
		return nil, errResultTooLarge
	}
	var parts [][]byte
	for total := 0; ; {
		size := resultPart
		if resp.ContentLength >= 0 {
			size = min(size, int(resp.ContentLength)-total+1) // one more shows the end
		}
		part, err := readPart(resp.Body, size)
		parts, total = append(parts, part), total+len(part)
		switch {
		case total > limit:
			return nil, errResultTooLarge
		case err == io.EOF:
			return slices.Concat(parts...), nil
		case err != nil:
			return nil, err
		}
	}
}

// readPart reads until a part is full. The error is io.EOF if the body has ended.
func readPart(body io.Reader, size int) ([]byte, error) {
	part := make([]byte, size)
	for n := 0; ; {
		read, err := body.Read(part[n:])
		n += read
		if err != nil || n == len(part) {
			return part[:n], err
		}
	}
}

// readFailure reports a response that is neither a result nor a refusal. The
// reason includes the start of the body. If the body does not end, the target may
// still be running the task.
func readFailure(resp *http.Response) Report {
	body, err := io.ReadAll(io.LimitReader(resp.Body, reasonBytes+1))
	text := string(bytes.ToValidUTF8(body[:min(len(body), reasonBytes)], nil))
	report := ended(wire.StateFailed, result.TaskFailed, fmt.Sprintf("status %d: %s", resp.StatusCode, text))
	report.MayBeRunning = err != nil || len(body) > reasonBytes
	return report
}

// broken reports a request without a complete response. The task counts as not run
// only if nothing of the request was written.
func broken(ctx context.Context, err error, written bool) Report {
	cause := context.Cause(ctx)
	if cause != nil {
		err = cause
	}
	switch {
	case !written:
		return ended(wire.StateRefused, result.TargetRefused, err.Error())
	case errors.Is(cause, errRunLimit):
		return possiblyRunning(wire.StateUnknown, result.TargetTimeout, "")
	case cause != nil:
		return possiblyRunning(wire.StateUnknown, result.Cancelled, "")
	}
	return possiblyRunning(wire.StateUnknown, result.OutcomeUnknown, err.Error())
}

func ended(state wire.OutcomeState, code result.Code, detail string) Report {
	return Report{Outcome: wire.Outcome{State: state, Code: code, Reason: result.New(code, detail).Reason}}
}

func possiblyRunning(state wire.OutcomeState, code result.Code, detail string) Report {
	report := ended(state, code, detail)
	report.MayBeRunning = true
	return report
}

// Status is the target's answer to GET /status.
type Status struct {
	Running int `json:"running"` // tasks that the target is running
}

// Status asks the target how many tasks it is running.
func (r *Runner) Status(ctx context.Context) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.cfg.URL+PathStatus, nil)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, Error.New("GET %s: status %d", PathStatus, resp.StatusCode)
	}
	status := Status{Running: -1}
	if err := json.NewDecoder(io.LimitReader(resp.Body, statusBytes)).Decode(&status); err != nil {
		return 0, Error.Wrap(err)
	}
	if status.Running < 0 {
		return 0, Error.New("GET %s: the response has no valid number of running tasks", PathStatus)
	}
	return status.Running, nil
}
