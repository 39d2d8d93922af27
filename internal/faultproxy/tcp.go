package faultproxy

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a TCP relay.
const (
	chunkBytes  = 32 << 10
	lineChunks  = 256   // of one direction of one connection
	maxConns    = 16384 // a wave of 10,000 cancelled jobs may pass one relay
	dialTimeout = 10 * time.Second
)

// TCPOptions configures a TCP relay.
type TCPOptions struct {
	Listen   string // loopback ip:port; port 0 picks one
	Upstream string // ip:port of the server
	Faults   Faults
}

// TCP is a TCP relay. The delay applies to bytes and to the end of a
// connection; opening one costs no round trip.
type TCP struct {
	switchboard
	upstream string
	listener net.Listener
	done     sync.WaitGroup
	quit     chan struct{}

	connMu sync.Mutex
	conns  map[*tcpFlow]struct{}
}

type tcpFlow struct {
	client, server *net.TCPConn // server is nil until dialled
	silent         atomic.Bool
	gone           chan struct{}
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
	t.listener = listener
	t.init(options.Faults)
	t.done.Go(t.accept)
	return t, nil
}

func (t *TCP) check(f Faults) error {
	if f.Loss != 0 || f.Duplicate != 0 || len(f.Clients) != 0 {
		return Error.New("a TCP relay has no loss, no duplicates and no named clients")
	}
	return f.validate()
}

// Address implements Relay.
func (t *TCP) Address() string { return t.listener.Addr().String() }

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
	t.wake()
	return n
}

// ResetFlows resets every existing connection and returns their number. New ones
// work.
func (t *TCP) ResetFlows() int {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	for flow := range t.conns {
		flow.close(true)
	}
	return len(t.conns)
}

// Close implements Relay.
func (t *TCP) Close() {
	t.listener.Close()
	t.connMu.Lock()
	close(t.quit)
	for flow := range t.conns {
		flow.close(true)
	}
	t.connMu.Unlock()
	t.done.Wait()
}

func (t *TCP) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		flow := &tcpFlow{client: conn.(*net.TCPConn), gone: make(chan struct{})}
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
	if len(t.conns) >= maxConns {
		return false
	}
	t.conns[flow] = struct{}{}
	return true
}

// serve connects a flow to the server and pumps both directions to their end.
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
	case <-flow.gone:
		return
	default:
	}
	var both sync.WaitGroup
	both.Go(func() { t.pump(flow, flow.client, flow.server, CutForward) })
	both.Go(func() { t.pump(flow, flow.server, flow.client, CutBackward) })
	both.Wait()
}

// pump reads one direction into a queue; a second goroutine writes it out.
func (t *TCP) pump(flow *tcpFlow, from, to *net.TCPConn, direction Cut) {
	queue := make(chan chunk, lineChunks)
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
				from.Close() // the other side doesn't learn of it
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

// write writes chunks when they are due and their direction is open. It reads
// the queue to its end so that the reader never blocks on a dead connection.
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

// awaitOpen waits while a direction is cut. It returns false if the flow ended
// or became silent instead.
func (t *TCP) awaitOpen(flow *tcpFlow, direction Cut) bool {
	for {
		changed := t.waitChannel()
		if flow.silent.Load() {
			return false
		}
		if !t.faults.Load().cuts(direction, "") {
			return true
		}
		select {
		case <-flow.gone:
			return false
		case <-t.quit:
			return false
		case <-changed:
		}
	}
}

// close ends both sides; reset discards unsent bytes, as the death of a process
// does.
func (f *tcpFlow) close(reset bool) {
	f.once.Do(func() { close(f.gone) })
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
