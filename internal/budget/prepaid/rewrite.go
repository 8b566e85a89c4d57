package prepaid

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// rewriteRow writes the row of another VM and corrects the workspace's total by the difference, in an era. plan returns the
// new row from what the store contains, or reports false if nothing needs to be written.
func (m *Manager) rewriteRow(ctx context.Context, era uint64, vm, workspace string, plan func(s storedRows) (holdingRow, bool)) error {
	for range maxDrawAttempts {
		rows, err := m.readRows(ctx, workspaceRows(workspace))
		if err != nil {
			return err
		}
		s, err := parseRows(vm, workspace, era, rows)
		if err != nil {
			return err
		}
		next, needed := plan(s)
		if !needed {
			return nil
		}
		err = m.commitRewrite(ctx, era, vm, workspace, &s, next)
		var conflict *table.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		return err
	}
	return fmt.Errorf("rewrite row of VM %q in workspace %q: %w", vm, workspace, errConflict)
}

// commitRewrite commits a new row in place of the stored one.
func (m *Manager) commitRewrite(ctx context.Context, era uint64, vm, workspace string, s *storedRows, next holdingRow) error {
	mig := migration{era: era, total: s.totalValue, holding: next}
	if m.eras.isSettled(era) {
		mig.total.settle(m.prepaidTotal(workspace))
	}
	mig.total.correct(next.allotted() - s.holding.allotted())
	err := mig.setTotal(workspace, s)
	if err = errors.Join(err, mig.setHolding(holdingLocation(vm, workspace, era), s)); err != nil {
		return fmt.Errorf("rewrite row of VM %q in workspace %q: %w", vm, workspace, err)
	}
	stamp, err := m.Commit(ctx, mig.commit)
	m.observeStamp(stamp)
	if err == nil && stamp.Era != era {
		err = errEraPassed
	}
	if err != nil {
		return fmt.Errorf("rewrite row of VM %q in workspace %q: %w", vm, workspace, err)
	}
	return nil
}
