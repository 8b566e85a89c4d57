package upstream

import (
	"fmt"
	"slices"
)

// minChunkSize is the size in bytes of the first chunk of a body.
const minChunkSize = 2 << 10

// bodyBuffer collects a body in chunks. A single slice would be copied each time it grows,
// and a body that never ends would leave all the old copies behind as garbage.
type bodyBuffer struct {
	limit   int64               // maximum size of the body in bytes
	reserve func(n int64) error // called before each allocation of n bytes, which its error prevents; may be nil

	fullChunks [][]byte // chunks without free capacity
	current    []byte   // chunk that is being filled
	size       int64    // bytes of the body read so far
}

// free returns the unused capacity of the current chunk. If there is none it allocates
// another chunk, which doubles the capacity up to one byte more than the limit.
func (b *bodyBuffer) free() ([]byte, error) {
	if len(b.current) < cap(b.current) {
		return b.current[len(b.current):cap(b.current)], nil
	}
	if b.size > b.limit {
		return nil, fmt.Errorf("larger than %d bytes", b.limit)
	}
	if b.current != nil {
		b.fullChunks = append(b.fullChunks, b.current)
	}
	size := min(max(minChunkSize, b.size), b.limit+1-b.size)
	if err := b.reserveMemory(size); err != nil {
		return nil, err
	}
	b.current = make([]byte, 0, size)
	return b.current[:size], nil
}

// reserveMemory returns the error of reserve, if any, for n more bytes.
func (b *bodyBuffer) reserveMemory(n int64) error {
	if b.reserve == nil {
		return nil
	}
	return b.reserve(n)
}

// advance records that n bytes were read into the slice that free returned.
func (b *bodyBuffer) advance(n int) {
	b.current = b.current[:len(b.current)+n]
	b.size += int64(n)
}

// join returns the whole body as one slice. Joining several chunks takes as much memory
// again.
func (b *bodyBuffer) join() ([]byte, error) {
	if b.size > b.limit {
		return nil, fmt.Errorf("read body: larger than %d bytes", b.limit)
	}
	if len(b.fullChunks) == 0 {
		return b.current, nil
	}
	if err := b.reserveMemory(b.size); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return slices.Concat(append(b.fullChunks, b.current)...), nil
}
