package report

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/workspace/catalogue"
)

const (
	callTimeout     = time.Second
	probeTimeout    = 500 * time.Millisecond
	defaultInterval = time.Second
	// leastSpacing bounds the calls to all targets together, and with them the traffic for control.
	leastSpacing = 50 * time.Millisecond
	// mostAge is the age beyond which a report is of no use; with so many engines none is read.
	mostAge  = 2 * time.Second
	maxConns = 4
)

// Load is an engine's own report of its load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// CacheEvent tells that an engine has stored or dropped a prefix.
type CacheEvent struct {
	Number int64  `json:"number"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}

// Reader reads the targets' reports.
type Reader struct {
	// Engines lists the addresses of the engines in use.
	Engines func() []string
	// Interval is the time between two reports of one engine.
	Interval time.Duration
	// OnLoad receives the number of requests that an engine has.
	OnLoad func(addr string, requests int)
	// OnCache receives the engines' cache events.
	OnCache func(addr string, prefix uint64, stored bool)

	http fasthttp.Client
	seen map[string]int64 // number of the last cache event; used by Run alone
}

// Run reads the reports of one engine after the other until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	r.http.MaxConnsPerHost = maxConns
	r.seen = make(map[string]int64)
	for {
		addrs := r.Engines()
		if time.Duration(len(addrs))*leastSpacing > mostAge {
			addrs = nil
		}
		for _, addr := range addrs {
			r.read(addr)
			if !sleep(ctx, r.spacing(len(addrs))) {
				return nil
			}
		}
		if len(addrs) == 0 && !sleep(ctx, r.interval()) {
			return nil
		}
	}
}

// read takes in the reports of one engine; those of an engine that doesn't answer are missed.
func (r *Reader) read(addr string) {
	var load Load
	if err := r.get("http://"+addr+"/load", &load); err != nil {
		return
	}
	r.OnLoad(addr, load.Running+load.Waiting)
	var events []CacheEvent
	if err := r.get(fmt.Sprintf("http://%s/cache-events?after=%d", addr, r.seen[addr]), &events); err != nil {
		return
	}
	for _, ev := range events {
		r.OnCache(addr, ev.Prefix, ev.Stored)
		r.seen[addr] = ev.Number
	}
}

func (r *Reader) get(url string, out any) error {
	status, body, err := r.http.GetTimeout(nil, url, callTimeout)
	if err != nil {
		return fmt.Errorf("read report: %w", err)
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("read report: status %d", status)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("read report: %w", err)
	}
	return nil
}

// Probe asks a target whether it answers: an engine over HTTP, a plain service by a connection.
func (r *Reader) Probe(t catalogue.Target) error {
	if t.Service != "" {
		conn, err := net.DialTimeout("tcp", t.Addr, probeTimeout)
		if err != nil {
			return fmt.Errorf("probe target: %w", err)
		}
		return conn.Close()
	}
	status, _, err := r.http.GetTimeout(nil, "http://"+t.Addr+chat.PathModels, probeTimeout)
	if err != nil {
		return fmt.Errorf("probe target: %w", err)
	}
	if status >= fasthttp.StatusInternalServerError {
		return fmt.Errorf("probe target: status %d", status)
	}
	return nil
}

func (r *Reader) interval() time.Duration {
	if r.Interval == 0 {
		return defaultInterval
	}
	return r.Interval
}

func (r *Reader) spacing(n int) time.Duration {
	return max(leastSpacing, r.interval()/time.Duration(max(1, n)))
}

// sleep waits and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
