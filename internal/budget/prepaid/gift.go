package prepaid

import "time"

// Give takes up to n tokens of the workspace out of this life's holding for another
// router. They count as spent from then on, whether or not they arrive.
func (p *Purse) Give(workspace string, n int64) int64 {
	h := p.holding(workspace)
	h.mu.Lock()
	allowed := p.journal.allows(workspace, h.drawn, time.Now())
	given := h.give(n, allowed)
	covers := given < n && h.free() > 0
	h.mu.Unlock()
	if covers {
		// What is free but not covered can be given when it is asked for again.
		p.journal.kick()
	}
	if given > 0 {
		p.OnEvent(Event{Kind: GiftGiven, Workspace: workspace, Tokens: given})
	}
	return given
}

// give takes up to n tokens that are free and covered. The caller holds mu.
func (h *holding) give(n, allowed int64) int64 {
	fromGifts := min(n, h.gifts)
	h.gifts -= fromGifts
	own := max(0, min(n-fromGifts, h.free(), allowed-h.spent))
	if len(h.waiting) > 0 {
		own = 0
	}
	h.spent += own
	return fromGifts + own
}

// Accept takes in tokens that another router leaves to this one.
func (p *Purse) Accept(workspace string, n int64) { p.accept(p.holding(workspace), n) }

// accept takes in a gift.
func (p *Purse) accept(h *holding, n int64) {
	if n <= 0 {
		return
	}
	h.mu.Lock()
	h.gifts += n
	h.mu.Unlock()
	p.OnEvent(Event{Kind: GiftTaken, Workspace: h.workspace, Tokens: n})
}
