package prepaid

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// finalUsageTimeout limits the time for which an incarnation that stops tells others what it has used.
const finalUsageTimeout = 100 * time.Millisecond

// tellFinalUsage ends the use of the holdings and tells the reclaimers what was used. They need no other bound
// and no agreement then, even if they have promised to defer.
func (m *Manager) tellFinalUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalUsageTimeout)
	defer cancel()
	reclaimers := m.journal.end()
	usage := make(map[string]Bound)
	for _, h := range m.allHoldings() {
		h.mu.Lock()
		if h.drawn > 0 {
			usage[h.workspace] = Bound{Tokens: min(h.drawn, h.spentOrAwaited()), ClosedUsage: h.row.ClosedUsage}
		}
		h.mu.Unlock()
	}
	if len(usage) == 0 {
		return
	}
	incarnation := m.incarnation()
	var all sync.WaitGroup
	for _, reclaimer := range reclaimers {
		all.Go(func() {
			if err := m.SendFinalUsage(ctx, reclaimer, incarnation, usage); err != nil {
				m.OnEvent(Event{Kind: FinalUsageLost, Err: fmt.Errorf("tell incarnation %q what was used: %w", reclaimer, err)})
			}
		})
	}
	all.Wait()
}

// end ends the use of the holdings for good, and returns the reclaimers named by the writes that may
// be in the store.
func (j *journal) end() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended = true
	return j.namedReclaimers()
}

// AcceptFinalUsage records what an incarnation of another VM has used of its holdings, which it does not use
// any more.
func (m *Manager) AcceptFinalUsage(incarnation string, usage map[string]Bound) error {
	for workspace, b := range usage {
		if b.Tokens < 0 || b.ClosedUsage < 0 {
			return fmt.Errorf("incarnation %q has used %d tokens of workspace %q", incarnation, b.Tokens, workspace)
		}
	}
	r := &m.reclaims
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.final == nil {
		r.final = make(map[string]map[string]Bound)
	}
	r.final[incarnation] = usage
	return nil
}

// finalUsage returns what an incarnation has told that it has used.
func (r *reclaims) finalUsage(incarnation string) (usage map[string]Bound, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	usage, known = r.final[incarnation]
	return usage, known
}
