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

// HeaderCall is the request header with the call id that runs are counted by; the
// answer returns it.
const HeaderCall = "X-Run-Id"

// Server answers calls on every path with the number of times that the call has run.
type Server struct {
	// Delay is the processing time of a call.
	Delay time.Duration

	conns fault.Listener

	mu         sync.Mutex     // guards the fields below
	runsByCall map[string]int // by call id
	runsByPath map[string]int
	fault      Fault
}

// Fault is the set of faults that the service injects until another set replaces it.
type Fault struct {
	// SilenceOpen makes all connections that are open now silent permanently; see
	// fault.Listener.
	SilenceOpen bool `json:"silence_open"`
	// Decline refuses calls before they run.
	Decline bool `json:"decline"`
	// Crossed sets the id of another call in the headers of answers.
	Crossed bool `json:"crossed"`
	// CloseAfterRun closes the connection after the call has run, without an answer.
	CloseAfterRun bool `json:"close_after_run"`
	// StallMs delays the answer after the call has run, in milliseconds.
	StallMs int64 `json:"stall_ms"`
}

// Answer is the body of the answer to a call.
type Answer struct {
	Path string `json:"path"`
	// Call is the call id.
	Call string `json:"call"`
	// Runs is the number of times that the call has run, this time included.
	Runs int `json:"runs"`
}

// Run listens on the TCP address addr and serves until the listener fails.
func (s *Server) Run(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for service: %w", err)
	}
	return s.Serve(ln)
}

// Serve resets the counts and serves on ln until it fails.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.runsByCall = make(map[string]int)
	s.runsByPath = make(map[string]int)
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
		s.writeCounts(ctx, s.runsByCall)
	case "/counts/paths":
		s.writeCounts(ctx, s.runsByPath)
	case "/fault":
		s.setFault(ctx)
	default:
		s.call(ctx, path)
	}
}

// call runs a call and answers it, subject to the injected faults.
func (s *Server) call(ctx *fasthttp.RequestCtx, path string) {
	f := s.currentFault()
	if f.Decline {
		ctx.Error("service is full", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(chat.HeaderNotRun, "1")
		ctx.Response.Header.SetBytesV(HeaderCall, ctx.Request.Header.Peek(HeaderCall))
		return
	}
	call := string(ctx.Request.Header.Peek(HeaderCall))
	runs := s.recordRun(call, path)
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

// SetFault replaces the injected faults by f.
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

// Counts returns the number of runs by call id and by path.
func (s *Server) Counts() (byCall, byPath map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runsByCall), maps.Clone(s.runsByPath)
}

func (s *Server) writeCounts(ctx *fasthttp.RequestCtx, counts map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpjson.Write(ctx, fasthttp.StatusOK, counts)
}

// recordRun counts a run and returns the number of runs of the call.
func (s *Server) recordRun(call, path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runsByPath[path]++
	s.runsByCall[call]++
	return s.runsByCall[call]
}
