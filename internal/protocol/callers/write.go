package callers

import (
	"time"

	"rosevalve/internal/protocol/socket"
)

const (
	// writePart is the size in bytes of the parts of an answer of which each must be taken in time.
	writePart = 16 << 10
	// writeChecks is how often in that time it is checked whether the caller takes anything.
	writeChecks = 2
	// renewShare is the share of the time between two checks after which the deadline is set anew.
	renewShare = 4
	// unreadAfter is how long a write may take while memory for answers is short: a sound caller may fall silent for a second
	// or two.
	unreadAfter = bodyPause
)

// unread is what was seen of an answer whose caller may not read it.
type unread struct {
	began  int64 // of the write that is in progress, as Conn.writing
	at     time.Time
	queued int // bytes that the caller has not acknowledged
}

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
		if n > 0 {
			c.stalledQueue = 0
		}
		switch {
		case err == nil && total < len(p):
		case err == nil || !IsTimeout(err) || c.isCutOff():
			return total, err
		case !c.takesMore():
			c.conns.reportEvicted(NotRead)
			return total, err
		}
	}
}

// takesMore reports whether the caller has acknowledged a part of what is queued since the write before ran into its
// deadline, or none did. The system takes no more of an answer until much of its queue is free, and a slow caller needs longer
// for that.
func (c *Conn) takesMore() bool {
	if c.endedUnread.Load() {
		return false
	}
	queued, err := socket.Unacknowledged(c.LingerConn)
	if err != nil {
		return false
	}
	before := c.stalledQueue
	c.stalledQueue, c.writeRenewed = queued, time.Time{}
	return before == 0 || before-queued >= writePart/writeChecks
}

// renewWriteDeadline gives the caller time for the next part of its answer.
func (c *Conn) renewWriteDeadline(now time.Time) error {
	limit := c.conns.writeStall / writeChecks
	if limit == 0 || now.Sub(c.writeRenewed) < limit/renewShare {
		return nil
	}
	c.writeRenewed = now
	return c.SetWriteDeadline(now.Add(limit))
}

// EndUnread ends the connections whose callers take nothing of their answers, and reports whether there are any.
func (s *Server) EndUnread() bool {
	found := false
	now := time.Now()
	for _, c := range s.conns.conns() {
		if !c.isUnread(now) {
			continue
		}
		found = true
		c.endedUnread.Store(true)
		// The error of a connection that is closed already does not matter.
		_ = c.LingerConn.SetWriteDeadline(pastDeadline)
	}
	return found
}

// isUnread reports whether the caller has taken nothing of its answer since a call at least unreadAfter ago.
func (c *Conn) isUnread(now time.Time) bool {
	began := c.writing.Load()
	if began == 0 || now.Sub(time.Unix(0, began)) < unreadAfter {
		return false
	}
	queued, err := socket.Unacknowledged(c.LingerConn)
	if err != nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread.began != began || queued < c.unread.queued {
		c.unread = unread{began: began, at: now, queued: queued}
	}
	return now.Sub(c.unread.at) >= unreadAfter
}

// isCutOff reports whether a shutdown has ended the writes.
func (c *Conn) isCutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeEnd.IsZero()
}
