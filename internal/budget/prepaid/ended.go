package prepaid

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// After a rollback of the store, the rows of a VM that has been removed show what an older copy contains, and no
// incarnation of the VM is there to restore them. Those that it has told its final usage do it in its place.

// restoreEnded restores the rows of VMs of which an era waits only for incarnations that have told what they have used.
func (m *Manager) restoreEnded(ctx context.Context, era uint64) error {
	if !m.journal.isOpen() {
		return nil
	}
	rows, err := m.readRestored(ctx)
	if err != nil {
		return err
	}
	if !rows.startObserved(era) {
		// Other incarnations may have ended than those that are known to be awaited.
		return nil
	}
	awaited := make(map[string][]string)
	for _, incarnation := range rows.awaited(era) {
		awaited[VMOf(incarnation)] = append(awaited[VMOf(incarnation)], incarnation)
	}
	for vm, incarnations := range awaited {
		last, known := m.reclaims.lastUsage(incarnations)
		if !known || vm == m.VM {
			continue
		}
		if err := m.restoreEndedVM(ctx, era, vm, last); err != nil {
			return err
		}
		row := rows[era][vm]
		row.Incarnations = append(row.Incarnations, incarnations...)
		if err := m.writeRestored(ctx, vm, era, row, rows); err != nil {
			return err
		}
	}
	return nil
}

// restoreEndedVM writes all rows of a VM in an era, its journal first.
func (m *Manager) restoreEndedVM(ctx context.Context, era uint64, vm string, last FinalUsage) error {
	if err := m.restoreEndedJournal(ctx, era, vm, last); err != nil {
		return err
	}
	for workspace, b := range last.Usage {
		if err := m.restoreEndedHolding(ctx, era, vm, workspace, b.Tokens+b.ClosedUsage); err != nil {
			return err
		}
	}
	return nil
}

// restoreEndedJournal writes the journal of a VM in an era, in which the VM's next incarnation finds what the last one has
// used, unless there is one already.
func (m *Manager) restoreEndedJournal(ctx context.Context, era uint64, vm string, last FinalUsage) error {
	stored, stamp, err := m.readJournal(ctx, vm)
	switch {
	case err != nil:
		return err
	case stamp.Era != era:
		return fmt.Errorf("restore journal of VM %q: %w", vm, errEraPassed)
	case stored.version != noVersion && stored.era == era:
		return nil
	}
	row := journalRow{
		Incarnation: last.Incarnation, Epoch: last.Epoch, Since: stored.row.Since, Accounted: true,
		AtMS: stamp.Clock.Milliseconds(), Bounds: last.Usage,
	}
	at := journalLocation(vm, era)
	var c table.Commit
	c.RequireAt(at, noVersion)
	if err := c.SetAt(at, row); err != nil {
		return fmt.Errorf("restore journal of VM %q: %w", vm, err)
	}
	stamp, err = m.Commit(ctx, c)
	m.observeStamp(stamp)
	var conflict *table.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return fmt.Errorf("restore journal of VM %q: %w", vm, err)
	}
	return nil
}

// restoreEndedHolding writes the row of a VM in an era, of whose workspace the given number of tokens was used, unless
// the VM's next incarnation knows better.
func (m *Manager) restoreEndedHolding(ctx context.Context, era uint64, vm, workspace string, used int64) error {
	return m.rewriteRow(ctx, era, vm, workspace, func(s storedRows) (holdingRow, bool) {
		inEra := s.rowInEra(era)
		return s.holding.withUsage(used, inEra), !inEra || s.holding.IsAssumed
	})
}

// withUsage returns the row of a VM of which the given number of tokens was used before an era. If the row is from that
// era, it assumes another number, and contains what the VM's next incarnation has drawn.
func (r holdingRow) withUsage(used int64, inEra bool) holdingRow {
	if !inEra {
		return holdingRow{ClosedUsage: used}
	}
	r.ClosedUsage += used - r.Assumed
	r.IsAssumed, r.Assumed = false, 0
	return r
}
