package inforce

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/workspace/operator"
)

const (
	lookInterval = 2 * time.Millisecond
	callTimeout  = 12 * time.Second
	giveUpAfter  = time.Minute
)

// Probe changes the weight of a workspace and watches the routers.
type Probe struct {
	// Routers are the addresses of all routers.
	Routers []string
	// Key is an administrator's key.
	Key string
	// Workspace is the workspace whose weight is changed.
	Workspace string
	// Changes is the number of changes.
	Changes int
	// Pause is the time between changes.
	Pause time.Duration
}

// Report tells how long changes took, in milliseconds.
type Report struct {
	Changes int `json:"changes"`
	Refused int `json:"refused"`
	// Accepted is the time from sending a command to its answer.
	AcceptedP50 int64 `json:"accepted_p50_ms"`
	AcceptedP99 int64 `json:"accepted_p99_ms"`
	// InForce is the time from the answer until the last router has the version.
	InForceP50 int64 `json:"in_force_p50_ms"`
	InForceP99 int64 `json:"in_force_p99_ms"`
	InForceMax int64 `json:"in_force_max_ms"`
}

// Run makes the changes, each through the next router.
func (p *Probe) Run(ctx context.Context) (Report, error) {
	var accepted, inForce []time.Duration
	r := Report{Changes: p.Changes}
	for i := range p.Changes {
		began := time.Now()
		version, err := p.change(p.Routers[i%len(p.Routers)], i%100+1)
		if err != nil {
			r.Refused++
			time.Sleep(p.Pause)
			continue
		}
		answered := time.Now()
		accepted = append(accepted, answered.Sub(began))
		if err := p.await(ctx, version); err != nil {
			return r, err
		}
		inForce = append(inForce, time.Since(answered))
		time.Sleep(p.Pause)
	}
	r.AcceptedP50, r.AcceptedP99 = percentile(accepted, 50), percentile(accepted, 99)
	r.InForceP50, r.InForceP99, r.InForceMax = percentile(inForce, 50), percentile(inForce, 99), percentile(inForce, 100)
	return r, nil
}

func (p *Probe) change(router string, weight int) (uint64, error) {
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

// await returns when every router has the version in force.
func (p *Probe) await(ctx context.Context, version uint64) error {
	deadline := time.Now().Add(giveUpAfter)
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
				return fmt.Errorf("router %s has version %d, not %d: %w", router, state.Version, version, err)
			}
			time.Sleep(lookInterval)
		}
	}
	return nil
}

func (p *Probe) call(method, url string, body []byte, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+p.Key)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return fmt.Errorf("call %s: %w", url, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("call %s: answered %d %s", url, resp.StatusCode(), resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", url, err)
	}
	return nil
}

// percentile returns the smallest value that p in 100 values do not exceed, in milliseconds.
func percentile(values []time.Duration, p int) int64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)*p+99)/100-1].Milliseconds()
}
