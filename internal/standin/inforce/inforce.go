package inforce

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/head"
	"rosevalve/internal/workspace/operator"
)

const (
	pollInterval       = 2 * time.Millisecond
	callTimeout        = 12 * time.Second
	propagationTimeout = time.Minute
)

// client sends the calls to the routers.
var client = &fasthttp.Client{DialTimeout: head.Dial}

// Probe repeatedly changes the weight of a workspace and polls all routers until
// they have the new configuration version.
type Probe struct {
	// Routers are the addresses of all routers of the fleet.
	Routers []string
	// Key is an operator key that may change the workspace.
	Key string
	// Workspace is the workspace whose weight is changed.
	Workspace string
	// Changes is the number of changes to make.
	Changes int
	// Pause is the time between the end of one change and the next change.
	Pause time.Duration
}

// Report holds the latency percentiles of the changes, in milliseconds.
type Report struct {
	// Changes is the number of changes attempted.
	Changes int `json:"changes"`
	// Refused is the number of changes that failed; they have no latencies.
	Refused int `json:"refused"`
	// AcceptedP50 and AcceptedP99 are percentiles of the time from sending a change to
	// its answer.
	AcceptedP50 int64 `json:"accepted_p50_ms"`
	AcceptedP99 int64 `json:"accepted_p99_ms"`
	// InForceP50, InForceP99 and InForceMax are percentiles of the time from the answer
	// until every router has the new version.
	InForceP50 int64 `json:"in_force_p50_ms"`
	InForceP99 int64 `json:"in_force_p99_ms"`
	InForceMax int64 `json:"in_force_max_ms"`
}

// Run makes the changes one after the other, through the routers in turn. It fails
// if a router does not have a new version within a minute.
func (p *Probe) Run(ctx context.Context) (Report, error) {
	var acceptLatencies, propagationTimes []time.Duration
	r := Report{Changes: p.Changes}
	for i := range p.Changes {
		start := time.Now()
		version, err := p.setWeight(p.Routers[i%len(p.Routers)], i%100+1)
		if err != nil {
			r.Refused++
			time.Sleep(p.Pause)
			continue
		}
		acceptedAt := time.Now()
		acceptLatencies = append(acceptLatencies, acceptedAt.Sub(start))
		if err := p.awaitVersion(ctx, version); err != nil {
			return r, err
		}
		propagationTimes = append(propagationTimes, time.Since(acceptedAt))
		time.Sleep(p.Pause)
	}
	r.AcceptedP50, r.AcceptedP99 = percentile(acceptLatencies, 50), percentile(acceptLatencies, 99)
	r.InForceP50, r.InForceP99, r.InForceMax = percentile(propagationTimes, 50), percentile(propagationTimes, 99), percentile(propagationTimes, 100)
	return r, nil
}

// setWeight sets the workspace's weight through the router and returns the version
// of the resulting configuration.
func (p *Probe) setWeight(router string, weight int) (uint64, error) {
	body, err := json.Marshal(operator.Request{
		Command:   fmt.Sprintf("set workspace %q weight %d", p.Workspace, weight),
		CommandID: rand.Text(),
	})
	if err != nil {
		return 0, fmt.Errorf("encode command: %w", err)
	}
	var out operator.Result
	if err := p.call(fasthttp.MethodPost, "http://"+router+"/v1/operator", body, &out); err != nil {
		return 0, err
	}
	return out.Version, nil
}

// awaitVersion waits until every router has at least the given configuration
// version.
func (p *Probe) awaitVersion(ctx context.Context, version uint64) error {
	deadline := time.Now().Add(propagationTimeout)
	for _, router := range p.Routers {
		for {
			var state struct {
				Version uint64 `json:"config_version"`
			}
			err := p.call(fasthttp.MethodGet, "http://"+router+"/debug/state", nil, &state)
			if err == nil && state.Version >= version {
				break
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("router %s has configuration version %d, want %d: %w", router, state.Version, version, err)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// call sends a request with the operator key and decodes its JSON answer into out.
func (p *Probe) call(method, url string, body []byte, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+p.Key)
	req.SetBody(body)
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		return fmt.Errorf("call %s: %w", url, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("call %s: got status %d: %s", url, resp.StatusCode(), resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", url, err)
	}
	return nil
}

// percentile returns the p-th percentile of values by the nearest-rank method, in
// milliseconds, or 0 if there are no values.
func percentile(values []time.Duration, p int) int64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)*p+99)/100-1].Milliseconds()
}
