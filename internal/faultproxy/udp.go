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
	// maxDatagramBytes is above QUIC's path MTU limit of 1452 bytes; larger
	// datagrams are dropped and counted.
	maxDatagramBytes = 2048
	// queueDatagrams is the queue length of one direction of one flow: 50 ms
	// at 80,000 datagrams a second.
	queueDatagrams = 4096
	// maxFlows limits the memory used by clients that keep opening new ports.
	maxFlows = 4096
	// flowIdleTimeout is the time without traffic in either direction after
	// which a flow is removed. Links send heartbeats far more often.
	flowIdleTimeout = 60 * time.Second
	// socketBufferBytes absorbs bursts; the kernel may grant less.
	socketBufferBytes = 4 << 20
)

// UDPOptions configures NewUDP.
type UDPOptions struct {
	Listen   string // loopback ip:port; port 0: any free port
	Upstream string // ip:port of the server
	Faults   Faults
	Seed     uint64 // of the random numbers for loss and duplication
	// Identify returns the client name for a new flow; nil: flows have no name.
	Identify func(client netip.AddrPort) string
	// ClientDelays overrides Faults.Delay by client name.
	ClientDelays map[string]time.Duration
}

// UDP is a UDP relay. A flow is identified by the client's address, and each
// flow has its own socket to the server.
type UDP struct {
	relayState
	options    UDPOptions
	clientConn *net.UDPConn
	upstream   *net.UDPAddr
	done       sync.WaitGroup

	flowMu        sync.Mutex
	flowsByClient map[netip.AddrPort]*udpFlow
	closed        bool
}

type udpFlow struct {
	client      netip.AddrPort
	name        string
	delay       time.Duration // used if fixedDelay
	fixedDelay  bool
	serverConn  *net.UDPConn
	silent      atomic.Bool
	lastForward atomic.Int64 // Unix nanoseconds
	forward     udpQueue
	backward    udpQueue
}

// udpQueue is the queue of one direction of a flow, in arrival order.
type udpQueue struct {
	direction Cut
	random    *rand.Rand // used only by the goroutine that reads this direction
	queue     chan *datagram
}

type datagram struct {
	due       time.Time
	duplicate bool
	n         int
	data      [maxDatagramBytes]byte
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
	clientConn, err := net.ListenUDP("udp", listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_ = clientConn.SetReadBuffer(socketBufferBytes)
	_ = clientConn.SetWriteBuffer(socketBufferBytes)
	u := &UDP{options: options, clientConn: clientConn, upstream: upstream, flowsByClient: map[netip.AddrPort]*udpFlow{}}
	u.init(options.Faults)
	u.done.Go(u.readClients)
	return u, nil
}

// Address implements Relay.
func (u *UDP) Address() string { return u.clientConn.LocalAddr().String() }

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
	for _, flow := range u.flowsByClient {
		flow.silent.Store(true)
	}
	return len(u.flowsByClient)
}

// Close implements Relay.
func (u *UDP) Close() {
	u.flowMu.Lock()
	u.closed = true
	for _, flow := range u.flowsByClient {
		flow.serverConn.Close()
	}
	u.flowMu.Unlock()
	u.clientConn.Close()
	u.done.Wait()
}

// readClients reads the datagrams of all clients. It is the only sender on the
// forward queues and closes them when it returns.
func (u *UDP) readClients() {
	for {
		d := datagrams.Get().(*datagram)
		n, client, err := u.clientConn.ReadFromUDPAddrPort(d.data[:])
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
	for _, flow := range u.flowsByClient {
		close(flow.forward.queue)
	}
	u.flowsByClient = map[netip.AddrPort]*udpFlow{}
}

// flow returns the flow of a client, or opens one. It returns nil if the relay is
// closed, at its limit of flows, or cannot open a socket.
func (u *UDP) flow(client netip.AddrPort) *udpFlow {
	u.flowMu.Lock()
	defer u.flowMu.Unlock()
	if flow, ok := u.flowsByClient[client]; ok {
		return flow
	}
	if u.closed || len(u.flowsByClient) >= maxFlows {
		return nil
	}
	serverConn, err := net.DialUDP("udp", nil, u.upstream)
	if err != nil {
		return nil
	}
	_ = serverConn.SetReadBuffer(socketBufferBytes)
	_ = serverConn.SetWriteBuffer(socketBufferBytes)
	flow := &udpFlow{client: client, serverConn: serverConn}
	if u.options.Identify != nil {
		flow.name = u.options.Identify(client)
	}
	flow.delay, flow.fixedDelay = u.options.ClientDelays[flow.name]
	number := uint64(u.flows.Add(1))
	flow.forward = newUDPQueue(CutForward, u.options.Seed, 2*number)
	flow.backward = newUDPQueue(CutBackward, u.options.Seed, 2*number+1)
	u.flowsByClient[client] = flow
	u.done.Go(func() { u.readServer(flow) })
	u.done.Go(func() { u.deliver(flow, &flow.forward, func(b []byte) { _, _ = serverConn.Write(b) }) })
	u.done.Go(func() {
		u.deliver(flow, &flow.backward, func(b []byte) { _, _ = u.clientConn.WriteToUDPAddrPort(b, client) })
	})
	return flow
}

func newUDPQueue(direction Cut, seed, number uint64) udpQueue {
	return udpQueue{
		direction: direction,
		random:    rand.New(rand.NewPCG(seed, number)),
		queue:     make(chan *datagram, queueDatagrams),
	}
}

// readServer reads the server's datagrams for one client until the flow ends.
func (u *UDP) readServer(flow *udpFlow) {
	defer close(flow.backward.queue)
	defer flow.serverConn.Close()
	for {
		d := datagrams.Get().(*datagram)
		_ = flow.serverConn.SetReadDeadline(time.Now().Add(flowIdleTimeout))
		n, err := flow.serverConn.Read(d.data[:])
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
		// Ignore other errors: an ICMP error from a server that is not running
		// fails only this read.
	}
}

func (u *UDP) isClosed() bool {
	u.flowMu.Lock()
	defer u.flowMu.Unlock()
	return u.closed
}

// removeIdle removes a flow if its client has sent nothing for flowIdleTimeout
// either. It reports whether the flow has ended.
func (u *UDP) removeIdle(flow *udpFlow) bool {
	u.flowMu.Lock()
	defer u.flowMu.Unlock()
	if time.Since(time.Unix(0, flow.lastForward.Load())) < flowIdleTimeout {
		return false
	}
	if u.flowsByClient[flow.client] != flow {
		return true // readClients has returned and closed the queue
	}
	delete(u.flowsByClient, flow.client)
	close(flow.forward.queue)
	return true
}

// enqueue drops a datagram that loss, a cut or silence applies to and queues it
// otherwise.
func (u *UDP) enqueue(flow *udpFlow, q *udpQueue, d *datagram) {
	faults := u.faults.Load()
	lost := faults.Loss > 0 && faults.appliesTo(flow.name) && q.random.Float64() < faults.Loss
	if lost || flow.silent.Load() || faults.cuts(q.direction, flow.name) {
		u.dropped.Add(1)
		datagrams.Put(d)
		return
	}
	if d.n == maxDatagramBytes {
		u.overflow.Add(1) // the datagram may be truncated
		datagrams.Put(d)
		return
	}
	delay := faults.Delay
	if flow.fixedDelay {
		delay = flow.delay
	}
	d.due = time.Now().Add(delay)
	d.duplicate = faults.Duplicate > 0 && faults.appliesTo(flow.name) && q.random.Float64() < faults.Duplicate
	select {
	case q.queue <- d:
	default:
		u.overflow.Add(1)
		datagrams.Put(d)
	}
}

// deliver writes the datagrams of one queue when they are due.
func (u *UDP) deliver(flow *udpFlow, q *udpQueue, write func([]byte)) {
	for d := range q.queue {
		waitUntil(d.due)
		if flow.silent.Load() || u.faults.Load().cuts(q.direction, flow.name) {
			u.dropped.Add(1)
		} else {
			u.forwarded.Add(1) // before the write, so that a response is not counted first
			write(d.data[:d.n])
			if d.duplicate {
				u.duplicated.Add(1)
				write(d.data[:d.n])
			}
		}
		datagrams.Put(d)
	}
}
