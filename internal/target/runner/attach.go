package runner

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
)

// ForwardedRequest is a caller's request that is forwarded to another router.
type ForwardedRequest struct {
	// Path is the path and query of the URL.
	Path string
	// Headers are pairs of a name and a value.
	Headers [][2]string
	// Method is the HTTP method.
	Method string
	// Body is the body of the caller's request.
	Body []byte
}

// StreamFrom sends the request to the router at addr, which has the run, and passes each event
// of the run to sink.
//
// The error is the *answer.Error that the run ended with, or an *Error.
func (c *Client) StreamFrom(ctx context.Context, addr string, f ForwardedRequest, sink func(Event) error) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(f.Method)
	req.SetRequestURI("http://" + addr + f.Path)
	for _, h := range f.Headers {
		req.Header.Set(h[0], h[1])
	}
	req.SetBodyRaw(f.Body)
	if err := c.send(addr, false, req, resp); err != nil {
		return err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	// Routers answer each request once, and their answers need not name the run.
	allowReuse(resp)
	if resp.StatusCode() != fasthttp.StatusOK {
		return &Error{RunState: answer.Unknown, Status: resp.StatusCode(), Err: fmt.Errorf("status %d", resp.StatusCode())}
	}
	err := ReadBody(ctx, resp, sink)
	var streamErr *streamError
	if errors.As(err, &streamErr) {
		if runErr, parseErr := answer.Parse(streamErr.data); parseErr == nil {
			return runErr
		}
	}
	if err != nil {
		return &Error{RunState: answer.Unknown, Err: err}
	}
	return nil
}
