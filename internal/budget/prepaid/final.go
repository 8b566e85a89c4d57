package prepaid

import (
	"context"
	"fmt"
	"maps"
	"math"
	"sync"
	"time"
)

// finalUsageTimeout limits the time for which an incarnation that stops tells others what it has used.
const finalUsageTimeout = 100 * time.Millisecond

// FinalUsage is what an incarnation that has stopped has used of its tokens.
type FinalUsage struct {
	// Incarnation is the one that has stopped.
	Incarnation string
	// Usage is what it has used of its holdings, by workspace.
	Usage map[string]Bound
	// Epoch counts the incarnations of the VM.
	Epoch int64
	// Complete is set if the incarnation knew everything that its VM had drawn, so that Usage contains all of that in
	// the workspaces that it has held tokens of.
	Complete bool
}

// check returns an error if no router can have used that much.
func (u FinalUsage) check() error {
	for workspace, b := range u.Usage {
		if b.Tokens < 0 || b.ClosedUsage < 0 || b.ClosedUsage > math.MaxInt64-b.Tokens {
			return fmt.Errorf("%d tokens and %d former ones of workspace %q are out of range", b.Tokens, b.ClosedUsage, workspace)
		}
	}
	return nil
}

// receivedUsage is a final usage and when it was received.
type receivedUsage struct {
	FinalUsage
	at time.Time
}

// tellFinalUsage ends the use of the holdings and tells the reclaimers what was used. They need no other bound
// and no quorum then. They also know it after a rollback of the store, when its rows may be lost.
func (m *Manager) tellFinalUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalUsageTimeout)
	defer cancel()
	reclaimers := m.journal.end()
	usage := m.finalUsage()
	if len(usage.Usage) == 0 && !usage.Complete {
		return
	}
	var all sync.WaitGroup
	for _, reclaimer := range reclaimers {
		all.Go(func() {
			if err := m.SendFinalUsage(ctx, reclaimer, usage); err != nil {
				m.OnEvent(Event{Kind: FinalUsageLost, Err: fmt.Errorf("tell incarnation %q what was used: %w", reclaimer, err)})
			}
		})
	}
	all.Wait()
}

// finalUsage returns what this incarnation has used, of which it uses nothing any more.
func (m *Manager) finalUsage() FinalUsage {
	out := FinalUsage{Incarnation: m.incarnation(), Usage: make(map[string]Bound), Epoch: m.journal.currentEpoch(), Complete: m.eras.isHistoryKnown() && m.formerAreClosed()}
	for _, h := range m.allHoldings() {
		h.mu.Lock()
		if row, known := h.lastRow(); known {
			out.Usage[h.workspace] = Bound{Tokens: min(h.drawn, h.spentOrAwaited()), ClosedUsage: row.ClosedUsage}
		}
		h.mu.Unlock()
	}
	return out
}

// formerAreClosed reports whether no former incarnation of this VM has a holding, as far as this one knows.
func (m *Manager) formerAreClosed() bool {
	for _, workspace := range m.journal.unclosed() {
		h := m.holding(workspace)
		h.mu.Lock()
		row, known := h.lastRow()
		h.mu.Unlock()
		if !known || row.Incarnation != "" && row.Incarnation != m.incarnation() {
			return false
		}
	}
	return true
}

// lastRow returns the VM's row as this incarnation knows it, in the store's era or before. The caller holds mu.
func (h *holding) lastRow() (row holdingRow, known bool) {
	switch {
	case h.rowsCurrent:
		return h.row, true
	case h.rowToRestore != nil:
		return *h.rowToRestore, true
	default:
		return holdingRow{}, false
	}
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
func (m *Manager) AcceptFinalUsage(usage FinalUsage) error {
	if err := usage.check(); err != nil {
		return fmt.Errorf("final usage of incarnation %q: %w", usage.Incarnation, err)
	}
	r := &m.reclaims
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.final == nil {
		r.final = make(map[string]receivedUsage)
	}
	maps.DeleteFunc(r.final, func(_ string, u receivedUsage) bool { return time.Since(u.at) > noteRetention })
	if r.final[usage.Incarnation].Complete && !usage.Complete {
		return nil
	}
	r.final[usage.Incarnation] = receivedUsage{FinalUsage: usage, at: time.Now()}
	return nil
}

// finalUsage returns what an incarnation has told that it has used.
func (r *reclaims) finalUsage(incarnation string) (usage map[string]Bound, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, known := r.final[incarnation]
	return u.Usage, known
}

// completeUsage returns what the last incarnation of a process has told that its VM has used, if it knew all of that.
func (r *reclaims) completeUsage(process string) (last FinalUsage, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for incarnation, u := range r.final {
		if u.Complete && processOf(incarnation) == process && (!known || u.Epoch > last.Epoch) {
			last, known = u.FinalUsage, true
		}
	}
	return last, known
}

// lastUsage returns what the last of several processes of a VM has told that the VM has used. All of them must have told
// theirs.
func (r *reclaims) lastUsage(processes []string) (last FinalUsage, known bool) {
	for n, process := range processes {
		u, told := r.completeUsage(process)
		if !told {
			return FinalUsage{}, false
		}
		if n == 0 || u.Epoch > last.Epoch {
			last = u
		}
	}
	return last, len(processes) > 0
}
