package link_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/link"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	file string
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		NotAfter: time.Now().Add(time.Hour), BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a := &authority{t: t, dir: t.TempDir(), key: key, cert: cert}
	a.file = a.sign("authority", cert, key)
	return a
}

func (a *authority) sign(name string, cert *x509.Certificate, key *ecdsa.PrivateKey) string {
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	qt.Assert(a.t, err, qt.IsNil)
	return a.write(name+".pem", "CERTIFICATE", der)
}

func (a *authority) write(name, kind string, der []byte) string {
	file := filepath.Join(a.dir, name)
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	qt.Assert(a.t, os.WriteFile(file, data, 0o600), qt.IsNil)
	return file
}

func (a *authority) issue(name string) *link.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(a.t, err, qt.IsNil)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.MarshalECPrivateKey(key)
	qt.Assert(a.t, err, qt.IsNil)
	loaded, err := link.LoadTLS(a.sign(name, cert, key), a.write(name+".key", "EC PRIVATE KEY", der), a.file)
	qt.Assert(a.t, err, qt.IsNil)
	return loaded
}

// Guards against a process without a certificate signed by the authority opening a link.
func TestOnlyCertificatesOfTheAuthorityAreTaken(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	refused := make(chan error, 10)
	l, err := link.Listen("127.0.0.1:0", link.Hello{ID: "server"}, &testHandler{serve: serveEcho}, link.Options{TLS: ours.issue("server")},
		func(_ string, err error) { refused <- err })
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()

	c := dial(t, l.Addr(), link.Options{TLS: ours.issue("client")})
	s, err := c.Open(link.Call{Request: "over TLS"})
	qt.Assert(t, err, qt.IsNil)
	got, _ := receive(t, s)
	qt.Assert(t, got, qt.Equals, "over TLS")

	_, err = link.Dial(context.Background(), l.Addr(), link.Hello{}, &testHandler{}, link.Options{TLS: other.issue("stranger")})
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, <-refused, qt.ErrorIs, link.ErrCertificate)

	_, err = link.Dial(context.Background(), l.Addr(), link.Hello{}, &testHandler{}, link.Options{DialTimeout: 200 * time.Millisecond})
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, <-refused, qt.ErrorIs, link.ErrCertificate)
}
