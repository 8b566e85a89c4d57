package callers

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/request/memory"
)

const (
	// readCost is the memory, in bytes, of a request whose header is being read: the HTTP library's buffers.
	readCost = 24 << 10
	// fieldCost is the memory of one line of a header, in bytes, besides its text.
	fieldCost = 160
	// addressShare is the share of the memory that the callers of one address may use.
	addressShare = 0.5
	// releasePoll and releaseWait are how often and how long a request waits for memory of those that are given up.
	releasePoll = 5 * time.Millisecond
	releaseWait = 200 * time.Millisecond
)

// errEvicted is the error of a read of a request that was given up.
var errEvicted = errors.New("request was given up: it held more, or arrived more slowly, than others")

// addressBudget is the memory of the callers of one address.
type addressBudget struct {
	memory.Budget
	conns int
}

// addBudget sets the budget of a new connection. The caller holds mu.
func (s *connSet) addBudget(c *Conn) {
	if s.memory == nil {
		return
	}
	host := hostOf(c)
	b := s.byAddress[host]
	if b == nil {
		b = &addressBudget{Budget: memory.Budget{Limit: int64(addressShare * float64(s.memory.Limit)), Parent: s.memory}}
		if s.byAddress == nil {
			s.byAddress = make(map[string]*addressBudget)
		}
		s.byAddress[host] = b
	}
	b.conns++
	c.memory.Use(&b.Budget)
}

// removeBudget forgets the budget of an address without connections. The caller holds mu.
func (s *connSet) removeBudget(c *Conn) {
	host := hostOf(c)
	b := s.byAddress[host]
	if b == nil {
		return
	}
	if b.conns--; b.conns == 0 {
		delete(s.byAddress, host)
	}
}

// hostOf returns the address of a caller without its port.
func hostOf(c *Conn) string {
	if addr, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return addr.IP.String()
	}
	return ""
}

// headerCost returns the memory of the header that has arrived so far. The caller holds mu.
func (c *Conn) headerCost() int64 { return readCost + int64(c.arrival.lines)*fieldCost }

// reserveHeader reserves the memory of the header that has arrived so far, from its second read on: the HTTP library answers
// no error of the first one.
func (c *Conn) reserveHeader() error {
	c.mu.Lock()
	if c.conns.memory == nil || !c.active || c.arrival.began.IsZero() {
		c.mu.Unlock()
		return nil
	}
	missing := c.headerCost() - c.memory.Bytes()
	c.mu.Unlock()
	if missing <= 0 {
		return nil
	}
	return c.Reserve(missing)
}

// SetOwner reserves the memory of the request from the budget of its owner as well. A request without a valid key is the
// first to be given up. The errors are those of Reserve.
func (c *Conn) SetOwner(owner *memory.Budget, keyless bool) error {
	c.mu.Lock()
	c.keyless = keyless
	c.mu.Unlock()
	return c.reserve(c.memory.Bytes(), func() *memory.Budget { return c.memory.Join(owner) })
}

// Reserve reserves n more bytes for the request that is being read. If a budget does not cover them, it gives up requests
// that hold more, or arrive more slowly, and waits for their memory.
func (c *Conn) Reserve(n int64) error {
	return c.reserve(n, func() *memory.Budget { return c.memory.TryGrow(n) })
}

// reserve calls try, which returns the budget that does not cover n bytes or nil, until it succeeds. If it can't, the
// request is given up.
func (c *Conn) reserve(n int64, try func() *memory.Budget) error {
	if c.conns.memory == nil {
		return nil
	}
	end := time.Now().Add(releaseWait)
	for {
		full := try()
		switch {
		case full == nil:
			return nil
		case c.isEvicted():
			return errEvicted
		case !c.conns.evictFor(c, full, n) || time.Now().After(end):
			c.evict(OutOfMemory)
			return memory.ErrFull
		}
		time.Sleep(releasePoll)
	}
}

// Unreserve gives back n bytes.
func (c *Conn) Unreserve(n int64) {
	if c.conns.memory != nil {
		c.memory.Shrink(n)
	}
}
