package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// reloadInterval is the time between looks at the certificate files.
const reloadInterval = time.Second

// Credentials are certificate files, which are read again when they change. Both
// ends of a connection must show a certificate that the authority has signed; the
// dialled one must be for the IP address that was dialled.
type Credentials struct {
	// CertFile, KeyFile and CAFile are PEM files.
	CertFile string
	KeyFile  string
	CAFile   string

	mu      sync.Mutex // guards the fields below
	looked  time.Time
	changed time.Time // newest modification time of the files that are in force
	cert    tls.Certificate
	pool    *x509.CertPool
}

func (c *Credentials) serverConfig() (*tls.Config, error) {
	cert, pool, err := c.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}, nil
}

func (c *Credentials) clientConfig(host string) (*tls.Config, error) {
	cert, pool, err := c.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ServerName:   host,
	}, nil
}

// Check reads the files.
func (c *Credentials) Check() error {
	_, _, err := c.load()
	return err
}

// load returns what is in force. Files that do not fit together, as in the middle
// of a change, leave the former ones in force.
func (c *Credentials) load() (tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool != nil && time.Since(c.looked) < reloadInterval {
		return c.cert, c.pool, nil
	}
	c.looked = time.Now()
	changed, err := c.modified()
	if err == nil && c.pool != nil && changed.Equal(c.changed) {
		return c.cert, c.pool, nil
	}
	if err == nil {
		err = c.read(changed)
	}
	if err != nil && c.pool == nil {
		return tls.Certificate{}, nil, err
	}
	return c.cert, c.pool, nil
}

// modified returns the newest modification time of the files. The caller holds mu.
func (c *Credentials) modified() (time.Time, error) {
	var newest time.Time
	for _, name := range []string{c.CertFile, c.KeyFile, c.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return newest, fmt.Errorf("look at certificate file: %w", err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// read takes the files into force. The caller holds mu.
func (c *Credentials) read(changed time.Time) error {
	cert, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return fmt.Errorf("load certificate %q: %w", c.CertFile, err)
	}
	pem, err := os.ReadFile(c.CAFile)
	if err != nil {
		return fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("file %q holds no certificate", c.CAFile)
	}
	c.cert, c.pool, c.changed = cert, pool, changed
	return nil
}
