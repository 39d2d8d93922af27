package runner

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errWritesBlocked = errors.New("runner: the request has ended")

// trackedConn notes whether anything was ever written to a connection, and can
// be sealed so that this cannot change any more.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	wrote   bool
	blocked bool
}

// Write notes the attempt before it writes: a write that fails may still have
// sent something.
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

// seal fails all later writes and reports whether there was an earlier one.
func (c *trackedConn) blockWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return c.wrote
}

// connTracker collects the connections that one request was given.
type connTracker struct {
	mu        sync.Mutex
	conns     []*trackedConn
	untracked bool // a connection that cannot be blocked
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

// mayHaveWritten ends all writing of a failed request and reports whether any
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
