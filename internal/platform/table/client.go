package table

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const defaultTimeout = 2 * time.Second

// Client calls one table service over HTTP.
type Client struct {
	// Addr is the IP address and port of the table service.
	Addr string
	// Timeout bounds one call whose context has no earlier deadline.
	Timeout time.Duration
	// HTTP carries the calls.
	HTTP *fasthttp.Client
}

// GetRequest asks for the rows with the keys.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest asks for the rows whose keys start with a prefix and sort after a key.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse holds the rows found, in the order of their keys.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// CommitResponse holds the version that the commit gave to the rows it wrote.
type CommitResponse struct {
	Version uint64 `json:"version"`
}

// Commit applies the writes of c as a whole and returns their version.
//
// Errors are a *ConflictError, ErrUnavailable if nothing was applied, or
// ErrUnknownOutcome if the answer was lost.
func (c *Client) Commit(ctx context.Context, commit Commit) (uint64, error) {
	status, body, err := c.post(ctx, "/table/commit", commit)
	if notConnected(err) {
		return 0, fmt.Errorf("commit: %w: %w: %w", ErrUnavailable, ErrUnreachable, err)
	}
	if err != nil {
		return 0, fmt.Errorf("commit: %w: %w", ErrUnknownOutcome, err)
	}
	switch status {
	case fasthttp.StatusOK:
		var out CommitResponse
		if err := json.Unmarshal(body, &out); err != nil {
			return 0, fmt.Errorf("decode commit answer: %w: %w", ErrUnknownOutcome, err)
		}
		return out.Version, nil
	case fasthttp.StatusConflict:
		var out RowsResponse
		if err := json.Unmarshal(body, &out); err != nil {
			return 0, fmt.Errorf("decode conflict: %w", err)
		}
		return 0, &ConflictError{Rows: out.Rows}
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusBadRequest:
		return 0, fmt.Errorf("commit answered %d %s: %w", status, body, ErrUnavailable)
	default:
		return 0, fmt.Errorf("commit answered %d: %w", status, ErrUnknownOutcome)
	}
}

// Get returns the rows that exist among the keys.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	rows, err := c.rows(ctx, "/table/get", GetRequest{Keys: keys})
	if err != nil {
		return nil, fmt.Errorf("get rows: %w", err)
	}
	return rows, nil
}

// Scan returns at most limit rows whose keys start with prefix and sort after the key after.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	rows, err := c.rows(ctx, "/table/scan", ScanRequest{Prefix: prefix, After: after, Limit: limit})
	if err != nil {
		return nil, fmt.Errorf("scan rows %q: %w", prefix, err)
	}
	return rows, nil
}

func (c *Client) rows(ctx context.Context, path string, in any) ([]Row, error) {
	status, body, err := c.post(ctx, path, in)
	if err != nil {
		return nil, fmt.Errorf("%w: %w: %w", ErrUnavailable, ErrUnreachable, err)
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("answered %d: %w", status, ErrUnavailable)
	}
	var out RowsResponse
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, fmt.Errorf("decode rows: %w", err)
	}
	return out.Rows, nil
}

func (c *Client) post(ctx context.Context, path string, in any) (int, []byte, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return 0, nil, fmt.Errorf("encode request: %w", err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + c.Addr + path)
	req.SetBody(b)
	if err := c.HTTP.DoDeadline(req, resp, c.deadline(ctx)); err != nil {
		return 0, nil, fmt.Errorf("post %s: %w", path, err)
	}
	body := append([]byte(nil), resp.Body()...)
	return resp.StatusCode(), body, nil
}

// notConnected reports whether the call failed before a connection stood, so that
// nothing can have been applied.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) deadline(ctx context.Context) time.Time {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	d := time.Now().Add(timeout)
	if cd, ok := ctx.Deadline(); ok && cd.Before(d) {
		return cd
	}
	return d
}
