package runner

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errWritesBlocked = errors.New("runner: the request has ended")

// trackedConn records whether a write was ever attempted on a connection. Once
// blockWrites has been called, all writes fail.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	wrote   bool
	blocked bool
}

// Write records the attempt first, because a failed write may still have sent some
// bytes.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	blocked := c.blocked
	if !blocked {
		c.wrote = true
	}
	c.mu.Unlock()
	if blocked {
		return 0, errWritesBlocked
	}
	return c.Conn.Write(b)
}

// blockWrites makes all later writes fail and reports whether one was attempted before.
func (c *trackedConn) blockWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return c.wrote
}

// connTracker collects the connections used by one request.
type connTracker struct {
	mu        sync.Mutex
	conns     []*trackedConn
	untracked bool // a connection is not a trackedConn
}

func (t *connTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		t.untracked = true
		return
	}
	t.conns = append(t.conns, c)
}

// mayHaveWritten blocks all further writes of a failed request and reports whether any
// byte of it may have reached the target.
func (t *connTracker) mayHaveWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wrote := t.untracked
	for _, c := range t.conns {
		wrote = c.blockWrites() || wrote
	}
	return wrote
}
