package prepaid

import (
	"time"

	"rosevalve/internal/budget/amount"
)

// A router may draw tokens right after the store was copied, and be gone before the store is rolled
// back to that copy, so that nobody knows. A limit that the copy itself shows must therefore hold
// for all draws: the reach. What lies beyond it, the reserve, is drawn only once a notice of that has been
// in the store for longer than a copy can be old. If it is not known after a rollback what was
// drawn, everything within the reach counts as drawn, and the reserve is left.

const (
	// reserveDivisor determines the reserve: the total divided by it.
	reserveDivisor = 200
	// reserveStep determines what an era that begins with no more than the reserve left keeps back of it:
	// that divided by the step.
	reserveStep = 2
	// openAfter is the age of a notice from which the reserve may be drawn. A commit may take effect
	// some seconds after it was sent.
	openAfter = maxCopyAge + 5*time.Second
	// maxEras is the number of eras without an account after which the whole total counts as drawn.
	maxEras = 8
)

// reachFrom returns the limit for the draws of an era that begins with the given tokens drawn.
func reachFrom(base, total int64) int64 {
	if usual := total - total/reserveDivisor; base < usual {
		return usual
	}
	left := max(0, total-base)
	return base + left - left/reserveStep
}

// priorDraws is what a row of a total's new era tells of the draws of earlier ones, which nobody may
// account for.
type priorDraws struct {
	// Base is the number of tokens drawn at the begin of the first of these eras, and Eras is their
	// number.
	Base int64  `json:"base"`
	Eras uint64 `json:"eras"`
	// Opened is set if the reserve may have been drawn.
	Opened bool `json:"opened,omitempty"`
	// Known is the number of tokens of which a VM's row tells that they were drawn.
	Known int64 `json:"known"`
}

// limit returns the most tokens that can have been drawn of a total.
func (p *priorDraws) limit(total int64) int64 {
	if p == nil {
		return 0
	}
	if p.Opened || p.Eras > maxEras {
		return total
	}
	limit := p.Base
	for range p.Eras {
		limit = reachFrom(limit, total)
	}
	return limit
}

// unaccounted returns the number of tokens that may have been drawn without a row that tells so.
func (p *priorDraws) unaccounted(total int64) int64 {
	if p == nil {
		return 0
	}
	return max(0, p.limit(total)-p.Known)
}

// inNextEras returns what the row tells in an era that is the given number of eras later; nil means
// that the store has no row.
func (r *totalRow) inNextEras(eras uint64, known int64) *priorDraws {
	switch {
	case r == nil:
		return &priorDraws{Eras: eras, Known: known}
	case r.Prior == nil:
		return &priorDraws{Base: r.Base, Eras: eras, Opened: r.OpenedAtMS > 0, Known: known}
	default:
		return &priorDraws{Base: r.Prior.Base, Eras: r.Prior.Eras + eras, Opened: r.Prior.Opened || r.OpenedAtMS > 0, Known: known}
	}
}

// correct changes the allotted tokens by those that a VM's row did not show, or showed wrongly. Tokens that the VM
// had returned by then may have been drawn again, by an incarnation that nobody accounts for.
func (r *totalRow) correct(tokens int64) {
	r.Allotted = amount.Add(r.Allotted, tokens)
	if r.Prior != nil {
		prior := *r.Prior
		prior.Known = max(0, amount.Add(prior.Known, tokens))
		r.Prior = &prior
	}
}

// settle ends what earlier eras leave open, once all draws are accounted for. A copy from before shows the limit of
// these eras, from which the reach in this one must still follow.
func (r *totalRow) settle(total int64) {
	if r.Prior != nil {
		r.Base, r.Prior = min(r.Allotted, r.Prior.limit(total)), nil
	}
}

// left returns the tokens that may be left of a total.
func (r *totalRow) left(total int64) int64 {
	return total - r.Allotted - r.Prior.unaccounted(total)
}

// drawable returns the tokens that may be drawn at a time of the store's clock.
func (r *totalRow) drawable(total int64, now time.Duration) int64 {
	if r.OpenedAtMS > 0 && now-time.Duration(r.OpenedAtMS)*time.Millisecond >= openAfter {
		return max(0, r.left(total))
	}
	reach := reachFrom(max(r.Base, r.Prior.limit(total)), total)
	return max(0, r.left(total)-(total-reach))
}
