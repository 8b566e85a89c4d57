package callers

import (
	"cmp"
	"slices"
	"time"

	"rosevalve/internal/request/memory"
)

const (
	// stalledAfter is how long a request may pause before it is given up rather than those that go on.
	stalledAfter = time.Second
	// roomPoll and roomWait are how often and how long a new connection waits for the end of one that was closed for it.
	roomPoll = time.Millisecond
	roomWait = 50 * time.Millisecond
	// idleShare and lingerShare are the shares of the idle and of the lingering connections that are closed at a time.
	idleShare   = 64
	lingerShare = 4
)

// claim is what a request that is being read takes.
type claim struct {
	conn             *Conn
	keyless, stalled bool
	bytes            int64
	lastRead         time.Time
}

// claim returns what the request takes; ok is false if it is not being read.
func (c *Conn) claim(now time.Time) (out claim, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.served || c.closing || c.arrival.began.IsZero() {
		return claim{}, false
	}
	return claim{
		conn: c, keyless: c.keyless, stalled: now.Sub(c.lastRead) >= stalledAfter,
		bytes: c.memory.Bytes(), lastRead: c.lastRead,
	}, true
}

// compare orders claims by how soon they are given up: without a key, without progress, large, slow.
func (a claim) compare(b claim) int {
	return cmp.Or(
		compareBool(a.keyless, b.keyless), compareBool(a.stalled, b.stalled),
		cmp.Compare(b.bytes, a.bytes), a.lastRead.Compare(b.lastRead),
	)
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// evictFor gives up requests that are to go before that of c and draw on the budget full, until they hold n bytes. It
// reports whether any memory comes free.
func (s *connSet) evictFor(c *Conn, full *memory.Budget, n int64) bool {
	s.evicting.Lock()
	defer s.evicting.Unlock()
	now := time.Now()
	own, ok := c.claim(now)
	if !ok {
		return false
	}
	var freed int64
	var others []claim
	for _, other := range s.conns() {
		cl, ok := other.claim(now)
		switch {
		case !ok || other == c || cl.bytes == 0 || !other.memory.Draws(full):
		case other.isEvicted():
			freed += cl.bytes
		case cl.compare(own) < 0:
			others = append(others, cl)
		}
	}
	slices.SortFunc(others, claim.compare)
	for _, o := range others {
		if freed >= n {
			break
		}
		o.conn.evict(OutOfMemory)
		freed += o.bytes
	}
	return freed > 0
}

// evict gives up the request that is being read.
func (c *Conn) evict(r Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || c.served {
		return
	}
	c.evicted = true
	// The error of a connection that is closed already does not matter.
	_ = c.SetReadDeadline(pastDeadline)
	c.conns.reportEvicted(r)
}

// Evicted reports whether the request was given up before it was read, since memory or descriptors are short.
func (c *Conn) Evicted() bool { return c.isEvicted() }

func (c *Conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// reportEvicted passes on why a connection or request was ended.
func (s *connSet) reportEvicted(r Reason) {
	if s.onEvicted != nil {
		s.onEvicted(r)
	}
}

// makeRoom closes connections if there are too many for another one, and reports whether there is room then.
func (s *connSet) makeRoom() bool {
	if s.maxConns == nil || s.count() < s.maxConns() {
		return true
	}
	if s.closeIdle(1) == 0 {
		s.evictSlowest()
	}
	for end := time.Now().Add(roomWait); time.Now().Before(end); time.Sleep(roomPoll) {
		if s.count() < s.maxConns() {
			return true
		}
	}
	return false
}

// count returns the number of open connections.
func (s *connSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// closeIdle closes a share of the connections that linger, or else of those that are idle, the oldest first, and at least
// n. It returns how many.
func (s *connSet) closeIdle(n int) int {
	var lingering, idle []*Conn
	for _, c := range s.conns() {
		switch c.use() {
		case useLingering:
			lingering = append(lingering, c)
		case useIdle:
			idle = append(idle, c)
		}
	}
	if len(lingering) > 0 {
		lingering = oldest(lingering, max(n, len(lingering)/lingerShare))
		for _, c := range lingering {
			_ = c.Conn.Close()
		}
		return len(lingering)
	}
	idle = oldest(idle, max(n, len(idle)/idleShare))
	for _, c := range idle {
		c.evict(TooManyConnections)
	}
	return len(idle)
}

// oldest returns the n connections that are unused for longest.
func oldest(conns []*Conn, n int) []*Conn {
	slices.SortFunc(conns, func(a, b *Conn) int { return a.idleTime().Compare(b.idleTime()) })
	return conns[:min(len(conns), n)]
}

// evictSlowest gives up the request that is to go first.
func (s *connSet) evictSlowest() {
	now := time.Now()
	var worst claim
	for _, c := range s.conns() {
		if cl, ok := c.claim(now); ok && !c.isEvicted() && (worst.conn == nil || cl.compare(worst) < 0) {
			worst = cl
		}
	}
	if worst.conn != nil {
		worst.conn.evict(TooManyConnections)
	}
}

// use is what a connection is used for.
type use int

const (
	useRequest   use = iota // a request is being read or served
	useIdle                 // it waits for a request
	useLingering            // it is closing
)

func (c *Conn) use() use {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
		return useLingering
	case c.active || c.evicted || !c.arrival.began.IsZero():
		return useRequest
	default:
		return useIdle
	}
}

func (c *Conn) idleTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince
}
