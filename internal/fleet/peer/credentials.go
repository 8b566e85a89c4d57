package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// reloadInterval is the shortest time between two checks of the certificate files for changes.
const reloadInterval = time.Second

// Credentials configures mutual TLS from certificate files and reloads the files when
// they change. Both ends of a connection must present a certificate signed by the
// CA; the certificate of the dialled end must be valid for the dialled IP address.
type Credentials struct {
	// CertFile is the path of this router's certificate, in PEM.
	CertFile string
	// KeyFile is the path of the certificate's private key, in PEM.
	KeyFile string
	// CAFile is the path of the certificates of the CA, in PEM.
	CAFile string

	mu        sync.Mutex // guards checkedAt, modTime, cert and caPool
	checkedAt time.Time  // time of the most recent check of the files
	modTime   time.Time  // latest modification time of the files when they were loaded
	cert      tls.Certificate
	caPool    *x509.CertPool // nil until the files have been loaded once
}

// serverConfig returns the TLS configuration of an accepted connection.
func (c *Credentials) serverConfig() (*tls.Config, error) {
	cert, caPool, err := c.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    caPool,
	}, nil
}

// clientConfig returns the TLS configuration of a connection dialled to host.
func (c *Credentials) clientConfig(host string) (*tls.Config, error) {
	cert, caPool, err := c.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      caPool,
		ServerName:   host,
	}, nil
}

// Load loads the files if they have not been loaded yet, and returns the error if that fails.
func (c *Credentials) Load() error {
	_, _, err := c.current()
	return err
}

// current returns the certificate and the CA pool, after reloading changed files. If
// the reload fails, for example because only some of the files have been replaced yet,
// it returns the ones loaded before.
func (c *Credentials) current() (tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.caPool != nil && time.Since(c.checkedAt) < reloadInterval {
		return c.cert, c.caPool, nil
	}
	c.checkedAt = time.Now()
	modTime, err := c.latestModTime()
	if err == nil && c.caPool != nil && modTime.Equal(c.modTime) {
		return c.cert, c.caPool, nil
	}
	if err == nil {
		err = c.reload(modTime)
	}
	if err != nil && c.caPool == nil {
		return tls.Certificate{}, nil, err
	}
	return c.cert, c.caPool, nil
}

// latestModTime returns the latest modification time of the files. The caller holds mu.
func (c *Credentials) latestModTime() (time.Time, error) {
	var latest time.Time
	for _, name := range []string{c.CertFile, c.KeyFile, c.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return latest, fmt.Errorf("stat certificate file: %w", err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

// reload reads the files and stores their contents with modTime. The caller holds mu.
func (c *Credentials) reload(modTime time.Time) error {
	cert, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return fmt.Errorf("load certificate %q: %w", c.CertFile, err)
	}
	pem, err := os.ReadFile(c.CAFile)
	if err != nil {
		return fmt.Errorf("read CA file: %w", err)
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("CA file %q contains no certificate", c.CAFile)
	}
	c.cert, c.caPool, c.modTime = cert, caPool, modTime
	return nil
}
