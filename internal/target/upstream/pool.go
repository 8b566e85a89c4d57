package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/head"
	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/runner"
)

const (
	// readBuffer is the size in bytes of the read buffer of a connection, which the
	// header of a response must fit into.
	readBuffer = 4096
	// maxIdle is the maximum number of idle connections to one instance.
	maxIdle = 16
	// defaultKeepAlive is the keep-alive time of a connection whose target does not state
	// one.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is the time by which an idle connection is discarded before the
	// target would close it.
	keepAliveMargin = time.Second
)

// Pool is the connection pool of one instance.
type Pool struct {
	// Addr is the instance's IP address and port.
	Addr string
	// Dial opens a connection to addr.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// DialTimeout returns how long a request waits for a connection to open; nil stands for as long as Dial takes.
	DialTimeout func() time.Duration
	// ParseHeader extracts the ResponseInfo from the header of a response.
	ParseHeader func(h *fasthttp.ResponseHeader) ResponseInfo
	// OnNotice is called with each notice in a response, including responses to Get and,
	// without their pauses, to other requests; it must not block.
	OnNotice func(n Notice)

	mu   sync.Mutex    // guards idle
	idle []*pooledConn // most recently used last

	dialer socket.LastingDialer
}

// pooledConn is a connection to the instance with its read buffer.
type pooledConn struct {
	net.Conn
	heads *head.Reader  // reads from the connection
	br    *bufio.Reader // reads from heads
	// reused is set if the connection was idle in the pool or has carried an exchange.
	reused bool
	// expires is when the idle connection must no longer be used.
	expires time.Time
	// giveUp is asked when a read passes its deadline or is interrupted; if it returns false, the read
	// goes on. nil gives up.
	giveUp func() bool

	mu          sync.Mutex // guards the read deadline and interrupted
	interrupted bool       // giveUp is to be asked at once
}

// giveUpInterval is the time between two questions to giveUp, which may be answered differently
// once another target has room.
const giveUpInterval = 500 * time.Millisecond

// Read reads until data arrives or giveUp ends the wait.
func (c *pooledConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || !isTimeout(err) || c.giveUp == nil || c.giveUp() {
			return n, err
		}
		if err := c.extendWait(); err != nil {
			return 0, fmt.Errorf("extend the wait for a silent target: %w", err)
		}
	}
}

// expectHead makes the head of the next response be checked, of which a part may have been read behind the last one.
func (c *pooledConn) expectHead() error {
	buffered, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return err
	}
	return c.heads.Expect(buffered)
}

// extendWait sets the time at which giveUp is asked again, unless it is to be asked at once.
func (c *pooledConn) extendWait() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		c.interrupted = false
		return nil
	}
	return c.SetReadDeadline(time.Now().Add(giveUpInterval))
}

// interrupt makes the current or the next read ask giveUp at once.
func (c *pooledConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	// The read of a connection that is closed already needs no interruption.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// limitSilence sets the time from which on reads that wait for data ask giveUp; the zero time is never.
// A nil giveUp makes them fail then.
func (c *pooledConn) limitSilence(t time.Time, giveUp func() bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.giveUp, c.interrupted = giveUp, false
	return c.SetReadDeadline(t)
}

// Acquire checks out a connection for one request: an idle one if there is one and fresh is
// not set, or else a new one.
//
// The error is a *runner.Error with the run state NotRun.
func (p *Pool) Acquire(ctx context.Context, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.takeIdle(time.Now()); c != nil {
			return &Conn{pool: p, conn: c}, nil
		}
	}
	raw, err := p.dial(ctx)
	if err != nil {
		return nil, &runner.Error{RunState: answer.NotRun, Err: err}
	}
	connsOpened.Add(1)
	c := &pooledConn{Conn: raw}
	c.heads = &head.Reader{R: c}
	c.br = bufio.NewReaderSize(c.heads, readBuffer)
	return &Conn{pool: p, conn: c}, nil
}

// dial opens a connection within DialTimeout.
func (p *Pool) dial(ctx context.Context) (net.Conn, error) {
	if p.DialTimeout == nil {
		return p.Dial(ctx, p.Addr)
	}
	return p.dialer.Connect(ctx, p.DialTimeout(), func(ctx context.Context) (net.Conn, error) { return p.Dial(ctx, p.Addr) })
}

// heedNotice passes the notice of a response to OnNotice. The pause and the warmth in a response that
// does not match its request are left out, since they may have been over before.
func (p *Pool) heedNotice(n Notice, matches bool) {
	if !matches {
		n = Notice{Leaving: n.Leaving}
	}
	if n != (Notice{}) {
		p.OnNotice(n)
	}
}

// takeIdle removes and returns an idle connection that has not expired, was not closed by
// the target and has no unread data, or returns nil. It closes the unusable connections
// that it finds.
func (p *Pool) takeIdle(now time.Time) *pooledConn {
	for {
		c := p.popIdle()
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && socket.Peek(c.Conn) == socket.Quiet {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle() *pooledConn {
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

// putIdle adds a connection to the idle connections. keepAlive is the time for which the
// target keeps it open, or 0 for the default. The connection is closed instead if that time
// is too short or the pool is full.
func (p *Pool) putIdle(c *pooledConn, keepAlive time.Duration) {
	if keepAlive == 0 {
		keepAlive = defaultKeepAlive
	}
	keepAlive -= keepAliveMargin
	if keepAlive <= 0 {
		_ = c.Close()
		return
	}
	c.expires = time.Now().Add(keepAlive)
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

// CloseIdle closes the idle connections, since the cause that made one connection
// unresponsive may affect all of them.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// CloseExpired closes the idle connections that have expired at now.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expires) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
