package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

const callTimeout = 2 * time.Second

// VM is one entry of the platform's list.
type VM struct {
	Addr          string `json:"addr"`
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving"`
}

// Response is the platform's answer, as old as its lag.
type Response struct {
	VMs []VM `json:"vms"`
}

// Client reads the list over HTTP.
type Client struct {
	// Addr is the IP address and port of the platform's service.
	Addr string
	// HTTP carries the calls.
	HTTP *fasthttp.Client
}

// List returns the VMs that the platform believes live.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	deadline := time.Now().Add(callTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
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
