package runner

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
)

// Forward is a caller's request that is sent on to another router.
type Forward struct {
	// Path is the path with the query.
	Path string
	// Headers are names and values.
	Headers [][2]string
	// Method is the HTTP method.
	Method string
	// Body is the caller's body.
	Body []byte
}

// Attach reads the events of a run from the router that has it.
//
// The error is the *answer.Error that the run ended with, or an *Error.
func (c *Client) Attach(ctx context.Context, addr string, f Forward, sink func(Event) error) error {
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
	if resp.StatusCode() != fasthttp.StatusOK {
		return &Error{Run: answer.Unknown, Status: resp.StatusCode(), Err: fmt.Errorf("status %d", resp.StatusCode())}
	}
	err := ReadBody(ctx, resp, sink)
	var reported *reportedError
	if errors.As(err, &reported) {
		if fail, parseErr := answer.Parse(reported.data); parseErr == nil {
			return fail
		}
	}
	if err != nil {
		return &Error{Run: answer.Unknown, Err: err}
	}
	return nil
}
