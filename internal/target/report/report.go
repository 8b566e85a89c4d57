package report

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/protocol/head"
	"rosevalve/internal/workspace/catalogue"
)

const (
	requestTimeout  = time.Second
	probeTimeout    = 500 * time.Millisecond
	defaultInterval = time.Second
	// minSpacing is the minimum time between two polls of engines. It bounds the
	// control traffic to all targets together.
	minSpacing = 50 * time.Millisecond
	// maxReportAge is the age from which a report is useless. No engine is polled if
	// polling all of them at minSpacing would take longer.
	maxReportAge      = 2 * time.Second
	maxConnsPerEngine = 4
	// maxReportBytes bounds one report. It holds far more events than an engine caches prefixes.
	maxReportBytes = 4 << 20
)

// Load is the number of running and of waiting requests that an engine reports.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// maxRequests is more requests than any engine runs or keeps waiting at once.
const maxRequests = 1_000_000

// valid reports whether an engine can have the load.
func (l *Load) valid() bool {
	return l != nil && min(l.Running, l.Waiting) >= 0 && max(l.Running, l.Waiting) <= maxRequests
}

// CacheEvent is the report of an engine that it has stored a prompt prefix in its cache or
// evicted it.
type CacheEvent struct {
	// Seq is the sequence number of the event at the engine.
	Seq int64 `json:"number"`
	// Prefix identifies the prompt prefix.
	Prefix uint64 `json:"prefix"`
	// Stored is set if the prefix was stored, and not set if it was evicted.
	Stored bool `json:"stored"`
}

// Poller polls the reports of engines and probes targets.
type Poller struct {
	// Engines returns the addresses of the engines in use.
	Engines func() []string
	// Interval is the time between two polls of one engine; 0 selects the default. It is
	// longer if there are too many engines for minSpacing.
	Interval time.Duration
	// OnLoad is called with the number of running and waiting requests of an engine.
	OnLoad func(addr string, requests int)
	// OnCacheEvent is called for each cache event; stored is false if the prefix was evicted.
	OnCacheEvent func(addr string, prefix uint64, stored bool)

	http      fasthttp.Client
	lastEvent map[string]int64 // sequence number of the last cache event by engine address; used only by Run
}

// Run polls the engines one after the other until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	p.init()
	for {
		addrs := p.Engines()
		if time.Duration(len(addrs))*minSpacing > maxReportAge {
			addrs = nil
		}
		for _, addr := range addrs {
			p.poll(addr)
			if !sleep(ctx, p.spacing(len(addrs))) {
				return nil
			}
		}
		if len(addrs) == 0 && !sleep(ctx, p.interval()) {
			return nil
		}
	}
}

// init initializes what Run uses.
func (p *Poller) init() {
	p.http.DialTimeout = head.Dial
	p.http.MaxConnsPerHost = maxConnsPerEngine
	p.http.MaxResponseBodySize = maxReportBytes
	p.lastEvent = make(map[string]int64)
}

// poll requests the load and the new cache events of an engine and passes them on. It
// ignores errors, so that an engine that does not respond is skipped.
func (p *Poller) poll(addr string) {
	var load *Load
	if err := p.get("http://"+addr+"/load", &load); err != nil || !load.valid() {
		return
	}
	p.OnLoad(addr, load.Running+load.Waiting)
	var events []CacheEvent
	if err := p.get(fmt.Sprintf("http://%s/cache-events?after=%d", addr, p.lastEvent[addr]), &events); err != nil {
		return
	}
	for _, ev := range events {
		p.OnCacheEvent(addr, ev.Prefix, ev.Stored)
		p.lastEvent[addr] = ev.Seq
	}
}

// get requests a JSON document and decodes it into out.
func (p *Poller) get(url string, out any) error {
	status, body, err := p.http.GetTimeout(nil, url, requestTimeout)
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

// Probe returns an error if a target does not respond. It sends an HTTP request to an
// engine, which must not respond with a 5xx status, and only opens a TCP connection to a
// plain service.
func (p *Poller) Probe(t catalogue.Target) error {
	if t.Service != "" {
		conn, err := net.DialTimeout("tcp", t.Addr, probeTimeout)
		if err != nil {
			return fmt.Errorf("probe target: %w", err)
		}
		return conn.Close()
	}
	status, _, err := p.http.GetTimeout(nil, "http://"+t.Addr+chat.PathModels, probeTimeout)
	if err != nil {
		return fmt.Errorf("probe target: %w", err)
	}
	if status >= fasthttp.StatusInternalServerError {
		return fmt.Errorf("probe target: status %d", status)
	}
	return nil
}

// interval returns Interval or its default.
func (p *Poller) interval() time.Duration {
	if p.Interval == 0 {
		return defaultInterval
	}
	return p.Interval
}

// spacing returns the time between the polls of two engines out of n.
func (p *Poller) spacing(n int) time.Duration {
	return max(minSpacing, p.interval()/time.Duration(max(1, n)))
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
