package transport

import (
	"bufio"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	defaults "github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/wire"
	"github.com/quic-go/quic-go"
	tomb "gopkg.in/tomb.v2"
)

// Limits of a link. An outbox over outboxBytes means that the peer has stopped
// reading; closing the link bounds the sender's memory.
const (
	outboxBytes      = 64 << 20
	largeMessage     = 32 << 10
	maxLargeStreams  = 64
	readBufferBytes  = 64 << 10
	handshakeTimeout = 2 * time.Second
)

// Heartbeat timing of links with work. Such a link is closed after PeerTimeout
// without a message, which bounds how long tasks wait behind a connection that
// went silent.
const (
	HeartbeatInterval = time.Second
	PeerTimeout       = 3500 * time.Millisecond
)

// Timing is the pace of a process's links. Zero fields take the defaults
// HeartbeatInterval, PeerTimeout and handshakeTimeout. Both ends of a link need
// the same values.
type Timing struct {
	Heartbeat   time.Duration // between messages of a link with work
	PeerTimeout time.Duration // after which such a link is closed
	Handshake   time.Duration // for a peer to answer while a link is opened
}

func (t Timing) withDefaults() Timing {
	defaults.Default(&t.Heartbeat, HeartbeatInterval)
	defaults.Default(&t.PeerTimeout, PeerTimeout)
	defaults.Default(&t.Handshake, handshakeTimeout)
	return t
}

// idleHeartbeat is the interval of a link that neither side has work on.
func (t Timing) idleHeartbeat() time.Duration { return idleFactor * t.Heartbeat }

// slack is what a heartbeat may be late by.
func (t Timing) slack() time.Duration { return t.PeerTimeout - t.Heartbeat }

// protocolName is the ALPN protocol of links.
const protocolName = "catkinline/1"

// Handler receives what happens on links. LinkUp comes first and LinkDown last
// for each link; Handle is called from several goroutines, in order for the
// messages of the control stream.
type Handler interface {
	LinkUp(l *Link)
	Handle(l *Link, m wire.Message)
	LinkDown(l *Link, err error)
}

// Counter counts messages; a nil Counter counts nothing.
type Counter interface {
	CountMessage(t wire.Type, bytes int, sent bool)
}

// Options describe this process to its peers.
type Options struct {
	Self        Identity
	Incarnation wire.Incarnation
	Credentials *Credentials
	Handler     Handler
	Revision    func() uint64
	Counter     Counter
	Timing      Timing
	// Idle reports whether this process has no work on a link: no task is out,
	// waits or has an outcome to acknowledge. Nil keeps every link's heartbeats
	// at the shortest interval.
	Idle func(l *Link) bool
}

// Link is one connection to a peer process.
type Link struct {
	opts        Options
	conn        *quic.Conn
	control     *quic.Stream
	reader      *bufio.Reader
	peer        Identity
	incarnation wire.Incarnation
	tomb        tomb.Tomb

	mu     sync.Mutex
	outbox [][]byte
	queued atomic.Int64
	wake   chan struct{}
	large  chan struct{}

	pace   pace
	opened time.Time
	heard  atomic.Int64 // nanoseconds from opened to the last message received
	sent   atomic.Int64 // nanoseconds from opened to the last message sent
}

func newLink(opts Options, conn *quic.Conn, control *quic.Stream) *Link {
	opts.Timing = opts.Timing.withDefaults()
	l := &Link{
		pace:    pace{timing: opts.Timing},
		opts:    opts,
		conn:    conn,
		control: control,
		reader:  bufio.NewReaderSize(control, readBufferBytes),
		wake:    make(chan struct{}, 1),
		large:   make(chan struct{}, maxLargeStreams),
		opened:  time.Now(),
	}
	return l
}

// age is the time since the link was opened, on the monotonic clock: a step of
// the wall clock must not close links.
func (l *Link) age() time.Duration { return time.Since(l.opened) }

// Name returns the peer's name.
func (l *Link) Name() string { return l.peer.Name }

// Role returns the peer's role, as its certificate states it.
func (l *Link) Role() wire.Role { return l.peer.Role }

// Incarnation returns the peer's incarnation.
func (l *Link) Incarnation() wire.Incarnation { return l.incarnation }

// Traffic is what a link has carried as QUIC packets, acknowledgements and
// retransmissions included, without the headers of UDP and IP.
type Traffic struct {
	BytesSent, BytesReceived     uint64
	PacketsSent, PacketsReceived uint64
}

// Traffic returns the link's traffic since it was opened.
func (l *Link) Traffic() Traffic {
	s := l.conn.ConnectionStats()
	return Traffic{
		BytesSent:       s.BytesSent,
		BytesReceived:   s.BytesReceived,
		PacketsSent:     s.PacketsSent,
		PacketsReceived: s.PacketsReceived,
	}
}

// Send queues a message and never blocks. An error means that the link is
// closed or was closed because the peer does not read.
func (l *Link) Send(m wire.Message) error {
	if !l.tomb.Alive() {
		return Error.New("link to %s is closed", l.peer.Name)
	}
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	if l.queued.Add(int64(len(frame))) > outboxBytes {
		err := Error.New("link to %s: %d bytes wait to be sent", l.peer.Name, l.queued.Load())
		l.Close(err)
		return err
	}
	now := l.age()
	l.sent.Store(int64(now))
	if m.Type() != wire.TypeHeartbeat {
		l.pace.working(now)
	}
	if l.opts.Counter != nil {
		l.opts.Counter.CountMessage(m.Type(), len(frame), true)
	}
	l.mu.Lock()
	l.outbox = append(l.outbox, frame)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// Close closes the link; the handler's LinkDown gets err.
func (l *Link) Close(err error) error {
	l.tomb.Kill(err)
	return nil
}

// run serves the link until it closes.
func (l *Link) run() error {
	l.opts.Handler.LinkUp(l)
	l.tomb.Go(func() error {
		l.tomb.Go(l.readControl)
		l.tomb.Go(l.acceptLarge)
		l.tomb.Go(l.writeLoop)
		l.tomb.Go(l.heartbeatLoop)
		<-l.tomb.Dying()
		_ = l.conn.CloseWithError(0, "")
		return nil
	})
	err := l.tomb.Wait()
	if closed := (*quic.ApplicationError)(nil); errors.As(err, &closed) && closed.ErrorCode == 0 {
		err = nil // one of the two sides closed the link
	}
	l.opts.Handler.LinkDown(l, err)
	return err
}

func (l *Link) readControl() error {
	for {
		m, n, err := wire.Read(l.reader)
		if err != nil {
			return Error.Wrap(err)
		}
		l.received(m, n)
	}
}

func (l *Link) received(m wire.Message, bytes int) {
	l.heard.Store(int64(l.age()))
	l.pace.received(m)
	if l.opts.Counter != nil {
		l.opts.Counter.CountMessage(m.Type(), bytes, false)
	}
	l.opts.Handler.Handle(l, m)
}

func (l *Link) acceptLarge() error {
	for {
		s, err := l.conn.AcceptUniStream(context.Background())
		if err != nil {
			return Error.Wrap(err)
		}
		l.tomb.Go(func() error {
			m, n, err := wire.Read(s)
			if err != nil {
				return Error.Wrap(err)
			}
			l.received(m, n)
			return nil
		})
	}
}

func (l *Link) writeLoop() error {
	for {
		select {
		case <-l.tomb.Dying():
			return tomb.ErrDying
		case <-l.wake:
		}
		if err := l.flush(); err != nil {
			return err
		}
	}
}

func (l *Link) flush() error {
	l.mu.Lock()
	frames := l.outbox
	l.outbox = nil
	l.mu.Unlock()
	var batch []byte
	for _, f := range frames {
		if len(f) > largeMessage {
			l.tomb.Go(func() error { return l.writeLarge(f) })
			continue
		}
		batch = append(batch, f...)
	}
	if len(batch) == 0 {
		return nil
	}
	_, err := l.control.Write(batch)
	l.queued.Add(-int64(len(batch)))
	return Error.Wrap(err)
}

func (l *Link) writeLarge(frame []byte) error {
	defer l.queued.Add(-int64(len(frame)))
	select {
	case l.large <- struct{}{}:
		defer func() { <-l.large }()
	case <-l.tomb.Dying():
		return tomb.ErrDying
	}
	s, err := l.conn.OpenUniStreamSync(l.conn.Context())
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := s.Write(frame); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(s.Close())
}

// heartbeatLoop sends a heartbeat when nothing else was sent for an interval or
// the revision changed, which an idle link also tells within the shorter interval,
// and closes the link when the peer has been silent for too long.
func (l *Link) heartbeatLoop() error {
	ticker := time.NewTicker(l.opts.Timing.Heartbeat)
	defer ticker.Stop()
	revision := l.opts.Revision()
	for {
		select {
		case <-l.tomb.Dying():
			return tomb.ErrDying
		case <-ticker.C:
			now := l.age()
			heard := time.Duration(l.heard.Load())
			idle := l.opts.Idle != nil && l.opts.Idle(l)
			known := l.opts.Revision()
			if h, ok := l.pace.due(now, time.Duration(l.sent.Load()), idle, known != revision); ok {
				revision = known
				h.Revision = known
				_ = l.Send(h)
			}
			if l.pace.silent(now, heard) {
				return Error.New("%s was silent for %s", l.peer.Name, (now - heard).Round(time.Millisecond))
			}
		}
	}
}
