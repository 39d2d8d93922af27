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

// Guards against a cut that loses bytes of a stream, and against a relay that
// does not forward the end of a connection.
func TestTCPCutHoldsBytesAndForwardsClose(t *testing.T) {
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
		t.Errorf("after the end of the connection: %q, %v", rest, err)
	}
}

// Guards against SilenceFlows closing existing connections or affecting new ones.
func TestTCPSilenceFlowsAffectsExistingConnectionsOnly(t *testing.T) {
	relay := startTCP(t)
	existing := dialTCP(t, relay)
	send(t, existing, "one")
	receive(t, existing)
	if n := relay.SilenceFlows(); n != 1 {
		t.Fatalf("silenced %d flows", n)
	}
	send(t, existing, "two")
	waitDropped(relay, 1)
	newConn := dialTCP(t, relay)
	send(t, newConn, "three")
	if got := receive(t, newConn); got != "three" {
		t.Errorf("new connection received %q", got)
	}
}

// Guards against ResetFlows leaving connections open or ending the relay.
func TestTCPResetFlowsAffectsExistingConnectionsOnly(t *testing.T) {
	relay := startTCP(t)
	existing := dialTCP(t, relay)
	send(t, existing, "one")
	receive(t, existing)
	if n := relay.ResetFlows(); n != 1 {
		t.Fatalf("reset %d flows", n)
	}
	if _, err := existing.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read on a connection that was reset: %v", err)
	}
	newConn := dialTCP(t, relay)
	send(t, newConn, "two")
	if got := receive(t, newConn); got != "two" {
		t.Errorf("new connection received %q", got)
	}
}

// Guards against an admin API that accepts a misspelt field or ignores a valid
// fault.
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

// Guards against a relay that keeps connections or accepts new ones after it has stopped listening, and against
// one that does not listen at its address again.
func TestTCPStopsListening(t *testing.T) {
	relay := startTCP(t)
	conn := dialTCP(t, relay)
	relay.StopListening()
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection goes on")
	}
	if _, err := net.Dial("tcp", relay.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dialling got %v, want a refused connection", err)
	}
	if err := relay.Listen(); err != nil {
		t.Fatal(err)
	}
	conn = dialTCP(t, relay)
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Errorf("no echo after the relay listens again: %v", err)
	}
}
