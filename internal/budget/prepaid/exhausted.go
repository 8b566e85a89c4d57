package prepaid

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

const (
	// exhaustionTTL is how long the result of an exhaustion check stays valid, unless tokens
	// were left.
	exhaustionTTL = 500 * time.Millisecond
	// exhaustionTimeout limits the store reads of an exhaustion check.
	exhaustionTimeout = 150 * time.Millisecond
	// reserveWait is how long nothing but the reserve must be left before notice is given that it will be
	// drawn. A router that has just started finds others that hold tokens by then.
	reserveWait = 3 * time.Second
	// restartWait is how long the holding of an incarnation that is leaving or has ended is waited for
	// before that: a VM that takes longer to restart or to be reclaimed may not come back.
	restartWait = 10 * time.Second
)

var (
	// errTokensLeft reports that the store has more tokens left than this router knew of.
	errTokensLeft = errors.New("store has more tokens left than this router knew of")
	// errTokensHeld reports that this router or one that was asked may have tokens that can not be used
	// yet.
	errTokensHeld = errors.New("tokens are held that can not be used yet")
	// errHoldingOpen reports that the tokens of an incarnation that is leaving or has ended may yet be
	// returned.
	errHoldingOpen = errors.New("holding of an incarnation that is leaving or has ended is not closed yet")
)

// errTokensArrived reports that a router has transferred tokens that was asked only for the check.
var errTokensArrived = errors.New("another router has transferred tokens")

// exhaustionCheck is the result of the last check of all holdings of a workspace.
type exhaustionCheck struct {
	at  time.Time
	err error // nil if the tokens are exhausted
	// holders are the other incarnations that stay and have a holding.
	holders []string
	// reserveLeft is set if the reserve, which can not be drawn yet, covers the request.
	reserveLeft bool
	// reserveLeftSince is when this was first found, by checks that followed each other closely, and
	// openSince is when a holding was first found open in this way.
	reserveLeftSince, openSince time.Time
}

// isUsable reports whether tokens that are not in the reserve may be usable soon.
func (c *exhaustionCheck) isUsable() bool {
	if errors.Is(c.err, errHoldingOpen) {
		return c.at.Sub(c.openSince) < restartWait
	}
	return c.err != nil
}

// since returns when a state began that holds at this check, if it held at the last one not long before.
func (c *exhaustionCheck) since(last exhaustionCheck, began time.Time) time.Time {
	if began.IsZero() || c.at.Sub(last.at) >= reserveWait {
		return c.at
	}
	return began
}

// confirmExhausted checks the store before a request for n tokens is refused because its workspace's
// tokens are exhausted. It returns nil if they are, but for a reserve that can not be drawn yet. transfers are the answers of the other home
// routers. Routers that have holdings and are not among them are asked as well.
//
// Errors are errTokensLeft, errTokensArrived, errTokensHeld, errHoldingOpen, and those of the store.
func (m *Manager) confirmExhausted(ctx context.Context, h *holding, n int64, transfers transferResult) error {
	now := time.Now()
	h.mu.Lock()
	last := h.lastCheck
	h.mu.Unlock()
	valid := now.Sub(last.at) < exhaustionTTL && !errors.Is(last.err, errTokensLeft) && !errors.Is(last.err, errTokensArrived)
	if valid && (last.err != nil || !transfers.held && !h.mayHold(n)) {
		return last.err
	}
	era := h.currentEra()
	rows, err := m.readAll(ctx, h)
	if err != nil {
		return err
	}
	check := exhaustionCheck{at: now}
	check.err = m.checkExhausted(h, n, era, rows, &check)
	if check.err == nil {
		check.err = m.askHolders(ctx, h, n, check.holders, transfers)
	}
	if errors.Is(check.err, errHoldingOpen) {
		check.openSince = check.since(last, last.openSince)
	}
	if !check.isUsable() && check.reserveLeft {
		check.reserveLeftSince = check.since(last, last.reserveLeftSince)
	}
	h.mu.Lock()
	h.reserveNeeded = h.reserveNeeded || !check.reserveLeftSince.IsZero() && now.Sub(check.reserveLeftSince) >= reserveWait
	h.lastCheck = check
	h.mu.Unlock()
	return check.err
}

// askHolders asks the holders of tokens that have not answered yet. It returns nil if neither they nor
// this router have any left that a request for n tokens could use.
func (m *Manager) askHolders(ctx context.Context, h *holding, n int64, holders []string, transfers transferResult) error {
	var unasked []string
	for _, holder := range holders {
		addr := m.RouterAddr(holder)
		if addr == "" {
			return errTokensHeld
		}
		if !slices.Contains(transfers.answered, addr) {
			unasked = append(unasked, addr)
		}
	}
	more := m.requestTransfers(ctx, h, unasked, h.shortfall(n, nil))
	m.acceptTransfer(h, more.received)
	switch {
	case more.received > 0:
		return errTokensArrived
	case len(more.answered) < len(unasked), transfers.held, more.held, h.mayHold(n):
		return errTokensHeld
	}
	return nil
}

// readAll reads the total and all holdings of the workspace.
func (m *Manager) readAll(ctx context.Context, h *holding) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, exhaustionTimeout)
	defer cancel()
	rows, err := m.readRows(ctx, workspaceRows(h.workspace))
	if err != nil {
		return nil, fmt.Errorf("read all holdings: %w", err)
	}
	return rows, nil
}

// checkExhausted determines from all rows of a workspace whether its tokens are exhausted, and
// adds to check which other incarnations have holdings.
func (m *Manager) checkExhausted(h *holding, n int64, era uint64, rows []table.Row, check *exhaustionCheck) error {
	var err error
	for _, r := range rows {
		if !strings.HasPrefix(r.Key, prefixVM) {
			continue
		}
		var row holdingRow
		if err := r.Decode(&row); err != nil {
			return fmt.Errorf("decode holding of workspace %q: %w", h.workspace, err)
		}
		if row.Tokens == 0 || row.Incarnation == m.incarnation() {
			continue
		}
		if m.IsStaying(processOf(row.Incarnation)) {
			check.holders = append(check.holders, processOf(row.Incarnation))
			continue
		}
		// Its next incarnation or a reclaimer closes the holding.
		err = fmt.Errorf("%w: incarnation %q holds %d tokens", errHoldingOpen, row.Incarnation, row.Tokens)
	}
	if err := m.observeRows(h, era, rows); err != nil {
		return err
	}
	switch {
	case m.drawableInStore(h) > 0 && m.eras.mayDraw():
		return errTokensLeft
	case !m.eras.isSettled(era):
		return errUnsettled
	}
	check.reserveLeft = m.leftInStore(h) >= h.shortfall(n, nil)
	return err
}
