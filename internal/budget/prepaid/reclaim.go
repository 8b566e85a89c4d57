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
// journal names do so: one of them, to which others of them must agree, takes over the journal, which ends all further writes of the
// lost incarnation, and then closes each holding with what that row allowed. If the VM was only
// cut off, it finds its journal taken over and opens it again.

const (
	// reclaimInterval is the time between two rounds over the VMs that may be lost.
	reclaimInterval = time.Second
	// reclaimAfter is how long the journal of such a VM must stay unwritten. A VM that holds tokens
	// and reaches the store writes it more often.
	reclaimAfter = 4 * time.Second
	// reclaimMargin is the part of that for which clocks of different VMs may differ.
	reclaimMargin = time.Second
)

var (
	// errDeferred reports that too many reclaimers, this router or others, have promised not to
	// reclaim the holdings of a VM, or have ended.
	errDeferred = errors.New("too many routers have agreed to defer or have ended")
	// errReclaimerEnded reports that a reclaimer was asked and a later incarnation on its VM answered.
	errReclaimerEnded = errors.New("another incarnation runs on its VM")
	// errTooFewReclaimers reports that too few reclaimers could be asked.
	errTooFewReclaimers = errors.New("too few routers could be asked whether to reclaim")
)

// reclaims is what this incarnation knows of the VMs whose holdings it may reclaim.
type reclaims struct {
	mu sync.Mutex // guards the fields below
	// deferred are the promises that were made to incarnations, as sequence numbers of their
	// journal writes.
	deferred map[string]int64
	// fenced are the last journal writes by which this incarnation has agreed to reclaim, by
	// incarnation.
	fenced map[string]int64
	// final is what incarnations have used that have told so before they ended.
	final map[string]map[string]Bound
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

// isPending reports whether this router may yet reclaim the holdings of a VM.
func (r *reclaims) isPending(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.watched[vm]
	return ok && !w.finished
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
	case !slices.Contains(last.row.Reclaimers, m.incarnation()):
		m.reclaims.finish(vm)
		return
	case last.era != era || len(last.row.Bounds) == 0 && len(last.row.Former) == 0:
		// A VM that is only out of sight may draw tokens yet.
		if unchanged > maxCopyAge {
			m.reclaims.finish(vm)
		}
		return
	}
	err = m.reclaim(ctx, vm, last, stamp)
	if err == nil || errors.Is(err, errDeferred) {
		m.reclaims.finish(vm)
	}
	if err != nil {
		m.OnEvent(Event{Kind: ReclaimFailed, Err: fmt.Errorf("reclaim holdings of VM %q: %w", vm, err)})
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

// reclaim takes over the journal of a lost VM, unless another router has, and closes its holdings.
func (m *Manager) reclaim(ctx context.Context, vm string, last storedJournal, stamp table.Stamp) error {
	former := last.row.Former
	if !isReclaimedID(last.row.Incarnation) {
		final, _ := m.reclaims.finalUsage(last.row.Incarnation)
		next := fencedJournal(vm, last.row, final, stamp.Clock)
		if err := m.fenceJournal(ctx, vm, last, next); err != nil {
			return fmt.Errorf("take over journal: %w", err)
		}
		former = next.Former
	}
	for _, workspace := range workspacesOf(former) {
		if err := m.reclaimHolding(ctx, vm, workspace, former); err != nil {
			return err
		}
	}
	return nil
}

// fencedJournal returns the row by which the journal of a lost VM is taken over. The lost incarnation
// has used no more than it has told in the end, or than its own row allows whatever the reclaimers do.
func fencedJournal(vm string, lost journalRow, final map[string]Bound, storeClock time.Duration) journalRow {
	former := maps.Clone(lost.Former)
	if former == nil {
		former = make(map[string]formerIncarnation)
	}
	bounds := make(map[string]Bound, len(lost.Bounds))
	for workspace, b := range lost.Bounds {
		bounds[workspace] = Bound{Tokens: lost.Firm[workspace], ClosedUsage: b.ClosedUsage}
	}
	maps.Copy(bounds, final)
	former[lost.Incarnation] = formerIncarnation{usageBound: usageBound{Bounds: bounds}, Epoch: lost.Epoch, Since: lost.Since}
	return journalRow{
		Incarnation: reclaimedID(vm, lost.Epoch+1), Epoch: lost.Epoch + 1, Since: lost.Since, Accounted: lost.Accounted,
		AtMS: storeClock.Milliseconds(), Bounds: map[string]Bound{}, Former: former, Reclaimers: lost.Reclaimers,
	}
}

// fenceJournal replaces the journal's row, so that no later write of the lost incarnation succeeds.
func (m *Manager) fenceJournal(ctx context.Context, vm string, last storedJournal, next journalRow) error {
	if err := m.agreeOnReclaim(ctx, last.row); err != nil {
		return err
	}
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
// cannot have been used.
func (m *Manager) reclaimHolding(ctx context.Context, vm, workspace string, former map[string]formerIncarnation) error {
	for range maxDrawAttempts {
		era, settled := m.eras.current()
		if !settled {
			return errUnsettled
		}
		rows, err := m.readRows(ctx, workspaceRows(workspace))
		if err != nil {
			return err
		}
		s, err := parseRows(vm, workspace, era, rows)
		if err != nil {
			return err
		}
		f, known := former[s.holding.Incarnation]
		if !known {
			// It was closed before.
			return nil
		}
		used := f.maxUsed(workspace, s.holding.Tokens)
		returned := s.holding.Tokens - used
		mig := migration{era: era, total: s.totalValue, holding: s.holding.closed(used)}
		mig.total.settle()
		mig.total.Allotted -= returned
		err = mig.setTotal(workspace, &s)
		if err = errors.Join(err, mig.setHolding(holdingLocation(vm, workspace, era), &s)); err != nil {
			return fmt.Errorf("close holding of workspace %q: %w", workspace, err)
		}
		stamp, err := m.Commit(ctx, mig.commit)
		m.observeStamp(stamp)
		var conflict *table.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if err == nil && stamp.Era != era {
			err = errEraPassed
		}
		if err != nil {
			return fmt.Errorf("close holding of workspace %q: %w", workspace, err)
		}
		m.OnEvent(Event{Kind: HoldingReclaimed, Workspace: workspace, Tokens: returned})
		return nil
	}
	return fmt.Errorf("close holding of workspace %q: %w", workspace, errConflict)
}
