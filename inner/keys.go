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

// alpnProtocol is the ALPN protocol id of the inner protocol.
const alpnProtocol = "redwing/1"

// KeyFiles names the PEM files of a process.
type KeyFiles struct {
	Certificate string
	Key         string
	CA          string
}

// credentials is the loaded content of a set of key files.
type credentials struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// KeyStore holds the TLS keys of the process and reloads them from their files. It is safe for concurrent use.
type KeyStore struct {
	files   KeyFiles
	current atomic.Pointer[credentials]
}

// NewKeyStore loads the files. If a file cannot be used, it returns a BadInput error that names the setting to check.
func NewKeyStore(files KeyFiles) (*KeyStore, error) {
	s := &KeyStore{files: files}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again. Its errors are those of NewKeyStore; after an error the previous keys stay in use.
func (s *KeyStore) Reload() error {
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return errkind.Wrap(err, errkind.BadInput, "check tls.certificate and tls.key in the settings",
			"load key pair %s", s.files.Certificate)
	}
	caPEM, err := os.ReadFile(s.files.CA)
	if err != nil {
		return errkind.Wrap(err, errkind.BadInput, "check tls.ca in the settings", "read CA file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(caPEM) {
		return errkind.New(errkind.BadInput, "put at least one PEM certificate into the file",
			"CA file %s holds no certificate", s.files.CA)
	}
	s.current.Store(&credentials{certificate: certificate, roots: roots})
	return nil
}

// Watch reloads the keys every interval until ctx ends. It calls onError with the error of each failed reload.
func (s *KeyStore) Watch(ctx context.Context, interval time.Duration, onError func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := s.Reload(); err != nil {
				onError(err)
			}
		}
	}
}

// serverConfig returns the TLS configuration of a listener. Each handshake uses the keys that are loaded at its time.
func (s *KeyStore) serverConfig() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		keys := s.current.Load()
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			NextProtos:   []string{alpnProtocol},
			Certificates: []tls.Certificate{keys.certificate},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    keys.roots,
		}, nil
	}
	return base
}

// clientConfig returns the TLS configuration of a dial with the currently loaded keys.
//
// The server's certificate chain is verified, but not its host name: a replaced VM has a new address, and every
// certificate of the deployment's CA belongs to a process of the system.
func (s *KeyStore) clientConfig() *tls.Config {
	keys := s.current.Load()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{alpnProtocol},
		Certificates:       []tls.Certificate{keys.certificate},
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state.PeerCertificates, keys.roots)
		},
	}
}

// verifyChain checks that the leaf certificate is valid for server authentication and chains up to one of roots.
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
