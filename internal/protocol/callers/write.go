package callers

import "time"

const (
	// writePart is the size in bytes of the parts of an answer of which each must be taken in time.
	writePart = 16 << 10
	// renewShare is the share of that time after which the deadline is set anew.
	renewShare = 8
	// unreadAfter is how long a write may take while memory for answers is short: a sound caller may fall silent for a second
	// or two.
	unreadAfter = bodyPause
)

// Write writes a part of an answer. It fails if the caller takes nothing for too long.
func (c *Conn) Write(p []byte) (int, error) {
	total := 0
	for {
		now := time.Now()
		if err := c.renewWriteDeadline(now); err != nil {
			return total, err
		}
		c.writing.Store(now.UnixNano())
		n, err := c.LingerConn.Write(p[total:min(len(p), total+writePart)])
		c.writing.Store(0)
		total += n
		if err != nil && IsTimeout(err) && !c.isCutOff() {
			c.conns.reportEvicted(NotRead)
		}
		if err != nil || total == len(p) {
			return total, err
		}
	}
}

// renewWriteDeadline gives the caller time for the next part of its answer.
func (c *Conn) renewWriteDeadline(now time.Time) error {
	limit := c.conns.writeStall
	if limit == 0 || now.Sub(c.writeRenewed) < limit/renewShare {
		return nil
	}
	c.writeRenewed = now
	return c.SetWriteDeadline(now.Add(limit))
}

// EndUnread ends the connections whose callers take nothing of their answers, and reports whether there are any.
func (s *Server) EndUnread() bool {
	found := false
	latest := time.Now().Add(-unreadAfter)
	for _, c := range s.conns.conns() {
		began := c.writing.Load()
		if began == 0 || time.Unix(0, began).After(latest) {
			continue
		}
		found = true
		// The error of a connection that is closed already does not matter.
		_ = c.LingerConn.SetWriteDeadline(pastDeadline)
	}
	return found
}

// isCutOff reports whether a shutdown has ended the writes.
func (c *Conn) isCutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeEnd.IsZero()
}
