package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// step is a step of a job, as a client sends it.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	Memory       int64  `json:"mem_mb"`
	Estimate     int64  `json:"est_runtime_ms"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
}

// jobBody is a job that need not be kept: its outcome is the response to its POST.
type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"best_effort"`
}

// answer is a response to a client; status 0 means none.
type answer struct {
	status int
	state  string
	at     time.Time
	err    error
}

// client sends requests to gateways, each on a connection of its own.
type client struct {
	rec  *record
	http *http.Client
}

func newClient(rec *record) *client {
	return &client{rec: rec, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit sends a job and waits for its answer for as long as its header says.
func (c *client) submit(m *machine, r route, id string, job jobBody, wait time.Duration) answer {
	data, err := json.Marshal(job)
	if err != nil {
		return answer{err: err}
	}
	return c.send(m, r, http.MethodPost, id, data, wait)
}

// cancel cancels a job.
func (c *client) cancel(m *machine, r route, id string) answer {
	return c.send(m, r, http.MethodDelete, id, nil, time.Second)
}

func (c *client) send(m *machine, r route, method, id string, body []byte, wait time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+m.front()+r.prefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	q.Host = r.host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Catkinline-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	c.rec.printf("client: %s %s to %s", method, id, m.name)
	a := c.do(q)
	c.rec.printf("client: %s %s to %s answered %d %s %v", method, id, m.name, a.status, a.state, a.err)
	return a
}

func (c *client) do(q *http.Request) answer {
	response, err := c.http.Do(q)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, at: time.Now(), err: err}
	var state struct {
		State string `json:"state"`
	}
	if json.Unmarshal(data, &state) == nil {
		a.state = state.State
	}
	return a
}
