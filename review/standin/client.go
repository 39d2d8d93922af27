package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// job is a job that need not be kept: the response to its POST is its end.
type job struct {
	id    string
	tasks int
	spec  spec
}

var jobNumber atomic.Uint64

func newJob(tasks int, s spec) job {
	return job{id: fmt.Sprintf("%08x%08x", rand.Uint32(), jobNumber.Add(1)), tasks: tasks, spec: s}
}

func (j job) path() string { return jobPrefix + j.id }

func (j job) body() []byte {
	step := map[string]any{"count": j.tasks, "cpu": j.spec.cpu, "mem_mb": 64, "est_runtime_ms": j.spec.work.Milliseconds()}
	if j.spec.label != "" {
		step["requirements"] = j.spec.label
	}
	body, _ := json.Marshal(map[string]any{"spec": j.spec.String(), "best_effort": true, "steps": []any{step}}) // plain values always encode
	return body
}

// answer is what a client got for one request: a status and a state, or an error.
type answer struct {
	status int
	state  string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return a.err.Error()
	}
	return strconv.Itoa(a.status) + " " + a.state
}

// again reports whether the client sends the request again: after no response, a broken channel,
// 502 or 504.
func (a answer) again() bool {
	return a.err != nil || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout
}

// clients send requests, each over a channel of its own.
type clients struct {
	d    *deployment
	http *http.Client

	mu       sync.Mutex
	channels map[string][]*net.TCPConn // by address, since the last reset
}

func newClients(d *deployment) *clients {
	c := &clients{d: d, channels: make(map[string][]*net.TCPConn)}
	c.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: c.dial}}
	return c
}

func (c *clients) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if channel, ok := conn.(*net.TCPConn); ok {
		c.mu.Lock()
		c.channels[address] = append(c.channels[address], channel)
		c.mu.Unlock()
	}
	return conn, err
}

// resetChannels resets all open channels to an address.
func (c *clients) resetChannels(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.d.record.write("channels reset", "to", address)
	for _, channel := range c.channels[address] {
		_ = channel.SetLinger(0) // an error means that the channel is closed
		_ = channel.Close()
	}
	delete(c.channels, address)
}

// send sends one request to an address and waits for its response for wait at most, as its header
// says. slack is how much longer the client reads.
func (c *clients) send(method, front, path string, body []byte, wait, slack time.Duration) answer {
	ctx, cancel := context.WithTimeout(c.d.ctx, wait+slack)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = jobHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Catkinline-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	c.d.record.write("sent "+method, "to", front, "path", path)
	response, err := c.http.Do(request)
	if err != nil {
		c.d.record.write("no response "+method, "to", front, "path", path, "error", err.Error())
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.d.record.write("no response "+method, "to", front, "path", path, "error", err.Error())
		return answer{err: err}
	}
	var decoded struct {
		State  string `json:"state"`
		Reason string `json:"reason"`
	}
	_ = json.Unmarshal(data, &decoded) // the body may be empty
	c.d.record.write("answered "+method, "from", front, "path", path, "status", response.StatusCode, "state", decoded.State, "reason", decoded.Reason)
	return answer{status: response.StatusCode, state: decoded.State}
}

// traffic is what clients send in a play.
type traffic struct {
	perSecond float64
	lasts     time.Duration
	wait      time.Duration // for a response
	slack     time.Duration // how much longer a client reads
	tries     int
	again     func(answer) bool // whether a client sends its job again; nil: answer.again
	newJob    func() job
}

// run submits jobs with random arrivals and returns when the last one is answered or given up.
func (t traffic) run(c *clients, b *balancer) {
	if t.again == nil {
		t.again = answer.again
	}
	var all sync.WaitGroup
	for end := time.Now().Add(t.lasts); time.Now().Before(end) && c.d.ctx.Err() == nil; {
		time.Sleep(time.Duration(rand.ExpFloat64() / t.perSecond * float64(time.Second)))
		j, number := t.newJob(), rand.IntN(1<<20)
		all.Go(func() {
			var node *machine
			for range t.tries {
				node = b.node(number, node)
				a := c.send(http.MethodPost, node.front(), j.path(), j.body(), t.wait, t.slack)
				if !t.again(a) || c.d.ctx.Err() != nil {
					return
				}
				time.Sleep(retransmit)
			}
		})
	}
	all.Wait()
}

func (m *machine) front() string { return m.ip + ":" + frontPort }
