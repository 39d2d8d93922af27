package runner

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

var someTask = wire.TaskID{Job: wire.JobID{Entry: 0xab, Seq: 7}, Index: 3, Attempt: 2}

// Guards against a target's response that is reported with the wrong outcome, in
// particular a failure as "not run".
func TestAnswers(t *testing.T) {
	answers := map[string]struct {
		handler      http.HandlerFunc
		state        wire.OutcomeState
		code         result.Code
		mayBeRunning bool
	}{
		"done": {func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(HeaderTask) == "ab-7-3" {
				_, _ = io.Copy(w, r.Body)
			}
		}, wire.StateDone, 0, false},
		"explicit refusal": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, wire.StateRefused, result.TargetRefused, false},
		"plain 503": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, wire.StateFailed, result.TaskFailed, false},
		"refusal with another status": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotRun, "true")
			w.WriteHeader(http.StatusInternalServerError)
		}, wire.StateFailed, result.TaskFailed, false},
		"redirect": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, wire.StateFailed, result.TaskFailed, false},
		"declared too large": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "101")
			_, _ = w.Write(make([]byte, 101))
		}, wire.StateFailed, result.ResultTooLarge, true},
		"streamed too large": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 60))
			_ = http.NewResponseController(w).Flush()
			_, _ = w.Write(make([]byte, 60))
		}, wire.StateFailed, result.ResultTooLarge, true},
		"response cut off": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "50")
			_, _ = w.Write(make([]byte, 10))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, wire.StateUnknown, result.OutcomeUnknown, true},
		"no response": {func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, wire.StateUnknown, result.OutcomeUnknown, true},
	}
	for name, c := range answers {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				c.handler(w, r)
			}))
			defer s.Close()
			report := New(Config{URL: s.URL, ResultBytes: 100}).Run(context.Background(), someTask, []byte("frame"), 0)
			out := report.Outcome
			if out.Task != someTask || out.State != c.state || out.Code != c.code || report.MayBeRunning != c.mayBeRunning {
				t.Fatalf("%+v, may be running: %v", out, report.MayBeRunning)
			}
			if out.State == wire.StateDone && string(out.Result) != "frame" {
				t.Fatalf("result %q", out.Result)
			}
			if n := requests.Load(); n != 1 {
				t.Fatalf("%d requests", n)
			}
		})
	}
}

// Guards against "unknown" for a task whose connection was never opened, and
// against "not run" for one whose request was written: the target here accepts
// the connection and never responds.
func TestNoAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = c.Read(make([]byte, 1))
			accepted <- c
		}
	}()
	r := New(Config{URL: "http://" + l.Addr().String()})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		defer l.Close()
		c := <-accepted
		context.AfterFunc(ctx, func() { _ = c.Close() })
	}()
	report := r.Run(ctx, someTask, nil, 0)
	if report.Outcome.State != wire.StateUnknown || report.Outcome.Code != result.Cancelled || !report.MayBeRunning {
		t.Fatalf("cancelled after the request was written: %+v", report)
	}
	report = r.Run(context.Background(), someTask, nil, 0)
	if report.Outcome.State != wire.StateRefused || report.MayBeRunning {
		t.Fatalf("connection refused: %+v", report)
	}
	report = r.Run(ctx, someTask, nil, 0)
	if report.Outcome.State != wire.StateRefused || report.MayBeRunning {
		t.Fatalf("cancelled before the start: %+v", report)
	}
}

// Guards against a task that holds its slot forever, and against a timeout while
// waiting for a free connection that is reported as if the task might have run.
func TestLimits(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		select {
		case entered <- struct{}{}:
			<-release
		case <-release:
		}
	}))
	defer s.Close()
	r := New(Config{URL: s.URL, Connections: 1})
	first := make(chan Report)
	go func() { first <- r.Run(context.Background(), someTask, nil, 0) }()
	<-entered
	if report := r.Run(context.Background(), someTask, nil, time.Millisecond); report.Outcome.State != wire.StateRefused {
		t.Errorf("no free connection: %+v", report)
	}
	close(release)
	<-first
	release = make(chan struct{})
	go func() { <-entered }()
	limited := New(Config{URL: s.URL, RunLimit: 50 * time.Millisecond})
	report := limited.Run(context.Background(), someTask, nil, 0)
	timedOut := report.Outcome.Code == result.TargetTimeout && report.Outcome.State == wire.StateUnknown && report.MayBeRunning
	if !timedOut && report.Outcome.State != wire.StateRefused { // refused: the connection took longer than the limit
		t.Errorf("run-time limit: %+v", report)
	}
	close(release)
}

// Guards against reuse of connections: on a dead one the second task would wait for
// its whole run-time limit.
func TestConnectionsAreNotReused(t *testing.T) {
	peers := map[string]bool{}
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		peers[r.RemoteAddr] = true
	}))
	defer s.Close()
	r := New(Config{URL: s.URL})
	for range 3 {
		r.Run(context.Background(), someTask, nil, 0)
	}
	if len(peers) != 3 {
		t.Fatalf("%d connections for 3 tasks", len(peers))
	}
}

// Guards against bytes that are sent after the request was reported as not run.
func TestBlockedConnectionSendsNothing(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := &trackedConn{Conn: a}
	if c.blockWrites() {
		t.Fatal("nothing was written")
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errWritesBlocked) {
		t.Fatalf("write after blockWrites: %v", err)
	}
	if c.blockWrites() {
		t.Fatal("the blocked write counts as written")
	}
}

// Guards against a status response without a valid number that is taken for 0
// running tasks, which would free slots that are in use.
func TestStatus(t *testing.T) {
	for body, want := range map[string]int{`{"running":3}`: 3, `{}`: -1, `{"running":-2}`: -1, `x`: -1, "": -1} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.Copy(w, strings.NewReader(body))
		}))
		n, err := New(Config{URL: s.URL}).Status(context.Background())
		if (err != nil) != (want < 0) || (err == nil && n != want) {
			t.Errorf("%q: %d, %v", body, n, err)
		}
		s.Close()
	}
}
