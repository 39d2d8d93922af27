// Package connstate reads what the kernel knows about the TCP connection of an HTTP request: when
// the peer's last data arrived, and whether the peer has closed its side.
package connstate

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCP states of a connection whose peer has closed its side, from the kernel's tcp_states.h.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
)

// State is the state of a TCP connection.
type State struct {
	SinceReceived time.Duration // since the peer's last data arrived, in whole milliseconds
	PeerClosed    bool          // the peer has closed its side, or the connection has ended
}

type contextKey struct{}

// NewContext returns a context that carries a connection. It serves as http.Server.ConnContext.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the state of the connection that a context carries. It returns false if
// there is none or the kernel does not tell.
func FromContext(ctx context.Context) (State, bool) {
	c, ok := ctx.Value(contextKey{}).(syscall.Conn)
	if !ok {
		return State{}, false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return State{PeerClosed: true}, true // closed by this process
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return State{PeerClosed: true}, true // closed by this process
	}
	if infoErr != nil {
		return State{}, false
	}
	return State{
		SinceReceived: time.Duration(info.Last_data_recv) * time.Millisecond,
		PeerClosed:    info.State == tcpClose || info.State == tcpCloseWait || info.State == tcpLastAck,
	}, true
}
