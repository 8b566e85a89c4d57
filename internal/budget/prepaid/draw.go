package prepaid

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/demand"
	"rosevalve/internal/platform/table"
)

const (
	// drawWait is how long a request waits for a draw before other routers are asked.
	drawWait           = 100 * time.Millisecond
	maxDrawAttempts    = 6
	maxConflictBackoff = 10 * time.Millisecond
)

// errTooFewLeft reports that the store has fewer tokens left than a draw needs.
var errTooFewLeft = errors.New("store has too few tokens left")

func isTooFewLeft(err error) bool { return errors.Is(err, errTooFewLeft) }

// awaitDraw starts a draw that includes n more tokens, or joins the commit in progress, and waits
// for it for a limited time; the commit continues after that.
func (m *Manager) awaitDraw(ctx context.Context, h *holding, n int64) error {
	h.mu.Lock()
	h.demand.RecordWaiting(n - h.received)
	d := h.inflight
	if d == nil {
		d = &inflightCommit{done: make(chan struct{})}
		h.inflight = d
		go func() {
			m.runDraw(h, d)
			m.sendDrawHints(h)
		}()
	}
	h.mu.Unlock()
	if m.journal.storeUnreachable() {
		// The draw continues, but the request does not wait for it.
		return fmt.Errorf("draw for workspace %q: store did not answer the previous call: %w", h.workspace, table.ErrUnavailable)
	}
	timer := time.NewTimer(drawWait)
	defer timer.Stop()
	select {
	case <-d.done:
		return d.err
	case <-timer.C:
		return fmt.Errorf("draw for workspace %q: store did not answer within %v: %w", h.workspace, drawWait, table.ErrUnavailable)
	case <-ctx.Done():
		return fmt.Errorf("draw for workspace %q: %w", h.workspace, ctx.Err())
	}
}

// runDraw makes one draw for all requests that wait for it.
func (m *Manager) runDraw(h *holding, d *inflightCommit) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	h.mu.Lock()
	need := h.demand.TakeInput(h.free())
	h.mu.Unlock()
	_, err := m.draw(ctx, h, need)
	h.endTurn(d, err)
	m.reportDraw(h, need.MinShortfall, err)
}

// draw takes tokens from the workspace's total, and closes the holding that a former incarnation
// of this VM has left. If a return is pending, it only settles that, which may free enough tokens.
func (m *Manager) draw(ctx context.Context, h *holding, need demand.DrawInput) (int64, error) {
	var lastErr error
	if err := m.awaitMirrorsQueried(ctx); err != nil {
		return 0, fmt.Errorf("draw for workspace %q: %w", h.workspace, err)
	}
	if h.returnPending() {
		return 0, m.settleReturn(ctx, h)
	}
	for range maxDrawAttempts {
		if err := m.prepareDraw(ctx, h); err != nil {
			return 0, fmt.Errorf("draw for workspace %q: %w", h.workspace, err)
		}
		plan, err := m.planDraw(h, need)
		if err != nil {
			return 0, err
		}
		if plan.tokens == 0 && plan.closedIncarnation == "" && !plan.opens {
			return 0, fmt.Errorf("draw for workspace %q: %w", h.workspace, errTooFewLeft)
		}
		c, err := plan.commit(m, h.workspace)
		if err != nil {
			return 0, err
		}
		stamp, err := m.Commit(ctx, c)
		m.observeStamp(stamp)
		if err == nil && !m.applyDraw(h, plan, stamp) {
			err = errors.Join(errEraPassed, table.ErrUnavailable)
		}
		if err == nil {
			if plan.tokens >= need.MinShortfall {
				return plan.tokens, nil
			}
			continue
		}
		lastErr = err
		if err := m.refreshRows(ctx, h, err); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("draw for workspace %q: %w", h.workspace, lastErr)
}

// prepareDraw lists the workspace in the journal and migrates its rows to the store's era.
func (m *Manager) prepareDraw(ctx context.Context, h *holding) error {
	if !m.eras.mayDraw() {
		return fmt.Errorf("%w: %w", errUnsettled, table.ErrUnavailable)
	}
	if err := m.awaitListed(ctx, h); err != nil {
		return err
	}
	return m.migrateRows(ctx, h)
}

// plannedDraw is one commit of a draw.
type plannedDraw struct {
	era               uint64
	tokens            int64
	total             totalRow // after the commit
	row               holdingRow
	closedIncarnation string // the former incarnation whose holding is closed, if any
	returned          int64  // tokens that closing it returns to the total
	opens             bool   // gives notice that the reserve will be drawn

	totalVersion, rowVersion uint64
}

// planDraw computes the commit of a draw.
func (m *Manager) planDraw(h *holding, need demand.DrawInput) (plannedDraw, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.rowsCurrent {
		return plannedDraw{}, fmt.Errorf("draw for workspace %q: %w: %w", h.workspace, errEraPassed, table.ErrUnavailable)
	}
	epoch := m.journal.currentEpoch()
	if h.row.Epoch > epoch {
		return plannedDraw{}, fmt.Errorf("draw for workspace %q: %w", h.workspace, errReplaced)
	}
	d := plannedDraw{
		era:          h.era,
		total:        h.total,
		row:          h.row,
		totalVersion: h.totalVersion,
		rowVersion:   h.rowVersion,
	}
	if h.row.Incarnation != "" && h.row.Incarnation != m.incarnation() {
		d.closedIncarnation = h.row.Incarnation
		used := m.journal.maxUsedBy(h.row.Incarnation, h.workspace, h.row.Tokens)
		d.returned = h.row.Tokens - used
		d.total.Allotted -= d.returned
		d.row = h.row.closed(used)
	}
	prepaid, now := m.prepaidTotal(h.workspace), m.journal.storeClockNow()
	if m.eras.isSettled(h.era) {
		d.total.settle(prepaid)
	}
	need.Available = d.total.drawable(prepaid, now)
	if h.reserveNeeded && d.total.OpenedAtMS == 0 && d.total.left(prepaid) > need.Available {
		d.opens = true
		d.total.OpenedAtMS = now.Milliseconds()
	}
	d.tokens = min(m.DrawSize(need), need.Available)
	if d.tokens == 0 && need.MinShortfall > 0 {
		// Other routers may transfer what the store lacks.
		d.tokens = need.Available
	}
	d.total.Allotted += d.tokens
	d.row.Incarnation, d.row.Epoch = m.incarnation(), epoch
	d.row.Tokens += d.tokens
	return d, nil
}

func (d plannedDraw) commit(m *Manager, workspace string) (table.Commit, error) {
	var c table.Commit
	total, holding := totalLocation(workspace, d.era), holdingLocation(m.VM, workspace, d.era)
	c.RequireAt(total, d.totalVersion)
	c.RequireAt(holding, d.rowVersion)
	fence(&c, workspace, d.era)
	if err := c.SetAt(total, d.total); err != nil {
		return c, fmt.Errorf("draw: %w", err)
	}
	if err := c.SetAt(holding, d.row); err != nil {
		return c, fmt.Errorf("draw: %w", err)
	}
	return c, nil
}

// applyDraw records a draw that took effect. It reports false if that happened in an era that
// has ended, and the drawn tokens with it, or if the draw belongs to a former incarnation.
func (m *Manager) applyDraw(h *holding, d plannedDraw, stamp table.Stamp) bool {
	h.mu.Lock()
	if h.era != d.era || stamp.Era != d.era || d.row.Incarnation != "" && d.row.Incarnation != m.incarnation() {
		h.mu.Unlock()
		return false
	}
	if !h.knowsNewer(stamp.Version) {
		h.totalVersion, h.rowVersion = stamp.Version, stamp.Version
		h.total = d.total
		h.reserveNeeded = h.reserveNeeded && d.total.OpenedAtMS == 0
		h.row = d.row
		h.drawn = d.row.Tokens
		h.returning = 0
	}
	h.mu.Unlock()
	if d.tokens > 0 {
		m.OnEvent(Event{Kind: Drawn, Workspace: h.workspace, Tokens: d.tokens, Remaining: m.leftInStore(h)})
	}
	if d.closedIncarnation != "" {
		m.journal.markClosed(d.closedIncarnation, h.workspace)
		m.OnEvent(Event{Kind: FormerHoldingClosed, Workspace: h.workspace, Tokens: d.returned})
	}
	return true
}

// leftInStore returns the tokens left of the workspace's total, according to the most recent
// row, the reserve included.
func (m *Manager) leftInStore(h *holding) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total.left(m.prepaidTotal(h.workspace))
}

// drawableInStore returns the tokens that may be drawn now, according to the most recent row.
func (m *Manager) drawableInStore(h *holding) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total.drawable(m.prepaidTotal(h.workspace), m.journal.storeClockNow())
}

// refreshRows updates the rows after a commit has failed, so that the next one can succeed. It
// returns an error if another attempt is pointless.
func (m *Manager) refreshRows(ctx context.Context, h *holding, err error) error {
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict):
		if err := m.observeConflict(h, conflict.Rows); err != nil {
			return err
		}
		// Other routers draw from the same total at the same time.
		sleep(ctx, rand.N(maxConflictBackoff))
		return nil
	case errors.Is(err, table.ErrUnavailable):
		return fmt.Errorf("draw for workspace %q: %w", h.workspace, err)
	default:
		// The commit may have taken effect, or still may. The rows show the former, and the
		// next commit rules out the latter.
		if readErr := m.readOwnRows(ctx, h); readErr != nil {
			return errors.Join(err, readErr)
		}
		return nil
	}
}

// readOwnRows reads the rows of the total and of this VM's holding in whichever era they
// exist, and those of all VMs if the total is of an earlier one.
func (m *Manager) readOwnRows(ctx context.Context, h *holding) error {
	era := h.currentEra()
	total := totalLocation(h.workspace, era)
	rows, err := m.readRows(ctx, table.Range{Table: total.Table, Partition: total.Partition, From: total.Key, To: table.KeyAfter(total.Key)})
	if err != nil {
		return err
	}
	more := inAllEras(holdingLocation(m.VM, h.workspace, era), prefixVM+m.VM)
	if len(rows) == 0 {
		more = workspaceRows(h.workspace)
	}
	others, err := m.readRows(ctx, more)
	if err != nil {
		return err
	}
	return m.observeRows(h, era, append(rows, others...))
}

// readRows reads a range of a workspace's rows.
func (m *Manager) readRows(ctx context.Context, r table.Range) ([]table.Row, error) {
	var rows []table.Row
	for {
		page, err := m.Read(ctx, r)
		m.observeStamp(page.Stamp)
		if err != nil {
			return nil, fmt.Errorf("read rows of partition %q: %w", r.Partition, err)
		}
		rows = append(rows, page.Rows...)
		if !page.HasMore || len(page.Rows) == 0 {
			return rows, nil
		}
		r.From = table.KeyAfter(page.Rows[len(page.Rows)-1].Key)
	}
}

// observeRows records the rows of the total and of this VM's holding; a missing one does not
// exist. Rows that are not all of the era are stored for migration. era is the one that was
// current when the rows were requested.
func (m *Manager) observeRows(h *holding, era uint64, rows []table.Row) error {
	s, err := parseRows(m.VM, h.workspace, era, rows)
	if err != nil {
		return err
	}
	h.mu.Lock()
	if h.era != era {
		h.mu.Unlock()
		return fmt.Errorf("tokens of workspace %q: %w: %w", h.workspace, errEraPassed, table.ErrUnavailable)
	}
	if !m.completeInEra(h, &s) {
		h.rowsCurrent, h.stored = false, &s
		h.mu.Unlock()
		return nil
	}
	if h.knowsNewer(s.total.Version) {
		// They were read before the last commit took effect.
		h.mu.Unlock()
		return nil
	}
	before := h.drawn
	if s.total.Version != h.totalVersion || s.ownRow.Version != h.rowVersion {
		// A pending return has taken effect, or its conditions can not hold any more.
		h.returning = 0
	}
	h.totalVersion, h.rowVersion = s.total.Version, s.ownRow.Version
	m.setRows(h, s.totalValue, s.holding)
	newTokens := h.drawn - before
	h.mu.Unlock()
	if newTokens > 0 {
		// The answer of an earlier draw was lost.
		m.OnEvent(Event{Kind: Drawn, Workspace: h.workspace, Tokens: newTokens, Remaining: m.leftInStore(h)})
	}
	return nil
}

// observeConflict records the rows returned with a commit conflict. If the total is not among
// them, all rows must be read.
func (m *Manager) observeConflict(h *holding, rows []table.Row) error {
	era := h.currentEra()
	total := totalLocation(h.workspace, era)
	if slices.ContainsFunc(rows, func(r table.Row) bool { return r.Location == total && r.Version != noVersion }) {
		return m.observeRows(h, era, rows)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rowsCurrent, h.stored = false, nil
	return nil
}

// completeInEra reports whether the rows are all of the holding's era and need no migration.
// The caller holds h.mu.
func (m *Manager) completeInEra(h *holding, s *storedRows) bool {
	if !s.totalInEra(h.era) {
		return false
	}
	return s.rowInEra(h.era) || !s.ownRowExists && m.currentRow(h, s) == holdingRow{}
}

func (j *journal) isOpen() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.open && !j.replaced
}

func (j *journal) currentEpoch() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.epoch
}
