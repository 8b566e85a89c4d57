package ingress

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/callers"
)

// smallBody is the size in bytes of the first buffer of a body. Such buffers are used again.
const smallBody = 4 << 10

var smallBodies = sync.Pool{New: func() any { return new([smallBody]byte) }}

// body is the body of a request as it arrives. Its memory grows with what has arrived, and is reserved before.
type body struct {
	conn  *callers.Conn
	limit int // largest size in bytes
	bytes []byte
	small *[smallBody]byte // holds bytes as long as that is small; nil without a body
}

// receive reads the body of a request.
func (s *Server) receive(ctx *fasthttp.RequestCtx, f framing, b *body) error {
	conn, ok := ctx.Conn().(*callers.Conn)
	if !ok {
		return errors.New("connection is not that of a caller")
	}
	defer conn.SetServed()
	if f.length == 0 && !f.chunked {
		return nil
	}
	b.conn, b.limit = conn, s.limits().MaxBodyBytes
	if f.length > b.limit {
		return fasthttp.ErrBodyTooLarge
	}
	if f.chunked || f.length > smallBody {
		if err := s.setOwner(ctx, conn); err != nil {
			return err
		}
	}
	if f.chunked {
		return b.readChunks(s.limits().MaxHeaderBytes)
	}
	return b.readFrom(connReader{conn: conn}, f.length)
}

// refuseUnread answers a request whose body could not be read, and ends its connection.
func (s *Server) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	if c, ok := ctx.Conn().(*callers.Conn); ok {
		err = c.ReadError(err)
	}
	s.handleReadError(ctx, err)
	ctx.SetConnectionClose()
}

// connReader reads what follows the header of a request.
type connReader struct{ conn *callers.Conn }

func (r connReader) Read(p []byte) (int, error) { return r.conn.ReadBody(p) }

// readFrom reads n more bytes of the body from r.
func (b *body) readFrom(r io.Reader, n int) error {
	end := len(b.bytes) + n
	if end > b.limit {
		return fasthttp.ErrBodyTooLarge
	}
	for len(b.bytes) < end {
		if err := b.grow(end); err != nil {
			return err
		}
		m, err := r.Read(b.bytes[len(b.bytes):min(cap(b.bytes), end)])
		b.bytes = b.bytes[:len(b.bytes)+m]
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil && len(b.bytes) < end {
			return err
		}
	}
	return nil
}

// grow makes room for more bytes if there is none, at most for a body of end bytes unless it is small.
func (b *body) grow(end int) error {
	used := cap(b.bytes)
	switch {
	case len(b.bytes) < used:
		return nil
	case used == 0:
		if err := b.conn.Reserve(smallBody); err != nil {
			return err
		}
		b.small, _ = smallBodies.Get().(*[smallBody]byte)
		b.bytes = b.small[:0]
		return nil
	}
	size := 2 * used
	if end > used {
		size = min(size, max(end, used+smallBody))
	}
	size = min(size, b.limit)
	if err := b.conn.Reserve(int64(size)); err != nil {
		return err
	}
	larger := make([]byte, len(b.bytes), size)
	copy(larger, b.bytes)
	b.bytes = larger
	b.releaseSmall()
	b.conn.Unreserve(int64(used))
	return nil
}

// release ends the use of the body. What it has reserved is given back by its connection.
func (b *body) release() {
	b.bytes = nil
	b.releaseSmall()
}

func (b *body) releaseSmall() {
	if b.small != nil {
		smallBodies.Put(b.small)
		b.small = nil
	}
}
