package service

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// HeaderCall names the call whose runs are counted.
const HeaderCall = "X-Run-Id"

// Server answers every path with the number of times it has run.
type Server struct {
	// Delay is the time that each call takes.
	Delay time.Duration

	mu    sync.Mutex // guards runs and paths
	runs  map[string]int
	paths map[string]int
}

// Answer is the outcome of a call.
type Answer struct {
	Path string `json:"path"`
	Call string `json:"call"`
	Runs int    `json:"runs"`
}

// Run serves on addr until the listener fails.
func (s *Server) Run(addr string) error {
	s.runs = make(map[string]int)
	s.paths = make(map[string]int)
	if err := fasthttp.ListenAndServe(addr, s.handle); err != nil {
		return fmt.Errorf("serve service on %s: %w", addr, err)
	}
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/counts":
		s.replyCounts(ctx, s.runs)
		return
	case "/counts/paths":
		s.replyCounts(ctx, s.paths)
		return
	}
	call := string(ctx.Request.Header.Peek(HeaderCall))
	runs := s.count(call, path)
	time.Sleep(s.Delay)
	reply(ctx, Answer{Path: path, Call: call, Runs: runs})
}

func (s *Server) replyCounts(ctx *fasthttp.RequestCtx, counts map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(ctx, counts)
}

func (s *Server) count(call, path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths[path]++
	s.runs[call]++
	return s.runs[call]
}

func reply(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
