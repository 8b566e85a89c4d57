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
	// drainTimeout is the maximum wait for the end of a body after its last event.
	drainTimeout   = 50 * time.Millisecond
	headerDeclined = chat.HeaderNotRun
	jsonType       = "application/json"
)

// Stream sends a completion request and passes each event of the response to sink, up to
// and including the last one.
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
	c.host(addr).isEngine.Store(true)
	resp := fasthttp.AcquireResponse()
	err := c.sendOrStall(addr, false, req, resp)
	if conn, stalled := takeStalled(resp); err != nil && stalled {
		fasthttp.ReleaseResponse(resp)
		resp, err = c.awaitFirst(ctx, conn, addr, runID)
	}
	if resp == nil {
		return err
	}
	defer releaseResponse(resp)
	if err != nil {
		return err
	}
	if err := checkResponse(resp, runID); err != nil {
		return err
	}
	return readAnswer(ctx, resp, sink)
}

// Resume requests the events of a run after its first offset tokens, which the caller
// already has, and passes each of them to sink.
//
// The error is an *Error.
func (c *Client) Resume(ctx context.Context, addr, runID string, offset int64, sink func(Event) error) error {
	resp := fasthttp.AcquireResponse()
	defer releaseResponse(resp)
	if err := c.beginResume(addr, runID, offset, resp); err != nil {
		return err
	}
	return readAnswer(ctx, resp, sink)
}

// beginResume requests the events of a run after its first offset tokens on a new connection, and
// reads the header of the response.
func (c *Client) beginResume(addr, runID string, offset int64, resp *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI("http://" + addr + chat.PathRuns + runID)
	req.Header.Set(chat.HeaderOffset, strconv.FormatInt(offset, 10))
	if err := c.send(addr, true, req, resp); err != nil {
		return err
	}
	return checkResponse(resp, runID)
}

// readAnswer passes each event of the response that runs a request to sink.
func readAnswer(ctx context.Context, resp *fasthttp.Response, sink func(Event) error) error {
	if err := ReadBody(ctx, resp, sink); err != nil {
		return &Error{RunState: answer.Ran, Err: err}
	}
	return nil
}

// ReadBody passes each event of a streamed response to sink. It stops with the error of
// ctx when ctx ends.
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
		// The caller may reuse the response after the return, so the close must have
		// ended before.
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

// drain reads to the end of the body so that the connection can be reused. It closes the
// body with an error if the end does not arrive within drainTimeout.
func drain(body fasthttp.ReadCloserWithError) {
	closed := make(chan struct{})
	timer := time.AfterFunc(drainTimeout, func() {
		defer close(closed)
		_ = body.CloseWithError(context.DeadlineExceeded)
	})
	_, _ = io.Copy(io.Discard, body)
	if !timer.Stop() {
		<-closed
	}
}

// checkResponse returns an error for a response that declines the request, has a status
// other than 200 or belongs to another run.
func checkResponse(resp *fasthttp.Response, runID string) error {
	if err := checkRunID(resp, runID); err != nil {
		return err
	}
	if err := checkDeclined(resp); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &Error{RunState: answer.Unknown, Status: resp.StatusCode(), Err: fmt.Errorf("status %d", resp.StatusCode())}
	}
	if got := string(resp.Header.Peek(chat.HeaderRun)); got != runID {
		return &Error{RunState: answer.Unknown, Err: fmt.Errorf("answer belongs to run %q, not %q", got, runID)}
	}
	return nil
}

// ErrUnknownRun reports that the run does not exist at the target.
var ErrUnknownRun = errors.New("run does not exist at the target")

// Cancel stops a run at an engine and returns the tokens that the run has used.
//
// The error wraps ErrUnknownRun if the engine does not know the run.
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
		return chat.Usage{}, fmt.Errorf("cancel run %q: %w", runID, ErrUnknownRun)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return chat.Usage{}, fmt.Errorf("cancel run: status %d", resp.StatusCode())
	}
	u, err := decodeUsage(body)
	if err != nil {
		return chat.Usage{}, fmt.Errorf("cancel run: %w", err)
	}
	return u, nil
}

// decodeUsage decodes the usage of a run. It fails if that lacks the tokens of the prompt or of the completion.
func decodeUsage(body []byte) (chat.Usage, error) {
	var in struct {
		PromptTokens     *int64 `json:"prompt_tokens"`
		CompletionTokens *int64 `json:"completion_tokens"`
		TotalTokens      int64  `json:"total_tokens"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return chat.Usage{}, fmt.Errorf("decode usage: %w", err)
	}
	if in.PromptTokens == nil || in.CompletionTokens == nil {
		return chat.Usage{}, errors.New("decode usage: tokens are missing")
	}
	return chat.Usage{PromptTokens: *in.PromptTokens, CompletionTokens: *in.CompletionTokens, TotalTokens: in.TotalTokens}, nil
}
