package httpserve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// drainPoll is the interval at which a drain looks for connections that have become idle. It is
	// short against the 200 ms in which a caller's request may cross the end of its connection.
	drainPoll = 5 * time.Millisecond
	// lingerTime is how long callers get to close their side after the server has closed its own. What they
	// send meanwhile is read, since the kernel resets a connection that is closed with unread bytes, and
	// callers may lose the last answer by that. Most callers close at once; a pool may only notice at its
	// next request.
	lingerTime = 100 * time.Millisecond
)

// drainListener tracks the connections of one server, so that they can be closed in order:
// http.Server.Shutdown resets connections that were not accepted yet, closes idle ones on which a
// request has arrived and was not read, and drops requests that it reads after its start. It must
// read from the kernel itself: only so are bytes that have arrived seen. Its methods are safe for concurrent use.
type drainListener struct {
	net.Listener
	served chan struct{} // closed when the server accepts no more

	mu     sync.Mutex
	closed bool
	conns  map[*drainConn]bool
}

func newDrainListener(l net.Listener) *drainListener {
	return &drainListener{Listener: l, served: make(chan struct{}), conns: make(map[*drainConn]bool)}
}

// Accept implements net.Listener. It returns http.ErrServerClosed after a drain has closed it.
func (l *drainListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.closed {
			return nil, http.ErrServerClosed
		}
		return nil, err
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return c, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return c, nil // closed already, as the server will find
	}
	tracked := &drainConn{Conn: c, raw: raw, listener: l, idle: true}
	l.mu.Lock()
	l.conns[tracked] = true
	l.mu.Unlock()
	return tracked, nil
}

// closeIfEmpty closes the listener if no connection waits to be accepted.
func (l *drainListener) closeIfEmpty() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || hasWaiting(l.Listener) {
		return
	}
	l.closed = true
	_ = l.Listener.Close() // fails only if it is closed already
}

// hasWaiting reports whether a connection waits to be accepted.
func hasWaiting(l net.Listener) bool {
	s, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false // closed
	}
	waiting := false
	// Control fails only if the listener is closed.
	_ = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		waiting = n > 0 || errors.Is(err, unix.EINTR)
	})
	return waiting
}

// finishIdle closes this side of each idle connection. It returns the number of connections that
// may still have a request to be answered, and the number that the callers have not closed yet.
func (l *drainListener) finishIdle() (busy, open int) {
	l.mu.Lock()
	conns := make([]*drainConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		open++
		if !c.finishIfIdle() {
			busy++
		}
	}
	return busy, open
}

// accepting reports whether the server may still get connections from this listener.
func (l *drainListener) accepting() bool {
	select {
	case <-l.served:
		return false
	default:
		return true
	}
}

// drain closes the listener and the connections once they have no request that was not answered.
// Requests that arrive in the meantime are served. It returns when all connections are closed, or
// those that are left have no request and were given lingerTime, or when ctx ends.
func (l *drainListener) drain(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	var finished time.Time // when no connection had a request any more
	for {
		l.closeIfEmpty()
		// A connection that was accepted last is tracked before the server stops accepting.
		accepting := l.accepting()
		busy, open := l.finishIdle()
		now := time.Now()
		switch {
		case accepting || busy > 0:
			finished = time.Time{}
		case finished.IsZero():
			finished = now
		}
		if !accepting && (open == 0 || busy == 0 && now.Sub(finished) >= lingerTime) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// drainConn is a connection that can be closed when no request is on it. The connection is idle if
// the server waits for the first byte of a request and the kernel has none: bytes are read and
// counted under the same lock under which this is checked.
type drainConn struct {
	net.Conn
	raw      syscall.RawConn
	listener *drainListener

	mu       sync.Mutex
	idle     bool // no byte of a request was read since the connection began or the last answer
	waiting  bool // a Read has found nothing and waits
	finished bool // this side is closed; what arrives is discarded
}

// SyscallConn implements syscall.Conn.
func (c *drainConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// CloseWrite closes this side of the connection. The server uses it to end connections in order.
func (c *drainConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

func (c *drainConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.idle = false
	case http.StateIdle:
		// A request that was sent before the last answer may already be in the server's buffer: only
		// a Read that waits shows that there is none.
		c.idle, c.waiting = true, false
	}
}

// Read implements net.Conn.
func (c *drainConn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) (done bool) {
		n, done, readErr = c.tryRead(int(fd), b)
		return done
	})
	var opErr *net.OpError
	switch {
	case errors.As(err, &opErr):
		opErr.Op = "read" // by which the server recognises a broken connection
		return 0, opErr
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, readErr
	}
	return n, nil
}

// tryRead reads what the kernel has, and reports whether the Read is done.
func (c *drainConn) tryRead(fd int, b []byte) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	for {
		n, err = unix.Read(fd, b)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			c.waiting = true
			return 0, false, nil
		case err != nil:
			return 0, true, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
		case n == 0:
			return 0, true, io.EOF
		case !c.finished:
			c.idle = false
			return n, true, nil
		}
	}
}

// finishIfIdle closes this side of the connection if it is idle, and reports whether it is closed. The caller learns of
// the end by the same packet as of a close; what it has sent meanwhile is read and discarded.
func (c *drainConn) finishIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished || !c.idle || !c.waiting {
		return c.finished
	}
	// Control fails only if the connection is closed, upon which it is no longer tracked.
	_ = c.raw.Control(func(fd uintptr) {
		if unread, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err != nil || unread > 0 {
			return
		}
		c.finished = true
		_ = unix.Shutdown(int(fd), unix.SHUT_WR) // fails if the connection is broken, which its Read finds
	})
	return c.finished
}

// Close implements net.Conn.
func (c *drainConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
