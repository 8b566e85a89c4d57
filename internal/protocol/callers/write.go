package callers

import "time"

const (
	// writePart is the size in bytes of the parts of an answer of which each must be taken in time.
	writePart = 16 << 10
	// renewShare is the share of that time after which the deadline is set anew.
	renewShare = 8
)

// Write writes a part of an answer. It fails if the caller takes nothing for too long.
func (c *Conn) Write(p []byte) (int, error) {
	total := 0
	for {
		if err := c.renewWriteDeadline(); err != nil {
			return total, err
		}
		n, err := c.LingerConn.Write(p[total:min(len(p), total+writePart)])
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
func (c *Conn) renewWriteDeadline() error {
	limit := c.conns.writeStall
	now := time.Now()
	if limit == 0 || now.Sub(c.writeRenewed) < limit/renewShare {
		return nil
	}
	c.writeRenewed = now
	return c.SetWriteDeadline(now.Add(limit))
}

// isCutOff reports whether a shutdown has ended the writes.
func (c *Conn) isCutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeEnd.IsZero()
}
