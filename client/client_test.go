package client

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/catkinline/catkinline/api"
)

var testJob = api.Job{Key: "k", Workspace: "t", DeadlineMS: 60_000, Tasks: []api.Task{{Payload: "p"}}}

func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c, err := New(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// hijack writes raw text to the request's connection and closes it.
func hijack(w http.ResponseWriter, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = conn.Write([]byte(text))
	_ = conn.Close()
}

// Guards against a partial answer that is returned as complete, and against a job that
// is sent twice or reported as not sent after it was sent.
func TestIncompleteAnswerReturnsErrBroken(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	const whole = `{"state":"complete","results":["a","b"]}`
	for name, raw := range map[string]string{
		"closed at once":       "",
		"cut in the header":    head,
		"cut in the body":      head + "Content-Length: 40\r\n\r\n" + whole[:20],
		"cut, but valid JSON":  head + "Content-Length: 90\r\n\r\n" + whole,
		"chunks without end":   head + "Transfer-Encoding: chunked\r\n\r\n28\r\n" + whole + "\r\n",
		"empty body":           head + "Content-Length: 0\r\n\r\n",
		"a page of a balancer": "HTTP/1.1 502 Bad Gateway\r\nContent-Type: text/html\r\nContent-Length: 6\r\n\r\n<html>",
		"other JSON":           head + "Content-Length: 2\r\n\r\n[]",
		"unknown state":        head + "Content-Length: 17\r\n\r\n{\"state\":\"later\"}",
		"two answers":          head + "Content-Length: 80\r\n\r\n" + whole + whole,
		"half an answer":       head + "Content-Length: 20\r\n\r\n" + whole[:20],
		"no state":             head + "Content-Length: 17\r\n\r\n{\"results\":[\"a\"]}",
		"not HTTP":             "SSH-2.0-x\r\n",
	} {
		var calls atomic.Int32
		c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			hijack(w, raw)
		})
		a, err := c.Submit(t.Context(), "s", testJob)
		if !errors.Is(err, ErrBroken) || Error.Has(err) || len(a.Results) > 0 {
			t.Errorf("%s: answer %+v, error %v", name, a, err)
		}
		if n := calls.Load(); n != 1 {
			t.Errorf("%s: sent %d times", name, n)
		}
	}
}

// Guards against a reused keep-alive connection that breaks before the second job's
// answer, on which the transport sends that job again.
func TestJobIsNotReplayedOnAStaleConnection(t *testing.T) {
	var calls atomic.Int32
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			_, _ = w.Write([]byte(`{"state":"complete","results":["a"]}`))
			return
		}
		hijack(w, "")
	})
	if a, err := c.Submit(t.Context(), "s", testJob); err != nil || len(a.Results) != 1 {
		t.Fatalf("answer %+v, error %v; want one result and no error", a, err)
	}
	if _, err := c.Submit(t.Context(), "s", testJob); !errors.Is(err, ErrBroken) {
		t.Errorf("error %v", err)
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("%d requests for two jobs", n)
	}
}

// Guards against a failed answer that is reported as a broken connection, and against a
// service name that changes the path of the request.
func TestFailedAnswersAreReturned(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.EscapedPath() != "/v1/services/s%2F..%2Fx/jobs" {
			t.Errorf("path %s", req.URL.EscapedPath())
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"state":"failed","code":201,"name":"queue_full","ran":"not_run","retry_after_ms":1500}`))
	})
	a, err := c.Submit(t.Context(), "s/../x", testJob)
	if err != nil || a.State != api.StateFailed || a.RetryAfterMS != 1500 || a.Ran != "not_run" {
		t.Errorf("answer %+v, error %v; want failed, not run, with a retry after 1500 ms and no error", a, err)
	}
}

// Guards against an unknown outcome reported for a job that was certainly not sent.
func TestUnsentJobIsNotReportedAsBroken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	c, err := New("http://" + address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Submit(t.Context(), "s", testJob); !Error.Has(err) || errors.Is(err, ErrBroken) {
		t.Errorf("error %v", err)
	}
	for _, service := range []string{"", ".", ".."} {
		if _, err := c.Submit(t.Context(), service, testJob); !Error.Has(err) {
			t.Errorf("service %q: error %v", service, err)
		}
	}
	for _, base := range []string{"", "127.0.0.1:80", "ftp://a", "http://", "http://[::1", strings.Repeat("x", 1000)} {
		if _, err := New(base); err == nil {
			t.Errorf("%.20q is accepted", base)
		}
	}
}
