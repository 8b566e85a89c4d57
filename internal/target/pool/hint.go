package pool

import "time"

const (
	hintMaxAge       = 2 * time.Second // older reports spread load worse than none
	maxHintedPrefix  = 4096
	tokensPerRequest = 400 // what a request reported by a target is taken to cost
)

// hint is what a target has told of itself. It is late and may be wrong, so it
// only orders targets that may be chosen anyway.
type hint struct {
	others   int // requests of other routers
	reported time.Time
	prefixes map[uint64]bool
}

// othersTokens is the believed load that other routers put on the target.
func (h *hint) othersTokens(now time.Time) float64 {
	if h.others <= 0 || now.Sub(h.reported) > hintMaxAge {
		return 0
	}
	return float64(h.others * tokensPerRequest)
}

func (h *hint) holds(prefix uint64) bool { return prefix != 0 && h.prefixes[prefix] }

// note takes in a cache event; a full set is emptied, which loses hints and nothing else.
func (h *hint) note(prefix uint64, stored bool) {
	if !stored {
		delete(h.prefixes, prefix)
		return
	}
	if h.prefixes == nil || len(h.prefixes) >= maxHintedPrefix {
		h.prefixes = make(map[uint64]bool)
	}
	h.prefixes[prefix] = true
}

// ReportLoad takes in a target's own count of its requests, which may be late.
func (p *Pool) ReportLoad(addr string, requests int) {
	t := p.find(addr)
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hint.others = max(0, requests-t.outstanding)
	t.hint.reported = time.Now()
}

// ReportCache takes in that a target has stored or dropped a prefix.
func (p *Pool) ReportCache(addr string, prefix uint64, stored bool) {
	t := p.find(addr)
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hint.note(prefix, stored)
}
