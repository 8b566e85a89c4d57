package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
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

// ErrIncomplete reports that entries were left out of a list because they name no VM.
var ErrIncomplete = errors.New("VM list has invalid entries")

// maxQuoted is how much of an invalid entry goes into an error, in bytes.
const maxQuoted = 200

// Client reads the list over HTTP.
type Client struct {
	// Addr is the IP address and port of the platform's service.
	Addr string
	// HTTP sends the requests.
	HTTP *fasthttp.Client
}

// List returns the VMs that the platform lists as running. If the error wraps ErrIncomplete, they
// are those of the valid entries, and a VM that is missing may still be running.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	deadline := time.Now().Add(callTimeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Addr + "/vms")
	if err := c.HTTP.DoDeadline(req, resp, deadline); err != nil {
		return nil, fmt.Errorf("get VM list: %w", err)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return nil, fmt.Errorf("get VM list: status %d", status)
	}
	return decode(resp.Body())
}

// decode decodes the list, each entry on its own.
func decode(body []byte) ([]VM, error) {
	var in struct {
		VMs json.RawMessage `json:"vms"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("decode VM list: %w", err)
	}
	if in.VMs == nil {
		return nil, errors.New("decode VM list: it is missing")
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(in.VMs, &entries); err != nil {
		return nil, fmt.Errorf("decode VM list: %w", err)
	}
	out := make([]VM, 0, len(entries))
	var firstInvalid json.RawMessage
	for _, entry := range entries {
		var vm VM
		if json.Unmarshal(entry, &vm) == nil && isAddr(vm.Addr) {
			out = append(out, vm)
		} else if firstInvalid == nil {
			firstInvalid = entry
		}
	}
	if invalid := len(entries) - len(out); invalid > 0 {
		return out, fmt.Errorf("%w: %d of them, the first is %.*q", ErrIncomplete, invalid, maxQuoted, firstInvalid)
	}
	return out, nil
}

// isAddr reports whether text is the IP address of a single host, alone or with a port.
func isAddr(text string) bool {
	ip, err := netip.ParseAddr(text)
	if err != nil {
		addrPort, err := netip.ParseAddrPort(text)
		if err != nil || addrPort.Port() == 0 {
			return false
		}
		ip = addrPort.Addr()
	}
	return !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == ""
}
