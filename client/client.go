// Package client sends jobs to an entry and returns the whole answer.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/catkinline/catkinline/entry"
	"github.com/catkinline/catkinline/label"
	"github.com/zeebo/errs"
)

// Error is the class of errors before a job was sent.
var Error = errs.Class("client")

// ErrBroken means that the connection broke before the whole answer arrived.
// The entry may have died with the job; an idempotent job may be sent again, a
// non-idempotent one with the same key.
var ErrBroken = errors.New("client: the connection broke, it is not known whether the job ran")

// Job is the body of a submission.
type Job struct {
	Key        string    `json:"key"`  // names the submission within its team
	Team       string    `json:"team"` // accounting unit of the caller
	Labels     label.Set `json:"labels,omitempty"`
	DeadlineMS int64     `json:"deadline_ms"` // from arrival to the answer
	Idempotent bool      `json:"idempotent"`
	Tasks      []Task    `json:"tasks"`
}

// Task is one task of a job. Size and run time are hints.
type Task struct {
	Payload   string  `json:"payload"`
	SizeBytes int64   `json:"size_bytes,omitempty"`
	RunMS     float64 `json:"run_ms,omitempty"`
}

// Limits of a client.
const (
	// maxAnswerBytes bounds an answer's memory; it is above what an entry sends.
	maxAnswerBytes = 1 << 30
	// answerGrace is what an answer may take beyond the job's deadline before
	// the connection counts as silent.
	answerGrace = 10 * time.Second
	dialTimeout = 3 * time.Second
)

// Client sends jobs to one entry or to the balancer before several.
type Client struct {
	base *url.URL
	http *http.Client
}

// New returns a client of the entry at base, such as http://127.0.0.1:8080.
func New(base string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, Error.New("%s is not an http address", label.Quote(base))
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	// A kept connection may have gone silent, which would cost a job its whole
	// deadline; opening a new one costs a round trip.
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &Client{base: u, http: &http.Client{Transport: transport}}, nil
}

// Submit sends a job and returns its answer, complete or failed. Its errors are
// of class Error where the job was certainly not sent, and otherwise wrap
// ErrBroken.
func (c *Client) Submit(ctx context.Context, service string, j Job) (entry.Answer, error) {
	if service == "" || service == "." || service == ".." {
		return entry.Answer{}, Error.New("%s is not a service's name", label.Quote(service))
	}
	body, err := json.Marshal(j)
	if err != nil {
		return entry.Answer{}, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(j.DeadlineMS)*time.Millisecond+answerGrace)
	defer cancel()
	address := c.base.JoinPath("v1", "services", url.PathEscape(service), "jobs").String()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return entry.Answer{}, Error.Wrap(err)
	}
	// A request without a replayable body is never sent twice by the transport.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return entry.Answer{}, sendError(err)
	}
	defer resp.Body.Close()
	return readAnswer(resp.Body)
}

func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Error.Wrap(err)
	}
	return fmt.Errorf("%w: %v", ErrBroken, err)
}

func readAnswer(r io.Reader) (entry.Answer, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes))
	if err != nil {
		return entry.Answer{}, fmt.Errorf("%w: %v", ErrBroken, err)
	}
	var a entry.Answer
	if err := json.Unmarshal(raw, &a); err != nil {
		return entry.Answer{}, fmt.Errorf("%w: the answer is not valid: %v", ErrBroken, err)
	}
	if a.State != entry.StateComplete && a.State != entry.StateFailed {
		return entry.Answer{}, fmt.Errorf("%w: the answer has state %q", ErrBroken, a.State)
	}
	return a, nil
}
