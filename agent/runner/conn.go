package runner

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("runner: the request has ended")

// sealedConn notes whether anything was ever written to a connection, and can
// be sealed so that this cannot change any more.
type sealedConn struct {
	net.Conn
	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write notes the attempt before it writes: a write that fails may still have
// sent something.
func (c *sealedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	sealed := c.sealed
	if !sealed {
		c.wrote = true
	}
	c.mu.Unlock()
	if sealed {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

// seal fails all later writes and reports whether there was an earlier one.
func (c *sealedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.wrote
}

// tracker collects the connections that one request was given.
type tracker struct {
	mu    sync.Mutex
	conns []*sealedConn
	other bool // a connection that cannot be sealed
}

func (t *tracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*sealedConn)
	if !ok {
		t.other = true
		return
	}
	t.conns = append(t.conns, c)
}

// mayHaveWritten ends all writing of a failed request and reports whether any
// byte of it may have reached the target.
func (t *tracker) mayHaveWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wrote := t.other
	for _, c := range t.conns {
		wrote = c.seal() || wrote
	}
	return wrote
}
