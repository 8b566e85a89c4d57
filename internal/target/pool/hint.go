package pool

import "time"

const (
	hintMaxAge               = 2 * time.Second // older reports balance load worse than no reports
	maxHintPrefixes          = 4096            // per target
	tokensPerReportedRequest = 400             // assumed cost of a request reported by a target
)

// hint is the load and the cache content that a target has reported. Reports are
// delayed and may be wrong, so they only affect the preference among targets that
// are eligible anyway.
type hint struct {
	otherRequests  int // outstanding requests of other routers
	reportedAt     time.Time
	cachedPrefixes map[uint64]bool
}

// otherLoad returns the estimated load in tokens that other routers put on the target,
// or 0 if the report is too old.
func (h *hint) otherLoad(now time.Time) float64 {
	if h.otherRequests <= 0 || now.Sub(h.reportedAt) > hintMaxAge {
		return 0
	}
	return float64(h.otherRequests * tokensPerReportedRequest)
}

// hasPrefix reports whether the target has reported that it caches the prefix.
func (h *hint) hasPrefix(prefix uint64) bool { return prefix != 0 && h.cachedPrefixes[prefix] }

// recordPrefix records that a prefix was stored or dropped. A full set is cleared, which
// only loses hints.
func (h *hint) recordPrefix(prefix uint64, stored bool) {
	if !stored {
		delete(h.cachedPrefixes, prefix)
		return
	}
	if h.cachedPrefixes == nil || len(h.cachedPrefixes) >= maxHintPrefixes {
		h.cachedPrefixes = make(map[uint64]bool)
	}
	h.cachedPrefixes[prefix] = true
}

// ReportLoad records the number of requests that a target has reported as outstanding,
// from all routers. The number may be out of date.
func (p *Pool) ReportLoad(addr string, requests int) {
	t := p.find(addr)
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hint.otherRequests = max(0, requests-t.outstanding)
	t.hint.reportedAt = time.Now()
}

// ReportCache records that a target has stored a prefix in its cache or dropped it.
func (p *Pool) ReportCache(addr string, prefix uint64, stored bool) {
	t := p.find(addr)
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hint.recordPrefix(prefix, stored)
}
