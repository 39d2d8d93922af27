package transport

import (
	"context"
	"net"
	"time"

	"github.com/catkinline/catkinline/wire"
	"github.com/quic-go/quic-go"
	tomb "gopkg.in/tomb.v2"
)

func quicConfig(t Timing) *quic.Config {
	t = t.withDefaults()
	return &quic.Config{
		HandshakeIdleTimeout:  t.Handshake,
		MaxIdleTimeout:        2 * (t.heartbeats().Idle() + t.heartbeats().Slack()),
		MaxIncomingUniStreams: maxLargeStreams,
		MaxIncomingStreams:    1,

		InitialStreamReceiveWindow:     firstWindow,
		InitialConnectionReceiveWindow: firstWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
	}
}

// Listener accepts links from agents and entries.
type Listener struct {
	opts      Options
	conn      net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	tomb      tomb.Tomb
}

// Listen accepts links on a UDP address until Close.
func Listen(address string, opts Options) (*Listener, error) {
	conn, err := Bind(address)
	if err != nil {
		return nil, err
	}
	return ListenOn(conn, opts)
}

// Bind opens a UDP socket for ListenOn. Packets that arrive before ListenOn is called
// wait in the socket's buffer.
func Bind(address string) (net.PacketConn, error) {
	conn, err := net.ListenPacket("udp", address)
	return conn, Error.Wrap(err)
}

// ListenOn accepts links on a UDP socket. Close also closes the socket.
func ListenOn(conn net.PacketConn, opts Options) (*Listener, error) {
	h := &handshakes{refused: opts.HandshakeRefused}
	t := &quic.Transport{Conn: conn, ConnContext: h.begin, VerifySourceAddress: h.verifySource}
	q, err := t.Listen(opts.Credentials.TLS(protocolName), quicConfig(opts.Timing))
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	l := &Listener{opts: opts, conn: conn, transport: t, listener: q}
	l.tomb.Go(l.acceptLoop)
	return l, nil
}

// Address returns the address that the listener is bound to.
func (l *Listener) Address() net.Addr { return l.listener.Addr() }

// Close stops the listener and closes every link that it accepted. It waits until they
// have ended.
func (l *Listener) Close() error {
	l.tomb.Kill(nil)
	_ = l.listener.Close()
	err := l.tomb.Wait()
	_ = l.transport.Close()
	_ = l.conn.Close()
	return err
}

func (l *Listener) acceptLoop() error {
	ctx := l.tomb.Context(context.Background())
	for {
		conn, err := l.listener.Accept(ctx)
		if err != nil {
			return nil
		}
		l.tomb.Go(func() error {
			l.serve(ctx, conn)
			return nil
		})
	}
}

func (l *Listener) serve(ctx context.Context, conn *quic.Conn) {
	link, err := acceptHandshake(ctx, conn, l.opts)
	endHandshake(conn.Context())
	if err != nil {
		_ = conn.CloseWithError(1, err.Error())
		return
	}
	stop := context.AfterFunc(ctx, func() { link.Close(nil) })
	defer stop()
	_ = link.run()
}

func acceptHandshake(ctx context.Context, conn *quic.Conn, opts Options) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, opts.Timing.withDefaults().Handshake)
	defer cancel()
	identity, err := PeerIdentity(conn.ConnectionState().TLS)
	if err != nil {
		return nil, err
	}
	control, err := conn.AcceptStream(ctx)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	link := newLink(opts, conn, control)
	_ = control.SetReadDeadline(time.Now().Add(link.opts.Timing.Handshake))
	m, _, err := wire.ReadLimited(link.reader, maxFirstMessage)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	welcome := &wire.Welcome{Version: wire.Version, Name: opts.Self.Name, Incarnation: opts.Incarnation}
	welcome.Refusal = refusal(m, identity)
	frame, err := wire.Encode(welcome)
	if err != nil {
		return nil, err
	}
	if _, err := control.Write(frame); err != nil {
		return nil, Error.Wrap(err)
	}
	if welcome.Refusal != "" {
		awaitClose(ctx, conn)
		return nil, Error.New("%s", welcome.Refusal)
	}
	link.peer = identity
	link.incarnation = m.(*wire.Hello).Incarnation
	return link, nil
}

// awaitClose waits until the dialer has closed the connection or ctx is done. Closing
// the connection earlier could drop the refusal before the dialer reads it.
func awaitClose(ctx context.Context, conn *quic.Conn) {
	select {
	case <-conn.Context().Done():
	case <-ctx.Done():
	}
}

// refusal returns the reason why a peer's first message is refused, or an empty string.
func refusal(m wire.Message, identity Identity) string {
	hello, ok := m.(*wire.Hello)
	switch {
	case !ok:
		return "the first message is not a hello"
	case hello.Version != wire.Version:
		return "protocol version not supported"
	case hello.Role != identity.Role || hello.Name != identity.Name:
		return "the hello's role and name differ from the certificate's"
	case hello.Role != wire.RoleAgent && hello.Role != wire.RoleEntry:
		return "this role may not open links"
	}
	return ""
}

// Dial opens a link from a new UDP socket and serves it until it closes. A new socket
// for each link gives it a new flow, since a network path can silently drop the packets
// of an old flow.
func Dial(ctx context.Context, address string, opts Options) error {
	link, err := connect(ctx, address, opts)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { link.Close(nil) })
	defer stop()
	return link.run()
}

func connect(ctx context.Context, address string, opts Options) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*opts.Timing.withDefaults().Handshake)
	defer cancel()
	conn, err := quic.DialAddr(ctx, address, opts.Credentials.TLS(protocolName), quicConfig(opts.Timing))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	link, err := dialHandshake(ctx, conn, opts)
	if err != nil {
		_ = conn.CloseWithError(1, err.Error())
		return nil, err
	}
	return link, nil
}

func dialHandshake(ctx context.Context, conn *quic.Conn, opts Options) (*Link, error) {
	identity, err := PeerIdentity(conn.ConnectionState().TLS)
	if err != nil {
		return nil, err
	}
	if identity.Role != wire.RoleEntry {
		return nil, Error.New("the peer's role is %s, want %s", identity.Role, wire.RoleEntry)
	}
	control, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	hello := &wire.Hello{Version: wire.Version, Role: opts.Self.Role, Name: opts.Self.Name, Incarnation: opts.Incarnation}
	frame, err := wire.Encode(hello)
	if err != nil {
		return nil, err
	}
	if _, err := control.Write(frame); err != nil {
		return nil, Error.Wrap(err)
	}
	link := newLink(opts, conn, control)
	_ = control.SetReadDeadline(time.Now().Add(link.opts.Timing.Handshake))
	m, _, err := wire.ReadLimited(link.reader, maxFirstMessage)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	welcome, ok := m.(*wire.Welcome)
	if !ok {
		return nil, Error.New("the first message is not a welcome")
	}
	if welcome.Refusal != "" {
		return nil, Error.New("%s refused the link: %s", identity.Name, welcome.Refusal)
	}
	link.peer = identity
	link.incarnation = welcome.Incarnation
	return link, nil
}
