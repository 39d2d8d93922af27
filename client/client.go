// Package client submits jobs to an entry over HTTP and returns complete answers.
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

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/label"
	"github.com/zeebo/errs"
)

// Error is the class of errors that occur before a job is sent.
var Error = errs.Class("client")

// ErrBroken means that no complete answer arrived, so that it is unknown whether the
// job ran: the entry may have crashed with the job. An idempotent job can be submitted again, a non-idempotent one only with
// the same key.
var ErrBroken = errors.New("client: the connection broke, it is not known whether the job ran")

// Limits and timeouts of a client.
const (
	// maxAnswerBytes limits the memory for an answer. It exceeds the largest answer
	// of an entry.
	maxAnswerBytes = 1 << 30
	// answerGrace is how long after the job's deadline the client waits for the
	// answer before it treats the connection as broken.
	answerGrace = 10 * time.Second
	dialTimeout = 3 * time.Second
)

// Client submits jobs to one entry or to a load balancer in front of several. It is
// safe for concurrent use.
type Client struct {
	base *url.URL
	http *http.Client
}

// New returns a client of the entry at the base URL, such as http://127.0.0.1:8080.
func New(base string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, Error.New("%s is not an http address", label.Quote(base))
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	// An idle connection that is reused may be dead, and the job would wait on it
	// until its deadline. Opening a new connection costs one round trip.
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &Client{base: u, http: &http.Client{Transport: transport}}, nil
}

// Submit sends a job and returns its answer, complete or failed. An error
// is of class Error if the job was certainly not sent, and otherwise wraps ErrBroken.
func (c *Client) Submit(ctx context.Context, service string, j api.Job) (api.Answer, error) {
	if service == "" || service == "." || service == ".." {
		return api.Answer{}, Error.New("%s is not a service's name", label.Quote(service))
	}
	body, err := json.Marshal(j)
	if err != nil {
		return api.Answer{}, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(j.DeadlineMS)*time.Millisecond+answerGrace)
	defer cancel()
	address := c.base.JoinPath("v1", "services", url.PathEscape(service), "jobs").String()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return api.Answer{}, Error.Wrap(err)
	}
	// Without GetBody the transport never sends the request twice.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return api.Answer{}, sendError(err)
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

func readAnswer(r io.Reader) (api.Answer, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes))
	if err != nil {
		return api.Answer{}, fmt.Errorf("%w: %v", ErrBroken, err)
	}
	var a api.Answer
	if err := json.Unmarshal(raw, &a); err != nil {
		return api.Answer{}, fmt.Errorf("%w: the answer is not valid: %v", ErrBroken, err)
	}
	if a.State != api.StateComplete && a.State != api.StateFailed {
		return api.Answer{}, fmt.Errorf("%w: the answer has state %q", ErrBroken, a.State)
	}
	return a, nil
}
