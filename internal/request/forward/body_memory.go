package forward

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// defaultBodyMemory is the limit for all buffered answers together if BodyMemory.Limit is 0,
	// in bytes.
	defaultBodyMemory = 8 << 20
	// maxBodyDivisor divides that limit to give the largest size of one answer.
	maxBodyDivisor = 8
)

// errBodyMemoryFull reports that an answer exceeds the memory left for buffered answers.
var errBodyMemoryFull = errors.New("memory for answers is used up")

// BodyMemory limits the memory of answers that are buffered completely, since a faulty target
// may send without end.
type BodyMemory struct {
	// Limit is the limit for all buffered answers together; 0 means 8 MiB.
	Limit int64

	reserved atomic.Int64
}

// bodyMemory is the part of the memory that one answer has reserved.
type bodyMemory struct {
	total *BodyMemory
	bytes int64
}

func (b *BodyMemory) limit() int64 {
	if b.Limit == 0 {
		return defaultBodyMemory
	}
	return b.Limit
}

// maxBody returns the largest size of one answer, in bytes.
func (b *BodyMemory) maxBody() int64 { return b.limit() / maxBodyDivisor }

// grow reserves n more bytes, or returns errBodyMemoryFull without reserving any.
func (m *bodyMemory) grow(n int64) error {
	if m.total.reserved.Add(n) > m.total.limit() {
		m.total.reserved.Add(-n)
		return errBodyMemoryFull
	}
	m.bytes += n
	return nil
}

// release returns the reserved memory. It does nothing if none is reserved.
func (m *bodyMemory) release() {
	if m.bytes == 0 {
		return
	}
	m.total.reserved.Add(-m.bytes)
	m.bytes = 0
}
