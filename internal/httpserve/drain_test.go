package httpserve

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/metrics"
)

// shutdownBound is far above what a shutdown takes, so that slow machines do not fail tests.
const shutdownBound = 20 * time.Second

// serving serves a handler on a loopback address, through a listener if wrap is not nil, and returns the
// servers and their address.
func serving(t *testing.T, h http.HandlerFunc, wrap func(net.Listener) net.Listener) (*Servers, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if wrap != nil {
		l = wrap(l)
	}
	var lives tomb.Tomb
	s := New(&lives, Options{Log: zap.NewNop(), Metrics: metrics.New(nil), Plan: ingress.NewPlan(ingress.Machine{})})
	s.serveOn(s.groups[Callers], l, nil, h)
	t.Cleanup(func() {
		lives.Kill(nil) // ends the loop of the gauges; an earlier error of the server stays
		if err := lives.Wait(); err != nil {
			t.Errorf("the server ended with %v", err)
		}
	})
	return s, address
}

// shutDown begins a shutdown in the background and returns a channel that is closed at its end.
func shutDown(t *testing.T, s *Servers) chan struct{} {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownBound)
	done := make(chan struct{})
	go func() { defer close(done); defer cancel(); s.Shutdown(ctx) }()
	t.Cleanup(func() { <-done })
	return done
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(2 * shutdownBound)) // fails only on a closed connection
	return c, bufio.NewReader(c)
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: jobs.example\r\n\r\n"

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func readAnswer(r *bufio.Reader) (body string, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// Guards against an open connection that is closed as idle although a request has begun to arrive on
// it, and against a request that is dropped because its end arrives after the shutdown has begun.
func TestShutdownAnswersRequestThatIsOnItsWay(t *testing.T) {
	for _, before := range []string{"", wholeRequest} {
		s, address := serving(t, answerOK, nil)
		c, r := dial(t, address)
		if before != "" {
			write(t, c, before)
			if _, err := readAnswer(r); err != nil {
				t.Fatal(err)
			}
		}
		write(t, c, wholeRequest[:10])
		done := shutDown(t, s)
		awaitRefused(t, address)
		write(t, c, wholeRequest[10:])
		if body, err := readAnswer(r); err != nil || body != "ok" {
			t.Errorf("after %d bytes: answer %q, error %v", len(before), body, err)
		}
		<-done
	}
}

// awaitRefused waits until a server listens no more.
func awaitRefused(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(shutdownBound); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c.Close()
	}
	t.Fatal("the server goes on listening")
}

// slowListener accepts nothing until it is released, as a process that gets no processor.
type slowListener struct {
	*net.TCPListener
	release chan struct{}
}

func (l slowListener) Accept() (net.Conn, error) {
	<-l.release
	return l.TCPListener.Accept()
}

// Guards against connections that are reset with their requests because the server had not accepted
// them when its shutdown began.
func TestShutdownAnswersRequestsOfConnectionsNotYetAccepted(t *testing.T) {
	slow := slowListener{release: make(chan struct{})}
	s, address := serving(t, answerOK, func(l net.Listener) net.Listener {
		slow.TCPListener = l.(*net.TCPListener)
		return slow
	})
	var readers []*bufio.Reader
	for range 5 {
		c, r := dial(t, address)
		write(t, c, wholeRequest)
		readers = append(readers, r)
	}
	done := shutDown(t, s)
	time.Sleep(50 * time.Millisecond) // a shutdown that does not wait closes the listener meanwhile
	close(slow.release)
	for i, r := range readers {
		if body, err := readAnswer(r); err != nil || body != "ok" {
			t.Errorf("connection %d: answer %q, error %v", i, body, err)
		}
	}
	<-done
}

// Guards against a connection without a request that keeps a process from ending, and against one that is
// not closed in order.
func TestShutdownEndsIdleConnections(t *testing.T) {
	s, address := serving(t, answerOK, nil)
	unused, unusedReader := dial(t, address)
	used, usedReader := dial(t, address)
	write(t, used, wholeRequest)
	if _, err := readAnswer(usedReader); err != nil {
		t.Fatal(err)
	}
	done := shutDown(t, s)
	for _, r := range []*bufio.Reader{unusedReader, usedReader} {
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("an idle connection ends with %v, want EOF", err)
		}
	}
	<-done // although the callers' sides are open
	unused.Close()
}

// Guards against a shutdown that waits for a request without its end for longer than it may.
func TestShutdownEndsWithUnfinishedRequest(t *testing.T) {
	s, address := serving(t, answerOK, nil)
	c, _ := dial(t, address)
	write(t, c, wholeRequest[:10])
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	s.Shutdown(ctx) // must return
}

// Guards against requests that are cut off at a planned stop: callers keep using their open connections, and
// open new ones, until the server is gone. A request that is sent less than 200 ms before its connection ends
// need not be answered (the platform's rule), so only those are excused.
func TestShutdownUnderLoad(t *testing.T) {
	const callers, slack = 30, 200 * time.Millisecond
	var answered atomic.Int64
	s, address := serving(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Millisecond)
		answerOK(w, nil)
		answered.Add(1)
	}, nil)
	var running sync.WaitGroup
	failures := make(chan error, callers)
	for range callers {
		running.Go(func() { failures <- callUntilRefused(address, slack) })
	}
	for answered.Load() < 20*callers {
		time.Sleep(time.Millisecond)
	}
	<-shutDown(t, s)
	running.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			t.Error(err)
		}
	}
}

// callUntilRefused sends requests, on one connection while it is open, until the server refuses connections. It
// returns an error if one is not answered that was sent earlier than slack before its connection ended.
func callUntilRefused(address string, slack time.Duration) error {
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				return nil
			}
			return err
		}
		r := bufio.NewReader(c)
		for err == nil {
			_, err = io.WriteString(c, wholeRequest)
			sent := time.Now()
			if err == nil {
				_, err = readAnswer(r)
			}
			if took := time.Since(sent); err != nil && took > slack {
				c.Close()
				return fmt.Errorf("a request is cut off %v after it was sent: %w", took, err)
			}
		}
		c.Close()
	}
}
