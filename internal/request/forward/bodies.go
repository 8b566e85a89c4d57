package forward

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// defaultBodies is the memory for whole answers if nothing else is said, in bytes.
	defaultBodies = 8 << 20
	// bodyShare is the part of it that one answer may take, inverted.
	bodyShare = 8
)

// errNoRoom reports that an answer does not fit into the memory for answers that is left.
var errNoRoom = errors.New("memory for answers is used up")

// Bodies bounds the memory of answers that are held as a whole, since a target in trouble
// may send without end.
type Bodies struct {
	// Bytes is what all of them may take together.
	Bytes int64

	held atomic.Int64
}

// held is the memory of one answer.
type held struct {
	bodies *Bodies
	bytes  int64
}

func (b *Bodies) total() int64 {
	if b.Bytes == 0 {
		return defaultBodies
	}
	return b.Bytes
}

// largest bounds one answer, in bytes.
func (b *Bodies) largest() int64 { return b.total() / bodyShare }

// grow takes n bytes more, if there is room.
func (h *held) grow(n int64) error {
	if h.bodies.held.Add(n) > h.bodies.total() {
		h.bodies.held.Add(-n)
		return errNoRoom
	}
	h.bytes += n
	return nil
}

// end gives the memory back. An answer that holds none may be ended too.
func (h *held) end() {
	if h.bytes == 0 {
		return
	}
	h.bodies.held.Add(-h.bytes)
	h.bytes = 0
}
