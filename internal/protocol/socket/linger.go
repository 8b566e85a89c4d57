package socket

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// restSilence is how long a closing connection waits for the next bytes of a message that was refused before its end.
	// A sound peer may fall silent for a second or two within a message.
	restSilence = 3 * time.Second
	// endSilence is the same for a peer that has sent whole messages only, and is to close the connection.
	endSilence = time.Second
	// maxLinger is how long a peer may go on sending. How much it sends does not matter: unread data would make the system
	// reset the connection, and the peer could lose the refusal.
	maxLinger = 5 * time.Second
)

// errNoSocket reports that a connection or listener gives no access to its socket.
var errNoSocket = errors.New("no access to the socket")

// LingerConn is a connection whose Close can deliver what was written to a peer that is still
// sending.
type LingerConn struct {
	net.Conn
	// OnClosed is called when the connection has been closed, possibly after Close has returned; it may
	// be nil.
	OnClosed func()

	silence atomic.Int64 // silence of the peer in nanoseconds after which the next Close ends; 0 if it does not linger
}

// LingerOnClose makes the next Close read and discard what the peer still sends of a message that was not read to its
// end, up to limits of time, before the connection is closed.
func (c *LingerConn) LingerOnClose() { c.silence.Store(int64(restSilence)) }

// LingerAtEnd does the same for a peer whose message was read to its end, for less time.
func (c *LingerConn) LingerAtEnd() { c.silence.CompareAndSwap(0, int64(endSilence)) }

// Close closes the connection. If it is to linger, it does so in the background.
func (c *LingerConn) Close() error {
	silence := time.Duration(c.silence.Swap(0))
	if silence == 0 {
		defer c.closed()
		return c.Conn.Close()
	}
	go c.drain(silence)
	return nil
}

func (c *LingerConn) closed() {
	if c.OnClosed != nil {
		c.OnClosed()
	}
}

// drain shuts down the sending side, discards what the peer still sends until it falls silent, and closes the connection.
func (c *LingerConn) drain(silence time.Duration) {
	defer c.closed()
	defer func() { _ = c.Conn.Close() }()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// If this fails, so do the reads that follow.
		_ = tcp.CloseWrite()
	}
	// Neither the data nor the reason why the copy ends matters.
	_, _ = io.Copy(io.Discard, &restReader{conn: c.Conn, silence: silence, end: time.Now().Add(maxLinger)})
}

// restReader reads what a peer still sends, until it is silent for too long or end has come.
type restReader struct {
	conn    net.Conn
	silence time.Duration
	end     time.Time
}

func (r *restReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(r.silence)
	if deadline.After(r.end) {
		deadline = r.end
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return r.conn.Read(p)
}

// SyscallConn returns the raw connection for access to the socket. The error is errNoSocket if
// the wrapped connection has none.
func (c *LingerConn) SyscallConn() (syscall.RawConn, error) {
	return rawConn(c.Conn)
}

// rawConn returns the raw connection of a wrapped one, or errNoSocket if that has none.
func rawConn(conn net.Conn) (syscall.RawConn, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}
