package prepaid

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// FenceResponse is the answer of a router that keeps no further replica of an incarnation's bounds.
type FenceResponse struct {
	// Responder is the incarnation of the process that answers.
	Responder string
	// Bounds are what the incarnation may have used of its holdings, by workspace, as far as the responder has
	// kept a replica.
	Bounds map[string]int64
}

// Fence keeps no further replica of the bounds of an incarnation of another VM for journal writes up to a sequence
// number. It returns the one that it has, if that counts for the write with this number.
func (m *Manager) Fence(incarnation string, seq int64) FenceResponse {
	r := &m.reclaims
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced == nil {
		r.fenced = make(map[string]int64)
	}
	r.fenced[incarnation] = max(r.fenced[incarnation], seq)
	out := FenceResponse{Responder: m.Incarnation}
	if kept, ok := r.replicas[incarnation]; ok && kept.UpTo >= seq {
		out.Bounds = kept.Bounds
	}
	return out
}

// fencedUsage is what the fenced reclaimers tell of an incarnation that is believed to be lost.
type fencedUsage struct {
	// kept are the highest bounds of their replicas, by workspace.
	kept map[string]int64
	// alone is set if fewer than a quorum are left. What may be used without a replica here counts then.
	alone bool
	// final is what the incarnation has told in the end; nil if it has not.
	final map[string]Bound
}

// fenceReclaimers fences the reclaimers of a lost VM's journal, as many of them as are needed for it to be taken
// over in place of its last row, which has not changed for the given time. They stay fenced whether or not it is.
func (m *Manager) fenceReclaimers(ctx context.Context, last journalRow, unchanged time.Duration) (fencedUsage, error) {
	if final, known := m.reclaims.finalUsage(last.Incarnation); known {
		return fencedUsage{final: final}, nil
	}
	var out fencedUsage
	fenced, unknown := 1, 0
	out.keep(m.Fence(last.Incarnation, last.Seq).Bounds)
	needed := reclaimQuorum(len(last.Reclaimers))
	if needed > 1 {
		for _, answer := range m.fenceOthers(ctx, last) {
			switch {
			case answer.fenced:
				fenced++
				out.keep(answer.bounds)
			case answer.unknown:
				unknown++
			}
		}
	}
	switch {
	case fenced >= needed:
		return out, nil
	case fenced+unknown < needed && unchanged >= reclaimAloneAfter:
		out.alone = true
		return out, nil
	default:
		return out, fmt.Errorf("%w: %d of %d", errTooFewFenced, fenced, needed)
	}
}

// keep adds the bounds of a replica.
func (u *fencedUsage) keep(bounds map[string]int64) {
	if u.kept == nil {
		u.kept = make(map[string]int64, len(bounds))
	}
	for workspace, tokens := range bounds {
		u.kept[workspace] = max(u.kept[workspace], tokens)
	}
}

// maxUsed returns the most tokens that the incarnation which wrote a row can have used of a holding.
func (u *fencedUsage) maxUsed(row journalRow, workspace string) Bound {
	if b, told := u.final[workspace]; told {
		return b
	}
	b := row.Bounds[workspace]
	tokens := max(row.Firm[workspace], u.kept[workspace])
	if u.alone {
		tokens = max(tokens, b.mostInMinority())
	}
	return Bound{Tokens: tokens, ClosedUsage: b.ClosedUsage}
}

// fenceAnswer is the outcome of a call that fences another reclaimer.
type fenceAnswer struct {
	fenced  bool // as the incarnation that is named
	unknown bool // it did not answer, but is not believed to be lost
	bounds  map[string]int64
}

// fenceOthers fences the other reclaimers that a row names.
func (m *Manager) fenceOthers(ctx context.Context, last journalRow) []fenceAnswer {
	ctx, cancel := context.WithTimeout(ctx, reclaimerTimeout)
	defer cancel()
	answers := make([]fenceAnswer, len(last.Reclaimers))
	var all sync.WaitGroup
	for n, reclaimer := range last.Reclaimers {
		if reclaimer == m.Incarnation {
			continue
		}
		all.Go(func() {
			answer, err := m.RequestFence(ctx, reclaimer, last.Incarnation, last.Seq)
			answers[n] = fenceAnswer{
				fenced:  err == nil && answer.Responder == reclaimer,
				unknown: err != nil && !m.IsLost(reclaimer),
				bounds:  answer.Bounds,
			}
		})
	}
	all.Wait()
	return answers
}
