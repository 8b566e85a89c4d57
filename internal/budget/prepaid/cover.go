package prepaid

import (
	"slices"
	"time"
)

// entry is one write of the journal: bounds, and when it was sent by this process's
// clock, which stands still while the process is suspended.
type entry struct {
	seq    int64
	era    uint64 // of the store to which it was sent
	bounds map[string]Bound
	sent   time.Time
}

// cover is what the journal allows this life to use.
type cover struct {
	grace time.Duration

	acked *entry // the last write that surely took effect; nil before the first
	// unsure are writes that may have taken effect: the one under way, and those whose
	// answer was lost. Their bounds and rates never fall and they carry the time of the
	// first, so that the first of them allows the least.
	unsure []*entry
}

// allows returns how many tokens of a holding may be used at the time: what the last
// write allows, or the write that may have replaced it.
func (c *cover) allows(workspace string, drawn int64, now time.Time) int64 {
	if c.acked == nil {
		return 0
	}
	out := c.under(c.acked, workspace, drawn, now)
	if len(c.unsure) > 0 {
		out = min(out, c.under(c.unsure[0], workspace, drawn, now))
	}
	return out
}

// under returns what one write allows: its bound, and more at its rate if it is not
// replaced within the grace.
func (c *cover) under(e *entry, workspace string, drawn int64, now time.Time) int64 {
	return e.bounds[workspace].after(drawn, now.Sub(e.sent)-c.grace)
}

// until returns how long it takes until so many tokens of a holding may be used, if
// nothing is written; it is negative if that never comes.
func (c *cover) until(workspace string, tokens int64, now time.Time) time.Duration {
	if c.acked == nil {
		return -1
	}
	wait := c.acked.wait(workspace, tokens, now, c.grace)
	if len(c.unsure) > 0 && wait >= 0 {
		first := c.unsure[0].wait(workspace, tokens, now, c.grace)
		wait = max(wait, first)
		if first < 0 {
			wait = first
		}
	}
	return wait
}

// wait returns how long it takes until the write allows so many tokens.
func (e *entry) wait(workspace string, tokens int64, now time.Time, grace time.Duration) time.Duration {
	b := e.bounds[workspace]
	more := tokens - b.Tokens
	switch {
	case more <= 0:
		return 0
	case b.Rate <= 0:
		return -1
	}
	over := time.Duration(float64(more) / float64(b.Rate) * float64(time.Second))
	return max(0, e.sent.Add(grace+over).Sub(now))
}

// begin returns the write that follows, and counts it as unsure from now on. It may
// not allow less than an earlier unsure one.
func (c *cover) begin(seq int64, bounds map[string]Bound, now time.Time) *entry {
	e := &entry{seq: seq, bounds: bounds, sent: now}
	if n := len(c.unsure); n > 0 {
		last := c.unsure[n-1]
		e.sent = last.sent
		for workspace, b := range last.bounds {
			own := e.bounds[workspace]
			e.bounds[workspace] = Bound{Tokens: max(own.Tokens, b.Tokens), Rate: max(own.Rate, b.Rate)}
		}
	}
	c.unsure = append(c.unsure, e)
	return e
}

// ack notes that the write surely took effect, and that no unsure one can any more.
func (c *cover) ack(e *entry) {
	c.acked = e
	c.unsure = nil
}

// drop notes that the write surely never takes effect.
func (c *cover) drop(e *entry) {
	c.unsure = slices.DeleteFunc(c.unsure, func(other *entry) bool { return other == e })
}

// find returns the unsure write with the number.
func (c *cover) find(seq int64) (*entry, bool) {
	for _, e := range c.unsure {
		if e.seq == seq {
			return e, true
		}
	}
	return nil, false
}
