package faultproxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
)

// echoTCP starts a server that returns what each connection sends.
func echoTCP(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func startTCP(t *testing.T) *TCP {
	t.Helper()
	relay, err := NewTCP(TCPOptions{Listen: "127.0.0.1:0", Upstream: echoTCP(t)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	return relay
}

func dialTCP(t *testing.T, relay *TCP) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", relay.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// Guards against a cut that loses bytes of a stream, and against an end of a
// connection that the relay doesn't pass on.
func TestTCPCutHoldsBytesAndEndIsPassedOn(t *testing.T) {
	relay := startTCP(t)
	conn := dialTCP(t, relay)
	send(t, conn, "one")
	if got := receive(t, conn); got != "one" {
		t.Fatalf("received %q", got)
	}
	if err := relay.SetFaults(Faults{Cut: CutForward}); err != nil {
		t.Fatal(err)
	}
	send(t, conn, "two")
	relay.Restore()
	if got := receive(t, conn); got != "two" {
		t.Fatalf("after the cut received %q", got)
	}
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(conn); err != nil || len(rest) != 0 {
		t.Errorf("at the end: %q, %v", rest, err)
	}
}

// Guards against silence that closes existing connections or hits new ones.
func TestTCPSilenceOfExistingConnections(t *testing.T) {
	relay := startTCP(t)
	old := dialTCP(t, relay)
	send(t, old, "one")
	receive(t, old)
	if n := relay.SilenceFlows(); n != 1 {
		t.Fatalf("silenced %d flows", n)
	}
	send(t, old, "two")
	waitDropped(relay, 1)
	fresh := dialTCP(t, relay)
	send(t, fresh, "three")
	if got := receive(t, fresh); got != "three" {
		t.Errorf("new connection received %q", got)
	}
}

// Guards against a reset that leaves connections open or ends the relay.
func TestTCPResetOfExistingConnections(t *testing.T) {
	relay := startTCP(t)
	old := dialTCP(t, relay)
	send(t, old, "one")
	receive(t, old)
	if n := relay.ResetFlows(); n != 1 {
		t.Fatalf("reset %d flows", n)
	}
	if _, err := old.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read on a connection that was reset: %v", err)
	}
	fresh := dialTCP(t, relay)
	send(t, fresh, "two")
	if got := receive(t, fresh); got != "two" {
		t.Errorf("new connection received %q", got)
	}
}

// Guards against an admin endpoint that accepts a misspelt fault or ignores a
// valid one.
func TestAdminChangesFaults(t *testing.T) {
	relay := startTCP(t)
	server := httptest.NewServer(AdminHandler(map[string]Relay{"r": relay}))
	defer server.Close()
	for _, step := range []struct {
		path, body string
		status     int
	}{
		{"r", `{"faults":{"delay_ms":1.5,"cut":"both"}}`, 200},
		{"r", `{"faults":{"cut":"sideways"}}`, 400},
		{"r", `{"fault":{}}`, 400},
		{"x", `{}`, 404},
	} {
		response, err := http.Post(server.URL+"/relays/"+step.path, "application/json", strings.NewReader(step.body))
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != step.status {
			t.Errorf("%s %s: status %d", step.path, step.body, response.StatusCode)
		}
	}
	if f := relay.Faults(); f.Cut != CutBoth || f.Delay.Microseconds() != 1500 {
		t.Errorf("faults are %+v", f)
	}
}
