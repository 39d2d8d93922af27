package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a TCP relay.
const (
	chunkBytes  = 32 << 10
	queueChunks = 256   // in one direction of one connection
	maxConns    = 16384 // 10,000 jobs that are cancelled together may pass through one relay
	dialTimeout = 10 * time.Second
	// acceptRetryDelay is the delay after a connection could not be accepted.
	acceptRetryDelay = 5 * time.Millisecond
)

// TCPOptions configures NewTCP.
type TCPOptions struct {
	Listen   string // loopback ip:port; port 0: any free port
	Upstream string // ip:port of the server
	Faults   Faults
}

// TCP is a TCP relay. The delay applies to data and to the end of a connection,
// but not to the handshake, so opening a connection is not delayed.
type TCP struct {
	relayState
	upstream string
	address  string
	done     sync.WaitGroup
	quit     chan struct{}

	connMu   sync.Mutex
	listener net.Listener
	stopped  bool // StopListening was called, and Listen has not been since
	conns    map[*tcpFlow]struct{}
}

type tcpFlow struct {
	client, server *net.TCPConn // server is nil until it is dialled
	silent         atomic.Bool
	closed         chan struct{}
	once           sync.Once
}

type chunk struct {
	due   time.Time
	data  []byte
	eof   bool
	reset bool
}

// NewTCP starts a TCP relay.
func NewTCP(options TCPOptions) (*TCP, error) {
	t := &TCP{upstream: options.Upstream, quit: make(chan struct{}), conns: map[*tcpFlow]struct{}{}}
	if err := t.check(options.Faults); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	t.listener, t.address = listener, listener.Addr().String()
	t.init(options.Faults)
	t.done.Go(func() { t.accept(listener) })
	return t, nil
}

func (t *TCP) check(f Faults) error {
	if f.Loss != 0 || f.Duplicate != 0 || len(f.Clients) != 0 {
		return Error.New("loss, duplicates and clients are not supported by a TCP relay")
	}
	return f.validate()
}

// Address implements Relay.
func (t *TCP) Address() string { return t.address }

// SetFaults implements Relay.
func (t *TCP) SetFaults(f Faults) error {
	if err := t.check(f); err != nil {
		return err
	}
	t.replace(f)
	return nil
}

// SilenceFlows implements Relay.
func (t *TCP) SilenceFlows() int {
	t.connMu.Lock()
	n := len(t.conns)
	for flow := range t.conns {
		flow.silent.Store(true)
	}
	t.connMu.Unlock()
	t.notifyChange()
	return n
}

// ResetFlows resets the existing connections (TCP RST) and returns their number.
// New connections are not affected.
func (t *TCP) ResetFlows() int {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	for flow := range t.conns {
		flow.close(true)
	}
	return len(t.conns)
}

// StopListening ends the existing connections and refuses new ones until Listen, as a server does that has
// closed its address.
func (t *TCP) StopListening() {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	t.listener.Close()
	t.stopped = true
	for flow := range t.conns {
		flow.close(false)
	}
}

// Listen listens again at the same address after StopListening, and does nothing while the relay listens.
func (t *TCP) Listen() error {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	select {
	case <-t.quit:
		return nil
	default:
	}
	if !t.stopped {
		return nil
	}
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		return Error.Wrap(err)
	}
	t.listener, t.stopped = listener, false
	t.done.Go(func() { t.accept(listener) })
	return nil
}

// Close implements Relay.
func (t *TCP) Close() {
	t.connMu.Lock()
	t.listener.Close()
	close(t.quit)
	for flow := range t.conns {
		flow.close(true)
	}
	t.connMu.Unlock()
	t.done.Wait()
}

func (t *TCP) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // too many open files: the next connections may find some
			time.Sleep(acceptRetryDelay)
			continue
		}
		flow := &tcpFlow{client: conn.(*net.TCPConn), closed: make(chan struct{})}
		if !t.add(flow) {
			t.overflow.Add(1)
			flow.close(true)
			continue
		}
		t.flows.Add(1)
		t.done.Go(func() { t.serve(flow) })
	}
}

func (t *TCP) add(flow *tcpFlow) bool {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	select {
	case <-t.quit:
		return false
	default:
	}
	if t.stopped || len(t.conns) >= maxConns { // accepted just before StopListening
		return false
	}
	t.conns[flow] = struct{}{}
	return true
}

// serve connects a flow to the server and copies both directions until they end.
func (t *TCP) serve(flow *tcpFlow) {
	defer func() {
		flow.close(false)
		t.connMu.Lock()
		delete(t.conns, flow)
		t.connMu.Unlock()
	}()
	if !t.awaitOpen(flow, CutForward) || !t.awaitOpen(flow, CutBackward) {
		return
	}
	conn, err := net.DialTimeout("tcp", t.upstream, dialTimeout)
	if err != nil {
		flow.close(true)
		return
	}
	t.connMu.Lock()
	flow.server = conn.(*net.TCPConn)
	t.connMu.Unlock()
	select {
	case <-t.quit:
		return
	case <-flow.closed:
		return
	default:
	}
	var both sync.WaitGroup
	both.Go(func() { t.pump(flow, flow.client, flow.server, CutForward) })
	both.Go(func() { t.pump(flow, flow.server, flow.client, CutBackward) })
	both.Wait()
}

// pump reads one direction into a queue, which a second goroutine writes.
func (t *TCP) pump(flow *tcpFlow, from, to *net.TCPConn, direction Cut) {
	queue := make(chan chunk, queueChunks)
	var writer sync.WaitGroup
	writer.Go(func() { t.write(flow, to, direction, queue) })
	defer writer.Wait()
	defer close(queue)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if flow.silent.Load() {
			t.dropped.Add(1)
			if err != nil {
				from.Close() // the other side is not told
				return
			}
			continue
		}
		due := time.Now().Add(t.faults.Load().Delay)
		if n > 0 {
			queue <- chunk{due: due, data: bytes.Clone(buffer[:n])}
		}
		if err != nil {
			queue <- chunk{due: due, eof: err == io.EOF, reset: err != io.EOF}
			return
		}
	}
}

// write writes chunks when they are due and their direction is not cut. It
// drains the queue even if the connection has failed, so that the reader does not
// block.
func (t *TCP) write(flow *tcpFlow, to *net.TCPConn, direction Cut, queue <-chan chunk) {
	for c := range queue {
		waitUntil(c.due)
		open := t.awaitOpen(flow, direction)
		switch {
		case !open || flow.silent.Load():
			t.dropped.Add(1)
		case c.reset:
			flow.close(true)
		case c.eof:
			_ = to.CloseWrite()
		default:
			if _, err := to.Write(c.data); err != nil {
				flow.close(true)
			}
			t.forwarded.Add(1)
		}
	}
}

// awaitOpen waits while a direction is cut. It returns false if the flow is
// closed or silenced.
func (t *TCP) awaitOpen(flow *tcpFlow, direction Cut) bool {
	for {
		changed := t.changeSignal()
		if flow.silent.Load() {
			return false
		}
		if !t.faults.Load().cuts(direction, "") {
			return true
		}
		select {
		case <-flow.closed:
			return false
		case <-t.quit:
			return false
		case <-changed:
		}
	}
}

// close closes both connections. With reset, unsent bytes are discarded and the
// peers receive a reset, as after a crash of a process.
func (f *tcpFlow) close(reset bool) {
	f.once.Do(func() { close(f.closed) })
	for _, conn := range []*net.TCPConn{f.client, f.server} {
		if conn == nil {
			continue
		}
		if reset {
			_ = conn.SetLinger(0)
		}
		conn.Close()
	}
}
