package httpserve

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/metrics"
)

const (
	// writeTimeout bounds the time for which a client reads nothing of an answer. Most answers fit into the
	// kernel's buffer, unless a client sends further requests and reads nothing.
	writeTimeout = 5 * time.Second
	// maxWrite is how many bytes are written at once: a client that reads slowly gets writeTimeout for each.
	maxWrite = 64 << 10
	// lingerTimeout and lingerBytes bound what is read after a refusal, so that a client that is still
	// sending can read it: the kernel drops what the client has not read when bytes arrive after the close.
	lingerTimeout = 200 * time.Millisecond
	lingerBytes   = 256 << 10
	// firstHeldBytes is the first size of the buffer for a head that does not arrive at once.
	firstHeldBytes = 2 << 10
	// serverBuffer is how much net/http reads at once, and so ahead of the body or head that it needs.
	serverBuffer = 4 << 10
	// shortestLine is the number of bytes of the shortest header line: a name, a colon, a line feed.
	shortestLine = 3
)

// past is a deadline that ends pending reads.
var past = time.Unix(1, 0)

// errRefused ends a connection to which this package has sent a refusal, or that is closed without one. The
// server sends nothing after a read that ended so.
var errRefused = io.EOF

// conn is a connection of a group. It holds the bytes of a head back until the head is whole, so that a head that
// does not end costs its bytes, and not the multiple that the parsed form takes.
//
// It is used by one goroutine at a time, as net/http reads from connections, except for Evict, Close and
// the deadlines.
type conn struct {
	*drainConn
	tls        *tls.Conn // over drainConn; nil: plain
	handshaken bool      // of TLS
	group      *group
	client     *ingress.Client

	inHead    bool // the next bytes belong to a head
	end       headEnd
	headBytes int // received of the head
	headLines int
	headSince time.Time
	passed    int   // bytes that the server got since the request began
	bodyBytes int64 // declared by the request; -1: not declared
	// background is how many bytes of the next head the server has read to learn whether the client leaves. The
	// server waits for that read before it reads the next head.
	background int

	held     []byte // bytes of a head that is not whole yet, or that the server has not read yet
	taken    int    // how many of them were read
	passable int    // how many of them belong to a whole head
	heldSize int64  // of held, as counted in the budget

	mu        sync.Mutex // orders evictions with the end of requests
	whole     bool       // a whole request was received, and its answer was not sent yet
	answering bool       // the answer is large and being sent
	answerEnd time.Time  // when it has to be sent
	evicted   bool
}

type connKey struct{}

// connOf returns the connection of a request, or nil if another server received it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// ReadFrom implements io.ReaderFrom. It hides that of the TCP connection, which sets no deadline.
func (c *conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(writerOnly{c}, r) }

type writerOnly struct{ io.Writer }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(written+maxWrite, len(p))]
		if err := c.setWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.stream().Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// setWriteDeadline sets the deadline of one write. It is not after that of the whole answer and, once the connection
// was chosen to be closed, in the past.
func (c *conn) setWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.answering && c.evicted:
		t = past
	case c.answering && c.answerEnd.Before(t):
		t = c.answerEnd
	}
	return c.drainConn.SetWriteDeadline(t)
}

// leaveTimeout bounds the wait for the memory of clients that were chosen to be closed. They close as soon as their
// goroutines run.
const leaveTimeout = time.Second

// leavePoll is the interval at which that memory is looked for.
const leavePoll = 2 * time.Millisecond

// beginAnswer records that a large answer is about to be sent, and when that has to end. It returns false if the
// answer does not fit into the budget.
func (c *conn) beginAnswer(bytes int64, limit time.Duration) bool {
	c.client.Reset(0) // the request is no longer needed
	for end := time.Now().Add(leaveTimeout); !c.hold(bytes, time.Now()); time.Sleep(leavePoll) {
		if c.group.budget.Leaving() == 0 || time.Now().After(end) {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.answering, c.answerEnd = true, now.Add(limit)
	c.client.Begin(ingress.Answering, now)
	return true
}

// stream returns the connection on which requests and answers are.
func (c *conn) stream() net.Conn {
	if c.tls != nil {
		return c.tls
	}
	return c.drainConn
}

// handshake performs that of TLS, within the time for which a connection may be silent.
func (c *conn) handshake() error {
	if c.tls == nil || c.handshaken {
		return nil
	}
	end := c.client.Since().Add(c.group.rules().IdleTimeout)
	if err := c.SetReadDeadline(end); err != nil {
		return err
	}
	if err := c.setWriteDeadline(end); err != nil {
		return err
	}
	if err := c.tls.Handshake(); err != nil {
		if !c.isEvicted() {
			c.group.count(metrics.ReasonHandshake)
		}
		return err
	}
	c.handshaken = true
	c.drainConn.setState(http.StateIdle) // none of the bytes belonged to a request
	return nil
}

// CloseWrite closes this side of the connection. The server uses it to end connections in order.
func (c *conn) CloseWrite() error {
	if c.tls != nil {
		_ = c.tls.CloseWrite() // fails if the handshake is not complete, or the client has gone
	}
	return c.drainConn.CloseWrite()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.client.Leave()
	return c.stream().Close()
}

// SetReadDeadline implements net.Conn. After an eviction only the deadline that ends reads is set.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		t = past
	}
	return c.drainConn.SetReadDeadline(t)
}

// Evict implements ingress.Connection. The goroutine that reads from the connection answers and closes it.
func (c *conn) Evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.whole && !c.answering {
		return false
	}
	c.evicted = true
	if c.answering {
		_ = c.drainConn.SetWriteDeadline(past) // this and the next call fail only on a closed connection
	}
	_ = c.drainConn.SetReadDeadline(past)
	return true
}

// setWhole records that a whole request was received. It returns false if the connection was evicted before.
func (c *conn) setWhole(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole = !c.evicted
	if c.whole {
		c.client.Begin(ingress.Serving, now)
	}
	return c.whole
}

func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// idle prepares the connection for the next head, after an answer. The server may have read bytes of it already.
func (c *conn) idle(now time.Time) {
	c.mu.Lock()
	c.whole, c.answering = false, false
	c.mu.Unlock()
	c.inHead, c.passable = true, 0
	c.client.Reset(c.heldSize)
	ahead := c.readAhead() + c.background
	c.background = 0
	c.passed, c.headBytes, c.headLines = ahead, ahead, 0
	if ahead > 0 {
		c.headSince = now
		c.client.Begin(ingress.Head, now)
		return
	}
	c.client.Begin(ingress.Idle, now)
}

// hasHeld reports whether bytes of a request were read that the server has not got yet.
func (c *conn) hasHeld() bool { return len(c.held) > c.taken }

// readAhead returns how many bytes of the next head the server has read, at most as many as it reads ahead.
func (c *conn) readAhead() int {
	if c.bodyBytes >= 0 {
		return max(0, min(c.passed-c.headBytes-int(c.bodyBytes), serverBuffer))
	}
	if c.end.atEmptyLine { // a chunked body ends with an empty line
		return 0
	}
	return serverBuffer
}

// hold counts bytes of this connection. It returns false if they do not fit.
func (c *conn) hold(n int64, now time.Time) bool {
	ok, evict := c.client.Hold(n, now)
	c.group.evict(evict)
	return ok
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, errRefused
	}
	// A read of one byte is that by which the server learns that a client leaves. It may run beside
	// the handler.
	switch background := len(p) == 1; {
	case len(c.held) > c.taken && background:
		c.background = c.take(p, len(c.held))
		return c.background, nil
	case len(c.held) > c.taken && !c.inHead:
		return c.take(p, len(c.held)), nil
	case background:
		n, err := c.stream().Read(p)
		c.end.note(p[:n])
		c.background = n
		return n, err
	case !c.inHead:
		n, err := c.stream().Read(p)
		c.passed += n
		c.end.note(p[:n])
		return n, err
	case c.passable > c.taken:
		n := c.take(p, c.passable)
		c.passed += n
		return n, nil
	}
	return c.readHead(p)
}

// take copies held bytes up to an index. When all are taken, their buffer is released; the budget counts it
// until the request ends.
func (c *conn) take(p []byte, end int) int {
	n := copy(p, c.held[c.taken:end])
	c.taken += n
	if c.taken == len(c.held) {
		c.held, c.taken, c.passable, c.heldSize = nil, 0, 0, 0
	}
	return n
}

// readHead reads until a head is whole.
func (c *conn) readHead(p []byte) (int, error) {
	now := time.Now()
	// The server wants more of a head of which it has some: bytes that it read ahead, or lines after what
	// looked like an end. They are parsed already.
	if cost := ingress.HeadCost(c.passed, c.passed/shortestLine); cost > 0 && !c.hold(cost, now) {
		return 0, c.refuse(c.group.refusals.busy, p)
	}
	if c.taken > 0 { // sent ahead, with the body before
		c.held = append([]byte(nil), c.held[c.taken:]...)
		c.taken = 0
		if whole, refusal := c.received(c.held, now); refusal != nil {
			return 0, c.refuse(refusal, p)
		} else if whole {
			return c.pass(p), nil
		}
	}
	for {
		buf, ok := c.buffer(p, now)
		if !ok {
			return 0, c.refuse(c.group.refusals.busy, p)
		}
		if err := c.SetReadDeadline(c.headDeadline()); err != nil {
			return 0, err
		}
		n, err := c.stream().Read(buf)
		if n == 0 {
			return 0, c.headFailed(err, p)
		}
		now = time.Now()
		whole, refusal := c.received(buf[:n], now)
		if refusal != nil {
			return 0, c.refuse(refusal, p)
		}
		if c.held != nil {
			c.held = c.held[:len(c.held)+n]
			if whole {
				return c.pass(p), nil
			}
			continue
		}
		if whole {
			c.passed += n
			return n, nil
		}
		c.held = append(make([]byte, 0, max(firstHeldBytes, n)), buf[:n]...)
	}
}

// buffer returns where the next bytes of a head are read to: p for the first ones, then space of the
// connection's own, which grows up to the largest head.
func (c *conn) buffer(p []byte, now time.Time) ([]byte, bool) {
	if c.held == nil {
		return p, true
	}
	if len(c.held) == cap(c.held) {
		size := max(min(2*cap(c.held), c.group.rules().MaxHead+1), cap(c.held)+1)
		grown := int64(size - cap(c.held))
		if !c.hold(grown, now) {
			return nil, false
		}
		c.heldSize += grown
		c.held = append(make([]byte, 0, size), c.held...)
	}
	return c.held[len(c.held):cap(c.held)], true
}

// headDeadline returns when the next byte has to arrive.
func (c *conn) headDeadline() time.Time {
	rules := c.group.rules()
	if c.headBytes == 0 {
		return c.client.Since().Add(rules.IdleTimeout)
	}
	return c.headSince.Add(rules.HeadTimeout)
}

// received examines bytes of a head and reports whether it is whole.
func (c *conn) received(p []byte, now time.Time) (whole bool, r *refusal) {
	if c.headBytes == 0 {
		c.headSince = now
		c.client.Begin(ingress.Head, now)
	}
	end := c.end.find(p)
	whole = end >= 0
	if whole {
		c.passable = len(c.held) + end
		p = p[:end]
	}
	c.headBytes += len(p)
	c.headLines += bytes.Count(p, lineFeed)
	if c.headBytes > c.group.rules().MaxHead {
		return false, c.group.refusals.head
	}
	if cost := ingress.HeadCost(c.headBytes, c.headLines); whole && cost > 0 && !c.hold(cost, now) {
		return false, c.group.refusals.busy
	}
	return whole, nil
}

var lineFeed = []byte{'\n'}

// pass returns the first held bytes of a whole head.
func (c *conn) pass(p []byte) int {
	n := c.take(p, c.passable)
	c.passed += n
	return n
}

// headFailed handles the end of a connection, or of its time, before a whole head.
func (c *conn) headFailed(err error, p []byte) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	switch {
	case c.isEvicted() && c.headBytes > 0:
		return c.refuse(c.group.refusals.busy, p)
	case c.isEvicted():
		return errRefused // counted when it was chosen
	case c.headBytes > 0:
		return c.refuse(c.group.refusals.slowHead, p)
	}
	c.group.count(metrics.ReasonIdle)
	return errRefused
}

// headRead records that the server has parsed a head, and that a handler has the request. It returns false if
// the connection was evicted.
func (c *conn) headRead(bodyBytes int64) bool {
	now := time.Now()
	c.inHead, c.bodyBytes = false, bodyBytes
	if kept := 3 * int64(c.headBytes); kept > 3*ingress.SmallRequest {
		c.client.Reset(kept) // handlers keep the path, but no header lines, and the buffers are garbage now
	}
	if bodyBytes == 0 {
		return c.setWhole(now)
	}
	c.client.Begin(ingress.Body, now)
	_ = c.SetReadDeadline(now.Add(c.group.rules().IdleTimeout)) // fails only on a closed connection
	return !c.isEvicted()
}

// refuse sends a refusal before any request is known to the server, and returns the error that ends the
// connection. The buffer is used to read what the client is still sending.
func (c *conn) refuse(r *refusal, p []byte) error {
	c.group.count(r.reason)
	c.client.Reset(0)
	c.held, c.taken, c.passable, c.heldSize = nil, 0, 0, 0
	if _, err := c.Write(r.response); err != nil {
		return errRefused // the client has gone
	}
	if !r.linger || c.isEvicted() {
		return errRefused
	}
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	for left := lingerBytes; left > 0; {
		n, err := c.stream().Read(p)
		if err != nil {
			break
		}
		left -= n
	}
	return errRefused
}
