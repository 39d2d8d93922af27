package connstate_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/catkinline/catkinline/internal/connstate"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// Guards against a request that counts as new although it waited in the socket while this process
// stood still.
func TestStateTellsWhenDataArrived(t *testing.T) {
	client, server := pair(t)
	if _, err := client.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	s, ok := connstate.FromContext(connstate.NewContext(context.Background(), server))
	if !ok || s.PeerClosed || s.SinceReceived < 250*time.Millisecond {
		t.Errorf("state %+v, known %t; want data that is 300 ms old from an open peer", s, ok)
	}
}

// Guards against a caller that has left and counts as waiting because its request has not been
// read to the end of the connection.
func TestStateTellsThatThePeerHasClosed(t *testing.T) {
	client, server := pair(t)
	if _, err := client.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	client.Close()
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		if s, ok := connstate.FromContext(connstate.NewContext(context.Background(), server)); ok && s.PeerClosed {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the peer's close is not seen although its data has not been read")
}

// Guards against a context without a connection that counts as a caller that has left.
func TestStateOfNoConnectionIsNotKnown(t *testing.T) {
	if s, ok := connstate.FromContext(context.Background()); ok {
		t.Errorf("state %+v of no connection", s)
	}
}
