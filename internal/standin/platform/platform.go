package platform

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/platform/vmlist"
	"rosevalve/internal/protocol/httpjson"
)

const (
	defaultWritesPerSecond = 500
	defaultReadsPerSecond  = 2000
	maxScanRows            = 1000 // per scan, whatever limit is asked for
)

// Fault is the set of faults that the platform injects until another set replaces
// it.
type Fault struct {
	// Down fails every call without effect.
	Down bool `json:"down"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the fraction of commits, 0 to 1, that take effect but are answered
	// with an error.
	LoseAnswers float64 `json:"lose_answers"`
}

// Server serves the platform's services over HTTP. Zero rate limits stand for
// defaults.
type Server struct {
	// WritesPerSecond is the maximum number of commits per second; more are refused.
	WritesPerSecond int
	// ReadsPerSecond is the maximum number of gets and scans per second; more are refused.
	ReadsPerSecond int
	// VMLag is the delay after which a replaced VM list becomes visible.
	VMLag time.Duration

	store  *Store
	writes *rateLimiter
	reads  *rateLimiter

	mu         sync.Mutex // guards the fields below
	fault      Fault
	latestVMs  []vmlist.VM       // list set most recently
	visibleVMs []vmlist.VM       // list that readers get; replaced by latestVMs VMLag after each update
	objects    map[string][]byte // by URL path
	counts     Counts
}

// Counts counts the operations of the table since the platform started.
type Counts struct {
	// Commits is the number of commits that took effect.
	Commits int64 `json:"commits"`
	// Conflicts is the number of commits whose conditions did not hold.
	Conflicts int64 `json:"conflicts"`
	// Reads is the number of gets and scans admitted by the rate limit.
	Reads int64 `json:"reads"`
	// Refused is the number of operations over a rate limit.
	Refused int64 `json:"refused"`
	// Lost is the number of commits that took effect but were answered with an error.
	Lost int64 `json:"lost"`
}

// Run listens on the TCP address addr and serves until the listener fails.
func (s *Server) Run(addr string) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	return s.Serve(l)
}

// Serve serves connections of l until l fails.
func (s *Server) Serve(l net.Listener) error {
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = defaultWritesPerSecond
	}
	if s.ReadsPerSecond == 0 {
		s.ReadsPerSecond = defaultReadsPerSecond
	}
	s.store = NewStore()
	s.objects = make(map[string][]byte)
	s.writes = &rateLimiter{limit: s.WritesPerSecond}
	s.reads = &rateLimiter{limit: s.ReadsPerSecond}
	if err := fasthttp.Serve(l, s.handle); err != nil {
		return fmt.Errorf("serve platform on %s: %w", l.Addr(), err)
	}
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/fault" {
		s.setFault(ctx)
		return
	}
	if path == "/counts" {
		s.writeCounts(ctx)
		return
	}
	f := s.currentFault()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	if f.Down {
		ctx.Error("platform down", fasthttp.StatusServiceUnavailable)
		return
	}
	switch path {
	case "/table/commit":
		s.commit(ctx, f)
	case "/table/get":
		s.get(ctx)
	case "/table/scan":
		s.scan(ctx)
	case "/vms":
		s.serveVMs(ctx)
	default:
		s.serveObject(ctx, path)
	}
}

func (s *Server) commit(ctx *fasthttp.RequestCtx, f Fault) {
	if !s.writes.allow() {
		s.updateCounts(func(c *Counts) { c.Refused++ })
		ctx.Error("write rate exceeded", fasthttp.StatusTooManyRequests)
		return
	}
	var c table.Commit
	if !httpjson.Read(ctx, &c) {
		return
	}
	if len(c.Puts) > table.MaxPuts {
		ctx.Error(fmt.Sprintf("commit has %d rows; at most %d are allowed", len(c.Puts), table.MaxPuts), fasthttp.StatusBadRequest)
		return
	}
	version, err := s.store.Commit(c)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		s.updateCounts(func(c *Counts) { c.Conflicts++ })
		httpjson.Write(ctx, fasthttp.StatusConflict, table.RowsResponse{Rows: conflict.Rows})
		return
	}
	s.updateCounts(func(c *Counts) { c.Commits++ })
	if rand.Float64() < f.LoseAnswers {
		s.updateCounts(func(c *Counts) { c.Lost++ })
		ctx.Error("answer lost", fasthttp.StatusGatewayTimeout)
		return
	}
	httpjson.Write(ctx, fasthttp.StatusOK, table.CommitResponse{Version: version})
}

func (s *Server) get(ctx *fasthttp.RequestCtx) {
	var in table.GetRequest
	if !s.allowRead(ctx) || !httpjson.Read(ctx, &in) {
		return
	}
	httpjson.Write(ctx, fasthttp.StatusOK, table.RowsResponse{Rows: s.store.Get(in.Keys)})
}

func (s *Server) scan(ctx *fasthttp.RequestCtx) {
	var in table.ScanRequest
	if !s.allowRead(ctx) || !httpjson.Read(ctx, &in) {
		return
	}
	limit := in.Limit
	if limit <= 0 || limit > maxScanRows {
		limit = maxScanRows
	}
	httpjson.Write(ctx, fasthttp.StatusOK, table.RowsResponse{Rows: s.store.Scan(in.Prefix, in.After, limit)})
}

// allowRead reports whether the rate limit admits a read, and answers the request if not.
func (s *Server) allowRead(ctx *fasthttp.RequestCtx) bool {
	if !s.reads.allow() {
		s.updateCounts(func(c *Counts) { c.Refused++ })
		ctx.Error("read rate exceeded", fasthttp.StatusTooManyRequests)
		return false
	}
	s.updateCounts(func(c *Counts) { c.Reads++ })
	return true
}

// serveVMs answers a GET with the visible VM list. Any other method replaces the
// list, which becomes visible after VMLag.
func (s *Server) serveVMs(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		s.mu.Lock()
		defer s.mu.Unlock()
		httpjson.Write(ctx, fasthttp.StatusOK, vmlist.Response{VMs: s.visibleVMs})
		return
	}
	var in vmlist.Response
	if !httpjson.Read(ctx, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latestVMs = in.VMs
	time.AfterFunc(s.VMLag, s.publishVMs)
}

func (s *Server) publishVMs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.visibleVMs = s.latestVMs
}

// serveObject stores an object for a PUT and otherwise answers with it.
func (s *Server) serveObject(ctx *fasthttp.RequestCtx, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.IsPut() {
		s.objects[path] = append([]byte(nil), ctx.PostBody()...)
		return
	}
	b, ok := s.objects[path]
	if !ok {
		ctx.Error(fmt.Sprintf("object %q does not exist", path), fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(b)
}

func (s *Server) setFault(ctx *fasthttp.RequestCtx) {
	var f Fault
	if !httpjson.Read(ctx, &f) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

func (s *Server) updateCounts(update func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.counts)
}

func (s *Server) writeCounts(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpjson.Write(ctx, fasthttp.StatusOK, s.counts)
}

// rateLimiter allows at most limit operations in each second of the wall clock.
type rateLimiter struct {
	limit int

	mu     sync.Mutex // guards second and used
	second int64      // current second in Unix time
	used   int        // operations in the current second, refused ones included
}

func (l *rateLimiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now().Unix()
	if now != l.second {
		l.second = now
		l.used = 0
	}
	l.used++
	return l.used <= l.limit
}
