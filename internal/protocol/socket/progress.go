package socket

import (
	"net"
	"sync"
	"time"
)

const (
	// MaxGap is the longest time without a byte within a message that makes progress.
	MaxGap = 2 * time.Second
	// MinRate is the mean rate, in bytes per second, below which a message makes no progress. A link that carries less is
	// of no use to callers either.
	MinRate = 8 << 10
	// writeChunk is the size in bytes of the parts of a message whose progress is watched.
	writeChunk = 16 << 10
)

// ProgressConn is a connection whose deadlines bound the time until a message begins, whatever its size. A message
// that has begun may take longer, as long as it makes progress: no gap is longer than 2 s, and on the whole
// it is faster than 8 KiB/s. Without a deadline it is not bounded at all.
//
// Setting a deadline begins a new message. Apart from Close, only one goroutine may read and one may write at a
// time.
type ProgressConn struct {
	net.Conn

	mu            sync.Mutex // guards read and written
	read, written progress
}

// progress is how much of one message has been transferred.
type progress struct {
	deadline time.Time // as set by the user; zero if there is none
	begin    time.Time // of the first byte
	last     time.Time // of the last byte
	bytes    int64
}

// advance records n more bytes at now. It returns the new deadline, and false if the old one stays.
func (p *progress) advance(now time.Time, n int) (time.Time, bool) {
	if p.deadline.IsZero() || n == 0 {
		return time.Time{}, false
	}
	if p.bytes == 0 {
		p.begin = now
	}
	p.bytes += int64(n)
	p.last = now
	slowest := p.begin.Add(MaxGap + time.Duration(p.bytes)*time.Second/MinRate)
	next := now.Add(MaxGap)
	if slowest.Before(next) {
		next = slowest
	}
	return next, next.After(p.deadline)
}

// SetDeadline begins a message in each direction.
func (c *ProgressConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read, c.written = progress{deadline: t}, progress{deadline: t}
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline begins a message that is read, whose first byte must arrive before t. The time that the message written
// before it has taken is added.
func (c *ProgressConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.IsZero() {
		t = t.Add(c.written.last.Sub(c.written.begin))
	}
	c.read = progress{deadline: t}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline begins a message that is written, whose first part must be taken before t.
func (c *ProgressConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = progress{deadline: t}
	return c.Conn.SetWriteDeadline(t)
}

// Read reads a part of a message and extends the deadline if it has made progress.
func (c *ProgressConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if deadline, ok := c.read.advance(time.Now(), n); ok {
		err = c.Conn.SetReadDeadline(deadline)
	}
	return n, err
}

// Write writes a message in parts and extends the deadline after each.
func (c *ProgressConn) Write(b []byte) (int, error) {
	total := 0
	for {
		n, err := c.Conn.Write(b[total:min(len(b), total+writeChunk)])
		total += n
		if err == nil {
			err = c.extendWrite(n)
		}
		if err != nil || total == len(b) {
			return total, err
		}
	}
}

// extendWrite extends the deadline after n more bytes were written.
func (c *ProgressConn) extendWrite(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if deadline, ok := c.written.advance(time.Now(), n); ok {
		return c.Conn.SetWriteDeadline(deadline)
	}
	return nil
}
