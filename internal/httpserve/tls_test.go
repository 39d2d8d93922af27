package httpserve

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

func serveTLS(t *testing.T) (b *bed, client *tls.Config) {
	t.Helper()
	credentials, err := transport.NewCredentials(settings.TLS{DevelopmentSecret: "a"}, transport.Identity{Role: wire.RoleEntry, Name: "e"})
	if err != nil {
		t.Fatal(err)
	}
	b = newBed(t, ingress.NewPlan(ingress.Machine{Memory: 80 << 20}))
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		data, err := ReadBody(w, r, 1<<20)
		if err != nil {
			w.WriteHeader(BodyStatus(err))
			return
		}
		fmt.Fprintf(w, "%d bytes", len(data))
	})
	address, err := b.servers.ServeTLS(Operators, "127.0.0.1:0", credentials.TLS("http/1.1"), handler)
	if err != nil {
		t.Fatal(err)
	}
	b.address = address.String()
	return b, credentials.TLS("http/1.1")
}

// Guards against requests over TLS that are lost, or whose certificate the handler does not get: one after the other on a
// connection, in pieces, of the largest size, and two at once.
func TestRequestsOverTLS(t *testing.T) {
	b, config := serveTLS(t)
	raw, _ := b.dial()
	c := tls.Client(raw, config)
	r := bufio.NewReader(c)
	body := strings.Repeat("x", 1<<20)
	request := func(n int) string {
		return fmt.Sprintf("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", n, body[:n])
	}
	for _, n := range []int{0, 10, 1 << 20} {
		b.write(c, request(n))
		if _, text := b.expect(r, 200); text != fmt.Sprintf("%d bytes", n) {
			t.Errorf("%d bytes sent, answer %q", n, text)
		}
	}
	text := request(5)
	for i := range text {
		b.write(c, text[i:i+1])
	}
	b.expect(r, 200)
	b.write(c, request(1)+request(2))
	for _, want := range []string{"1 bytes", "2 bytes"} {
		if _, got := b.expect(r, 200); got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
	}
	b.write(c, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 20<<10)+"\r\n\r\n")
	b.expect(r, 431)
}

// Guards against connections without a handshake that keep operators out.
func TestConnectionsWithoutHandshakeMakeSpace(t *testing.T) {
	b, config := serveTLS(t)
	for range 100 {
		// Those beyond the limit are refused, some of them before the dial returns.
		if c, err := net.Dial("tcp", b.address); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no request is answered")
		}
		raw, err := net.Dial("tcp", b.address)
		if err != nil {
			continue
		}
		c := tls.Client(raw, config)
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		if c.Handshake() != nil {
			_ = raw.Close()
			continue // the process closes the others at the same time
		}
		b.write(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		b.expect(bufio.NewReader(c), 200)
		_ = c.Close()
		return
	}
}
