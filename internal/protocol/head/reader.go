package head

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// checker passes on the bytes that are read, up to the end of a malformed line.
type checker struct {
	scanner scanner
	err     error // why nothing more is passed on
}

// expect makes the checker take what follows for the head of an answer. buffered is what was passed on of it already.
func (c *checker) expect(buffered []byte) error {
	c.scanner = scanner{inHead: true}
	_, c.err = c.scanner.scan(buffered)
	return c.err
}

// read reads from r into p.
func (c *checker) read(r io.Reader, p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := r.Read(p)
	checked, malformed := c.scanner.scan(p[:n])
	if malformed == nil {
		return n, err
	}
	c.err = malformed
	if checked > 0 {
		return checked, nil
	}
	return 0, malformed
}

// Reader reads answers and checks the heads that it is told to expect.
type Reader struct {
	// R is what the answers are read from.
	R io.Reader

	checker checker
}

// Expect makes the Reader take what follows for the head of an answer, of which buffered has been read already. It returns
// an error if that is malformed.
func (r *Reader) Expect(buffered []byte) error { return r.checker.expect(buffered) }

// Read reads a part of an answer. Its error wraps ErrMalformed if the head is malformed.
func (r *Reader) Read(p []byte) (int, error) { return r.checker.read(r.R, p) }

// Conn is a connection of a client that reads the whole answer to a request before it writes the next one. It expects
// a head after each write. Apart from Close, only one goroutine may use it at a time.
type Conn struct {
	net.Conn

	checker checker
}

// Write writes a part of a request.
func (c *Conn) Write(p []byte) (int, error) {
	// An empty buffer is never malformed.
	_ = c.checker.expect(nil)
	return c.Conn.Write(p)
}

// Read reads a part of an answer. Its error wraps ErrMalformed if the head is malformed.
func (c *Conn) Read(p []byte) (int, error) { return c.checker.read(c.Conn, p) }

// Dial opens a connection to a host and port for a fasthttp client. A timeout of 0 stands for the default of fasthttp.
func Dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout == 0 {
		timeout = fasthttp.DefaultDialTimeout
	}
	conn, err := fasthttp.DialTimeout(addr, timeout)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}
