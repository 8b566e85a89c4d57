package engine

import (
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/httpjson"
)

// cachedDivisor is how much less a cached prompt costs.
const cachedDivisor = 10

// Batch describes how an engine's speed depends on its work.
type Batch struct {
	// Slowdown is the part of TokenInterval that each run adds to it.
	Slowdown float64
	// PrefillRate is the number of prompt tokens processed in a second; zero takes no time.
	PrefillRate int64
	// CachedPrefixes is the number of prompt prefixes that fit into the cache.
	CachedPrefixes int
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// EventLag is the age that a cache event has when it is first shown.
	EventLag time.Duration
	// LoseEvery drops every event whose number is a multiple of it, if positive.
	LoseEvery int64
}

// interval returns the time between two tokens of one run at the current load.
func (s *Server) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.TokenInterval + time.Duration(float64(s.TokenInterval)*s.Batch.Slowdown*float64(s.running))
}

// prefill takes the time of the run's prompt and reports whether the run goes on.
func (s *Server) prefill(r *run) bool {
	tokens := r.prompt
	if s.cache.use(r.prefix, s.Batch) {
		tokens /= cachedDivisor
	}
	if s.Batch.PrefillRate == 0 {
		return true
	}
	select {
	case <-r.cancel:
		return false
	case <-time.After(time.Duration(tokens) * time.Second / time.Duration(s.Batch.PrefillRate)):
		return true
	}
}

// Load is the engine's own report of its load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// reportLoad answers with a report that is as old as the lag.
func (s *Server) reportLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.reportedAt) >= s.Batch.ReportLag {
		s.reported, s.reportedAt = s.current, now
		s.current = Load{Running: s.running, Waiting: len(s.waiting), Slots: s.Slots}
		if s.Batch.ReportLag == 0 {
			s.reported = s.current
		}
	}
	httpjson.Write(ctx, fasthttp.StatusOK, s.reported)
}
