package object

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// defaultTimeout bounds a call whose context has no deadline.
const defaultTimeout = 2 * time.Second

// Client calls one object store over HTTP.
type Client struct {
	// Addr is the IP address and port of the object store.
	Addr string
	// HTTP sends the requests.
	HTTP *fasthttp.Client
}

// Put stores body under the name and replaces an older object.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetRequestURI("http://" + c.Addr + "/objects/" + name)
	req.SetBody(body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := c.HTTP.DoDeadline(req, resp, deadline); err != nil {
		return fmt.Errorf("put object %q: %w", name, err)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return fmt.Errorf("put object %q: status %d", name, status)
	}
	return nil
}
