package runner

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
)

const (
	dialTimeout             = time.Second
	defaultFirstByteTimeout = 30 * time.Second
	defaultProgressTimeout  = 10 * time.Second
	defaultMaxConnAge       = 10 * time.Minute
	maxConnsPerTarget       = 4096
	maxIdleConnDuration     = 30 * time.Second
	hostIdleTimeout         = 10 * time.Minute
)

// Error is the failure of a request to a target.
type Error struct {
	// RunState states whether the target ran the request, as far as that is known.
	RunState answer.RunState
	// Status is the HTTP status code of the response if that is the cause, or else 0.
	Status int
	// Err is the cause.
	Err error
}

// Error returns the cause and the run state.
func (e *Error) Error() string { return fmt.Sprintf("target failed (%s): %v", e.RunState, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// RunStateOf returns the run state of the *Error in err's chain, or answer.Unknown if there is
// none.
func RunStateOf(err error) answer.RunState {
	var e *Error
	if errors.As(err, &e) {
		return e.RunState
	}
	return answer.Unknown
}

// Client sends requests to targets. The zero value is ready to use.
type Client struct {
	// FirstByteTimeout is the timeout for the first byte of a response; 0 selects the default.
	FirstByteTimeout time.Duration
	// ProgressTimeout is the timeout for each later read of a response and for each write; 0
	// selects the default.
	ProgressTimeout time.Duration
	// MaxConnAge is the age from which a connection is not used for new requests; 0 selects
	// the default.
	MaxConnAge time.Duration
	// Dial opens a connection; nil selects a TCP connection.
	Dial func(addr string) (net.Conn, error)
	// KeepIdleOnStall keeps the idle connections to a target open after one has stalled.
	KeepIdleOnStall bool

	once  sync.Once
	mu    sync.RWMutex // guards hosts
	hosts map[string]*host
}

// host holds the HTTP clients of one target.
type host struct {
	keepAlive *fasthttp.HostClient // reuses connections
	oneShot   *fasthttp.HostClient // opens a connection for each request
	// isEngine is set once a completion was sent to the target. An engine keeps its
	// runs, so that a run whose connection has stalled can be resumed on another one.
	isEngine *atomic.Bool
}

func (c *Client) init() {
	c.once.Do(func() {
		if c.FirstByteTimeout == 0 {
			c.FirstByteTimeout = defaultFirstByteTimeout
		}
		if c.ProgressTimeout == 0 {
			c.ProgressTimeout = defaultProgressTimeout
		}
		if c.MaxConnAge == 0 {
			c.MaxConnAge = defaultMaxConnAge
		}
		if c.Dial == nil {
			c.Dial = func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, dialTimeout) }
		}
		c.hosts = make(map[string]*host)
	})
}

// host returns the HTTP clients of the target at addr and creates them if necessary.
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
	c.pruneHosts(time.Now())
	h = &host{isEngine: &atomic.Bool{}}
	h.keepAlive, h.oneShot = c.httpClient(addr, h.isEngine), c.httpClient(addr, h.isEngine)
	c.hosts[addr] = h
	return h
}

// pruneHosts removes targets that have not been used within hostIdleTimeout. The caller
// holds mu.
func (c *Client) pruneHosts(now time.Time) {
	for addr, h := range c.hosts {
		lastUse := max(h.keepAlive.LastUseTime().Unix(), h.oneShot.LastUseTime().Unix())
		idle := now.Sub(time.Unix(lastUse, 0)) > hostIdleTimeout
		if idle && h.keepAlive.PendingRequests() == 0 && h.oneShot.PendingRequests() == 0 {
			h.keepAlive.CloseIdleConnections()
			delete(c.hosts, addr)
		}
	}
}

// httpClient returns an HTTP client that never retries a request.
func (c *Client) httpClient(addr string, isEngine *atomic.Bool) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConns:                  maxConnsPerTarget,
		MaxIdleConnDuration:       maxIdleConnDuration,
		MaxConnDuration:           c.MaxConnAge,
		Dial:                      func(addr string) (net.Conn, error) { return c.dial(addr, isEngine) },
	}
}

// closeIdleAfterStall closes the idle connections to a target after one connection has
// stalled, since the same cause may affect the others.
func (c *Client) closeIdleAfterStall(addr string) {
	if c.KeepIdleOnStall {
		return
	}
	stalledConns.Add(1)
	c.host(addr).keepAlive.CloseIdleConnections()
}

// Close closes the idle connections to all targets.
func (c *Client) Close() {
	c.init()
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, h := range c.hosts {
		h.keepAlive.CloseIdleConnections()
	}
}

// send sends the request and reads the header of the response. The connection carries no other
// request unless allowReuse is called for the response.
//
// newConn selects a new connection. An idle connection may be closed by the target just as
// the request is sent, which would leave its outcome unknown.
func (c *Client) send(addr string, newConn bool, req *fasthttp.Request, resp *fasthttp.Response) error {
	err := c.sendOrStall(addr, newConn, req, resp)
	if err != nil {
		closeStalled(resp)
	}
	return err
}

// sendOrStall is like send, but after an error the connection may have only stalled, and must be
// taken over with takeStalled.
func (c *Client) sendOrStall(addr string, newConn bool, req *fasthttp.Request, resp *fasthttp.Response) error {
	h := c.host(addr)
	client := h.keepAlive
	if newConn {
		client = h.oneShot
		req.SetConnectionClose()
	}
	err := client.Do(req, resp)
	for errors.Is(err, errNotReusable) {
		// Nothing was sent, and the connection is closed now.
		err = client.Do(req, resp)
	}
	if err == nil {
		return nil
	}
	return &Error{RunState: runStateAfterSend(err), Err: err}
}

// runStateAfterSend returns the run state of a request that failed with err before the
// header of its response was read.
func runStateAfterSend(err error) answer.RunState {
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

// checkRunID returns an error unless the response may belong to the run. One that names no run
// does so only on a connection that has carried nothing before: on others it may be a late copy
// of an earlier response, and proves nothing about this run. The connection of a response that
// does not name the run is not used again.
func checkRunID(resp *fasthttp.Response, runID string) error {
	got := string(resp.Header.Peek(chat.HeaderRun))
	if got == runID {
		allowReuse(resp)
		return nil
	}
	forbidReuse(resp)
	if got == "" && !onUsedConn(resp) {
		return nil
	}
	return &Error{RunState: answer.Unknown, Err: fmt.Errorf("answer with status %d belongs to run %q, not %q", resp.StatusCode(), got, runID)}
}

// checkDeclined returns an error if the target declined the request before running it.
func checkDeclined(resp *fasthttp.Response) error {
	if len(resp.Header.Peek(headerDeclined)) == 0 {
		return nil
	}
	return &Error{RunState: answer.NotRun, Status: resp.StatusCode(), Err: fmt.Errorf("declined with status %d", resp.StatusCode())}
}
