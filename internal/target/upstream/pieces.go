package upstream

import (
	"fmt"
	"slices"
)

// bodySpace is the first size of the memory of a body, in bytes.
const bodySpace = 2 << 10

// pieces is a body that grows without being copied, since one that never ends would leave
// all its former copies behind.
type pieces struct {
	limit int64
	grow  func(n int64) error // asked before the memory grows; may be nil

	full [][]byte // pieces that are full
	last []byte
	size int64
}

// space returns where the next bytes may go.
func (p *pieces) space() ([]byte, error) {
	if len(p.last) < cap(p.last) {
		return p.last[len(p.last):cap(p.last)], nil
	}
	if p.size > p.limit {
		return nil, fmt.Errorf("larger than %d bytes", p.limit)
	}
	if p.last != nil {
		p.full = append(p.full, p.last)
	}
	more := min(max(bodySpace, p.size), p.limit+1-p.size)
	if err := p.ask(more); err != nil {
		return nil, err
	}
	p.last = make([]byte, 0, more)
	return p.last[:more], nil
}

func (p *pieces) ask(n int64) error {
	if p.grow == nil {
		return nil
	}
	return p.grow(n)
}

// took notes that n bytes of the space were filled.
func (p *pieces) took(n int) {
	p.last = p.last[:len(p.last)+n]
	p.size += int64(n)
}

// join returns the whole body.
func (p *pieces) join() ([]byte, error) {
	if p.size > p.limit {
		return nil, fmt.Errorf("read body: larger than %d bytes", p.limit)
	}
	if len(p.full) == 0 {
		return p.last, nil
	}
	if err := p.ask(p.size); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return slices.Concat(append(p.full, p.last)...), nil
}
