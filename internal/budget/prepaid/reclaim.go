package prepaid

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// A VM that is lost has no next incarnation that closes its holdings. The reclaimers that its
// journal names do so: one of them fences a quorum of them and takes over the journal, which ends all further
// writes of the lost incarnation, and then closes each holding with what that row and the replicas of the
// reclaimers allowed. If the VM was only cut off, it finds its journal taken over and opens it again.

const (
	// reclaimInterval is the time between two rounds over the VMs that may be lost.
	reclaimInterval = time.Second
	// reclaimAfter is how long the journal of such a VM must stay unwritten. A VM that holds tokens
	// and reaches the store writes it more often.
	reclaimAfter = 4 * time.Second
	// reclaimMargin is the part of that for which clocks of different VMs may differ.
	reclaimMargin = time.Second
	// reclaimAloneAfter is the same time if too few reclaimers are left to be fenced. Some may be out of
	// touch for a while, and the holdings are reclaimed at a higher usage without them.
	reclaimAloneAfter = 12 * time.Second
)

// errTooFewFenced reports that too few reclaimers could be fenced.
var errTooFewFenced = errors.New("too few of the routers that may reclaim have answered")

// reclaims is what this incarnation knows of the VMs whose holdings it may reclaim.
type reclaims struct {
	mu sync.Mutex // guards the fields below
	// replicas are the bounds of incarnations that can not write their journals, by incarnation.
	replicas map[string]BoundsReplica
	// fenced are the last journal writes for which this process keeps no further replica, by incarnation.
	fenced map[string]int64
	// final is what incarnations have used that have told so before they ended.
	final map[string]receivedUsage
	// watched are the VMs that may be lost, by name.
	watched map[string]watchedVM
}

// watchedVM is the journal of a VM that may be lost, as last read.
type watchedVM struct {
	era, version uint64
	since        time.Time // when this version was first seen
	finished     bool      // there is nothing to reclaim, or not by this router
}

// runReclaims reclaims the holdings of lost VMs until ctx ends.
func (m *Manager) runReclaims(ctx context.Context) {
	ticker := time.NewTicker(reclaimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, vm := range m.reclaims.watch(m.lostVMs()) {
			m.reclaimIfLost(ctx, vm)
		}
	}
}

// lostVMs returns the VMs of which only lost incarnations are known, and those of which a running
// one is.
func (m *Manager) lostVMs() (lost, running []string) {
	for _, incarnation := range m.RecentIncarnations() {
		if m.IsLost(incarnation) {
			lost = append(lost, VMOf(incarnation))
		} else {
			running = append(running, VMOf(incarnation))
		}
	}
	lost = slices.DeleteFunc(lost, func(vm string) bool { return vm == m.VM || slices.Contains(running, vm) })
	return lost, running
}

// watch updates the watched VMs, and returns those with holdings that may have to be reclaimed.
func (r *reclaims) watch(lost, running []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range running {
		delete(r.watched, vm)
	}
	for _, vm := range lost {
		if _, ok := r.watched[vm]; !ok {
			if r.watched == nil {
				r.watched = make(map[string]watchedVM)
			}
			r.watched[vm] = watchedVM{}
		}
	}
	var out []string
	for vm, w := range r.watched {
		if !w.finished {
			out = append(out, vm)
		}
	}
	return out
}

// reclaimIfLost reclaims the holdings of a VM if it has not written its journal for a while.
func (m *Manager) reclaimIfLost(ctx context.Context, vm string) {
	era, settled := m.eras.current()
	if !settled || !m.journal.isOpen() || m.journal.storeUnreachable() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	last, stamp, err := m.readJournal(ctx, vm)
	if err != nil {
		m.OnEvent(Event{Kind: ReclaimFailed, Err: err})
		return
	}
	unchanged := m.reclaims.unchangedFor(vm, last, time.Now())
	switch {
	case stamp.Era != era || unchanged < reclaimAfter:
		return
	case !slices.Contains(last.row.Reclaimers, m.Incarnation):
		m.reclaims.finish(vm)
		return
	case last.era != era || len(last.row.Bounds) == 0 && len(last.row.Former) == 0:
		// A VM that is only out of sight may draw tokens yet.
		if unchanged > maxCopyAge {
			m.reclaims.finish(vm)
		}
		return
	}
	all, err := m.reclaim(ctx, vm, last, stamp, unchanged)
	if err != nil {
		m.OnEvent(Event{Kind: ReclaimFailed, Err: fmt.Errorf("reclaim holdings of VM %q: %w", vm, err)})
	}
	if all {
		m.reclaims.finish(vm)
	}
}

func (r *reclaims) finish(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w, ok := r.watched[vm]; ok {
		w.finished = true
		r.watched[vm] = w
	}
}

// unchangedFor records the journal of a watched VM, and returns how long it has been the same.
func (r *reclaims) unchangedFor(vm string, last storedJournal, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.watched[vm]
	if w.since.IsZero() || w.era != last.era || w.version != last.version {
		r.watched[vm] = watchedVM{era: last.era, version: last.version, since: now}
		return 0
	}
	return now.Sub(w.since)
}

// reclaim takes over the journal of a lost VM, unless another router has, and closes its holdings. It reports
// whether all of them are closed: without a quorum, what the VM may yet use stays in them.
func (m *Manager) reclaim(ctx context.Context, vm string, last storedJournal, stamp table.Stamp, unchanged time.Duration) (all bool, err error) {
	next := last.row
	if lost, open := lostJournal(last.row); open {
		usage, err := m.fenceReclaimers(ctx, lost, unchanged)
		if err != nil {
			return false, fmt.Errorf("take over journal: %w", err)
		}
		if next = fencedJournal(vm, lost, usage, stamp.Clock); usage.alone && last.row.Lost != "" {
			next = last.row
		} else if err := m.commitFenced(ctx, vm, last, next); err != nil {
			return false, fmt.Errorf("take over journal: %w", err)
		}
	}
	for _, workspace := range workspacesOf(next.Former) {
		if err := m.reclaimHolding(ctx, vm, workspace, next); err != nil {
			return false, err
		}
	}
	return next.Lost == "", nil
}

// lostJournal returns the row that the lost incarnation of a VM wrote last, as far as it bounds what that has used. It
// reports false if a quorum of reclaimers was fenced for it before.
func lostJournal(last journalRow) (lost journalRow, open bool) {
	if !isReclaimedID(last.Incarnation) {
		return last, true
	}
	lost = last
	f := last.Former[last.Lost]
	lost.Incarnation, lost.Epoch, lost.Since, lost.Bounds = last.Lost, f.Epoch, f.Since, f.Bounds
	return lost, last.Lost != ""
}

// fencedJournal returns the row by which the journal of a lost VM is taken over. The lost incarnation
// has used no more than the fenced reclaimers tell.
func fencedJournal(vm string, lost journalRow, usage fencedUsage, storeClock time.Duration) journalRow {
	former := maps.Clone(lost.Former)
	if former == nil {
		former = make(map[string]formerIncarnation)
	}
	bounds := make(map[string]Bound, len(lost.Bounds))
	firm := make(map[string]int64)
	for workspace := range lost.Bounds {
		bounds[workspace] = usage.maxUsed(lost, workspace)
		firm[workspace] = max(lost.Firm[workspace], usage.kept[workspace])
	}
	for workspace, b := range usage.final {
		if b.Tokens > 0 {
			bounds[workspace] = b
		}
	}
	former[lost.Incarnation] = formerIncarnation{usageBound: usageBound{Bounds: bounds}, Epoch: lost.Epoch, Since: lost.Since}
	next := journalRow{
		Incarnation: reclaimedID(vm, lost.Epoch+1), Epoch: lost.Epoch + 1, Since: lost.Since, Accounted: lost.Accounted,
		AtMS: storeClock.Milliseconds(), Bounds: map[string]Bound{}, Former: former, Reclaimers: lost.Reclaimers,
	}
	if usage.alone {
		next.Lost, next.Seq, next.Firm = lost.Incarnation, lost.Seq, firm
	}
	return next
}

// commitFenced replaces the journal's row, so that no later write of the lost incarnation succeeds.
func (m *Manager) commitFenced(ctx context.Context, vm string, last storedJournal, next journalRow) error {
	at := journalLocation(vm, last.era)
	var c table.Commit
	c.RequireAt(at, last.version)
	if err := c.SetAt(at, next); err != nil {
		return err
	}
	stamp, err := m.Commit(ctx, c)
	m.observeStamp(stamp)
	if err == nil && stamp.Era != last.era {
		err = errEraPassed
	}
	return err
}

// workspacesOf returns the sorted names of all workspaces that the former incarnations of a VM
// list.
func workspacesOf(former map[string]formerIncarnation) []string {
	names := make(map[string]bool)
	for _, f := range former {
		for workspace := range f.Bounds {
			names[workspace] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// reclaimHolding closes the holding of a lost VM, if it has one, and returns to the total what
// cannot have been used. What the incarnation may yet use stays in the holding if no quorum was fenced.
func (m *Manager) reclaimHolding(ctx context.Context, vm, workspace string, journal journalRow) error {
	era, settled := m.eras.current()
	if !settled {
		return errUnsettled
	}
	returned, known := int64(0), false
	err := m.rewriteRow(ctx, era, vm, workspace, func(s storedRows) (holdingRow, bool) {
		var f formerIncarnation
		if f, known = journal.Former[s.holding.Incarnation]; !known {
			// It was closed before.
			return holdingRow{}, false
		}
		used := f.maxUsed(workspace, s.holding.Tokens)
		returned = s.holding.Tokens - used
		if s.holding.Incarnation == journal.Lost {
			s.holding.Tokens, known = used, returned > 0
			return s.holding, known
		}
		return s.holding.closed(used), true
	})
	if err != nil {
		return fmt.Errorf("close holding: %w", err)
	}
	if known {
		m.OnEvent(Event{Kind: HoldingReclaimed, Workspace: workspace, Tokens: returned})
	}
	return nil
}
