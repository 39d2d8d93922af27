// Package transport carries messages between the system's own processes: QUIC
// with mutual TLS, links with heartbeats, and large messages on streams of
// their own.
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

// identityScheme is the scheme of the URI in a certificate's subject
// alternative names that states role and name: catkinline://agent/target-1.
const identityScheme = "catkinline"

// reloadInterval bounds how often certificate files are checked for changes.
const reloadInterval = time.Second

// Identity is what a verified certificate says about a process.
type Identity struct {
	Role wire.Role
	Name string
}

type material struct {
	cert    tls.Certificate
	roots   *x509.CertPool
	version string // of the files, see filesVersion
}

// Credentials hold a process's certificate and the authority that it trusts.
// Certificate files are read again when they change, without a restart; a
// change that cannot be read leaves the previous certificate in use.
type Credentials struct {
	files   settings.TLS
	current atomic.Pointer[material]
	mu      sync.Mutex
	checked time.Time
}

// NewCredentials reads the files of the settings, or derives an authority and
// a certificate in memory in development mode.
func NewCredentials(s settings.TLS, self Identity) (*Credentials, error) {
	c := &Credentials{files: s}
	load := c.readFiles
	if s.DevelopmentSecret != "" {
		c.files = settings.TLS{}
		load = func() (*material, error) { return developmentMaterial(s.DevelopmentSecret, self) }
	}
	m, err := load()
	if err != nil {
		return nil, err
	}
	c.current.Store(m)
	return c, nil
}

func (c *Credentials) readFiles() (*material, error) {
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
		return nil, Error.New("file %s holds no certificate authority", c.files.CA)
	}
	return &material{cert: cert, roots: roots, version: version}, nil
}

// filesVersion is a text that changes when a file does. Times may also go back:
// files that are copied or unpacked keep the time at which they were made.
func (c *Credentials) filesVersion() string {
	var b strings.Builder
	for _, f := range []string{c.files.CA, c.files.Certificate, c.files.Key} {
		if info, err := os.Stat(f); err == nil {
			fmt.Fprintf(&b, "%d %d,", info.ModTime().UnixNano(), info.Size())
		}
	}
	return b.String()
}

func (c *Credentials) material() *material {
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
	fresh, err := c.readFiles()
	if err != nil {
		return m
	}
	c.current.Store(fresh)
	return fresh
}

// TLS returns the configuration for both sides of a connection. Processes are
// dialled by IP number, so a certificate is verified by its authority and its
// role and not by a host name.
func (c *Credentials) TLS(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // replaced by VerifyConnection
		VerifyConnection:   c.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.material().cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.material().cert, nil
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
		Roots:         c.material().roots,
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
	return Identity{}, Error.New("the certificate carries no %s role", identityScheme)
}

// developmentAuthority derives the authority's key from the secret, so that every
// process with the same secret has the same authority.
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

// developmentMaterial makes a certificate for this process under the secret's
// authority.
func developmentMaterial(secret string, self Identity) (*material, error) {
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
	return &material{
		cert:  tls.Certificate{Certificate: [][]byte{leafDER}, PrivateKey: leafKey},
		roots: roots,
	}, nil
}

// certificateTemplate uses fixed dates so that the development authority is the
// same certificate in every process.
func certificateTemplate(subject pkix.Name, serial *big.Int) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC),
		NotAfter:     time.Date(2120, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}
