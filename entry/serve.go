package entry

import (
	"net/http"
	"time"

	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/internal/httpserve"
	"github.com/catkinline/catkinline/job"
	"github.com/catkinline/catkinline/result"
)

const (
	// headTimeout limits how long a client may take to send the head of a request.
	headTimeout = 10 * time.Second
	// idleTimeout closes connections without a byte, within requests and between them.
	idleTimeout = 2 * time.Minute
	// shutdownTimeout limits the time for requests that are left when the entry stops. A planned stop has waited
	// for the jobs before.
	shutdownTimeout = time.Second
	// busyRetryAfter is short: memory of clients is free again as soon as requests are answered.
	busyRetryAfter = time.Second
	// freeBodies is the number of bodies of the largest size that have space beside a full queue.
	freeBodies = 4
)

// newServers returns the servers for callers and operators. They run until the entry stops.
func (e *Entry) newServers() *httpserve.Servers {
	s := httpserve.New(&e.tomb, httpserve.Options{Log: e.log, Metrics: e.metrics, Plan: e.plan(), RefusalBody: refusalBody})
	s.SetRules(ingress.Rules{
		MaxHead: e.settings.Limits.HeadBytes, MaxBody: int(e.settings.Limits.BodyBytes),
		HeadTimeout: headTimeout, IdleTimeout: idleTimeout, BodyTimeout: readTimeout,
	})
	return s
}

// plan divides the machine. Where its memory is not known, the queue of one service and the requests of
// its jobs fit.
func (e *Entry) plan() ingress.Plan {
	m := httpserve.Machine(e.settings.Machine)
	p := ingress.NewPlan(m)
	if l := e.settings.Limits; m.Memory == 0 {
		queue := l.QueuedBytes + int64(l.QueuedJobs)*ingress.ConnectionBytes
		p.Clients.Bytes = max(p.Clients.Bytes, queue+2*freeBodies*l.BodyBytes)
	}
	return p
}

// refusalBody returns the answer to a request that did not get to a handler.
func refusalBody(status int, _ string) []byte {
	body, _ := encodeAnswer(job.Answer{Err: refusalOf(status)})
	return body
}

// refusalOf returns the error for the status with which the servers refuse a request. No task of it ran.
func refusalOf(status int) *result.Error {
	switch status {
	case http.StatusRequestHeaderFieldsTooLarge:
		return result.New(result.HeadTooLarge, "")
	case http.StatusRequestTimeout:
		return result.New(result.RequestTimeout, "")
	case http.StatusServiceUnavailable:
		return result.New(result.Busy, "").WithRetryAfter(busyRetryAfter)
	}
	return result.New(result.BadRequest, "the request body could not be read completely")
}
