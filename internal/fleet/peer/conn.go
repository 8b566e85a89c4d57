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

	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/memory"
)

const (
	maxMessageSize = 4 << 20 // bytes
	// writeTimeout bounds the time until the first part of a message is written.
	writeTimeout = 2 * time.Second
)

var (
	bytesRead          = expvar.NewInt("peer_bytes_read")
	bytesWritten       = expvar.NewInt("peer_bytes_written")
	dials              = expvar.NewInt("peer_dials")
	refusedConnections = expvar.NewInt("peer_connections_refused")
)

// timeoutConn is a net.Conn with a timeout on each read and write. It adds the
// bytes it carries to the process's counters.
type timeoutConn struct {
	net.Conn
	idleTimeout time.Duration // timeout of one read
	lastRead    atomic.Int64  // time of the most recent read that returned data, in Unix nanoseconds
	totalRead   atomic.Int64  // bytes read
}

func newTimeoutConn(conn net.Conn, idleTimeout time.Duration) *timeoutConn {
	return &timeoutConn{Conn: &socket.ProgressConn{Conn: conn}, idleTimeout: idleTimeout}
}

// Read reads into b and fails if no data arrives within the idle timeout.
func (c *timeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
		c.totalRead.Add(int64(n))
		bytesRead.Add(int64(n))
	}
	return n, err
}

// Write writes b and fails if the first part of it takes longer than writeTimeout, or the rest makes no progress.
func (c *timeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	n, err := c.Conn.Write(b)
	bytesWritten.Add(int64(n))
	return n, err
}

// idleSince reports whether no data has arrived at or after t.
func (c *timeoutConn) idleSince(t time.Time) bool {
	return c.lastRead.Load() < t.UnixNano()
}

// boundedCodec encodes messages as jsonrpc2.VarintObjectCodec does, as JSON after a
// varint length, and rejects received messages of more than maxMessageSize bytes.
type boundedCodec struct{ memory *memory.Budget }

// decodeFactor is multiplied by the size of what has been read of a message to give the memory of its decoding.
const decodeFactor = 3

// reservingReader reserves the memory of what it reads.
type reservingReader struct {
	io.Reader
	memory memory.Reservation
}

func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if memoryErr := r.memory.Grow(decodeFactor * int64(n)); memoryErr != nil {
		return 0, memoryErr
	}
	return n, err
}

// WriteObject writes obj as one message; it does not limit the size.
func (boundedCodec) WriteObject(w io.Writer, obj any) error {
	return jsonrpc2.VarintObjectCodec{}.WriteObject(w, obj)
}

// ReadObject reads one message into v and fails if it is larger than maxMessageSize.
func (b boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err // not wrapped, since jsonrpc2 compares it with io.EOF
	}
	if size > maxMessageSize {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", size, maxMessageSize)
	}
	body := &reservingReader{Reader: io.LimitReader(r, int64(size))}
	body.memory.Use(b.memory)
	defer body.memory.Release()
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	return nil
}
