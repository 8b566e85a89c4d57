package prepaid

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// errConflict reports that a holding's rows were not as this life last saw them.
var errConflict = errors.New("rows have changed")

// Close gives back what is free in each holding; no request may hold a reservation
// any more. It may be repeated after an error.
func (p *Purse) Close(ctx context.Context) error {
	p.init()
	var failed []error
	for _, h := range p.all() {
		if err := p.giveBack(ctx, h); err != nil {
			failed = append(failed, err)
		}
	}
	return errors.Join(failed...)
}

// giveBack returns the free tokens of one holding and removes its row.
func (p *Purse) giveBack(ctx context.Context, h *holding) error {
	for range maxDrawTries {
		c, free, err := p.planReturn(h)
		if err != nil || free < 0 {
			return err
		}
		err = p.commitReturn(ctx, h, c, free)
		if err == nil {
			p.OnEvent(Event{Kind: HoldingReturned, Workspace: h.workspace, Tokens: free})
			return nil
		}
		if !errors.Is(err, errConflict) {
			return err
		}
	}
	return fmt.Errorf("return tokens of workspace %q: %w", h.workspace, errConflict)
}

// planReturn makes the commit that closes a holding, and sets its free tokens aside.
// They are negative if there is nothing to close.
func (p *Purse) planReturn(h *holding) (table.Commit, int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var c table.Commit
	if h.row.Life != p.Life {
		return c, -1, nil
	}
	h.returning = 0
	h.returning = max(0, h.row.Tokens-h.wanted())
	c.RequireAt(totalPlace(h.workspace), h.totalVersion)
	c.RequireAt(p.holdingPlace(h.workspace), h.rowVersion)
	if err := c.SetAt(totalPlace(h.workspace), totalRow{Allotted: h.allotted - h.returning}); err != nil {
		return c, 0, fmt.Errorf("return tokens: %w", err)
	}
	c.RemoveAt(p.holdingPlace(h.workspace))
	return c, h.returning, nil
}

// commitReturn closes the holding in the store.
func (p *Purse) commitReturn(ctx context.Context, h *holding, c table.Commit, free int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stamp, err := p.Commit(ctx, c)
	if err == nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.drawn -= free
		h.returning = 0
		h.row = holdingRow{}
		h.totalVersion, h.rowVersion = stamp.Version, noVersion
		return nil
	}
	if learned := p.learn(ctx, h, err); learned != nil {
		return fmt.Errorf("return tokens: %w", learned)
	}
	return errConflict
}
