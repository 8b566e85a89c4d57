package peer

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

	"gotest.tools/v3/assert"
)

// keyPair is a certificate with its private key, of a test CA or of a router.
type keyPair struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// newKeyPair creates a certificate for 127.0.0.1 signed by parent, or a self-signed CA
// if parent is nil.
func newKeyPair(t *testing.T, serial int64, parent *keyPair) *keyPair {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "rosevalve test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  parent == nil,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	signer, signerKey := template, key
	if parent != nil {
		signer, signerKey = parent.cert, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer, &key.PublicKey, signerKey)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &keyPair{cert: cert, key: key}
}

func writePEM(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(t, os.WriteFile(name, block, 0o600))
}

// writeCredentials writes the credential files of a router with a new certificate signed by ca.
func (ca *keyPair) writeCredentials(t *testing.T, dir string) *Credentials {
	t.Helper()
	router := newKeyPair(t, 2, ca)
	key, err := x509.MarshalPKCS8PrivateKey(router.key)
	assert.NilError(t, err)
	c := &Credentials{
		CertFile: filepath.Join(dir, "cert.pem"),
		KeyFile:  filepath.Join(dir, "key.pem"),
		CAFile:   filepath.Join(dir, "ca.pem"),
	}
	writePEM(t, c.CertFile, "CERTIFICATE", router.cert.Raw)
	writePEM(t, c.KeyFile, "PRIVATE KEY", key)
	writePEM(t, c.CAFile, "CERTIFICATE", ca.cert.Raw)
	return c
}

func TestMutualTLS(t *testing.T) {
	firstCA, secondCA := newKeyPair(t, 1, nil), newKeyPair(t, 1, nil)
	dir := t.TempDir()
	server := firstCA.writeCredentials(t, dir)
	addr := startServer(t, &Transport{Credentials: server})

	t.Run("the same authority", func(t *testing.T) {
		assertEcho(t, newClient(firstCA.writeCredentials(t, t.TempDir())), addr)
	})
	t.Run("another authority", func(t *testing.T) {
		assertRefused(t, newClient(secondCA.writeCredentials(t, t.TempDir())), addr)
	})
	t.Run("in clear", func(t *testing.T) {
		assertRefused(t, newClient(nil), addr)
	})
	t.Run("files replaced without a restart", func(t *testing.T) {
		secondCA.writeCredentials(t, dir)
		server.mu.Lock()
		server.checkedAt, server.modTime = time.Time{}, time.Time{}
		server.mu.Unlock()
		assertEcho(t, newClient(secondCA.writeCredentials(t, t.TempDir())), addr)
	})
	t.Run("broken files leave the former in force", func(t *testing.T) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("x"), 0o600))
		server.mu.Lock()
		server.checkedAt, server.modTime = time.Time{}, time.Time{}
		server.mu.Unlock()
		assertEcho(t, newClient(secondCA.writeCredentials(t, t.TempDir())), addr)
	})
}

func assertRefused(t *testing.T, l *Transport, addr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var out string
	assert.Assert(t, l.Call(ctx, addr, methodEcho, "x", &out) != nil)
}
