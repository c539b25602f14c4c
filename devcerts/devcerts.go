// Package devcerts creates keys and certificates for tests on one machine. They are not meant for production: the key of
// the certificate authority is discarded, so no certificate can be added later.
package devcerts

import (
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
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

// Lifetime is the time from creation to expiry of the certificates.
const Lifetime = 30 * 24 * time.Hour

// clockSkew is the tolerated difference between clocks: the validity of certificates begins this long before their
// creation.
const clockSkew = time.Hour

// Write creates a certificate authority and, for each name, a key and a certificate that is valid for the name and the
// IP addresses. It writes ca.pem, NAME.pem and NAME.key into dir, which it creates if necessary, and returns the paths
// of the files. An error has kind errkind.BadInput if dir is not writable, otherwise errkind.Internal.
func Write(dir string, names []string, ips []net.IP, now time.Time) ([]string, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errkind.Wrap(err, errkind.BadInput, "use a writable directory", "create directory %s", dir)
	}
	caKey, err := newKey()
	if err != nil {
		return nil, err
	}
	ca := newTemplate(1, "redwingthread development authority", now)
	ca.IsCA = true
	ca.BasicConstraintsValid = true
	ca.KeyUsage = x509.KeyUsageCertSign
	caFile := filepath.Join(dir, "ca.pem")
	if err := writeCertificate(caFile, ca, ca, caKey, caKey); err != nil {
		return nil, err
	}
	files := []string{caFile}
	for i, name := range names {
		key, err := newKey()
		if err != nil {
			return nil, err
		}
		leaf := newTemplate(int64(i)+2, name, now)
		leaf.KeyUsage = x509.KeyUsageDigitalSignature
		leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
		leaf.DNSNames = []string{name}
		leaf.IPAddresses = ips
		base := filepath.Join(dir, name)
		if err := writeCertificate(base+".pem", leaf, ca, key, caKey); err != nil {
			return nil, err
		}
		if err := writeKey(base+".key", key); err != nil {
			return nil, err
		}
		files = append(files, base+".pem", base+".key")
	}
	return files, nil
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errkind.Wrap(err, errkind.Internal, "retry", "generate key")
}

// newTemplate returns a certificate template with the fields that all certificates have in common.
func newTemplate(serial int64, name string, now time.Time) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(Lifetime),
	}
}

// writeCertificate writes a certificate for the public key of key, signed by the issuer.
func writeCertificate(path string, certificate, issuer *x509.Certificate, key, issuerKey *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, certificate, issuer, &key.PublicKey, issuerKey)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "report this as a bug", "create certificate %s", path)
	}
	return writePEM(path, "CERTIFICATE", der, 0o644)
}

func writeKey(path string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "report this as a bug", "encode key %s", path)
	}
	return writePEM(path, "PRIVATE KEY", der, 0o600)
}

func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return errkind.Wrap(os.WriteFile(path, data, mode), errkind.BadInput, "use a writable directory",
		"write %s", path)
}
