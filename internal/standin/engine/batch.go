package engine

import (
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/httpjson"
)

// cachedPrefillDivisor is the factor by which a cached prefix shortens the prefill.
const cachedPrefillDivisor = 10

// Batch configures how the engine's speed depends on its load, its prefix cache
// and the delay of its reports.
type Batch struct {
	// Slowdown is the fraction of TokenInterval by which each generating run lengthens
	// the interval.
	Slowdown float64
	// PrefillRate is the number of prompt tokens processed per second; if zero, prefill
	// takes no time.
	PrefillRate int64
	// CachedPrefixes is the capacity of the prefix cache; zero disables the cache.
	CachedPrefixes int
	// ReportLag is the minimum age of the load report; zero makes it current.
	ReportLag time.Duration
	// EventLag is the delay after which a cache event is published.
	EventLag time.Duration
	// LoseEvery drops each cache event whose number is a multiple of it, if positive.
	LoseEvery int64
}

// currentTokenInterval returns the time between two tokens of a run at the current load.
func (s *Server) currentTokenInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.TokenInterval + time.Duration(float64(s.TokenInterval)*s.Batch.Slowdown*float64(s.running))
}

// prefill waits for as long as the run's prompt takes to process. It returns false
// if the run is cancelled meanwhile.
func (s *Server) prefill(r *run) bool {
	tokens := r.promptTokens
	if s.cache.touch(r.prefixHash, s.Batch) {
		tokens /= cachedPrefillDivisor
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

// Load is the load report that the engine serves at /load.
type Load struct {
	// Running is the number of runs that hold a slot.
	Running int `json:"running"`
	// Waiting is the number of runs in the queue.
	Waiting int `json:"waiting"`
	// Slots is the number of runs that can hold a slot at the same time.
	Slots int `json:"slots"`
}

// serveLoad answers with the load report. At most once per ReportLag it takes a new
// snapshot and publishes the previous one, so that the report lags behind.
func (s *Server) serveLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.reportedAt) >= s.Batch.ReportLag {
		s.reported, s.reportedAt = s.nextReport, now
		s.nextReport = Load{Running: s.running, Waiting: len(s.waiting), Slots: s.Slots}
		if s.Batch.ReportLag == 0 {
			s.reported = s.nextReport
		}
	}
	httpjson.Write(ctx, fasthttp.StatusOK, s.reported)
}
