package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/internal/httpserve"
	"github.com/catkinline/catkinline/job"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/result"
	"github.com/uptrace/bunrouter"
)

// readTimeout limits how long a caller may take to send a job, so that no caller delays a planned
// stop for longer.
const readTimeout = 30 * time.Second

// writeTimeout limits how long writing an answer may take.
const writeTimeout = 30 * time.Second

func (e *Entry) callerRoutes() http.Handler {
	r := bunrouter.New()
	r.POST("/v1/services/:service/jobs", e.serveJob)
	r.GET("/healthz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		return writePlain(w, http.StatusOK, "ok")
	})
	r.GET("/readyz", e.serveReady)
	r.GET("/metrics", bunrouter.HTTPHandler(e.metrics.Handler()))
	r.GET("/v1/counts", func(w http.ResponseWriter, _ bunrouter.Request) error {
		return bunrouter.JSON(w, e.Counts())
	})
	return r
}

func writePlain(w http.ResponseWriter, status int, text string) error {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, err := w.Write([]byte(text + "\n"))
	return err
}

// serveReady tells the load balancer whether to send jobs to this entry.
func (e *Entry) serveReady(w http.ResponseWriter, _ bunrouter.Request) error {
	if reason := e.notReady(); reason != "" {
		return writePlain(w, http.StatusServiceUnavailable, reason)
	}
	return writePlain(w, http.StatusOK, "ready")
}

func (e *Entry) serveJob(w http.ResponseWriter, req bunrouter.Request) error {
	e.requests.Add(1)
	defer e.requests.Add(-1)
	e.counts.entered.Add(1)
	e.metrics.Add(metrics.JobsEntered, 1)
	spec, failure := e.readJob(w, req)
	if failure != nil {
		return e.refuse(w, failure)
	}
	pending, failure := e.submit(req.Context(), req.Param("service"), spec)
	if failure != nil {
		return e.refuse(w, failure)
	}
	return e.sendAnswer(w, req, pending.wait(req.Context()))
}

// largeAnswers is a semaphore of one: while an answer is encoded, it is in memory twice.
var largeAnswers = make(chan struct{}, 1)

// sendAnswer writes an answer. Its memory counts as held by the client until the client has read it.
func (e *Entry) sendAnswer(w http.ResponseWriter, req bunrouter.Request, a job.Answer) error {
	body, status := e.encodeLarge(req, &a)
	return writeEncoded(w, a.Err, body, status)
}

// encodeLarge encodes an answer and drops its results. Where the memory of the machine is known, an answer that does not
// fit into that for callers is replaced by a failure.
func (e *Entry) encodeLarge(req bunrouter.Request, a *job.Answer) ([]byte, int) {
	size := resultBytes(a)
	if size > ingress.SmallRequest {
		largeAnswers <- struct{}{}
		defer func() { <-largeAnswers }()
		if !httpserve.BeginAnswer(req.Request, size, writeTimeout) && e.settings.Machine.MemoryMB > 0 {
			*a = job.Answer{Err: result.New(result.AnswerDropped, "")}
		}
	}
	body, status := encodeAnswer(*a)
	a.Results = nil
	return body, status
}

func resultBytes(a *job.Answer) int {
	n := 0
	for _, r := range a.Results {
		n += len(r)
	}
	return n
}

// readJob reads and decodes a job. Until the request is answered, its payloads count as held by its client.
func (e *Entry) readJob(w http.ResponseWriter, req bunrouter.Request) (*job.Spec, *result.Error) {
	limits := e.jobLimits(req.Param("service"))
	raw, err := httpserve.ReadBody(w, req.Request, int(limits.BodyBytes))
	switch status := httpserve.BodyStatus(err); {
	case errors.Is(err, httpserve.ErrBodyTooLarge):
		return nil, result.Newf(result.BodyTooLarge, "the limit is %d bytes", limits.BodyBytes)
	case err != nil:
		return nil, refusalOf(status)
	}
	spec, failure := decodeJob(raw, limits)
	if failure != nil {
		return nil, failure
	}
	httpserve.KeepOfBody(req.Request, spec.PayloadBytes())
	if e.settings.Machine.MemoryMB > 0 {
		spec.HoldResult = func(bytes int) bool { return httpserve.HoldResult(req.Request, bytes) }
	}
	return spec, nil
}

// largeDecodes is a semaphore of one: the decoder takes a multiple of a large body while it works.
var largeDecodes = make(chan struct{}, 1)

func decodeJob(raw []byte, l job.Limits) (*job.Spec, *result.Error) {
	if len(raw) > ingress.SmallRequest {
		largeDecodes <- struct{}{}
		defer func() { <-largeDecodes }()
	}
	return job.Decode(raw, l)
}

// refuse counts a job that was not accepted and writes its answer.
func (e *Entry) refuse(w http.ResponseWriter, failure *result.Error) error {
	e.counts.refused.Add(1)
	e.metrics.Add(metrics.JobsRefused, 1, metrics.TagCode, failure.Code.String())
	return writeAnswer(w, job.Answer{Err: failure})
}

func writeAnswer(w http.ResponseWriter, a job.Answer) error {
	body, status := encodeAnswer(a)
	return writeEncoded(w, a.Err, body, status)
}

func writeEncoded(w http.ResponseWriter, failure *result.Error, body []byte, status int) error {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if failure != nil && failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}

// encodeAnswer encodes the whole body before the status is sent, so that an answer
// that cannot be encoded is not sent in part.
func encodeAnswer(a job.Answer) ([]byte, int) {
	if a.Err != nil {
		info, _ := result.Lookup(a.Err.Code)
		return encodeFailure(a.Err), info.Status
	}
	body, err := encodeResults(a.Results)
	if err != nil {
		return encodeFailure(result.New(result.OutcomeUnknown, "the answer cannot be encoded")), http.StatusInternalServerError
	}
	return body, http.StatusOK
}

func encodeFailure(err *result.Error) []byte {
	body, _ := json.Marshal(failedAnswer(err)) // encoding these field types cannot fail
	return append(body, '\n')
}

// encodeResults encodes an api.Answer with results one by one, and drops each once it is encoded, so that a large
// answer is not in memory several times.
func encodeResults(results [][]byte) ([]byte, error) {
	size := len(`{"state":"complete","results":[]}`) + 1
	for _, r := range results {
		size += len(r) + len(`"",`)
	}
	body := make([]byte, 0, size+size/16) // some characters are escaped
	body = append(body, `{"state":"`+api.StateComplete+`"`...)
	separator := `,"results":[`
	for i, r := range results {
		text, err := json.Marshal(api.Result(r))
		if err != nil {
			return nil, err
		}
		body = append(append(body, separator...), text...)
		results[i], separator = nil, ","
	}
	if len(results) > 0 {
		body = append(body, ']')
	}
	return append(body, "}\n"...), nil
}

func failedAnswer(err *result.Error) api.Answer {
	return api.Answer{
		State:        api.StateFailed,
		Code:         err.Code,
		Name:         err.Code.String(),
		Reason:       err.Reason,
		Ran:          err.Ran,
		RetryAfterMS: err.RetryAfter.Milliseconds(),
	}
}

// pendingJob is an accepted job whose caller waits for the answer.
type pendingJob struct {
	done   <-chan job.Answer
	cancel func()
}

// wait returns the job's answer. If the caller disconnects, the job is cancelled; wait
// still waits for its end, so that the job is counted.
func (p pendingJob) wait(ctx context.Context) job.Answer {
	select {
	case a := <-p.done:
		return a
	case <-ctx.Done():
		p.cancel()
		return <-p.done
	}
}
