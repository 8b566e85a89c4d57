package gateway

import (
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// pipeListener is a net.Listener whose connections are in-memory pipes.
type pipeListener struct {
	gate   *gate // of the process that listens
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{gate: &gate{}, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, io.EOF
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() (net.Conn, error) {
	if !l.gate.letsDial() {
		return nil, errors.New("timeout")
	}
	client, server := net.Pipe()
	select {
	case l.conns <- newGatedConn(server, l.gate):
		return client, nil
	case <-l.closed:
		_ = client.Close()
		return nil, errors.New("refused")
	}
}

// connFault is a fault of one connection. CutWrite and CutRead close it, and SilentRead
// makes it silent, before that byte, counted from 1; 0 means never.
type connFault struct {
	Refuse     bool
	CutWrite   int
	CutRead    int
	SilentRead int
}

// faultyConn is a connection with a fault.
type faultyConn struct {
	net.Conn
	fault         connFault
	read, written int
}

func (c *faultyConn) Write(b []byte) (int, error) {
	left := c.fault.CutWrite - 1 - c.written
	if c.fault.CutWrite > 0 && len(b) > left {
		n, _ := c.Conn.Write(b[:left])
		c.written += n
		_ = c.Close()
		return n, errors.New("connection reset")
	}
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}

func (c *faultyConn) Read(b []byte) (int, error) {
	limit := max(c.fault.CutRead, c.fault.SilentRead) - 1
	if limit >= 0 {
		if c.read >= limit && c.fault.CutRead > 0 {
			_ = c.Close()
			return 0, io.EOF
		}
		if c.read >= limit {
			return c.discardUntilDeadline()
		}
		b = b[:min(len(b), limit-c.read)]
	}
	n, err := c.Conn.Read(b)
	c.read += n
	return n, err
}

// discardUntilDeadline discards everything that arrives until the read deadline.
func (c *faultyConn) discardUntilDeadline() (int, error) {
	var b [512]byte
	for {
		if _, err := c.Conn.Read(b[:]); err != nil {
			return 0, err
		}
	}
}
