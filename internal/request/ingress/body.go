package ingress

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/callers"
)

// body is the body of a request as it arrives. Its memory grows with what has arrived, and is reserved before.
type body struct {
	server  *Server
	conn    *callers.Conn
	limit   int // largest size in bytes that is allowed
	largest int // largest size in bytes that is expected; no buffer needs to be larger
	bytes   []byte
	buffer  *[]byte // holds bytes; nil without a body
}

var bodies = sync.Pool{New: func() any { return new(body) }}

// acquireBody returns an empty body.
func acquireBody() *body {
	b, _ := bodies.Get().(*body)
	return b
}

// receive reads the body of a request.
func (s *Server) receive(ctx *fasthttp.RequestCtx, f framing, b *body) error {
	conn, ok := ctx.Conn().(*callers.Conn)
	if !ok {
		return errors.New("connection is not that of a caller")
	}
	if f.length == 0 && !f.chunked {
		return conn.SetServed()
	}
	b.server, b.conn, b.limit = s, conn, s.limits().MaxBodyBytes
	b.largest = b.limit
	if f.length > b.limit {
		return fasthttp.ErrBodyTooLarge
	}
	if f.chunked || f.length > firstBuffer {
		if err := s.setOwner(ctx, conn); err != nil {
			return err
		}
	}
	if err := b.read(f, s.limits().MaxHeaderBytes); err != nil {
		return err
	}
	return conn.SetServed()
}

// read reads the body, and the trailer of a chunked one, which may have maxTrailer bytes.
func (b *body) read(f framing, maxTrailer int) error {
	if f.chunked {
		return b.readChunks(maxTrailer)
	}
	b.largest = f.length
	return b.readFrom(connReader{conn: b.conn}, f.length)
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
		if err := b.grow(); err != nil {
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

// grow makes room for more bytes if there is none.
func (b *body) grow() error {
	used := cap(b.bytes)
	if len(b.bytes) < used {
		return nil
	}
	size := bufferSize(used, b.largest)
	if err := b.conn.Reserve(int64(size)); err != nil {
		return err
	}
	larger := b.server.buffers.acquire(size)
	n := copy(*larger, b.bytes)
	b.releaseBuffer()
	b.buffer, b.bytes = larger, (*larger)[:n]
	b.conn.Unreserve(int64(used))
	return nil
}

// release ends the use of the body, and of its bytes. What it has reserved is given back by its connection.
func (b *body) release() {
	b.releaseBuffer()
	*b = body{}
	bodies.Put(b)
}

func (b *body) releaseBuffer() {
	if b.buffer != nil {
		b.server.buffers.release(b.buffer, b.server.keptBuffers())
		b.buffer = nil
	}
}
