package runner

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
)

const (
	dialTimeout         = time.Second
	defaultFirstByte    = 30 * time.Second
	defaultProgress     = 10 * time.Second
	defaultMaxAge       = 10 * time.Minute
	maxConnsPerTarget   = 4096
	maxIdleConnDuration = 30 * time.Second
	hostIdleLimit       = 10 * time.Minute
)

// Error is a failed attempt at a target.
type Error struct {
	// Run tells whether the target ran the request.
	Run answer.RunState
	// Status is the target's HTTP status, or 0.
	Status int
	// Err is the cause.
	Err error
}

// Error describes the cause and what is known of the run.
func (e *Error) Error() string { return fmt.Sprintf("target failed (%s): %v", e.Run, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// State returns what the error tells of the run.
func State(err error) answer.RunState {
	var e *Error
	if errors.As(err, &e) {
		return e.Run
	}
	return answer.Unknown
}

// Client sends requests to targets.
type Client struct {
	// FirstByte bounds the wait for the first byte of an answer.
	FirstByte time.Duration
	// Progress bounds the wait between two bytes of an answer.
	Progress time.Duration
	// MaxAge is the age after which a connection is no longer used for new requests.
	MaxAge time.Duration
	// Dial opens a connection; it may be nil.
	Dial func(addr string) (net.Conn, error)
	// KeepSilent leaves a target's idle connections in use after one went silent.
	KeepSilent bool

	once  sync.Once
	mu    sync.RWMutex // guards hosts
	hosts map[string]*host
}

// host holds the connections to one target.
type host struct {
	kept  *fasthttp.HostClient // reuses connections
	fresh *fasthttp.HostClient // uses each connection once
	// engine targets keep runs, so that a request on a silent connection can be
	// followed on another one.
	engine *atomic.Bool
}

func (c *Client) init() {
	c.once.Do(func() {
		if c.FirstByte == 0 {
			c.FirstByte = defaultFirstByte
		}
		if c.Progress == 0 {
			c.Progress = defaultProgress
		}
		if c.MaxAge == 0 {
			c.MaxAge = defaultMaxAge
		}
		if c.Dial == nil {
			c.Dial = func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, dialTimeout) }
		}
		c.hosts = make(map[string]*host)
	})
}

// host returns the connections to the target at addr.
func (c *Client) host(addr string) *host {
	c.init()
	c.mu.RLock()
	h, ok := c.hosts[addr]
	c.mu.RUnlock()
	if ok {
		return h
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.hosts[addr]; ok {
		return h
	}
	c.prune(time.Now())
	h = &host{engine: &atomic.Bool{}}
	h.kept, h.fresh = c.httpClient(addr, h.engine), c.httpClient(addr, h.engine)
	c.hosts[addr] = h
	return h
}

// prune forgets targets that were not called for long. The caller holds mu.
func (c *Client) prune(now time.Time) {
	for addr, h := range c.hosts {
		last := max(h.kept.LastUseTime().Unix(), h.fresh.LastUseTime().Unix())
		idle := now.Sub(time.Unix(last, 0)) > hostIdleLimit
		if idle && h.kept.PendingRequests() == 0 && h.fresh.PendingRequests() == 0 {
			h.kept.CloseIdleConnections()
			delete(c.hosts, addr)
		}
	}
}

// httpClient returns a client that sends each request once.
func (c *Client) httpClient(addr string, engine *atomic.Bool) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConns:                  maxConnsPerTarget,
		MaxIdleConnDuration:       maxIdleConnDuration,
		MaxConnDuration:           c.MaxAge,
		Dial:                      func(addr string) (net.Conn, error) { return c.dial(addr, engine) },
	}
}

// retire closes the idle connections to a target on which one connection went
// silent, because what silenced one may have silenced the others too.
func (c *Client) retire(addr string) {
	if c.KeepSilent {
		return
	}
	silentConns.Add(1)
	c.host(addr).kept.CloseIdleConnections()
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.init()
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, h := range c.hosts {
		h.kept.CloseIdleConnections()
	}
}

// send sends the request and reads the answer's header.
//
// On a fresh connection, a request cannot meet one that the target has just
// closed for being idle, which would leave its outcome unknown.
func (c *Client) send(addr string, fresh bool, req *fasthttp.Request, resp *fasthttp.Response) error {
	h := c.host(addr)
	client := h.kept
	if fresh {
		client = h.fresh
		req.SetConnectionClose()
	}
	err := client.Do(req, resp)
	if err == nil {
		return nil
	}
	return &Error{Run: sendState(err), Err: err}
}

// sendState tells whether a request whose answer's header never came may have run.
func sendState(err error) answer.RunState {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return answer.NotRun
	}
	var write *writeError
	if errors.As(err, &write) && write.sent == 0 {
		return answer.NotRun
	}
	return answer.Unknown
}

// checkDeclined reports a target's own refusal.
func checkDeclined(resp *fasthttp.Response) error {
	if len(resp.Header.Peek(headerDeclined)) == 0 {
		return nil
	}
	return &Error{Run: answer.NotRun, Status: resp.StatusCode(), Err: fmt.Errorf("declined with status %d", resp.StatusCode())}
}
