package prepaid

import (
	"context"
	"time"
)

// giftTime is how long a router that asks for tokens is kept waiting.
const giftTime = 100 * time.Millisecond

// Give takes up to n tokens of the workspace out of this life's holding for another
// router. They count as spent from then on, whether or not they arrive.
func (p *Purse) Give(ctx context.Context, workspace string, n int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, giftTime)
	defer cancel()
	h := p.holding(workspace)
	h.mu.Lock()
	n = min(n, h.gifts+max(0, h.free()))
	h.mu.Unlock()
	if n <= 0 {
		return 0
	}
	r, err := p.take(ctx, h, n)
	if r == nil || err != nil {
		return 0
	}
	r.Bill(n)
	p.OnEvent(Event{Kind: GiftGiven, Workspace: workspace, Tokens: n})
	return n
}

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
