package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// callTimeout bounds one call whose context has no earlier deadline.
const callTimeout = 2 * time.Second

// VM is one entry of the platform's list: a VM, or one process on it.
type VM struct {
	// Addr is an IP address, with a port if the entry is a single process.
	Addr string `json:"addr"`
	// FailureDomain is the failure domain of the VM.
	FailureDomain string `json:"failure_domain"`
	// Leaving reports that the VM, or the process, is going to end.
	Leaving bool `json:"leaving"`
}

// Response is the JSON body of the platform's answer.
type Response struct {
	VMs []VM `json:"vms"`
}

// Client reads the list over HTTP.
type Client struct {
	// Addr is the IP address and port of the platform's service.
	Addr string
	// HTTP sends the requests.
	HTTP *fasthttp.Client
}

// List returns the VMs that the platform lists as running.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	deadline := time.Now().Add(callTimeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	status, body, err := c.HTTP.GetDeadline(nil, "http://"+c.Addr+"/vms", deadline)
	if err != nil {
		return nil, fmt.Errorf("get VM list: %w", err)
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("get VM list: status %d", status)
	}
	var out Response
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, fmt.Errorf("decode VM list: %w", err)
	}
	return out.VMs, nil
}
