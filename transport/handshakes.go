package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

const (
	// maxHandshakes is how many incoming connections may be open whose peer is not known yet. Each takes about
	// 90 KB, and up to firstWindow that it sends. When a whole fleet of 160 agents starts at once, about 50 connect
	// to one entry, and those that are refused come again 0.1 s later.
	maxHandshakes = 128
	// verifiedHandshakes is the number of them from which on a further one has to show that its address is its
	// own. That takes no memory here, and one more round trip there.
	verifiedHandshakes = maxHandshakes / 4
	// maxFirstMessage is the largest first message of a link, in bytes. It has two names and three numbers.
	maxFirstMessage = 4 << 10
	// firstWindow is how many bytes of a connection are received before any is read. It grows, with the round
	// trips that a link needs for large messages, up to maxStreamWindow and maxConnectionWindow: 16 links fill the
	// latter with 64 MB where all peers are faulty.
	firstWindow         = 64 << 10
	maxStreamWindow     = 1 << 20
	maxConnectionWindow = 4 << 20
)

// handshakes counts the incoming connections whose peer is not known yet. Its methods are safe for concurrent use.
type handshakes struct {
	open    atomic.Int32
	refused func()
}

type handshakeKey struct{}

// begin implements quic.Transport.ConnContext.
func (h *handshakes) begin(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if h.open.Add(1) > maxHandshakes {
		h.open.Add(-1)
		if h.refused != nil {
			h.refused()
		}
		return nil, Error.New("too many connections whose peer is not known yet")
	}
	end := sync.OnceFunc(func() { h.open.Add(-1) })
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// verifySource implements quic.Transport.VerifySourceAddress.
func (h *handshakes) verifySource(net.Addr) bool { return h.open.Load() >= verifiedHandshakes }

// endHandshake records that the peer of a connection with a context is known, or that it is refused.
func endHandshake(ctx context.Context) {
	if end, ok := ctx.Value(handshakeKey{}).(func()); ok {
		end()
	}
}
