package prepaid

import (
	"context"
	"fmt"
	"math"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/amount"
	"rosevalve/internal/platform/table"
)

// fencedEras is the number of following eras that a late commit checks: it fails once the
// workspace's rows exist in one of them.
const fencedEras = 2

// storedRows is what the store contains for a workspace: its total and the row of one VM, each from the latest era that has one.
type storedRows struct {
	total, ownRow             table.Row
	totalEra, ownRowEra       uint64
	totalExists, ownRowExists bool
	// totalValue is the decoded total, or if it is not of the era that was asked for, the one to begin
	// that era with if all draws are accounted for.
	totalValue totalRow
	holding    holdingRow
}

// parseRows decodes a workspace's total and the row of a VM. If its total is not of the given era, rows must be all
// rows of the workspace: the allotted total is then their sum, whatever a total of an earlier
// era says, since commits still in progress when the era began may have changed it.
func parseRows(vm, workspace string, era uint64, rows []table.Row) (storedRows, error) {
	var s storedRows
	latest := make(map[string]storedHolding)
	for _, r := range rows {
		if r.Deleted || r.Version == noVersion {
			continue
		}
		name, rowEra, err := splitKey(r.Key)
		if err == nil && name == keyTotal {
			err = s.addTotal(r, rowEra)
		} else if err == nil {
			err = addHolding(latest, name, r, rowEra)
		}
		if err != nil {
			return storedRows{}, fmt.Errorf("tokens of workspace %q: %w", workspace, err)
		}
	}
	if own, ok := latest[prefixVM+vm]; ok {
		s.ownRow, s.ownRowEra, s.ownRowExists, s.holding = own.row, own.era, true, own.holding
	}
	if !s.totalInEra(era) {
		s.beginEra(era, latest)
	}
	return s, nil
}

// storedHolding is a VM's row and the era that it is from.
type storedHolding struct {
	row     table.Row
	era     uint64
	holding holdingRow
}

func (s *storedRows) addTotal(r table.Row, era uint64) error {
	if s.totalExists && s.totalEra > era {
		return nil
	}
	var total totalRow
	if err := errors.Join(r.Decode(&total), total.check()); err != nil {
		return err
	}
	s.total, s.totalEra, s.totalExists, s.totalValue = r, era, true, total
	return nil
}

func addHolding(latest map[string]storedHolding, name string, r table.Row, era uint64) error {
	if last, ok := latest[name]; ok && last.era > era {
		return nil
	}
	in := storedHolding{row: r, era: era}
	if err := errors.Join(r.Decode(&in.holding), in.holding.check()); err != nil {
		return err
	}
	latest[name] = in
	return nil
}

// beginEra replaces the total by one that begins an era with the sum of the VMs' rows.
func (s *storedRows) beginEra(era uint64, latest map[string]storedHolding) {
	var sum int64
	for _, h := range latest {
		sum = amount.Add(sum, h.holding.allotted())
	}
	next := totalRow{Allotted: sum, Base: sum}
	if s.totalExists {
		next.Prior = s.totalValue.inNextEras(era-s.totalEra, sum)
	} else if era > 0 {
		next.Prior = (*totalRow)(nil).inNextEras(era, sum)
	}
	s.totalValue = next
}

// totalInEra reports whether the total is of the era.
func (s *storedRows) totalInEra(era uint64) bool { return s.totalExists && s.totalEra == era }

// rowInEra reports whether the VM's row is of the era.
func (s *storedRows) rowInEra(era uint64) bool { return s.ownRowExists && s.ownRowEra == era }

// migrateRows writes the rows of the workspace in the current era, as this incarnation knows
// them.
func (m *Manager) migrateRows(ctx context.Context, h *holding) error {
	for range maxDrawAttempts {
		mig, err := m.planMigration(h)
		switch {
		case err != nil:
			return err
		case mig.unneeded:
			return nil
		case !mig.planned:
			if err := m.readOwnRows(ctx, h); err != nil {
				return err
			}
			continue
		}
		stamp, err := m.Commit(ctx, mig.commit)
		m.observeStamp(stamp)
		if err == nil && m.applyMigration(h, mig, stamp) {
			return nil
		}
		h.discardStored()
		if errors.Is(err, table.ErrUnavailable) {
			return fmt.Errorf("migrate rows of workspace %q to the store's era: %w", h.workspace, err)
		}
	}
	return fmt.Errorf("migrate rows of workspace %q to the store's era: %w: rows have changed", h.workspace, table.ErrUnavailable)
}

// migration is one commit that writes rows in the current era.
type migration struct {
	unneeded bool // rows are current, nothing to write
	planned  bool
	era      uint64
	commit   table.Commit
	total    totalRow
	holding  holdingRow
	// corrected is the difference between the VM's part of the total and what the store
	// contained.
	corrected int64
	// writesHolding is set if the commit writes the VM's row, which otherwise does not exist.
	writesHolding bool
}

// planMigration computes the rows to write.
func (m *Manager) planMigration(h *holding) (migration, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rowsCurrent || h.stored == nil {
		return migration{unneeded: h.rowsCurrent}, nil
	}
	s := h.stored
	mig := migration{planned: true, era: h.era, holding: m.currentRow(h, s)}
	mig.corrected = mig.holding.allotted() - s.holding.allotted()
	mig.total = s.totalValue
	if m.eras.isSettled(h.era) {
		mig.total.settle(m.prepaidTotal(h.workspace))
	}
	mig.total.correct(mig.corrected)
	err := mig.setTotal(h.workspace, s)
	if s.ownRowExists || mig.holding != (holdingRow{}) {
		mig.writesHolding = true
		err = errors.Join(err, mig.setHolding(holdingLocation(m.VM, h.workspace, h.era), s))
	}
	if err != nil {
		return migration{}, fmt.Errorf("migrate rows of workspace %q to the store's era: %w", h.workspace, err)
	}
	return mig, nil
}

// setTotal adds the total to the commit, in place of one of an earlier era.
func (mig *migration) setTotal(workspace string, s *storedRows) error {
	at := totalLocation(workspace, mig.era)
	fence(&mig.commit, workspace, mig.era)
	if s.totalInEra(mig.era) {
		mig.commit.RequireAt(at, s.total.Version)
		return mig.commit.SetAt(at, mig.total)
	}
	mig.commit.RequireAt(at, noVersion)
	if s.totalExists {
		mig.commit.RequireAt(s.total.Location, s.total.Version)
		mig.commit.RemoveAt(s.total.Location)
	}
	return mig.commit.SetAt(at, mig.total)
}

// fence makes a commit fail that arrives late, when the workspace's rows exist in a later era.
// The condition that a row does not exist cannot be confused with a reused version.
func fence(c *table.Commit, workspace string, era uint64) {
	for n := uint64(1); n <= fencedEras; n++ {
		c.RequireAt(totalLocation(workspace, era+n), noVersion)
	}
}

// setHolding adds the VM's row to the commit, in place of the stored one.
func (mig *migration) setHolding(at table.Location, s *storedRows) error {
	if s.rowInEra(mig.era) {
		mig.commit.RequireAt(at, s.ownRow.Version)
		return mig.commit.SetAt(at, mig.holding)
	}
	mig.commit.RequireAt(at, noVersion)
	if s.ownRowExists {
		mig.commit.RequireAt(s.ownRow.Location, s.ownRow.Version)
		mig.commit.RemoveAt(s.ownRow.Location)
	}
	return mig.commit.SetAt(at, mig.holding)
}

// currentRow returns the contents of the VM's row for the current era: what this incarnation
// knows, the most that former incarnations can have used, or the row of an earlier era. What a copy
// of the store shows counts as used until it is known what former incarnations have drawn since.
// The caller holds h.mu.
func (m *Manager) currentRow(h *holding, s *storedRows) holdingRow {
	if h.rowToRestore != nil {
		return *h.rowToRestore
	}
	if !m.eras.isHistoryKnown() && !s.rowInEra(h.era) {
		shown := s.holding.allotted()
		return holdingRow{ClosedUsage: shown, IsAssumed: true, Assumed: shown}
	}
	if closed, ok := m.journal.maxUsedBefore(h.workspace, h.era); ok {
		return holdingRow{ClosedUsage: closed}
	}
	return s.holding
}

// maxUsedBefore returns the most tokens that the VM's holdings of a workspace have used, if
// former incarnations that started before the era may have had some. The store's rows of these
// may be too old.
func (j *journal) maxUsedBefore(workspace string, era uint64) (int64, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var past, used int64
	listed := false
	for _, f := range j.former {
		b, ok := f.Bounds[workspace]
		if !ok || f.Since >= era {
			continue
		}
		listed = true
		past = max(past, b.ClosedUsage)
		used = amount.Add(used, f.maxUsed(workspace, math.MaxInt64))
	}
	return amount.Add(past, used), listed
}

// applyMigration records that rows were written in their era; it reports false if the era has
// ended.
func (m *Manager) applyMigration(h *holding, mig migration, stamp table.Stamp) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.era != mig.era || stamp.Era != mig.era {
		return false
	}
	h.totalVersion, h.rowVersion = stamp.Version, noVersion
	if mig.writesHolding {
		h.rowVersion = stamp.Version
	}
	h.returning = 0
	m.setRows(h, mig.total, mig.holding)
	m.eras.addCorrection(mig.era, mig.corrected)
	return true
}

// correctAssumed replaces what was assumed of former incarnations in the holding's row by the most that they
// can have used, once that is known.
func (m *Manager) correctAssumed(ctx context.Context, h *holding) error {
	turn, err := h.awaitTurn(ctx)
	if err != nil {
		return err
	}
	defer func() { h.endTurn(turn, err) }()
	for range maxDrawAttempts {
		plan, needed := m.planCorrection(h)
		if !needed {
			return nil
		}
		var c table.Commit
		if c, err = plan.commit(m, h.workspace); err != nil {
			return err
		}
		var stamp table.Stamp
		stamp, err = m.Commit(ctx, c)
		m.observeStamp(stamp)
		if err == nil && m.applyDraw(h, plan, stamp) {
			return nil
		}
		if err == nil {
			err = errors.Join(errEraPassed, table.ErrUnavailable)
		}
		if err = m.refreshRows(ctx, h, err); err != nil {
			return err
		}
	}
	err = fmt.Errorf("correct rows of workspace %q: %w", h.workspace, errConflict)
	return err
}

// planCorrection returns the commit of correctAssumed, a draw of no tokens. It reports false if none
// is needed.
func (m *Manager) planCorrection(h *holding) (plannedDraw, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.rowsCurrent || !h.row.IsAssumed {
		return plannedDraw{}, false
	}
	d := plannedDraw{era: h.era, total: h.total, row: h.row, totalVersion: h.totalVersion, rowVersion: h.rowVersion}
	if used, listed := m.journal.maxUsedBefore(h.workspace, h.era); listed {
		d.total.correct(used - d.row.Assumed)
		d.row.ClosedUsage += used - d.row.Assumed
	}
	d.row.IsAssumed, d.row.Assumed = false, 0
	return d, true
}

// setRows records the rows of the current era. The caller holds h.mu.
func (m *Manager) setRows(h *holding, total totalRow, row holdingRow) {
	if h.row.Incarnation == m.incarnation() && row.Incarnation != m.incarnation() {
		// The answer of the return that closed the holding was lost.
		h.reset()
	}
	h.total, h.row = total, row
	h.rowsCurrent, h.stored, h.rowToRestore = true, nil, nil
	if row.Incarnation == m.incarnation() {
		h.drawn = row.Tokens
	}
}

// discardStored makes the next migration read the rows again.
func (h *holding) discardStored() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stored = nil
}
