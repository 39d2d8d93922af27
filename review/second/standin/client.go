package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// job is a best-effort job of a client.
type job struct {
	id    string
	body  string
	waits time.Duration // how long the client waits for the response
}

// newJob returns a job of steps that follow each other, each of a number of tasks with a run time.
func newJob(steps, tasks int, work, waits time.Duration) job {
	return newSizedJob(steps, tasks, 3100, work, waits)
}

// newSizedJob is newJob with the need of a task in thousandths of a core.
func newSizedJob(steps, tasks, cpu int, work, waits time.Duration) job {
	spec := fmt.Sprintf("work_ms=%d cpu=%d", work.Milliseconds(), cpu)
	var list []map[string]any
	for i := range steps {
		step := map[string]any{"count": tasks, "cpu": cpu, "mem_mb": 64, "est_runtime_ms": work.Milliseconds()}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		list = append(list, step)
	}
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": list, "best_effort": true}) // plain values always encode
	return job{id: fmt.Sprintf("%016x", rand.Uint64()), body: string(body), waits: waits}
}

// response is what a client has got to a request.
type response struct {
	status int // 0: none
	state  string
	at     time.Time
	err    error
}

func (r response) String() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	return strconv.Itoa(r.status) + " " + r.state
}

// send sends a request for a job to a gateway on a new connection, and records both it and the response.
func (f *fleet) send(n *node, method string, j job) response {
	body := ""
	if method == http.MethodPost {
		body = j.body
	}
	ctx, cancel := context.WithTimeout(context.Background(), j.waits)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+routePrefix+j.id, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	request.Host = routeHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Catkinline-Deadline-Ms", strconv.FormatInt(j.waits.Milliseconds(), 10))
	f.record.printf("client sends %s %s to %s", method, j.id, n.name)
	transport := &http.Transport{DisableKeepAlives: true}
	r := response{}
	answered, err := transport.RoundTrip(request)
	if err == nil {
		defer answered.Body.Close()
		var data []byte
		data, err = io.ReadAll(answered.Body)
		r.status, r.state = answered.StatusCode, strings.TrimSpace(string(data))
	}
	r.err, r.at = err, time.Now()
	f.record.printf("client gets to %s %s from %s: %s", method, j.id, n.name, r)
	return r
}
