package faultproxy

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a UDP relay.
const (
	// maxDatagram is above QUIC's path MTU limit of 1452 bytes; larger
	// datagrams are dropped and counted.
	maxDatagram = 2048
	// lineDatagrams bounds one direction of one flow: 50 ms at 80,000
	// datagrams a second.
	lineDatagrams = 4096
	// maxFlows bounds the memory that clients with ever new ports can use.
	maxFlows = 4096
	// flowIdle removes a flow that carried nothing in either direction; links
	// send heartbeats far more often.
	flowIdle = 60 * time.Second
	// socketBuffer absorbs bursts; the system may grant less.
	socketBuffer = 4 << 20
)

// UDPOptions configures a UDP relay.
type UDPOptions struct {
	Listen   string // loopback ip:port; port 0 picks one
	Upstream string // ip:port of the server
	Faults   Faults
	Seed     uint64 // of loss
	// Identify names the client of a new flow; nil leaves it unnamed.
	Identify func(client netip.AddrPort) string
	// ClientDelays replaces Faults.Delay for flows of named clients.
	ClientDelays map[string]time.Duration
}

// UDP is a UDP relay. A flow is keyed by the client's address; each flow has
// its own socket towards the server.
type UDP struct {
	switchboard
	options  UDPOptions
	front    *net.UDPConn
	upstream *net.UDPAddr
	done     sync.WaitGroup

	flowMu sync.Mutex
	byAddr map[netip.AddrPort]*udpFlow
	closed bool
}

type udpFlow struct {
	client      netip.AddrPort
	name        string
	delay       time.Duration // used if fixedDelay
	fixedDelay  bool
	back        *net.UDPConn
	silent      atomic.Bool
	lastForward atomic.Int64 // Unix nanoseconds
	forward     udpLine
	backward    udpLine
}

// udpLine is one direction of a flow: a queue in order of due time.
type udpLine struct {
	direction Cut
	random    *rand.Rand // used by the line's reader only
	queue     chan *datagram
}

type datagram struct {
	due   time.Time
	twice bool
	n     int
	data  [maxDatagram]byte
}

var datagrams = sync.Pool{New: func() any { return new(datagram) }}

// NewUDP starts a UDP relay.
func NewUDP(options UDPOptions) (*UDP, error) {
	if err := options.Faults.validate(); err != nil {
		return nil, err
	}
	upstream, err := net.ResolveUDPAddr("udp", options.Upstream)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	listen, err := net.ResolveUDPAddr("udp", options.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	front, err := net.ListenUDP("udp", listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_ = front.SetReadBuffer(socketBuffer)
	_ = front.SetWriteBuffer(socketBuffer)
	u := &UDP{options: options, front: front, upstream: upstream, byAddr: map[netip.AddrPort]*udpFlow{}}
	u.init(options.Faults)
	u.done.Go(u.readFront)
	return u, nil
}

// Address implements Relay.
func (u *UDP) Address() string { return u.front.LocalAddr().String() }

// SetFaults implements Relay.
func (u *UDP) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	u.replace(f)
	return nil
}

// SilenceFlows implements Relay.
func (u *UDP) SilenceFlows() int {
	u.flowMu.Lock()
	defer u.flowMu.Unlock()
	for _, flow := range u.byAddr {
		flow.silent.Store(true)
	}
	return len(u.byAddr)
}

// Close implements Relay.
func (u *UDP) Close() {
	u.flowMu.Lock()
	u.closed = true
	for _, flow := range u.byAddr {
		flow.back.Close()
	}
	u.flowMu.Unlock()
	u.front.Close()
	u.done.Wait()
}

// readFront reads datagrams of all clients. It is the only sender on forward
// queues and closes them at its end.
func (u *UDP) readFront() {
	for {
		d := datagrams.Get().(*datagram)
		n, client, err := u.front.ReadFromUDPAddrPort(d.data[:])
		if err != nil {
			break
		}
		d.n = n
		flow := u.flow(client)
		if flow == nil {
			u.overflow.Add(1)
			datagrams.Put(d)
			continue
		}
		flow.lastForward.Store(time.Now().UnixNano())
		u.enqueue(flow, &flow.forward, d)
	}
	u.flowMu.Lock()
	defer u.flowMu.Unlock()
	for _, flow := range u.byAddr {
		close(flow.forward.queue)
	}
	u.byAddr = map[netip.AddrPort]*udpFlow{}
}

// flow returns the flow of a client and opens it if it is new.
func (u *UDP) flow(client netip.AddrPort) *udpFlow {
	u.flowMu.Lock()
	defer u.flowMu.Unlock()
	if flow, ok := u.byAddr[client]; ok {
		return flow
	}
	if u.closed || len(u.byAddr) >= maxFlows {
		return nil
	}
	back, err := net.DialUDP("udp", nil, u.upstream)
	if err != nil {
		return nil
	}
	_ = back.SetReadBuffer(socketBuffer)
	_ = back.SetWriteBuffer(socketBuffer)
	flow := &udpFlow{client: client, back: back}
	if u.options.Identify != nil {
		flow.name = u.options.Identify(client)
	}
	flow.delay, flow.fixedDelay = u.options.ClientDelays[flow.name]
	number := uint64(u.flows.Add(1))
	flow.forward = newUDPLine(CutForward, u.options.Seed, 2*number)
	flow.backward = newUDPLine(CutBackward, u.options.Seed, 2*number+1)
	u.byAddr[client] = flow
	u.done.Go(func() { u.readBack(flow) })
	u.done.Go(func() { u.drain(flow, &flow.forward, func(b []byte) { _, _ = back.Write(b) }) })
	u.done.Go(func() {
		u.drain(flow, &flow.backward, func(b []byte) { _, _ = u.front.WriteToUDPAddrPort(b, client) })
	})
	return flow
}

func newUDPLine(direction Cut, seed, number uint64) udpLine {
	return udpLine{
		direction: direction,
		random:    rand.New(rand.NewPCG(seed, number)),
		queue:     make(chan *datagram, lineDatagrams),
	}
}

// readBack reads the server's datagrams to one client until the flow ends.
func (u *UDP) readBack(flow *udpFlow) {
	defer close(flow.backward.queue)
	defer flow.back.Close()
	for {
		d := datagrams.Get().(*datagram)
		_ = flow.back.SetReadDeadline(time.Now().Add(flowIdle))
		n, err := flow.back.Read(d.data[:])
		if err == nil {
			d.n = n
			u.enqueue(flow, &flow.backward, d)
			continue
		}
		datagrams.Put(d)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			if u.removeIdle(flow) {
				return
			}
			continue
		}
		if u.isClosed() {
			return
		}
		// An ICMP error of a server that isn't running ends only this read.
	}
}

func (u *UDP) isClosed() bool {
	u.flowMu.Lock()
	defer u.flowMu.Unlock()
	return u.closed
}

// removeIdle removes a flow whose client has been silent too.
func (u *UDP) removeIdle(flow *udpFlow) bool {
	u.flowMu.Lock()
	defer u.flowMu.Unlock()
	if time.Since(time.Unix(0, flow.lastForward.Load())) < flowIdle {
		return false
	}
	if u.byAddr[flow.client] != flow {
		return true // the front has ended and closed the queue
	}
	delete(u.byAddr, flow.client)
	close(flow.forward.queue)
	return true
}

// enqueue applies loss, cuts and silence at arrival, and queues the rest.
func (u *UDP) enqueue(flow *udpFlow, line *udpLine, d *datagram) {
	faults := u.faults.Load()
	lost := faults.Loss > 0 && faults.concerns(flow.name) && line.random.Float64() < faults.Loss
	if lost || flow.silent.Load() || faults.cuts(line.direction, flow.name) {
		u.dropped.Add(1)
		datagrams.Put(d)
		return
	}
	if d.n == maxDatagram {
		u.overflow.Add(1) // may be truncated
		datagrams.Put(d)
		return
	}
	delay := faults.Delay
	if flow.fixedDelay {
		delay = flow.delay
	}
	d.due = time.Now().Add(delay)
	d.twice = faults.Duplicate > 0 && faults.concerns(flow.name) && line.random.Float64() < faults.Duplicate
	select {
	case line.queue <- d:
	default:
		u.overflow.Add(1)
		datagrams.Put(d)
	}
}

// drain writes the datagrams of one line when they are due.
func (u *UDP) drain(flow *udpFlow, line *udpLine, write func([]byte)) {
	for d := range line.queue {
		waitUntil(d.due)
		if flow.silent.Load() || u.faults.Load().cuts(line.direction, flow.name) {
			u.dropped.Add(1)
		} else {
			u.forwarded.Add(1) // first, so that an answer is never counted before it
			write(d.data[:d.n])
			if d.twice {
				u.duplicated.Add(1)
				write(d.data[:d.n])
			}
		}
		datagrams.Put(d)
	}
}
