package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/wire"
	"github.com/quic-go/quic-go"
)

// certificateFiles are the certificate files of one process, in a temporary directory.
type certificateFiles struct {
	t     *testing.T
	files settings.TLS
}

func newCertificateFiles(t *testing.T) *certificateFiles {
	dir := t.TempDir()
	return &certificateFiles{t, settings.TLS{
		CA:          filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
	}}
}

// write replaces the files by those of a new certificate for self, signed by the
// authority that is derived from secret, and sets their modification time.
func (f *certificateFiles) write(secret string, self Identity, modified time.Time) {
	f.t.Helper()
	m, err := developmentMaterial(secret, self)
	if err != nil {
		f.t.Fatal(err)
	}
	ca, _, err := developmentAuthority(secret)
	if err != nil {
		f.t.Fatal(err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(m.cert.PrivateKey)
	if err != nil {
		f.t.Fatal(err)
	}
	f.writePEM(f.files.CA, "CERTIFICATE", ca.Raw, modified)
	f.writePEM(f.files.Certificate, "CERTIFICATE", m.cert.Certificate[0], modified)
	f.writePEM(f.files.Key, "PRIVATE KEY", key, modified)
}

func (f *certificateFiles) writePEM(path, kind string, der []byte, modified time.Time) {
	f.t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	if err := os.Chtimes(path, modified, modified); err != nil {
		f.t.Fatal(err)
	}
}

// expireReloadInterval makes the next handshake check the files for changes.
func expireReloadInterval(c *Credentials) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked = time.Time{}
}

// handshake makes a TLS handshake over TCP and returns the client's identity as the
// server sees it.
func handshake(client, server *tls.Config) (Identity, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Identity{}, err
	}
	defer l.Close()
	go func() {
		a, err := tls.Dial("tcp", l.Addr().String(), client)
		if err == nil {
			_, _ = a.Read(make([]byte, 1)) // until the server has finished
			_ = a.Close()
		}
	}()
	b, err := l.Accept()
	if err != nil {
		return Identity{}, err
	}
	defer b.Close()
	conn := tls.Server(b, server)
	if err := conn.Handshake(); err != nil {
		return Identity{}, err
	}
	return PeerIdentity(conn.ConnectionState())
}

// Guards against a changed certificate or authority that takes effect only after a
// restart, also if the new files have an older modification time, and against a process
// that loses its certificate when the changed files cannot be loaded.
func TestCertificateFilesAreReloaded(t *testing.T) {
	server, err := NewCredentials(settings.TLS{DevelopmentSecret: "old"}, Identity{wire.RoleEntry, "e"})
	if err != nil {
		t.Fatal(err)
	}
	files := newCertificateFiles(t)
	base := time.Now().Add(-time.Hour)
	files.write("old", Identity{wire.RoleAgent, "first"}, base)
	client, err := NewCredentials(files.files, Identity{})
	if err != nil {
		t.Fatal(err)
	}
	expect := func(c *Credentials, server *Credentials, name string) {
		t.Helper()
		expireReloadInterval(c)
		got, err := handshake(c.TLS(), server.TLS())
		if name == "" && err == nil {
			t.Errorf("accepted as %v", got)
		}
		if name != "" && (err != nil || got.Name != name) {
			t.Errorf("got %v, error %v, want %s", got, err, name)
		}
	}
	expect(client, server, "first")
	files.write("old", Identity{wire.RoleAgent, "second"}, base.Add(time.Minute))
	expect(client, server, "second")
	files.write("old", Identity{wire.RoleAgent, "third, older"}, base.Add(-time.Minute))
	expect(client, server, "third, older")
	files.writePEM(files.files.Key, "PRIVATE KEY", []byte("torn"), base.Add(2*time.Minute))
	expect(client, server, "third, older")
	files.write("new", Identity{wire.RoleAgent, "fourth"}, base.Add(3*time.Minute))
	expect(client, server, "") // neither side trusts the other's authority
	renewed, err := NewCredentials(settings.TLS{DevelopmentSecret: "new"}, Identity{wire.RoleEntry, "e"})
	if err != nil {
		t.Fatal(err)
	}
	expect(client, renewed, "fourth")
}

// Guards against a process that starts with missing or invalid certificate files.
func TestInvalidCertificateFilesAreRefused(t *testing.T) {
	files := newCertificateFiles(t)
	if _, err := NewCredentials(files.files, Identity{}); err == nil {
		t.Error("missing files are accepted")
	}
	files.write("a", Identity{wire.RoleAgent, "a"}, time.Now())
	if err := os.WriteFile(files.files.CA, []byte("no authority"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := NewCredentials(files.files, Identity{}); err == nil {
		t.Error("a file without an authority is accepted")
	}
}

// Guards against a server that accepts a peer without a certificate, with one of
// another authority, or with one without a role.
func TestInvalidPeerCertificatesAreRefused(t *testing.T) {
	server, err := NewCredentials(settings.TLS{DevelopmentSecret: "a"}, Identity{wire.RoleEntry, "e"})
	if err != nil {
		t.Fatal(err)
	}
	insecure := &tls.Config{InsecureSkipVerify: true}
	if _, err := handshake(insecure, server.TLS()); err == nil {
		t.Error("a peer without a certificate is accepted")
	}
	for name, secret := range map[string]string{"other authority": "b", "no role": "a"} {
		ca, caKey, err := developmentAuthority(secret)
		if err != nil {
			t.Fatal(err)
		}
		m, err := developmentMaterial(secret, Identity{wire.RoleAgent, "x"})
		if err != nil {
			t.Fatal(err)
		}
		if name == "no role" {
			// The authority's own certificate is self-signed and has no identity URI.
			m.cert = tls.Certificate{Certificate: [][]byte{ca.Raw}, PrivateKey: caKey}
		}
		config := &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{m.cert}}
		if got, err := handshake(config, server.TLS()); err == nil {
			t.Errorf("%s: accepted as %v", name, got)
		}
	}
}

// Guards against a link that an operator opens, and against one to a process that is
// not an entry.
func TestLinkRolesAreChecked(t *testing.T) {
	l := listen(t, newRecordingHandler())
	err := Dial(t.Context(), l.Address().String(), options(t, wire.RoleOperator, "a", newRecordingHandler()))
	if err == nil || !strings.Contains(err.Error(), "may not open links") {
		t.Errorf("an operator: %v", err)
	}
	agent, err := Listen("127.0.0.1:0", options(t, wire.RoleAgent, "a", newRecordingHandler()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { agent.Close() })
	err = Dial(t.Context(), agent.Address().String(), options(t, wire.RoleAgent, "a", newRecordingHandler()))
	if err == nil || !strings.Contains(err.Error(), "want entry") {
		t.Errorf("an agent that listens: %v", err)
	}
}

// Guards against a link to a release with another protocol version, and against a peer
// whose first message is not a hello.
func TestFirstMessageMustBeHelloOfThisVersion(t *testing.T) {
	handler := newRecordingHandler()
	l := listen(t, handler)
	opts := options(t, wire.RoleAgent, "a", newRecordingHandler())
	for want, first := range map[string]wire.Message{
		"protocol version not supported":   &wire.Hello{Version: wire.Version + 1, Role: wire.RoleAgent, Name: "agent-1"},
		"the first message is not a hello": &wire.Leave{},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), handshakeTimeout)
		conn, err := quic.DialAddr(ctx, l.Address().String(), opts.Credentials.TLS(protocolName), quicConfig(Timing{}))
		if err != nil {
			t.Fatal(err)
		}
		stream, err := conn.OpenStreamSync(ctx)
		if err != nil {
			t.Fatal(err)
		}
		frame, err := wire.Encode(first)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Write(frame); err != nil {
			t.Fatal(err)
		}
		m, _, err := wire.Read(stream)
		if err != nil {
			t.Fatal(err)
		}
		if welcome, ok := m.(*wire.Welcome); !ok || welcome.Refusal != want {
			t.Errorf("response %+v, want refusal %q", m, want)
		}
		_ = conn.CloseWithError(0, "")
		cancel()
	}
	if len(handler.up) > 0 {
		t.Error("a refused link came up")
	}
}
