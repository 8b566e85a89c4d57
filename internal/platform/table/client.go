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

// defaultTimeout bounds a call if Client.Timeout is 0.
const defaultTimeout = 2 * time.Second

// Client calls one table service over HTTP.
type Client struct {
	// Addr is the IP address and port of the table service.
	Addr string
	// Timeout bounds one call whose context has no earlier deadline; 0 stands for 2 s.
	Timeout time.Duration
	// HTTP sends the requests.
	HTTP *fasthttp.Client
}

// GetRequest asks for the rows with the given keys.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest asks for at most Limit rows whose keys start with Prefix and sort after After.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse holds the rows found, ordered by key.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// CommitResponse holds the version of the rows that the commit wrote.
type CommitResponse struct {
	Version uint64 `json:"version"`
}

// Commit applies the writes of a commit atomically and returns their version.
//
// The error is a *ConflictError, or wraps ErrUnavailable if nothing was applied or
// ErrUnknownOutcome if the answer was lost.
func (c *Client) Commit(ctx context.Context, commit Commit) (uint64, error) {
	status, body, err := c.post(ctx, "/table/commit", commit)
	if isDialError(err) {
		return 0, fmt.Errorf("commit: %w: %w: %w", ErrUnavailable, ErrUnreachable, err)
	}
	if err != nil {
		return 0, fmt.Errorf("commit: %w: %w", ErrUnknownOutcome, err)
	}
	switch status {
	case fasthttp.StatusOK:
		version, err := decodeVersion(body)
		if err != nil {
			return 0, fmt.Errorf("commit: %w: %w", ErrUnknownOutcome, err)
		}
		return version, nil
	case fasthttp.StatusConflict:
		rows, err := decodeRows(body)
		if err != nil {
			return 0, fmt.Errorf("commit in conflict: %w: %w", ErrUnknownOutcome, err)
		}
		return 0, &ConflictError{Rows: rows}
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusBadRequest:
		return 0, fmt.Errorf("commit answered %d %s: %w", status, body, ErrUnavailable)
	default:
		return 0, fmt.Errorf("commit answered %d: %w", status, ErrUnknownOutcome)
	}
}

// Get returns the existing rows among the keys.
//
// The error wraps ErrUnavailable if the table service refused the call or its answer can't be read, and ErrUnreachable
// too if it did not answer.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	rows, err := c.rows(ctx, "/table/get", GetRequest{Keys: keys})
	if err != nil {
		return nil, fmt.Errorf("get rows: %w", err)
	}
	return rows, nil
}

// Scan returns at most limit rows whose keys start with prefix and sort after the key after.
// Its errors are those of Get.
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
	out, err := decodeRows(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return out, nil
}

// decodeVersion decodes a CommitResponse. It fails if that has no version.
func decodeVersion(body []byte) (uint64, error) {
	var in struct {
		Version *uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return 0, fmt.Errorf("decode version: %w", err)
	}
	if in.Version == nil {
		return 0, errors.New("decode version: it is missing")
	}
	return *in.Version, nil
}

// decodeRows decodes a RowsResponse. It fails if that has no list of rows, which may be null.
func decodeRows(body []byte) ([]Row, error) {
	var in struct {
		Rows json.RawMessage `json:"rows"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("decode rows: %w", err)
	}
	if in.Rows == nil {
		return nil, errors.New("decode rows: they are missing")
	}
	var rows []Row
	if err := json.Unmarshal(in.Rows, &rows); err != nil {
		return nil, fmt.Errorf("decode rows: %w", err)
	}
	return rows, nil
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

// isDialError reports whether the call failed before a connection was established, so that
// nothing can have been applied.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &opErr) && opErr.Op == "dial"
}

func (c *Client) deadline(ctx context.Context) time.Time {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	deadline := time.Now().Add(timeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		return ctxDeadline
	}
	return deadline
}
