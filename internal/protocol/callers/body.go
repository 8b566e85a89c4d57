package callers

import "time"

// maxKeptHeld is the largest buffer for bytes beyond a header, in bytes, that a connection keeps for its next request.
const maxKeptHeld = 1 << 10

// ReadBody reads what follows the header of the request that is being read. Only bytes of that request may be taken: Unread
// gives others back.
func (c *Conn) ReadBody(p []byte) (int, error) {
	n, err := c.read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.lastRead = time.Now()
		c.arrival.bodyBytes += int64(n)
	}
	return n, err
}

// Unread gives back bytes that belong to the next request.
func (c *Conn) Unread(p []byte) { c.hold(p) }

// hold keeps p for the next read, before what is held already.
func (c *Conn) hold(p []byte) {
	if len(c.held) > 0 {
		p = append(append(make([]byte, 0, len(p)+len(c.held)), p...), c.held...)
	}
	c.held = append(c.held[:0], p...)
}

// takeHeld moves held bytes to p and returns how many.
func (c *Conn) takeHeld(p []byte) int {
	n := copy(p, c.held)
	if n == 0 {
		return 0
	}
	rest := copy(c.held, c.held[n:])
	c.held = c.held[:rest]
	if rest == 0 && cap(c.held) > maxKeptHeld {
		c.held = nil
	}
	return n
}

// SetServed records that the request was read completely. It is not given up any more when memory is short; the error says
// that it has been before.
func (c *Conn) SetServed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return errEvicted
	}
	c.served = true
	if c.conns.memory != nil {
		// What is held of further requests stays reserved.
		c.memory.Shrink(max(0, readCost-int64(len(c.held))))
	}
	return nil
}

// bodyDeadline returns the earlier one of a deadline and that of the body's least rate. The caller holds mu.
func (c *Conn) bodyDeadline(deadline time.Time, limit time.Duration) time.Time {
	if c.conns.bodyRate == nil || !c.arrival.headerDone || c.served {
		return deadline
	}
	rate := c.conns.bodyRate()
	if rate == 0 {
		return deadline
	}
	if end := c.arrival.slowestEnd(limit, rate); end.Before(deadline) {
		return end
	}
	return deadline
}
