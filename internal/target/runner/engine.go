package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
)

const (
	cancelTimeout = 2 * time.Second
	// drainTimeout bounds the wait for the end of a body behind its last event.
	drainTimeout   = 50 * time.Millisecond
	headerDeclined = chat.HeaderDeclined
	jsonType       = "application/json"
)

// Stream sends a completion request and hands each event to sink until the stream is whole.
//
// The error is an *Error.
func (c *Client) Stream(ctx context.Context, addr, runID string, body []byte, sink func(Event) error) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + chat.PathCompletions)
	req.Header.SetContentType(jsonType)
	req.Header.Set(chat.HeaderRun, runID)
	req.SetBodyRaw(body)
	c.host(addr).engine.Store(true)
	return c.events(ctx, addr, false, req, runID, sink)
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
	return c.events(ctx, addr, true, req, runID, sink)
}

func (c *Client) events(ctx context.Context, addr string, fresh bool, req *fasthttp.Request, runID string, sink func(Event) error) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.send(addr, fresh, req, resp); err != nil {
		return err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if err := checkAnswer(resp, runID); err != nil {
		return err
	}
	if err := ReadBody(ctx, resp, sink); err != nil {
		return &Error{Run: answer.Ran, Err: err}
	}
	return nil
}

// ReadBody hands the events of a streamed answer to sink; the end of ctx stops it.
func ReadBody(ctx context.Context, resp *fasthttp.Response, sink func(Event) error) error {
	body, ok := resp.BodyStream().(fasthttp.ReadCloserWithError)
	if !ok {
		return fmt.Errorf("answer with status %d has no stream", resp.StatusCode())
	}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = body.CloseWithError(ctx.Err())
	})
	err := ReadEvents(body, sink)
	if !stop() {
		// The response is reused after the return, so nothing may touch it then.
		<-closed
	}
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	if err == nil {
		drain(body)
	}
	return err
}

// drain reads to the end of the body, so that its connection can be used again.
func drain(body fasthttp.ReadCloserWithError) {
	closed := make(chan struct{})
	late := time.AfterFunc(drainTimeout, func() {
		defer close(closed)
		_ = body.CloseWithError(context.DeadlineExceeded)
	})
	_, _ = io.Copy(io.Discard, body)
	if !late.Stop() {
		<-closed
	}
}

// checkAnswer refuses answers that decline the request or belong to another run.
func checkAnswer(resp *fasthttp.Response, runID string) error {
	if err := checkDeclined(resp); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &Error{Run: answer.Unknown, Status: resp.StatusCode(), Err: fmt.Errorf("status %d", resp.StatusCode())}
	}
	if got := string(resp.Header.Peek(chat.HeaderRun)); got != runID {
		return &Error{Run: answer.Unknown, Err: fmt.Errorf("answer belongs to run %q, not %q", got, runID)}
	}
	return nil
}

// ErrNoRun reports that the target does not know the run.
var ErrNoRun = errors.New("run does not exist at the target")

// Cancel stops a run at an engine and returns what it used.
//
// Errors are ErrNoRun and those of the connection.
func (c *Client) Cancel(addr, runID string) (chat.Usage, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.SetRequestURI("http://" + addr + chat.PathRuns + runID)
	req.SetTimeout(cancelTimeout)
	if err := c.send(addr, true, req, resp); err != nil {
		return chat.Usage{}, fmt.Errorf("cancel run: %w", err)
	}
	body, err := readBody(resp)
	if err != nil {
		return chat.Usage{}, fmt.Errorf("cancel run: %w", err)
	}
	if resp.StatusCode() == fasthttp.StatusNotFound {
		return chat.Usage{}, fmt.Errorf("cancel run %q: %w", runID, ErrNoRun)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return chat.Usage{}, fmt.Errorf("cancel run: status %d", resp.StatusCode())
	}
	var u chat.Usage
	if err := json.Unmarshal(body, &u); err != nil {
		return chat.Usage{}, fmt.Errorf("cancel run: decode usage: %w", err)
	}
	return u, nil
}
