package runner

import (
	"bytes"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
)

// maxResultSize is the maximum size of a body in bytes.
const maxResultSize = 16 << 20

// ServiceRequest is a request to a plain service.
type ServiceRequest struct {
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// NewConn sends the request on a new connection that is closed afterwards.
	NewConn bool
}

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// CallService sends a request to a plain service and returns its complete response.
//
// The error is an *Error.
func (c *Client) CallService(addr, runID string, call ServiceRequest) (ServiceResponse, error) {
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
	req.SetBodyRaw(call.Body)
	if err := c.send(addr, call.NewConn, req, resp); err != nil {
		return ServiceResponse{}, err
	}
	if err := checkCallResponse(resp, runID); err != nil {
		_ = resp.CloseBodyStream()
		return ServiceResponse{}, err
	}
	body, err := readBody(resp)
	if err != nil {
		return ServiceResponse{}, &Error{RunState: answer.Ran, Err: err}
	}
	return ServiceResponse{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        body,
	}, nil
}

// checkCallResponse returns an error for a response that declines the call or does not belong
// to it. A plain service need not return the id.
func checkCallResponse(resp *fasthttp.Response, runID string) error {
	if err := checkRunID(resp, runID); err != nil {
		return err
	}
	return checkDeclined(resp)
}

// readBody reads the whole body, of at most maxResultSize bytes, and closes its stream.
func readBody(resp *fasthttp.Response) ([]byte, error) {
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.BodyStream() == nil {
		return bytes.Clone(resp.Body()), nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxResultSize+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if len(body) > maxResultSize {
		return nil, errors.New("read body: answer is too large")
	}
	return body, nil
}
