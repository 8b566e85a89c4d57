package runner

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
)

const (
	dialTimeout         = time.Second
	cancelTimeout       = 2 * time.Second
	maxEventSize        = 1 << 20
	defaultProgress     = 10 * time.Second
	maxConnsPerTarget   = 4096
	maxIdleConnDuration = 30 * time.Second
	maxConnDuration     = 10 * time.Minute
)

// ErrNoRun reports that the target does not know the run.
var ErrNoRun = errors.New("run does not exist at the target")

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

// dialError marks failures that come before anything was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// progressConn fails a read or write that makes no progress in time.
type progressConn struct {
	net.Conn
	timeout time.Duration
}

func (c *progressConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	return c.Conn.Read(b)
}

func (c *progressConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	return c.Conn.Write(b)
}

// Client sends requests to targets.
type Client struct {
	// Progress bounds the time without a byte from a target.
	Progress time.Duration

	http *fasthttp.Client
}

// Start prepares the connections; it must come before the first request.
func (c *Client) Start() {
	if c.Progress == 0 {
		c.Progress = defaultProgress
	}
	c.http = &fasthttp.Client{
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost:           maxConnsPerTarget,
		MaxIdleConnDuration:       maxIdleConnDuration,
		MaxConnDuration:           maxConnDuration,
		Dial:                      c.dial,
	}
}

func (c *Client) dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return &progressConn{Conn: conn, timeout: c.Progress}, nil
}

// Event is one event of an engine's stream.
type Event struct {
	// Data is the event's payload.
	Data []byte
	// Usage is set on the event that reports it.
	Usage *chat.Usage
	// Done is set on the last event.
	Done bool
}

// Text reports whether the event carries a token of the answer.
func (e Event) Text() bool {
	return e.Usage == nil && !e.Done && bytes.Contains(e.Data, contentField)
}

var (
	contentField = []byte(`"content":"`)
	usageField   = []byte(`"usage":{`)
	dataPrefix   = []byte("data: ")
)

// Stream sends a completion request and hands each event to sink until the stream is whole.
//
// The error is an *Error.
func (c *Client) Stream(ctx context.Context, addr, runID string, body []byte, sink func(Event) error) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + chat.PathCompletions)
	req.Header.SetContentType("application/json")
	req.Header.Set(chat.HeaderRun, runID)
	req.SetBody(body)
	return c.events(ctx, req, runID, sink)
}

// Resume asks for the rest of a run whose first offset tokens have arrived.
//
// The error is an *Error.
func (c *Client) Resume(ctx context.Context, addr, runID string, offset int64, sink func(Event) error) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI("http://" + addr + chat.PathRuns + runID)
	req.Header.Set(chat.HeaderOffset, strconv.FormatInt(offset, 10))
	return c.events(ctx, req, runID, sink)
}

func (c *Client) events(ctx context.Context, req *fasthttp.Request, runID string, sink func(Event) error) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.send(req, resp); err != nil {
		return err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if err := checkAnswer(resp, runID); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = resp.CloseBodyStream() })
	defer stop()
	if err := readEvents(resp.BodyStream(), sink); err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return &Error{Run: answer.Ran, Err: err}
	}
	return nil
}

func (c *Client) send(req *fasthttp.Request, resp *fasthttp.Response) error {
	err := c.http.Do(req, resp)
	if err == nil {
		return nil
	}
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &Error{Run: answer.NotRun, Err: err}
	}
	return &Error{Run: answer.Unknown, Err: err}
}

// checkAnswer refuses answers that decline the request or belong to another run.
func checkAnswer(resp *fasthttp.Response, runID string) error {
	if len(resp.Header.Peek(chat.HeaderDeclined)) > 0 {
		return &Error{Run: answer.NotRun, Status: resp.StatusCode(), Err: fmt.Errorf("declined with status %d", resp.StatusCode())}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &Error{Run: answer.Unknown, Status: resp.StatusCode(), Err: fmt.Errorf("status %d", resp.StatusCode())}
	}
	if got := string(resp.Header.Peek(chat.HeaderRun)); got != runID {
		return &Error{Run: answer.Unknown, Err: fmt.Errorf("answer belongs to run %q, not %q", got, runID)}
	}
	return nil
}

// readEvents parses a stream of events until its last one.
func readEvents(r io.Reader, sink func(Event) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxEventSize)
	for scanner.Scan() {
		line := scanner.Bytes()
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		ev, err := parseEvent(line[len(dataPrefix):])
		if err != nil {
			return err
		}
		if err := sink(ev); err != nil {
			return err
		}
		if ev.Done {
			return nil
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read stream: %w", err)
	}
	return fmt.Errorf("read stream: %w", io.ErrUnexpectedEOF)
}

func parseEvent(data []byte) (Event, error) {
	ev := Event{Data: bytes.Clone(data)}
	if string(data) == chat.DoneEvent {
		ev.Done = true
		return ev, nil
	}
	if !bytes.Contains(data, usageField) {
		return ev, nil
	}
	var chunk chat.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Event{}, fmt.Errorf("decode event: %w", err)
	}
	ev.Usage = chunk.Usage
	return ev, nil
}

// Cancel stops a run at an engine and returns what it used.
func (c *Client) Cancel(addr, runID string) (chat.Usage, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.SetRequestURI("http://" + addr + chat.PathRuns + runID)
	if err := c.http.DoTimeout(req, resp, cancelTimeout); err != nil {
		return chat.Usage{}, fmt.Errorf("cancel run: %w", err)
	}
	if resp.StatusCode() == fasthttp.StatusNotFound {
		return chat.Usage{}, fmt.Errorf("cancel run %q: %w", runID, ErrNoRun)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return chat.Usage{}, fmt.Errorf("cancel run: status %d", resp.StatusCode())
	}
	body, err := readBody(resp)
	if err != nil {
		return chat.Usage{}, fmt.Errorf("cancel run: %w", err)
	}
	var u chat.Usage
	if err := json.Unmarshal(body, &u); err != nil {
		return chat.Usage{}, fmt.Errorf("cancel run: decode usage: %w", err)
	}
	return u, nil
}

// Call is a request to a plain service.
type Call struct {
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
}

// Result is a plain service's whole answer.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends a request to a plain service and returns its whole answer.
//
// The error is an *Error.
func (c *Client) Call(addr, runID string, call Call) (Result, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(call.Method)
	uri := "http://" + addr + call.Path
	if call.Query != "" {
		uri += "?" + call.Query
	}
	req.SetRequestURI(uri)
	req.Header.SetContentType(call.ContentType)
	req.Header.Set(chat.HeaderRun, runID)
	req.SetBody(call.Body)
	if err := c.send(req, resp); err != nil {
		return Result{}, err
	}
	if len(resp.Header.Peek(chat.HeaderDeclined)) > 0 {
		return Result{}, &Error{Run: answer.NotRun, Status: resp.StatusCode(), Err: fmt.Errorf("declined with status %d", resp.StatusCode())}
	}
	body, err := readBody(resp)
	if err != nil {
		return Result{}, &Error{Run: answer.Ran, Err: err}
	}
	return Result{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        body,
	}, nil
}

func readBody(resp *fasthttp.Response) ([]byte, error) {
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.BodyStream() == nil {
		return bytes.Clone(resp.Body()), nil
	}
	body, err := io.ReadAll(resp.BodyStream())
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return body, nil
}
