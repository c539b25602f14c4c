// Package devcerts makes keys and certificates for trials on one machine. They are not meant for production: the
// authority's key is dropped, so no certificate can be added later.
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

// Lifetime is how long the certificates are valid.
const Lifetime = 30 * 24 * time.Hour

// clockSkew is how long before now the certificates become valid.
const clockSkew = time.Hour

// Write makes an authority and one certificate for each name, valid for the IP numbers, and writes ca.pem, NAME.pem and
// NAME.key into dir. It returns the paths of the files.
func Write(dir string, names []string, ips []net.IP, now time.Time) ([]string, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errkind.Wrap(err, errkind.BadInput, "name a directory that can be written", "directory %s", dir)
	}
	caKey, err := newKey()
	if err != nil {
		return nil, err
	}
	ca := template(1, "redwingthread development authority", now)
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
		leaf := template(int64(i)+2, name, now)
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

func template(serial int64, name string, now time.Time) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(Lifetime),
	}
}

func writeCertificate(path string, leaf, ca *x509.Certificate, key, caKey *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "report this", "certificate %s", path)
	}
	return writePEM(path, "CERTIFICATE", der, 0o644)
}

func writeKey(path string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "report this", "key %s", path)
	}
	return writePEM(path, "PRIVATE KEY", der, 0o600)
}

func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errkind.Wrap(os.WriteFile(path, text, mode), errkind.BadInput, "name a directory that can be written",
		"write %s", path)
}
