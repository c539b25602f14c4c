package inner

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

// protocolName is the ALPN name of the inner protocol.
const protocolName = "redwing/1"

// KeyFiles names the PEM files of one process.
type KeyFiles struct {
	Certificate string
	Key         string
	CA          string
}

// keyPair is one loaded set of keys.
type keyPair struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// KeyStore holds the keys of the process and replaces them when the files change. It is safe for concurrent use.
type KeyStore struct {
	files   KeyFiles
	current atomic.Pointer[keyPair]
}

// NewKeyStore loads the files. It returns a BadInput error that names the file at fault.
func NewKeyStore(files KeyFiles) (*KeyStore, error) {
	s := &KeyStore{files: files}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again. After an error the previous keys stay in use.
func (s *KeyStore) Reload() error {
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return errkind.Wrap(err, errkind.BadInput, "check tls.certificate and tls.key in the settings",
			"load key pair %s", s.files.Certificate)
	}
	authority, err := os.ReadFile(s.files.CA)
	if err != nil {
		return errkind.Wrap(err, errkind.BadInput, "check tls.ca in the settings", "read CA file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return errkind.New(errkind.BadInput, "put at least one PEM certificate into the file",
			"CA file %s holds no certificate", s.files.CA)
	}
	s.current.Store(&keyPair{certificate: certificate, roots: roots})
	return nil
}

// Watch reloads the keys every interval until ctx ends. report is called with the error of each failed reload.
func (s *KeyStore) Watch(ctx context.Context, interval time.Duration, report func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := s.Reload(); err != nil {
				report(err)
			}
		}
	}
}

// serverConfig returns the TLS configuration of a listener; each handshake uses the keys of that moment.
func (s *KeyStore) serverConfig() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocolName}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		keys := s.current.Load()
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			NextProtos:   []string{protocolName},
			Certificates: []tls.Certificate{keys.certificate},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    keys.roots,
		}, nil
	}
	return base
}

// clientConfig returns the TLS configuration of a dial with the present keys.
//
// The server's certificate chain is verified, its name is not: a replaced VM has a new address, and every certificate
// of the deployment's CA belongs to a process of the system.
func (s *KeyStore) clientConfig() *tls.Config {
	keys := s.current.Load()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocolName},
		Certificates:       []tls.Certificate{keys.certificate},
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state.PeerCertificates, keys.roots)
		},
	}
}

// verifyChain checks that the leaf was issued for server use by one of roots.
func verifyChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errkind.New(errkind.Unauthenticated, "set tls.certificate on the peer", "peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errkind.Wrap(err, errkind.Unauthenticated, "issue the peer's certificate from the deployment's CA",
		"peer certificate is not trusted")
}
