package service

import (
	"fmt"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/protocol/httpjson"
	"rosevalve/internal/standin/fault"
)

// HeaderCall names the call whose runs are counted.
const HeaderCall = "X-Run-Id"

// Server answers every path with the number of times it has run.
type Server struct {
	// Delay is the time that each call takes.
	Delay time.Duration

	conns fault.Listener

	mu    sync.Mutex // guards the fields below
	runs  map[string]int
	paths map[string]int
	fault Fault
}

// Fault describes how the service misbehaves until it is set again.
type Fault struct {
	// SilenceOpen makes the connections that are open now silent for good.
	SilenceOpen bool `json:"silence_open"`
	// Decline makes the service refuse calls before it runs them.
	Decline bool `json:"decline"`
	// Crossed names another call in the answers' headers.
	Crossed bool `json:"crossed"`
	// CloseAfterRun closes the connection in place of the answer.
	CloseAfterRun bool `json:"close_after_run"`
	// StallMs delays the answer after the call has run.
	StallMs int64 `json:"stall_ms"`
}

// Answer is the outcome of a call.
type Answer struct {
	Path string `json:"path"`
	Call string `json:"call"`
	Runs int    `json:"runs"`
}

// Run serves on addr until the listener fails.
func (s *Server) Run(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for service: %w", err)
	}
	return s.Serve(ln)
}

// Serve serves on the listener until it fails.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.runs = make(map[string]int)
	s.paths = make(map[string]int)
	s.mu.Unlock()
	s.conns.Listener = ln
	if err := fasthttp.Serve(&s.conns, s.handle); err != nil {
		return fmt.Errorf("serve service on %s: %w", ln.Addr(), err)
	}
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/counts":
		s.replyCounts(ctx, s.runs)
	case "/counts/paths":
		s.replyCounts(ctx, s.paths)
	case "/fault":
		s.setFault(ctx)
	default:
		s.call(ctx, path)
	}
}

// call runs one call and answers it.
func (s *Server) call(ctx *fasthttp.RequestCtx, path string) {
	f := s.currentFault()
	if f.Decline {
		ctx.Error("service is full", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(chat.HeaderDeclined, "1")
		return
	}
	call := string(ctx.Request.Header.Peek(HeaderCall))
	runs := s.count(call, path)
	time.Sleep(s.Delay + time.Duration(f.StallMs)*time.Millisecond)
	if f.CloseAfterRun {
		_ = ctx.Conn().Close()
		return
	}
	ctx.Response.Header.Set(HeaderCall, call)
	if f.Crossed {
		ctx.Response.Header.Set(HeaderCall, call+"-other")
	}
	httpjson.Write(ctx, fasthttp.StatusOK, Answer{Path: path, Call: call, Runs: runs})
}

func (s *Server) setFault(ctx *fasthttp.RequestCtx) {
	var f Fault
	if httpjson.Read(ctx, &f) {
		s.SetFault(f)
	}
}

// SetFault makes the service misbehave as f tells.
func (s *Server) SetFault(f Fault) {
	if f.SilenceOpen {
		s.conns.Silence()
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

// Counts returns the number of runs by call and by path.
func (s *Server) Counts() (calls, paths map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs), maps.Clone(s.paths)
}

func (s *Server) replyCounts(ctx *fasthttp.RequestCtx, counts map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpjson.Write(ctx, fasthttp.StatusOK, counts)
}

func (s *Server) count(call, path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths[path]++
	s.runs[call]++
	return s.runs[call]
}
