package peer

import (
	"bufio"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"encoding/binary"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	maxMessage   = 4 << 20 // bytes
	writeTimeout = 2 * time.Second
)

var (
	bytesRead          = expvar.NewInt("peer_bytes_read")
	bytesWritten       = expvar.NewInt("peer_bytes_written")
	dials              = expvar.NewInt("peer_dials")
	refusedConnections = expvar.NewInt("peer_connections_refused")
)

// countedConn counts bytes, and ends when nothing arrives or leaves for too long.
type countedConn struct {
	net.Conn
	idle     time.Duration
	lastRead atomic.Int64 // Unix time in nanoseconds
}

func newConn(conn net.Conn, idle time.Duration) *countedConn {
	return &countedConn{Conn: conn, idle: idle}
}

// Read reads within the idle timeout.
func (c *countedConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
		bytesRead.Add(int64(n))
	}
	return n, err
}

// Write writes within the write timeout.
func (c *countedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	n, err := c.Conn.Write(b)
	bytesWritten.Add(int64(n))
	return n, err
}

// silentSince reports whether nothing has arrived since the time.
func (c *countedConn) silentSince(t time.Time) bool {
	return c.lastRead.Load() < t.UnixNano()
}

// boundedCodec is the library's codec with a length prefix, with a bound on the length.
type boundedCodec struct{}

// WriteObject writes one message.
func (boundedCodec) WriteObject(w io.Writer, obj any) error {
	return jsonrpc2.VarintObjectCodec{}.WriteObject(w, obj)
}

// ReadObject reads one message of at most maxMessage bytes.
func (boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err // the library compares it with io.EOF
	}
	if size > maxMessage {
		return fmt.Errorf("message of %d bytes is larger than %d", size, maxMessage)
	}
	body := io.LimitReader(r, int64(size))
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	return nil
}
