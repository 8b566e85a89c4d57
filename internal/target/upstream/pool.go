package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/runner"
)

const (
	// readBuffer bounds the header of an answer.
	readBuffer = 4096
	// maxIdle bounds the idle connections that are kept to one instance.
	maxIdle = 16
	// defaultKeep is how long a connection is kept whose target does not say.
	defaultKeep = 4 * time.Second
	// keepMargin is how much sooner than the target a connection is given up.
	keepMargin = time.Second
)

// Pool holds the connections to one instance.
type Pool struct {
	// Addr is the instance's IP address and port.
	Addr string
	// Dial opens a connection.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Identify reads what the header of an answer says.
	Identify func(h *fasthttp.ResponseHeader) Identity
	// OnNotice is told of each notice in an answer, to whatever it was an answer; it must
	// not block.
	OnNotice func(n Notice)

	mu   sync.Mutex // guards idle
	idle []*conn    // the one used last is last
}

// conn is one connection with what was read ahead of it.
type conn struct {
	net.Conn
	br *bufio.Reader
	// reused is set if the connection has carried an exchange before.
	reused bool
	// until is when the connection is too old to be used again.
	until time.Time
}

// Line returns a connection for one request: one that has carried requests before, or a
// new one, which it always is if fresh is set.
//
// The error is a *runner.Error that says that nothing was sent.
func (p *Pool) Line(ctx context.Context, fresh bool) (*Line, error) {
	if !fresh {
		if c := p.take(time.Now()); c != nil {
			return &Line{pool: p, conn: c}, nil
		}
	}
	raw, err := p.Dial(ctx, p.Addr)
	if err != nil {
		return nil, &runner.Error{Run: answer.NotRun, Err: err}
	}
	opened.Add(1)
	return &Line{pool: p, conn: &conn{Conn: raw, br: bufio.NewReaderSize(raw, readBuffer)}}, nil
}

// identify reads the header of an answer and hands on the notice in it.
func (p *Pool) identify(h *fasthttp.ResponseHeader) Identity {
	id := p.Identify(h)
	if id.Notice != (Notice{}) {
		p.OnNotice(id.Notice)
	}
	return id
}

// take returns an idle connection on which nothing waits, or nil.
func (p *Pool) take(now time.Time) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now.Before(c.until) && socket.Peek(c.Conn) == socket.Quiet {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// give keeps a connection whose exchange has ended, for as long as the target keeps it.
func (p *Pool) give(c *conn, keep time.Duration) {
	if keep == 0 {
		keep = defaultKeep
	}
	keep -= keepMargin
	if keep <= 0 {
		_ = c.Close()
		return
	}
	c.until = time.Now().Add(keep)
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Distrust closes the idle connections, because what silenced one may have silenced
// them all.
func (p *Pool) Distrust() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Prune closes the idle connections that are too old to be used again.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.until) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
