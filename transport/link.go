package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/internal/heartbeat"
	defaults "github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/internal/pausedetect"
	"github.com/catkinline/catkinline/wire"
	"github.com/quic-go/quic-go"
	tomb "gopkg.in/tomb.v2"
)

// Limits of a link. A send queue over maxQueuedBytes means that the peer has stopped
// reading; closing the link then bounds the sender's memory. Messages of more than
// largeMessageBytes are sent on a stream of their own.
const (
	maxQueuedBytes    = 64 << 20
	largeMessageBytes = 32 << 10
	maxLargeStreams   = 64
	readBufferBytes   = 64 << 10
	handshakeTimeout  = 2 * time.Second
)

var errMessagesHeld = Error.New("large messages of the peer are not whole and hold too much memory")

// Heartbeat timing of links with work. Such a link is closed after PeerTimeout without
// a message from the peer, which bounds how long tasks are held up by a connection
// that has silently failed.
const (
	HeartbeatInterval = time.Second
	PeerTimeout       = 3500 * time.Millisecond
)

// IdleHeartbeatInterval is the time between heartbeats on a link that neither side has
// work on.
const IdleHeartbeatInterval = heartbeat.IdleFactor * HeartbeatInterval

// Timing holds the intervals and timeouts of links. Zero fields take the defaults
// HeartbeatInterval, PeerTimeout and handshakeTimeout. Both ends of a link need the
// same values.
type Timing struct {
	Heartbeat   time.Duration // longest time between messages on a link with work
	PeerTimeout time.Duration // time without a message after which such a link is closed
	Handshake   time.Duration // longest wait for the peer while a link is opened
}

func (t Timing) withDefaults() Timing {
	defaults.Default(&t.Heartbeat, HeartbeatInterval)
	defaults.Default(&t.PeerTimeout, PeerTimeout)
	defaults.Default(&t.Handshake, handshakeTimeout)
	return t
}

func (t Timing) heartbeats() heartbeat.Timing {
	return heartbeat.Timing{Interval: t.Heartbeat, PeerTimeout: t.PeerTimeout}
}

// protocolName is the ALPN protocol name of links.
const protocolName = "catkinline/1"

// Handler receives the events of links. For each link LinkUp is called first and
// LinkDown last. Handle is called from several goroutines; messages of the control
// stream arrive in order, large messages in any order.
type Handler interface {
	LinkUp(l *Link)
	Handle(l *Link, m wire.Message)
	LinkDown(l *Link, err error)
}

// Counter counts the messages that links send and receive, with the bytes of their
// frames. It is called from several goroutines.
type Counter interface {
	CountMessage(t wire.Type, bytes int, sent bool)
}

// Options are the options of Listen and Dial. Self and Incarnation describe this
// process to its peers.
type Options struct {
	Self        Identity
	Incarnation wire.Incarnation
	Credentials *Credentials
	Handler     Handler
	Revision    func() uint64 // of the configuration, for heartbeats
	Counter     Counter       // nil: messages are not counted
	Timing      Timing
	// Idle reports whether this process has no work on a link: no task that is
	// started, queued or has an unacknowledged outcome. With nil, heartbeats are sent
	// at the shortest interval on every link.
	Idle func(l *Link) bool
	// HandshakeRefused is called for each connection that is refused, as too many have not said yet who they are.
	// Nil: it is not counted.
	HandshakeRefused func()
	// OriginAge returns how long ago the processes for which this one has work on a link were all
	// known to be alive. Nil: it acts for itself only.
	OriginAge func(l *Link) time.Duration
	// Messages bounds what large messages hold until they are handled, on all links of the process. Nil: no limit.
	Messages *ingress.Messages
}

// Link is a connection to a peer process. Its methods are safe for concurrent use.
type Link struct {
	opts        Options
	conn        *quic.Conn
	control     *quic.Stream
	reader      *bufio.Reader
	peer        Identity
	incarnation wire.Incarnation
	tomb        tomb.Tomb

	sending      sync.Mutex // keeps a heartbeat before the message that it is sent for
	mu           sync.Mutex
	outbox       [][]byte      // frames that writeLoop has not taken yet
	queued       atomic.Int64  // bytes of frames that are not written yet
	wake         chan struct{} // wakes writeLoop
	largeStreams chan struct{} // semaphore of the streams for large messages

	heartbeat    *heartbeat.State
	opened       time.Duration // time since boot
	lastReceived atomic.Int64  // nanoseconds from opened to the last message received
	sentRevision atomic.Uint64 // in the last heartbeat; before the first one, at the start
}

func newLink(opts Options, conn *quic.Conn, control *quic.Stream) *Link {
	opts.Timing = opts.Timing.withDefaults()
	if opts.Messages == nil {
		opts.Messages = ingress.NewMessages(0)
	}
	l := &Link{
		heartbeat:    heartbeat.New(opts.Timing.heartbeats()),
		opts:         opts,
		conn:         conn,
		control:      control,
		reader:       bufio.NewReaderSize(control, readBufferBytes),
		wake:         make(chan struct{}, 1),
		largeStreams: make(chan struct{}, maxLargeStreams),
		opened:       pausedetect.BootTime(),
	}
	return l
}

// age returns the time since the link was opened. Time for which the machine was suspended counts:
// the peer's work may have been done elsewhere meanwhile.
func (l *Link) age() time.Duration { return pausedetect.BootTime() - l.opened }

// Name returns the peer's name, as its certificate states it.
func (l *Link) Name() string { return l.peer.Name }

// Role returns the peer's role, as its certificate states it.
func (l *Link) Role() wire.Role { return l.peer.Role }

// Incarnation returns the peer's incarnation, as it stated in the handshake.
func (l *Link) Incarnation() wire.Incarnation { return l.incarnation }

// SinceReceived returns the time since the last message from the peer.
func (l *Link) SinceReceived() time.Duration { return l.age() - time.Duration(l.lastReceived.Load()) }

// SinceAlive returns the time since the peer, and the processes that it acts for, were last known to be
// alive. It is at most one round trip longer than the time since the peer sent its last heartbeat, and does
// not depend on when that was read.
func (l *Link) SinceAlive() time.Duration { return l.age() - l.heartbeat.AliveAt() }

// Traffic counts the QUIC packets of a link, including acknowledgements and
// retransmissions, and their bytes without the headers of UDP and IP.
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

// Send queues a message and never blocks. It returns an error if the message cannot be
// encoded, if the link is closed, or if the peer reads too slowly, in which case Send
// closes the link.
func (l *Link) Send(m wire.Message) error {
	if m.Type() == wire.TypeHeartbeat {
		return l.queue(m)
	}
	l.sending.Lock()
	defer l.sending.Unlock()
	if h := l.heartbeat.MarkBusy(l.age()); h != nil {
		h.Revision = l.sentRevision.Load() // Options.Revision may need a lock that the caller holds
		if err := l.queue(h); err != nil {
			return err
		}
	}
	return l.queue(m)
}

// SendHeartbeat sends a heartbeat with the current revision at once.
func (l *Link) SendHeartbeat() error {
	return l.sendHeartbeat(l.heartbeat.Next(l.age()), l.opts.Revision())
}

func (l *Link) sendHeartbeat(h *wire.Heartbeat, revision uint64) error {
	h.Revision = revision
	l.sentRevision.Store(revision)
	return l.queue(h)
}

func (l *Link) queue(m wire.Message) error {
	if !l.tomb.Alive() {
		return Error.New("link to %s is closed", l.peer.Name)
	}
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	if l.queued.Add(int64(len(frame))) > maxQueuedBytes {
		err := Error.New("link to %s: the peer reads too slowly, %d bytes are queued", l.peer.Name, l.queued.Load())
		l.Close(err)
		return err
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

// Close closes the link without waiting for it to end. The handler's LinkDown receives
// err.
func (l *Link) Close(err error) error {
	l.tomb.Kill(err)
	return nil
}

// Evict implements ingress.Connection. It closes the link for the memory of other links' messages.
func (l *Link) Evict() bool {
	l.Close(errMessagesHeld)
	return true
}

// run serves the link until it closes. It returns nil if either side closed the link
// without an error.
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
		m, n, err := wire.ReadLimited(l.reader, largeMessageBytes)
		if err != nil {
			return Error.Wrap(err)
		}
		l.handle(m, n)
	}
}

func (l *Link) handle(m wire.Message, bytes int) {
	now := l.age()
	l.lastReceived.Store(int64(now))
	l.heartbeat.RecordReceived(m, now)
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
			if err := l.readLarge(s); err != nil {
				return err
			}
			return readEnd(s)
		})
	}
}

// readLarge reads and handles a message on a stream of its own. It counts until it is handled.
func (l *Link) readLarge(s io.Reader) error {
	message := l.opts.Messages.Begin(l, time.Now())
	defer message.End()
	m, n, err := wire.ReadReserved(s, wire.MaxMessageBytes, func(bytes int) error {
		if !message.Hold(int64(bytes), time.Now()) {
			return errMessagesHeld
		}
		return nil
	})
	if err != nil {
		return Error.Wrap(err)
	}
	l.handle(m, n)
	return nil
}

// readEnd reads the end of a stream after its message. Until then the stream counts as open, and the peer may open no
// more than maxLargeStreams.
func readEnd(s io.Reader) error {
	var rest [1]byte
	switch _, err := io.ReadFull(s, rest[:]); err {
	case io.EOF:
		return nil
	case nil:
		return Error.New("bytes follow the message of a stream")
	default:
		return Error.Wrap(err)
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
		if len(f) > largeMessageBytes {
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
	case l.largeStreams <- struct{}{}:
		defer func() { <-l.largeStreams }()
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

// heartbeatLoop sends the heartbeats that are due and one when the revision changed, and closes
// the link when the peer has timed out. A changed revision is sent within the shorter interval on
// idle links too.
func (l *Link) heartbeatLoop() error {
	ticker := time.NewTicker(l.opts.Timing.Heartbeat)
	defer ticker.Stop()
	l.sentRevision.Store(l.opts.Revision())
	for {
		select {
		case <-l.tomb.Dying():
			return tomb.ErrDying
		case <-ticker.C:
			now := l.age()
			lastReceived := time.Duration(l.lastReceived.Load())
			idle := l.opts.Idle != nil && l.opts.Idle(l)
			current := l.opts.Revision()
			if h, ok := l.heartbeat.Due(now, idle, current != l.sentRevision.Load()); ok {
				h.OriginAge = l.originAge()
				_ = l.sendHeartbeat(h, current)
			}
			if l.heartbeat.PeerTimedOut(now, lastReceived) {
				return Error.New("%s has sent nothing for %s", l.peer.Name, (now - lastReceived).Round(time.Millisecond))
			}
		}
	}
}

// originAge returns the value for a heartbeat, rounded up.
func (l *Link) originAge() uint64 {
	if l.opts.OriginAge == nil {
		return 0
	}
	return uint64((max(0, l.opts.OriginAge(l)) + time.Millisecond - 1) / time.Millisecond)
}
