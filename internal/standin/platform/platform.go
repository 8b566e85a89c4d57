package platform

import (
	"fmt"
	"math/rand/v2"
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
	maxScanRows            = 1000
)

// Fault describes how the platform misbehaves until it is set again.
type Fault struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the share of commits, 0 to 1, whose answer is lost after they take effect.
	LoseAnswers float64 `json:"lose_answers"`
}

// Server answers the platform's services over HTTP.
type Server struct {
	// WritesPerSecond bounds the commits that the table accepts.
	WritesPerSecond int
	// ReadsPerSecond bounds the gets and scans that the table accepts.
	ReadsPerSecond int
	// VMLag is the age of the VM list.
	VMLag time.Duration

	store  *Store
	writes *limiter
	reads  *limiter

	mu      sync.Mutex // guards the fields below
	fault   Fault
	vms     []vmlist.VM
	shown   []vmlist.VM
	objects map[string][]byte
	counts  Counts
}

// Counts are the operations that the table has served and refused.
type Counts struct {
	Commits   int64 `json:"commits"`
	Conflicts int64 `json:"conflicts"`
	Reads     int64 `json:"reads"`
	Refused   int64 `json:"refused"`
	Lost      int64 `json:"lost"`
}

// Run serves on addr until the listener fails.
func (s *Server) Run(addr string) error {
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = defaultWritesPerSecond
	}
	if s.ReadsPerSecond == 0 {
		s.ReadsPerSecond = defaultReadsPerSecond
	}
	s.store = NewStore()
	s.objects = make(map[string][]byte)
	s.writes = &limiter{rate: s.WritesPerSecond}
	s.reads = &limiter{rate: s.ReadsPerSecond}
	if err := fasthttp.ListenAndServe(addr, s.handle); err != nil {
		return fmt.Errorf("serve platform on %s: %w", addr, err)
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
		s.count(func(c *Counts) { c.Refused++ })
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
		s.count(func(c *Counts) { c.Conflicts++ })
		httpjson.Write(ctx, fasthttp.StatusConflict, table.RowsResponse{Rows: conflict.Rows})
		return
	}
	s.count(func(c *Counts) { c.Commits++ })
	if rand.Float64() < f.LoseAnswers {
		s.count(func(c *Counts) { c.Lost++ })
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

func (s *Server) allowRead(ctx *fasthttp.RequestCtx) bool {
	if !s.reads.allow() {
		s.count(func(c *Counts) { c.Refused++ })
		ctx.Error("read rate exceeded", fasthttp.StatusTooManyRequests)
		return false
	}
	s.count(func(c *Counts) { c.Reads++ })
	return true
}

// serveVMs shows the list, or replaces it; a replaced list is shown after the lag.
func (s *Server) serveVMs(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		s.mu.Lock()
		defer s.mu.Unlock()
		httpjson.Write(ctx, fasthttp.StatusOK, vmlist.Response{VMs: s.shown})
		return
	}
	var in vmlist.Response
	if !httpjson.Read(ctx, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = in.VMs
	time.AfterFunc(s.VMLag, s.showVMs)
}

func (s *Server) showVMs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shown = s.vms
}

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

func (s *Server) count(add func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counts)
}

func (s *Server) writeCounts(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpjson.Write(ctx, fasthttp.StatusOK, s.counts)
}

// limiter allows rate operations in each second of the clock.
type limiter struct {
	rate int

	mu     sync.Mutex // guards second and used
	second int64
	used   int
}

func (l *limiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now().Unix()
	if now != l.second {
		l.second = now
		l.used = 0
	}
	l.used++
	return l.used <= l.rate
}
