package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
)

// TLS holds the certificates of a process for mutual TLS: both sides of a link present a certificate signed by the same
// authority.
type TLS struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// LoadTLS reads PEM files: the process's certificate and key, and the certificate of the authority that signs the
// certificates of all processes.
func LoadTLS(certFile, keyFile, authorityFile string) (*TLS, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("link: load certificate: %w", err)
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("link: load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("link: %s contains no PEM certificate", authorityFile)
	}
	return &TLS{cert: cert, pool: pool}, nil
}

func (t *TLS) client(ctx context.Context, nc net.Conn) (net.Conn, error) {
	host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		nc.Close()
		return nil, err
	}
	tc := tls.Client(nc, &tls.Config{
		Certificates: []tls.Certificate{t.cert},
		RootCAs:      t.pool,
		ServerName:   host,
		MinVersion:   tls.VersionTLS13,
	})
	return handshakeTLS(ctx, tc)
}

func (t *TLS) server(ctx context.Context, nc net.Conn) (net.Conn, error) {
	tc := tls.Server(nc, &tls.Config{
		Certificates: []tls.Certificate{t.cert},
		ClientCAs:    t.pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	})
	return handshakeTLS(ctx, tc)
}

// ErrCertificate is returned when the TLS handshake failed, for example because the peer has no certificate signed by
// the authority.
var ErrCertificate = errors.New("link: certificate refused")

func handshakeTLS(ctx context.Context, tc *tls.Conn) (net.Conn, error) {
	if err := tc.HandshakeContext(ctx); err != nil {
		tc.Close()
		return nil, fmt.Errorf("%w: %w", ErrCertificate, err)
	}
	return tc, nil
}
