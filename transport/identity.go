// Package transport carries messages between the system's own processes over QUIC with
// mutual TLS. A link has one control stream for messages and heartbeats; each large
// message has a stream of its own.
package transport

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/wire"
	"github.com/zeebo/errs"
)

// Error is the class of transport errors.
var Error = errs.Class("transport")

// identityScheme is the scheme of the URI subject alternative name that states a
// process's role and name in its certificate, such as catkinline://agent/target-1.
const identityScheme = "catkinline"

// reloadInterval is the shortest time between checks of the certificate files for
// changes.
const reloadInterval = time.Second

// Identity is the role and name of a process, as its verified certificate states them.
type Identity struct {
	Role wire.Role
	Name string
}

// keyMaterial is a process's certificate and the authorities that it trusts.
type keyMaterial struct {
	cert    tls.Certificate
	roots   *x509.CertPool
	version string // as returned by filesVersion
}

// Credentials holds a process's certificate and the authority that it trusts.
// Certificate files are reloaded when they change, without a restart; if the changed
// files cannot be loaded, the previous certificate stays in use. Credentials is safe
// for concurrent use.
type Credentials struct {
	files   settings.TLS
	current atomic.Pointer[keyMaterial]
	mu      sync.Mutex
	checked time.Time
}

// NewCredentials loads the certificate files of the settings. In development mode,
// that is with a DevelopmentSecret, it derives an authority from the secret and issues a
// certificate for self in memory.
func NewCredentials(s settings.TLS, self Identity) (*Credentials, error) {
	c := &Credentials{files: s}
	load := c.readFiles
	if s.DevelopmentSecret != "" {
		c.files = settings.TLS{}
		load = func() (*keyMaterial, error) { return developmentMaterial(s.DevelopmentSecret, self) }
	}
	m, err := load()
	if err != nil {
		return nil, err
	}
	c.current.Store(m)
	return c, nil
}

func (c *Credentials) readFiles() (*keyMaterial, error) {
	version := c.filesVersion()
	cert, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, Error.New("file %s contains no PEM certificate of an authority", c.files.CA)
	}
	return &keyMaterial{cert: cert, roots: roots, version: version}, nil
}

// filesVersion returns a string that changes when a file does. It compares times for
// equality, not order, since copied or unpacked files can carry an older time than the
// files that they replace.
func (c *Credentials) filesVersion() string {
	var b strings.Builder
	for _, f := range []string{c.files.CA, c.files.Certificate, c.files.Key} {
		if info, err := os.Stat(f); err == nil {
			fmt.Fprintf(&b, "%d %d,", info.ModTime().UnixNano(), info.Size())
		}
	}
	return b.String()
}

func (c *Credentials) currentMaterial() *keyMaterial {
	m := c.current.Load()
	if c.files.Certificate == "" || !c.mu.TryLock() {
		return m
	}
	defer c.mu.Unlock()
	if time.Since(c.checked) < reloadInterval {
		return m
	}
	c.checked = time.Now()
	if c.filesVersion() == m.version {
		return m
	}
	reloaded, err := c.readFiles()
	if err != nil {
		return m
	}
	c.current.Store(reloaded)
	return reloaded
}

// TLS returns the configuration for both sides of a connection. Processes dial each
// other by IP address, so a certificate is verified by its authority and its identity
// URI instead of a host name.
func (c *Credentials) TLS(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // replaced by VerifyConnection
		VerifyConnection:   c.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.currentMaterial().cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.currentMaterial().cert, nil
		},
	}
}

func (c *Credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return Error.New("the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         c.currentMaterial().roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = PeerIdentity(state)
	return err
}

// PeerIdentity returns the role and name in the peer's certificate.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, Error.New("the peer sent no certificate")
	}
	for _, u := range state.PeerCertificates[0].URIs {
		if u.Scheme == identityScheme {
			return Identity{Role: wire.Role(u.Host), Name: strings.TrimPrefix(u.Path, "/")}, nil
		}
	}
	return Identity{}, Error.New("the peer's certificate has no URI with the scheme %s", identityScheme)
}

// developmentAuthority derives a certificate authority from the secret, so that all
// processes with the same secret trust each other.
func developmentAuthority(secret string) (*x509.Certificate, ed25519.PrivateKey, error) {
	seed := sha256.Sum256([]byte("catkinline development authority " + secret))
	key := ed25519.NewKeyFromSeed(seed[:])
	template := certificateTemplate(pkix.Name{CommonName: "catkinline development"}, big.NewInt(1))
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	ca, err := x509.ParseCertificate(der)
	return ca, key, Error.Wrap(err)
}

// developmentMaterial issues a certificate for self, signed by the authority that is
// derived from the secret.
func developmentMaterial(secret string, self Identity) (*keyMaterial, error) {
	ca, caKey, err := developmentAuthority(secret)
	if err != nil {
		return nil, err
	}
	_, leafKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	leaf := certificateTemplate(pkix.Name{CommonName: self.Name}, serial)
	leaf.KeyUsage = x509.KeyUsageDigitalSignature
	leaf.URIs = []*url.URL{{Scheme: identityScheme, Host: string(self.Role), Path: "/" + self.Name}}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, ca, leafKey.Public(), caKey)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(ca)
	return &keyMaterial{
		cert:  tls.Certificate{Certificate: [][]byte{leafDER}, PrivateKey: leafKey},
		roots: roots,
	}, nil
}

// certificateTemplate returns a template with fixed dates, so that the development
// authority is the same certificate in every process.
func certificateTemplate(subject pkix.Name, serial *big.Int) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC),
		NotAfter:     time.Date(2120, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}
