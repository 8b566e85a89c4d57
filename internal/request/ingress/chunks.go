package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// chunkBuffer is the size in bytes of the buffer through which chunks are read, and so of the longest line.
	chunkBuffer = 4 << 10
	// lineAllowance and maxOverhead bound extensions of chunks, in bytes: each chunk may have some, and twice its size; all
	// together may exceed that by maxOverhead.
	lineAllowance = 16
	maxOverhead   = 16 << 10
	hexBase       = 16
)

var chunkReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, chunkBuffer) }}

// errBrokenChunk reports that a chunked body is not encoded as HTTP has it.
var errBrokenChunk = errors.New("body has a broken chunk")

// readChunks reads a chunked body and its trailer, which may have maxTrailer bytes.
func (b *body) readChunks(maxTrailer int) error {
	if err := b.conn.Reserve(chunkBuffer); err != nil {
		return err
	}
	br, _ := chunkReaders.Get().(*bufio.Reader)
	br.Reset(connReader{conn: b.conn})
	err := b.readAllChunks(br)
	if err == nil {
		err = readTrailer(br, maxTrailer)
	}
	if rest, _ := br.Peek(br.Buffered()); len(rest) > 0 {
		b.conn.Unread(rest)
	}
	br.Reset(nil)
	chunkReaders.Put(br)
	b.conn.Unreserve(chunkBuffer)
	return err
}

// readAllChunks reads the chunks up to the last one, which is empty.
func (b *body) readAllChunks(br *bufio.Reader) error {
	overhead := 0
	for {
		line, err := readLine(br)
		if err != nil {
			return err
		}
		size, err := chunkSize(line)
		if err != nil || size == 0 {
			return err
		}
		overhead = max(0, overhead+len(line)-lineAllowance-2*size)
		if overhead > maxOverhead {
			return fmt.Errorf("%w: its extensions are too long", errBrokenChunk)
		}
		if err := b.readFrom(br, size); err != nil {
			return err
		}
		if line, err := readLine(br); err != nil || len(line) > 0 {
			return errors.Join(err, fmt.Errorf("%w: it does not end where it should", errBrokenChunk))
		}
	}
}

// readLine returns a line without its end, which is valid until the next read.
func readLine(br *bufio.Reader) ([]byte, error) {
	line, err := br.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, fmt.Errorf("%w: a line is too long", errBrokenChunk)
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		return nil, fmt.Errorf("%w: a line has a carriage return elsewhere than before its end", errBrokenChunk)
	}
	return line, nil
}

// chunkSize returns the size in the line before a chunk.
func chunkSize(line []byte) (int, error) {
	text, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(text, " \t")), hexBase, 31)
	switch {
	case errors.Is(err, strconv.ErrRange):
		return 0, fasthttp.ErrBodyTooLarge
	case err != nil:
		return 0, fmt.Errorf("%w: its size is not a number", errBrokenChunk)
	}
	return int(n), nil
}

// readTrailer reads the lines behind the last chunk, which are not passed on.
func readTrailer(br *bufio.Reader, limit int) error {
	for read := 0; read <= limit; {
		line, err := readLine(br)
		if err != nil || len(line) == 0 {
			return err
		}
		read += len(line)
	}
	return fmt.Errorf("%w: the trailer is too long", errBrokenChunk)
}
